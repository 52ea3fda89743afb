//! Chat completions, streamed and whole.

use bytes::Bytes;
use ibishill_core::{id, outcome, repeat};
use ibishill_decide::plan;
use indexmap::IndexMap;
use rocket::data::Data;
use rocket::{State, post};
use serde::Deserialize;
use serde_json::value::{RawValue, to_raw_value};

use super::{Shared, auth, body, reply, run, stream};
use crate::entry;

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
    data: Data<'_>,
) -> Result<reply::Reply, reply::Refused> {
    let refuse = |refusal| caller.refused(context, refusal);
    let mut run = run::Run::begin(context, &caller).map_err(refuse)?;
    let asked = ask(context, &caller, data).await;
    let (body, asked) = asked.map_err(|refusal| run.refused(refusal, 0))?;
    let started = entry::start(context, &asked, |target| engine_body(&body, target)).await;
    let mut answer =
        started.map_err(|given_up| run.refused(given_up.refusal, given_up.attempts))?;
    run.answered();
    let facts = run.facts(&answer);
    if asked.stream && answer.head.status == 200 {
        let chunks = stream::pass(run, answer, stream::Cut::Event);
        return Ok(reply::Reply::Stream(facts, chunks));
    }
    match stream::collect(&mut run, &mut answer).await {
        Ok(body) => Ok(reply::Reply::Whole(facts, reply::Held::new(body, run))),
        Err(refusal) => Err(run.refused(refusal, answer.attempts)),
    }
}

async fn ask(
    context: &Shared,
    caller: &auth::Caller,
    data: Data<'_>,
) -> Result<(Body, entry::Asked), outcome::Refusal> {
    let bytes = body::read(context, caller, data).await?;
    let body = read(&bytes)?;
    let wanted = wanted(&body.known.model)?;
    let options = body.known.stream_options.as_ref();
    let asked = entry::Asked {
        request: caller.request.clone(),
        workspace: caller.workspace.clone(),
        wanted,
        session: caller.session.clone(),
        left: caller.left()?,
        repeat: repeat::Repeat::Safe,
        method: "POST".into(),
        path: PATH.into(),
        content: "application/json".into(),
        headers: Vec::new(),
        key: caller.key.clone(),
        priority: caller.priority,
        stream: body.known.stream,
        show_usage: options.is_some_and(|options| options.include_usage),
    };
    Ok((body, asked))
}
