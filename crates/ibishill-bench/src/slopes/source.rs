//! An engine without a cost model: it answers any number of streams at a fixed pace,
//! so that what is measured is the router and not the engine.

use std::net::SocketAddr;
use std::time::Duration;

use futures::stream::BoxStream;
use ibishill_standin::platform;
use rocket::request::{self, FromRequest, Request};
use rocket::response::stream::{Event, EventStream};
use rocket::serde::json::json;
use rocket::{State, post, routes};

/// The pace of a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Time to the first token.
    pub first: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// Tokens of each answer.
    pub tokens: u64,
}

struct RequestName(String);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestName {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> request::Outcome<Self, ()> {
        let name = request.headers().get_one("x-request-id").unwrap_or_default();
        request::Outcome::Success(Self(name.to_owned()))
    }
}

#[post("/v1/chat/completions")]
fn chat(pace: &State<Pace>, name: RequestName) -> EventStream<BoxStream<'static, Event>> {
    let (pace, RequestName(name)) = (**pace, name);
    let events = rocket::async_stream::stream! {
        tokio::time::sleep(pace.first).await;
        for n in 0..pace.tokens {
            if n > 0 {
                tokio::time::sleep(pace.token).await;
            }
            let delta = json!({"content": "word "});
            let choice = json!({"index": 0, "delta": delta, "finish_reason": null});
            yield Event::json(&json!({
                "id": name, "object": "chat.completion.chunk", "created": 0, "model": "near@v1",
                "choices": [choice],
            }));
        }
        let usage = json!({"prompt_tokens": 2, "completion_tokens": pace.tokens});
        yield Event::json(&json!({"id": name, "choices": [], "usage": usage}));
        yield Event::data("[DONE]");
    };
    EventStream::from(futures::StreamExt::boxed(events)).heartbeat(None)
}

/// Builds the HTTP server of a source at `address`.
pub fn server(pace: Pace, address: SocketAddr) -> rocket::Rocket<rocket::Build> {
    let settings = platform::rocket_config(address).merge(("limits.bytes", "1MiB"));
    rocket::custom(settings).manage(pace).mount("/", routes![chat])
}
