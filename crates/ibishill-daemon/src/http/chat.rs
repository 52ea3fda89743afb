//! Chat completions, streamed and buffered.

use ibishill_core::{id, outcome, repeat};
use rocket::data::Data;
use rocket::{State, post};

use super::{Shared, active, auth, body, chat_request, reply, stream};
use crate::entry::{self, cascade};

const PATH: &str = "/v1/chat/completions";

/// Answers a chat request.
#[post("/v1/chat/completions", data = "<data>")]
pub(crate) async fn completions(
    context: &State<Shared>,
    caller: auth::Caller,
    data: Data<'_>,
) -> Result<reply::Reply, reply::Refused> {
    let refuse = |refusal| caller.refuse(context, refusal);
    let mut active = active::Request::begin(context, &caller).map_err(refuse)?;
    let bytes = body::read(context, &caller, data).await;
    let bytes = bytes.map_err(|refusal| active.refuse(refusal, 0))?;
    let body = chat_request::Body::parse(&bytes).map_err(|refusal| active.refuse(refusal, 0))?;
    let mut request = entry_request(&caller, &body).map_err(|refusal| active.refuse(refusal, 0))?;
    if let Err(reason) = active.claim(&request, &bytes).await {
        return active.reject(reason);
    }
    request.remaining = caller.remaining().map_err(|refusal| active.refuse(refusal, 0))?;
    active.set_selector(&request.selector);
    let engine = |target: &id::Target| body.for_engine(target);
    if !request.stream {
        let buffered = cascade::buffered(context, &request, body.messages(), engine).await;
        let buffered =
            buffered.map_err(|failure| active.refuse(failure.refusal, failure.attempts))?;
        return Ok(buffered_reply(active, buffered));
    }
    let started = cascade::stream(context, &request, body.messages(), engine).await;
    let (mut answer, recorder) =
        started.map_err(|failure| active.refuse(failure.refusal, failure.attempts))?;
    active.record_head(&answer.head, &answer.target);
    let metadata = active.metadata(&answer.head, &answer.target, answer.attempts);
    if answer.head.status == 200 {
        let chunks =
            stream::forward(active, answer, stream::Truncation::ErrorEvent, Some(recorder));
        return Ok(reply::Reply::Stream(metadata, chunks));
    }
    match stream::collect(&mut active, &mut answer).await {
        Ok(body) => Ok(reply::Reply::Buffered(metadata, reply::Body::new(body, active))),
        Err(refusal) => Err(active.refuse(refusal, answer.attempts)),
    }
}

fn buffered_reply(mut active: active::Request, buffered: cascade::Buffered) -> reply::Reply {
    active.record_head(&buffered.head, &buffered.target);
    active.record_chunk(&buffered.body);
    let metadata = active.metadata(&buffered.head, &buffered.target, buffered.attempts);
    active.set_earlier(buffered.earlier);
    active.complete(&buffered.target, buffered.usage);
    reply::Reply::Buffered(metadata, reply::Body::new(buffered.body, active))
}

fn entry_request(
    caller: &auth::Caller,
    body: &chat_request::Body<'_>,
) -> Result<entry::Request, outcome::Refusal> {
    let selector = chat_request::parse_selector(&body.known.model)?;
    let options = body.known.stream_options.as_ref();
    Ok(entry::Request {
        request: caller.request.clone(),
        workspace: caller.workspace.clone(),
        selector,
        session: caller.session.clone(),
        pinned: caller.pinned.clone(),
        remaining: caller.remaining()?,
        repeat: repeat::Repeat::Safe,
        method: "POST".into(),
        path: PATH.into(),
        content_type: "application/json".into(),
        headers: Vec::new(),
        key: caller.key.clone(),
        priority: caller.priority,
        stream: body.known.stream,
        show_usage: options.is_some_and(|options| options.include_usage),
    })
}
