//! Chat completions, streamed and whole.

use ibishill_core::{outcome, repeat};
use rocket::data::Data;
use rocket::{State, post};

use super::{Shared, auth, body, form, reply, run, stream};
use crate::entry;

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
    let (body, asked) = asked.map_err(|refusal| run.refused(refusal, 0))?;
    let started = entry::start(context, &asked, |target| body.for_engine(target)).await;
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
) -> Result<(form::Body, entry::Asked), outcome::Refusal> {
    let bytes = body::read(context, caller, data).await?;
    let body = form::Body::read(&bytes)?;
    let wanted = form::wanted(&body.known.model)?;
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
