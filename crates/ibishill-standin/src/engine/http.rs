//! HTTP interface of the engine, as described in docs/ENGINE.md.

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

struct ChatHeaders {
    request: id::RequestId,
    priority: priority::Priority,
    is_resumable: bool,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for ChatHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> request::Outcome<Self, ()> {
        let header = |name: &str| request.headers().get_one(name);
        let id = header(REQUEST_ID).and_then(|id| id.parse().ok());
        let Some(id) = id else { return request::Outcome::Error((Status::BadRequest, ())) };
        let priority = header("x-ibishill-priority").and_then(|text| text.parse().ok());
        request::Outcome::Success(Self {
            request: id,
            priority: priority.unwrap_or_default(),
            is_resumable: header("x-ibishill-resumable") == Some("true"),
        })
    }
}

// Cancels the request when its connection closes, unless the caller may resume it.
struct CancelOnDrop {
    engine: Engine,
    request: id::RequestId,
    is_resumable: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.is_resumable {
            self.engine.cancel(&self.request);
        }
    }
}

enum Reply {
    Completion(Json<Value>, String),
    Stream(EventStream<BoxStream<'static, Event>>, String),
    Error(Status, String),
}

impl<'r> Responder<'r, 'r> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let (mut response, id) = match self {
            Self::Completion(body, id) => (body.respond_to(request)?, id),
            Self::Stream(events, id) => (events.respond_to(request)?, id),
            Self::Error(status, id) => {
                let body = Json(json!({"error": {"message": status.reason_lossy()}}));
                let mut response = body.respond_to(request)?;
                response.set_status(status);
                (response, id)
            }
        };
        if !id.is_empty() {
            response.set_header(Header::new(REQUEST_ID, id));
        }
        Ok(response)
    }
}

struct Generation {
    behaviour: behaviour::Behaviour,
    id: String,
    model: String,
    prompt_tokens: u64,
    progress: watch::Receiver<Progress>,
    guard: CancelOnDrop,
}

