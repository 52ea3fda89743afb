//! A model engine's stand-in: it speaks the chat-completions form over HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rocket::http::{Header, Status};
use rocket::request::{self, FromRequest, Request};
use rocket::response::stream::{Event, EventStream};
use rocket::response::{self, Responder};
use rocket::serde::json::{Json, Value, json};
use rocket::{State, get, post, put, routes};

use crate::platform;

/// How the engine behaves.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Behaviour {
    /// Time to the first token, in milliseconds.
    pub first_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Tokens of an answer.
    pub tokens: u64,
    /// Whether answers are of bad quality.
    pub bad: bool,
    /// Whether every request fails with status 500.
    pub fail: bool,
    /// Tokens after which a stream is cut without its end marker; 0 means never.
    pub cut_after: u64,
    /// Whether answers carry another request's id.
    pub crossed: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            first_ms: 20,
            token_ms: 5,
            tokens: 12,
            bad: false,
            fail: false,
            cut_after: 0,
            crossed: false,
        }
    }
}

/// An engine's state; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    behaviour: Arc<Mutex<Behaviour>>,
    running: Arc<AtomicUsize>,
    served: Arc<AtomicU64>,
}

impl Engine {
    /// Makes an engine.
    pub fn new(behaviour: Behaviour) -> Self {
        Self { behaviour: Arc::new(Mutex::new(behaviour)), ..Self::default() }
    }

    /// How the engine behaves now.
    pub fn behaviour(&self) -> Behaviour {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes how the engine behaves.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Requests that have been started since the engine began.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Requests that run now.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    fn start(&self) -> Running {
        self.served.fetch_add(1, Ordering::Relaxed);
        self.running.fetch_add(1, Ordering::Relaxed);
        Running { running: Arc::clone(&self.running) }
    }
}

struct Running {
    running: Arc<AtomicUsize>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

struct RequestName(String);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestName {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> request::Outcome<Self, ()> {
        let name = request.headers().get_one("x-request-id").unwrap_or("none");
        request::Outcome::Success(Self(name.to_owned()))
    }
}

enum Reply {
    Whole(Json<Value>, Header<'static>),
    Stream(EventStream<futures::stream::BoxStream<'static, Event>>, Header<'static>),
    Failed(Status),
}

impl<'r> Responder<'r, 'r> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        match self {
            Self::Whole(body, header) => with_header(body.respond_to(request)?, header),
            Self::Stream(events, header) => with_header(events.respond_to(request)?, header),
            Self::Failed(status) => Err(status),
        }
    }
}

fn with_header<'r>(
    mut response: response::Response<'r>,
    header: Header<'static>,
) -> response::Result<'r> {
    response.set_header(header);
    Ok(response)
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat(engine: &State<Engine>, name: RequestName, body: Json<Value>) -> Reply {
    let behaviour = engine.behaviour();
    let running = engine.start();
    if behaviour.fail {
        return Reply::Failed(Status::InternalServerError);
    }
    let RequestName(name) = name;
    let echoed = if behaviour.crossed { format!("{name}-other") } else { name.clone() };
    let header = Header::new("x-request-id", echoed);
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    let prompt = prompt_tokens(&body);
    tokio::time::sleep(Duration::from_millis(behaviour.first_ms)).await;
    if body["stream"].as_bool().unwrap_or(false) {
        return Reply::Stream(stream(behaviour, name, model, prompt, running), header);
    }
    tokio::time::sleep(Duration::from_millis(behaviour.token_ms * behaviour.tokens)).await;
    let text: String = (0..behaviour.tokens).map(|n| token(&behaviour, &model, n)).collect();
    Reply::Whole(
        Json(json!({
            "id": name,
            "object": "chat.completion",
            "created": 0,
            "model": model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
            "usage": usage(prompt, behaviour.tokens),
        })),
        header,
    )
}

fn stream(
    behaviour: Behaviour,
    name: String,
    model: String,
    prompt: u64,
    running: Running,
) -> EventStream<futures::stream::BoxStream<'static, Event>> {
    let events = rocket::async_stream::stream! {
        let _running = running;
        for n in 0..behaviour.tokens {
            if behaviour.cut_after > 0 && n >= behaviour.cut_after {
                return;
            }
            let delta = json!({"content": token(&behaviour, &model, n)});
            yield Event::json(&chunk(&name, &model, &delta, None));
            tokio::time::sleep(Duration::from_millis(behaviour.token_ms)).await;
        }
        yield Event::json(&chunk(&name, &model, &json!({}), Some("stop")));
        let mut last = chunk(&name, &model, &json!({}), None);
        last["choices"] = json!([]);
        last["usage"] = usage(prompt, behaviour.tokens);
        yield Event::json(&last);
        yield Event::data("[DONE]");
    };
    EventStream::from(futures::StreamExt::boxed(events)).heartbeat(None)
}

fn chunk(name: &str, model: &str, delta: &Value, finish: Option<&str>) -> Value {
    json!({
        "id": name,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    })
}

fn token(behaviour: &Behaviour, model: &str, n: u64) -> String {
    let mark = if behaviour.bad { "(bad) " } else { "" };
    if n == 0 { format!("{mark}Answer of {model}:") } else { format!(" word{n}") }
}

fn usage(prompt: u64, output: u64) -> Value {
    json!({"prompt_tokens": prompt, "completion_tokens": output, "total_tokens": prompt + output})
}

fn prompt_tokens(body: &Value) -> u64 {
    let messages = body["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let texts = messages.iter().filter_map(|message| message["content"].as_str());
    texts.map(|text| text.split_whitespace().count() as u64).sum()
}

#[get("/health")]
fn health() -> &'static str {
    "ok"
}

#[get("/load")]
fn load(engine: &State<Engine>) -> Json<Value> {
    let start = Arc::as_ptr(&engine.served).addr();
    Json(json!({"running": engine.running(), "cold": false, "start": start, "age_ms": 0}))
}

#[put("/behaviour", data = "<behaviour>")]
fn set_behaviour(engine: &State<Engine>, behaviour: Json<Behaviour>) -> Status {
    engine.set_behaviour(behaviour.into_inner());
    Status::NoContent
}

/// Builds the HTTP server of an engine at `address`.
pub fn server(engine: Engine, address: SocketAddr) -> rocket::Rocket<rocket::Build> {
    let settings = platform::settings(address);
    rocket::custom(settings).manage(engine).mount("/", routes![chat, health, load, set_behaviour])
}
