//! The engine over HTTP, in the form that docs/ENGINE.md describes.

use std::net::SocketAddr;

use futures::StreamExt;
use futures::stream::BoxStream;
use ibishill_core::{id, priority};
use ibishill_endpoint::wire;
use rocket::fairing::AdHoc;
use rocket::http::{Header, Status};
use rocket::request::{self, FromRequest, Request};
use rocket::response::stream::{Event, EventStream};
use rocket::response::{self, Responder};
use rocket::serde::json::{Json, Value, json};
use rocket::{State, get, post, put, routes};
use tokio::sync::watch;

use super::{Engine, Progress, behaviour, simulation, text};
use crate::platform;

const REQUEST_ID: &str = "x-request-id";

struct Asked {
    request: id::RequestId,
    priority: priority::Priority,
    is_resumable: bool,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Asked {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> request::Outcome<Self, ()> {
        let header = |name: &str| request.headers().get_one(name);
        let name = header(REQUEST_ID).and_then(|name| name.parse().ok());
        let Some(name) = name else { return request::Outcome::Error((Status::BadRequest, ())) };
        let priority = header("x-ibishill-priority").and_then(|text| text.parse().ok());
        request::Outcome::Success(Self {
            request: name,
            priority: priority.unwrap_or_default(),
            is_resumable: header("x-ibishill-resumable") == Some("true"),
        })
    }
}

// Cancels the request when its connection is gone.
struct Attached {
    engine: Engine,
    request: id::RequestId,
    is_resumable: bool,
}

impl Drop for Attached {
    fn drop(&mut self) {
        if !self.is_resumable {
            self.engine.cancel(&self.request);
        }
    }
}

enum Reply {
    Whole(Json<Value>, String),
    Stream(EventStream<BoxStream<'static, Event>>, String),
    Failed(Status, String),
}

impl<'r> Responder<'r, 'r> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let (mut response, name) = match self {
            Self::Whole(body, name) => (body.respond_to(request)?, name),
            Self::Stream(events, name) => (events.respond_to(request)?, name),
            Self::Failed(status, name) => {
                let body = Json(json!({"error": {"message": status.reason_lossy()}}));
                let mut response = body.respond_to(request)?;
                response.set_status(status);
                (response, name)
            }
        };
        if !name.is_empty() {
            response.set_header(Header::new(REQUEST_ID, name));
        }
        Ok(response)
    }
}

struct Generation {
    behaviour: behaviour::Behaviour,
    name: String,
    model: String,
    prompt: u64,
    progress: watch::Receiver<Progress>,
    attached: Attached,
}

