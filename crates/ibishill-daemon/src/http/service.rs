//! Plain services by path, with any method.

use bytes::Bytes;
use futures::StreamExt;
use ibishill_core::{id, outcome};
use ibishill_decide::plan;
use rocket::data::{Data, ToByteUnit};
use rocket::http::Method;
use rocket::request::FromRequest;
use rocket::response::Responder;
use rocket::route::{self, Route};
use rocket::{Request, request};

use super::chat::Run;
use super::{Shared, auth, reply};
use crate::entry;

const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Patch,
];

/// The routes of all methods.
pub(crate) fn routes() -> Vec<Route> {
    METHODS.into_iter().map(|method| Route::new(method, "/<service>/<path..>", answer)).collect()
}

fn answer<'r>(request: &'r Request<'_>, data: Data<'r>) -> route::BoxFuture<'r> {
    Box::pin(async move {
        let caller = match auth::Caller::from_request(request).await {
            request::Outcome::Success(caller) => caller,
            request::Outcome::Error((status, ())) => return route::Outcome::Error(status),
            request::Outcome::Forward(status) => return route::Outcome::Forward((data, status)),
        };
        let context = request.rocket().state::<Shared>().expect("the server manages its context");
        let answered = call(context, &caller, request, data).await;
        let response = match answered {
            Ok(answer) => answer.respond_to(request),
            Err((refusal, attempts)) => {
                let workspace = Some(caller.workspace.clone());
                let refused = reply::Refused::new(context, &caller.request, workspace, refusal);
                refused.attempts(attempts).respond_to(request)
            }
        };
        match response {
            Ok(response) => route::Outcome::Success(response),
            Err(status) => route::Outcome::Error(status),
        }
    })
}

async fn call(
    context: &Shared,
    caller: &auth::Caller,
    request: &Request<'_>,
    data: Data<'_>,
) -> Result<reply::Reply, (outcome::Refusal, u32)> {
    let body = read_body(context, data).await.map_err(|refusal| (refusal, 0))?;
    let asked = asked(context, caller, request).map_err(|refusal| (refusal, 0))?;
    let run = Run::begin(context, caller).map_err(|refusal| (refusal, 0))?;
    let started = entry::start(context, &asked, |_| body.clone()).await;
    let answer = started.map_err(|given_up| (given_up.refusal, given_up.attempts))?;
    Ok(stream(run, answer))
}

async fn read_body(context: &Shared, data: Data<'_>) -> Result<Bytes, outcome::Refusal> {
    let limit = context.settings.limits.body;
    let read = data.open(limit.bytes()).into_bytes().await;
    let read = read.map_err(|error| {
        let detail = format!("the body can't be read: {error}");
        outcome::Refusal::not_run(outcome::Reason::BadRequest, detail)
    })?;
    if !read.is_complete() {
        let detail = format!("a body may have at most {limit} bytes");
        return Err(outcome::Refusal::not_run(outcome::Reason::TooLarge, detail));
    }
    Ok(Bytes::from(read.into_inner()))
}

fn asked(
    context: &Shared,
    caller: &auth::Caller,
    request: &Request<'_>,
) -> Result<entry::Asked, outcome::Refusal> {
    let origin = request.uri();
    let rest = origin.path().as_str().strip_prefix("/svc/").unwrap_or_default();
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let service: id::ServiceId = name.parse().map_err(|error: id::NameError| {
        outcome::Refusal::not_run(outcome::Reason::NotFound, error.to_string())
    })?;
    let config = context.cell.get();
    let Some(declared) = config.declared.services.get(&service) else {
        let detail = format!("service {service} is not declared");
        return Err(outcome::Refusal::not_run(outcome::Reason::NotFound, detail));
    };
    let path = format!("/{rest}");
    let repeat = declared.repeat(request.method().as_str(), &path);
    let query = origin.query().map(|query| format!("?{query}")).unwrap_or_default();
    let content = request.content_type().map(ToString::to_string);
    Ok(entry::Asked {
        request: caller.request.clone(),
        workspace: caller.workspace.clone(),
        wanted: plan::Wanted::Service(service),
        session: caller.session.clone(),
        left: caller.left,
        repeat,
        method: request.method().to_string(),
        path: format!("{path}{query}"),
        content: content.unwrap_or_else(|| "application/octet-stream".into()),
        stream: true,
        show_usage: false,
    })
}

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
                    return;
                }
            }
        }
    };
    reply::Reply::Stream(facts, chunks.boxed())
}
