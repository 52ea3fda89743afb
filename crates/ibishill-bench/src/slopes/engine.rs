//! A stub engine that serves any number of streams at a fixed pace, so that measurements show
//! the cost of the router and not of the engine.

use std::net::SocketAddr;
use std::time::Duration;

use futures::stream::BoxStream;
use ibishill_standin::platform;
use rocket::request::{self, FromRequest, Request};
use rocket::response::stream::{Event, EventStream};
use rocket::serde::json::json;
use rocket::{State, post, routes};

/// Timing and length of each response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Tokens of each response.
    pub token_count: u64,
}

struct RequestId(String);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestId {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> request::Outcome<Self, ()> {
        let id = request.headers().get_one("x-request-id").unwrap_or_default();
        request::Outcome::Success(Self(id.to_owned()))
    }
}

#[post("/v1/chat/completions")]
fn chat(pace: &State<Pace>, id: RequestId) -> EventStream<BoxStream<'static, Event>> {
    let (pace, RequestId(id)) = (**pace, id);
    let events = rocket::async_stream::stream! {
        tokio::time::sleep(pace.first_token).await;
        for n in 0..pace.token_count {
            if n > 0 {
                tokio::time::sleep(pace.token_interval).await;
            }
            let delta = json!({"content": "word "});
            let choice = json!({"index": 0, "delta": delta, "finish_reason": null});
            yield Event::json(&json!({
                "id": id, "object": "chat.completion.chunk", "created": 0, "model": "near@v1",
                "choices": [choice],
            }));
        }
        let usage = json!({"prompt_tokens": 2, "completion_tokens": pace.token_count});
        yield Event::json(&json!({"id": id, "choices": [], "usage": usage}));
        yield Event::data("[DONE]");
    };
    EventStream::from(futures::StreamExt::boxed(events)).heartbeat(None)
}

/// Builds the HTTP server of an engine at `address`.
pub fn server(pace: Pace, address: SocketAddr) -> rocket::Rocket<rocket::Build> {
    let settings = platform::rocket_config(address).merge(("limits.bytes", "1MiB"));
    rocket::custom(settings).manage(pace).mount("/", routes![chat])
}