fn shown_name(
    behaviour: &behaviour::Behaviour,
    request: &id::RequestId,
    before: Option<id::RequestId>,
) -> String {
    match before {
        _ if behaviour.unmarked => String::new(),
        _ if behaviour.crossed => format!("{request}-other"),
        Some(before) if behaviour.late => before.to_string(),
        _ => request.to_string(),
    }
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat(engine: &State<Engine>, asked: Asked, body: Json<Value>) -> Reply {
    let behaviour = engine.behaviour();
    let before = engine.count(&asked.request);
    let name = shown_name(&behaviour, &asked.request, before);
    if behaviour.fail {
        return Reply::Failed(Status::InternalServerError, name);
    }
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    if !engine.serves(&model) {
        return Reply::Failed(Status::NotFound, name);
    }
    let (prompt, blocks) = text::prompt(&body);
    let output = body["max_tokens"].as_u64().unwrap_or(u64::MAX).min(behaviour.tokens);
    let job = simulation::Job {
        request: asked.request.clone(),
        prompt,
        blocks,
        output,
        priority: asked.priority,
    };
    let attached = Attached {
        engine: engine.inner().clone(),
        request: asked.request,
        is_resumable: asked.is_resumable,
    };
    let progress = match engine.submit(job) {
        Ok(progress) => progress,
        Err(simulation::Refused::Full) => return Reply::Failed(Status::TooManyRequests, name),
        Err(simulation::Refused::Down) => return Reply::Failed(Status::ServiceUnavailable, name),
    };
    let generation = Generation { behaviour, name, model, prompt, progress, attached };
    if body["stream"].as_bool().unwrap_or(false) {
        return stream(generation, 0).await;
    }
    whole(generation).await
}

async fn whole(mut generation: Generation) -> Reply {
    let is_over = |progress: &Progress| !matches!(progress, Progress::Running(_));
    let ended = generation.progress.wait_for(is_over).await.map(|progress| *progress);
    let name = generation.name;
    let Ok(Progress::Done(tokens)) = ended else {
        return Reply::Failed(Status::ServiceUnavailable, name);
    };
    let token = |n| text::token(&generation.behaviour, &generation.model, n);
    let answer: String = (0..tokens).map(token).collect();
    let usage = text::usage(generation.prompt, tokens);
    Reply::Whole(Json(text::whole(&name, &generation.model, &answer, &usage)), name)
}

// The answer begins with its first token.
async fn stream(mut generation: Generation, from: u64) -> Reply {
    let has_begun = |progress: &Progress| *progress != Progress::Running(0);
    drop(generation.progress.wait_for(has_begun).await);
    let name = generation.name.clone();
    let events = rocket::async_stream::stream! {
        let Generation { behaviour, name, model, prompt, mut progress, attached } = generation;
        let _attached = attached;
        let mut sent = from;
        loop {
            let seen = *progress.borrow_and_update();
            let (Progress::Running(ready) | Progress::Done(ready)) = seen else { return };
            while sent < ready {
                if behaviour.cut_after > 0 && sent >= behaviour.cut_after {
                    return;
                }
                if behaviour.hang_after > 0 && sent >= behaviour.hang_after {
                    futures::future::pending::<()>().await;
                }
                let delta = json!({"content": text::token(&behaviour, &model, sent)});
                yield Event::json(&text::chunk(&name, &model, &delta, None));
                sent += 1;
            }
            if let Progress::Done(tokens) = seen {
                yield Event::json(&text::chunk(&name, &model, &json!({}), Some("stop")));
                let usage = text::usage(prompt, tokens);
                yield Event::json(&text::last(&name, &model, &usage));
                yield Event::data("[DONE]");
                return;
            }
            if progress.changed().await.is_err() {
                return;
            }
        }
    };
    Reply::Stream(EventStream::from(events.boxed()).heartbeat(None), name)
}

#[get("/v1/requests/<request>/events?<from>&<model>")]
async fn resume(engine: &State<Engine>, request: &str, from: u64, model: &str) -> Reply {
    let known = request.parse::<id::RequestId>().ok();
    let following = known.and_then(|name| Some((engine.follow(&name)?, name)));
    let Some((progress, known)) = following else {
        return Reply::Failed(Status::NotFound, request.to_owned());
    };
    let behaviour = behaviour::Behaviour { cut_after: 0, hang_after: 0, ..engine.behaviour() };
    let attached = Attached { engine: engine.inner().clone(), request: known, is_resumable: true };
    let (name, model) = (request.to_owned(), model.to_owned());
    stream(Generation { behaviour, name, model, prompt: 0, progress, attached }, from).await
}

#[post("/v1/requests/<request>/cancel")]
fn cancel(engine: &State<Engine>, request: &str) -> Json<bool> {
    Json(request.parse().is_ok_and(|request| engine.cancel(&request)))
}

#[get("/v1/load")]
fn load(engine: &State<Engine>) -> Json<wire::Report> {
    Json(engine.report())
}

#[get("/v1/cache/events")]
fn cache_events(engine: &State<Engine>) -> Json<Vec<wire::CacheEvent>> {
    Json(engine.cache_events())
}

#[get("/v1/loaded")]
fn loaded(engine: &State<Engine>) -> Json<wire::Loaded> {
    Json(engine.loaded())
}

#[post("/v1/orders", data = "<order>")]
fn order(
    engine: &State<Engine>,
    order: Json<wire::Order>,
) -> Result<(), (Status, Json<wire::Refused>)> {
    engine.order(&order).map_err(|refused| (Status::Conflict, Json(refused)))
}

#[get("/health")]
fn health(engine: &State<Engine>) -> Status {
    if engine.behaviour().fail { Status::ServiceUnavailable } else { Status::Ok }
}

#[put("/behaviour", data = "<behaviour>")]
fn set_behaviour(engine: &State<Engine>, behaviour: Json<behaviour::Behaviour>) -> Status {
    engine.set_behaviour(behaviour.into_inner());
    Status::NoContent
}

/// Builds the HTTP server of an engine at `address`.
pub(crate) fn server(engine: Engine, address: SocketAddr) -> rocket::Rocket<rocket::Build> {
    let driven = engine.clone();
    let drive = AdHoc::on_liftoff("engine", |_| {
        Box::pin(async move {
            tokio::spawn(driven.drive());
        })
    });
    let asked = routes![chat, resume, cancel, load, cache_events, loaded, order];
    rocket::custom(platform::rocket_config(address))
        .manage(engine)
        .mount("/", asked)
        .mount("/", routes![health, set_behaviour])
        .attach(drive)
}