fn response_id(
    behaviour: &behaviour::Behaviour,
    request: &id::RequestId,
    previous: Option<id::RequestId>,
) -> String {
    match previous {
        _ if behaviour.unmarked => String::new(),
        _ if behaviour.crossed => format!("{request}-other"),
        Some(previous) if behaviour.late => previous.to_string(),
        _ => request.to_string(),
    }
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat(engine: &State<Engine>, headers: ChatHeaders, body: Json<Value>) -> Reply {
    let behaviour = engine.behaviour();
    let previous = engine.record_request(&headers.request);
    let id = response_id(&behaviour, &headers.request, previous);
    if behaviour.fail {
        return Reply::Error(Status::InternalServerError, id);
    }
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    if !engine.accepts_version(&model) {
        return Reply::Error(Status::NotFound, id);
    }
    let (prompt_tokens, blocks) = text::tokenize(&body);
    let output_tokens = body["max_tokens"].as_u64().unwrap_or(u64::MAX).min(behaviour.tokens);
    let job = simulation::Job {
        request: headers.request.clone(),
        prompt_tokens,
        blocks,
        output_tokens,
        priority: headers.priority,
    };
    let guard = CancelOnDrop {
        engine: engine.inner().clone(),
        request: headers.request,
        is_resumable: headers.is_resumable,
    };
    let progress = match engine.submit(job) {
        Ok(progress) => progress,
        Err(simulation::SubmitError::QueueFull) => {
            return Reply::Error(Status::TooManyRequests, id);
        }
        Err(simulation::SubmitError::Down) => {
            return Reply::Error(Status::ServiceUnavailable, id);
        }
    };
    let generation = Generation { behaviour, id, model, prompt_tokens, progress, guard };
    if body["stream"].as_bool().unwrap_or(false) {
        return stream(generation, 0).await;
    }
    completion(generation).await
}

async fn completion(mut generation: Generation) -> Reply {
    let is_finished = |progress: &Progress| !matches!(progress, Progress::Running(_));
    let outcome = generation.progress.wait_for(is_finished).await.map(|progress| *progress);
    let id = generation.id;
    let Ok(Progress::Done(tokens)) = outcome else {
        return Reply::Error(Status::ServiceUnavailable, id);
    };
    let token = |n| text::token(&generation.behaviour, &generation.model, n);
    let answer: String = (0..tokens).map(token).collect();
    let usage = text::usage(generation.prompt_tokens, tokens);
    Reply::Completion(Json(text::completion(&id, &generation.model, &answer, &usage)), id)
}

// Responds once the first token is ready or the generation has ended.
async fn stream(mut generation: Generation, from: u64) -> Reply {
    let has_begun = |progress: &Progress| *progress != Progress::Running(0);
    drop(generation.progress.wait_for(has_begun).await);
    let id = generation.id.clone();
    let events = rocket::async_stream::stream! {
        let Generation { behaviour, id, model, prompt_tokens, mut progress, guard } = generation;
        let _guard = guard;
        let mut sent = from;
        loop {
            let current = *progress.borrow_and_update();
            let (Progress::Running(ready) | Progress::Done(ready)) = current else { return };
            while sent < ready {
                if behaviour.cut_after > 0 && sent >= behaviour.cut_after {
                    return;
                }
                if behaviour.hang_after > 0 && sent >= behaviour.hang_after {
                    futures::future::pending::<()>().await;
                }
                let delta = json!({"content": text::token(&behaviour, &model, sent)});
                yield Event::json(&text::chunk(&id, &model, &delta, None));
                sent += 1;
            }
            if let Progress::Done(tokens) = current {
                yield Event::json(&text::chunk(&id, &model, &json!({}), Some("stop")));
                let usage = text::usage(prompt_tokens, tokens);
                yield Event::json(&text::usage_chunk(&id, &model, &usage));
                yield Event::data("[DONE]");
                return;
            }
            if progress.changed().await.is_err() {
                return;
            }
        }
    };
    Reply::Stream(EventStream::from(events.boxed()).heartbeat(None), id)
}

#[get("/v1/requests/<request>/events?<from>&<model>")]
async fn resume(engine: &State<Engine>, request: &str, from: u64, model: &str) -> Reply {
    let parsed = request.parse::<id::RequestId>().ok();
    let subscription = parsed.and_then(|id| Some((engine.subscribe(&id)?, id)));
    let Some((progress, id)) = subscription else {
        return Reply::Error(Status::NotFound, request.to_owned());
    };
    let behaviour = behaviour::Behaviour { cut_after: 0, hang_after: 0, ..engine.behaviour() };
    let guard = CancelOnDrop { engine: engine.inner().clone(), request: id, is_resumable: true };
    let (id, model) = (request.to_owned(), model.to_owned());
    stream(Generation { behaviour, id, model, prompt_tokens: 0, progress, guard }, from).await
}

#[post("/v1/requests/<request>/cancel")]
fn cancel(engine: &State<Engine>, request: &str) -> Json<bool> {
    Json(request.parse().is_ok_and(|request| engine.cancel(&request)))
}

#[get("/v1/load")]
fn load(engine: &State<Engine>) -> Json<wire::Report> {
    Json(engine.load_report())
}

#[get("/v1/cache/events")]
fn cache_events(engine: &State<Engine>) -> Json<Vec<wire::CacheEvent>> {
    Json(engine.take_cache_events())
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
    engine.apply_order(&order).map_err(|refused| (Status::Conflict, Json(refused)))
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

/// Builds an engine's HTTP server, listening on `address`.
pub(crate) fn server(engine: Engine, address: SocketAddr) -> rocket::Rocket<rocket::Build> {
    let background = engine.clone();
    let start = AdHoc::on_liftoff("engine", |_| {
        Box::pin(async move {
            tokio::spawn(background.run());
        })
    });
    let api = routes![chat, resume, cancel, load, cache_events, loaded, order];
    rocket::custom(platform::rocket_config(address))
        .manage(engine)
        .mount("/", api)
        .mount("/", routes![health, set_behaviour])
        .attach(start)
}
