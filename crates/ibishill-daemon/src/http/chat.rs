//! Chat completions, streamed and whole.

use bytes::Bytes;
use ibishill_core::{id, outcome, repeat};
use rocket::data::Data;
use rocket::{State, post};

use super::{Shared, auth, body, chat_request, reply, run, stream};
use crate::entry::{self, cascade};

const PATH: &str = "/v1/chat/completions";

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
    let (body, bytes, mut asked) = asked.map_err(|refusal| run.refused(refusal, 0))?;
    if let Err(stop) = run.claim(&asked, &bytes).await {
        return run.stop(stop);
    }
    asked.remaining = caller.left().map_err(|refusal| run.refused(refusal, 0))?;
    run.wants(&asked.selector);
    let engine = |target: &id::Target| body.for_engine(target);
    if !asked.stream {
        let whole = cascade::buffered(context, &asked, body.messages(), engine).await;
        let whole = whole.map_err(|given_up| run.refused(given_up.refusal, given_up.attempts))?;
        return Ok(give(run, whole));
    }
    let started = cascade::stream(context, &asked, body.messages(), engine).await;
    let (mut answer, listener) =
        started.map_err(|given_up| run.refused(given_up.refusal, given_up.attempts))?;
    run.answered(&answer.head, &answer.target);
    let facts = run.facts(&answer.head, &answer.target, answer.attempts);
    if answer.head.status == 200 {
        let chunks = stream::pass(run, answer, stream::Cut::Event, Some(listener));
        return Ok(reply::Reply::Stream(facts, chunks));
    }
    match stream::collect(&mut run, &mut answer).await {
        Ok(body) => Ok(reply::Reply::Whole(facts, reply::Held::new(body, run))),
        Err(refusal) => Err(run.refused(refusal, answer.attempts)),
    }
}

fn give(mut run: run::Run, whole: cascade::Buffered) -> reply::Reply {
    run.answered(&whole.head, &whole.target);
    run.heard(&whole.body);
    let facts = run.facts(&whole.head, &whole.target, whole.attempts);
    run.spent(whole.earlier);
    run.ran(&whole.target, whole.usage);
    reply::Reply::Whole(facts, reply::Held::new(whole.body, run))
}

async fn ask(
    context: &Shared,
    caller: &auth::Caller,
    data: Data<'_>,
) -> Result<(chat_request::Body, Bytes, entry::Request), outcome::Refusal> {
    let bytes = body::read(context, caller, data).await?;
    let body = chat_request::Body::parse(&bytes)?;
    let wanted = chat_request::parse_selector(&body.known.model)?;
    let options = body.known.stream_options.as_ref();
    let asked = entry::Request {
        request: caller.request.clone(),
        workspace: caller.workspace.clone(),
        selector: wanted,
        session: caller.session.clone(),
        pinned: caller.pinned.clone(),
        remaining: caller.left()?,
        repeat: repeat::Repeat::Safe,
        method: "POST".into(),
        path: PATH.into(),
        content_type: "application/json".into(),
        headers: Vec::new(),
        key: caller.key.clone(),
        priority: caller.priority,
        stream: body.known.stream,
        show_usage: options.is_some_and(|options| options.include_usage),
    };
    Ok((body, bytes, asked))
}
