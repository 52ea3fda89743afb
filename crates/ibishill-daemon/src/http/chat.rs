//! Chat completions, streamed and whole.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use ibishill_core::{clock, cost, event, id, outcome, repeat};
use ibishill_decide::plan;
use ibishill_state::billing;
use indexmap::IndexMap;
use rocket::{State, post};
use serde::Deserialize;
use serde_json::value::{RawValue, to_raw_value};

use super::{Shared, auth, reply};
use crate::{context, entry, ledger};

const TOKENS_PER_PRICE: u64 = 1_000;
const PATH: &str = "/v1/chat/completions";

/// The body with every field kept as the caller wrote it.
type Fields = IndexMap<String, Box<RawValue>>;

#[derive(Deserialize)]
struct Known {
    model: String,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
    #[serde(rename = "messages")]
    _messages: Vec<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

struct Body {
    fields: Fields,
    known: Known,
}

fn bad(detail: String) -> outcome::Refusal {
    outcome::Refusal::not_run(outcome::Reason::BadRequest, detail)
}

fn read(bytes: &[u8]) -> Result<Body, outcome::Refusal> {
    let invalid = |error: serde_json::Error| bad(format!("the body is not valid: {error}"));
    let fields = serde_json::from_slice(bytes).map_err(invalid)?;
    let known = serde_json::from_slice(bytes).map_err(invalid)?;
    Ok(Body { fields, known })
}

fn wanted(model: &str) -> Result<plan::Wanted, outcome::Refusal> {
    let invalid = |error: id::NameError| bad(format!("model: {error}"));
    if model == "auto" {
        return Ok(plan::Wanted::Auto);
    }
    if model.contains('@') {
        return model.parse().map(plan::Wanted::Version).map_err(invalid);
    }
    model.parse().map(plan::Wanted::Model).map_err(invalid)
}

// The engine gets the version's full name and is asked for the usage of a stream.
fn engine_body(body: &Body, target: &id::Target) -> Bytes {
    let mut fields = body.fields.clone();
    let raw = |value: &serde_json::Value| to_raw_value(value).expect("a JSON value encodes");
    fields.insert("model".into(), raw(&target.to_string().into()));
    if body.known.stream {
        fields.insert("stream_options".into(), raw(&serde_json::json!({"include_usage": true})));
    }
    Bytes::from(serde_json::to_vec(&fields).expect("raw values encode"))
}

/// Answers a chat request.
#[post("/v1/chat/completions", data = "<data>")]
pub(crate) async fn completions(
    context: &State<Shared>,
    caller: auth::Caller,
    data: Vec<u8>,
) -> Result<reply::Reply, reply::Refused> {
    let refuse = |refusal: outcome::Refusal| {
        reply::Refused::new(context, &caller.request, Some(caller.workspace.clone()), refusal)
    };
    let body = read(&data).map_err(refuse)?;
    let wanted = wanted(&body.known.model).map_err(refuse)?;
    let run = Run::begin(context, &caller).map_err(refuse)?;
    let asked = entry::Asked {
        request: caller.request.clone(),
        workspace: caller.workspace.clone(),
        wanted,
        session: caller.session.clone(),
        left: caller.left,
        repeat: repeat::Repeat::Safe,
        method: "POST".into(),
        path: PATH.into(),
        content: "application/json".into(),
        stream: body.known.stream,
        show_usage: body.known.stream_options.as_ref().is_some_and(|o| o.include_usage),
    };
    let started = entry::start(context, &asked, |target| engine_body(&body, target)).await;
    let answer =
        started.map_err(|given_up| refuse(given_up.refusal).attempts(given_up.attempts))?;
    context.metrics.first_byte(reply::seconds_since(caller.arrived));
    if body.known.stream && answer.head.status == 200 {
        return Ok(stream(run, answer));
    }
    whole(run, answer).await.map_err(refuse)
}

/// A running request: its slots are given back when it ends.
pub(crate) struct Run {
    context: Shared,
    caller: auth::Caller,
    slot: Option<ledger::Slot>,
    _running: context::Running,
}

impl Run {
    /// Reserves what a request needs before it runs.
    ///
    /// # Errors
    ///
    /// Refuses if the daemon is stopping, not ready or full.
    pub(crate) fn begin(context: &Shared, caller: &auth::Caller) -> Result<Self, outcome::Refusal> {
        let most = context.settings.limits.streams;
        let running = context.life.start(most).ok_or_else(|| {
            let detail = "the daemon runs as many requests as it may";
            outcome::Refusal::not_run(outcome::Reason::Overloaded, detail)
                .retry_after(ibishill_core::time::Millis::from_secs(1))
        })?;
        if context.life.closed() {
            let detail = "the daemon is stopping; another one will answer";
            return Err(outcome::Refusal::not_run(outcome::Reason::Stopping, detail));
        }
        let slot = context.ledger.reserve()?;
        Ok(Self {
            context: Arc::clone(context),
            caller: caller.clone(),
            slot: Some(slot),
            _running: running,
        })
    }

    /// Bills a request that ran.
    pub(crate) fn ran(&mut self, target: &id::Target, usage: cost::Usage) {
        self.context.metrics.ended(outcome::Outcome::Ran, None);
        let record = billing::Record {
            request: self.caller.request.clone(),
            workspace: self.caller.workspace.clone(),
            target: target.to_string(),
            usage,
            price: price(&self.context, target, usage),
            at: clock::wall_now(),
        };
        if let Some(slot) = self.slot.take() {
            slot.bill(record);
        }
    }

    /// Counts a request whose answer was cut.
    pub(crate) fn cut(&self, refusal: &outcome::Refusal) {
        let fields =
            [event::field("request", &self.caller.request), event::field("refusal", refusal)];
        event::emit(event::Event::RequestUnknown, &fields);
        self.context.metrics.ended(refusal.outcome, Some(refusal.reason));
        self.context.ledger.refused(Some(self.caller.workspace.clone()), refusal.reason);
    }

    /// What the answer's headers tell.
    pub(crate) fn facts(&self, answer: &entry::Answer) -> reply::Facts {
        reply::Facts {
            request: self.caller.request.clone(),
            target: answer.target.clone(),
            zone: answer.head.zone.clone(),
            attempts: answer.attempts,
            status: answer.head.status,
            content: answer.head.content.clone(),
        }
    }
}

fn price(context: &context::Context, target: &id::Target, usage: cost::Usage) -> cost::Micros {
    let config = context.cell.get();
    let id::Target::Version(version) = target else { return cost::Micros::default() };
    let Some(version) = config.declared.versions.get(version) else {
        return cost::Micros::default();
    };
    let prompt = version.prompt_price.0 * usage.prompt;
    let output = version.output_price.0 * usage.output;
    cost::Micros((prompt + output).div_ceil(TOKENS_PER_PRICE))
}

async fn whole(mut run: Run, mut answer: entry::Answer) -> Result<reply::Reply, outcome::Refusal> {
    let facts = run.facts(&answer);
    let mut body = Vec::new();
    loop {
        match answer.next().await {
            entry::Next::Chunk(chunk) => body.extend_from_slice(&chunk),
            entry::Next::End(usage) => {
                run.ran(&facts.target, usage);
                return Ok(reply::Reply::Whole(facts, Bytes::from(body)));
            }
            entry::Next::Failed(refusal) => return Err(refusal),
        }
    }
}

// A cut stream ends with an error event and without the end marker.
fn stream(mut run: Run, mut answer: entry::Answer) -> reply::Reply {
    let facts = run.facts(&answer);
    let target = facts.target.clone();
    let chunks = rocket::async_stream::stream! {
        loop {
            match answer.next().await {
                entry::Next::Chunk(chunk) => yield chunk,
                entry::Next::End(usage) => {
                    run.ran(&target, usage);
                    return;
                }
                entry::Next::Failed(refusal) => {
                    run.cut(&refusal);
                    let problem = reply::problem(&run.caller.request, &refusal);
                    yield Bytes::from(format!("event: error\ndata: {problem}\n\n"));
                    return;
                }
            }
        }
    };
    reply::Reply::Stream(facts, chunks.boxed())
}
