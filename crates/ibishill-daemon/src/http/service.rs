//! Plain services by path, with any method.

use futures::StreamExt;
use ibishill_core::{header, id, outcome};
use ibishill_decide::plan;
use rocket::data::Data;
use rocket::http::Method;
use rocket::request::FromRequest;
use rocket::response::Responder;
use rocket::route::{self, Route};
use rocket::{Request, request};

use super::{Shared, auth, body, reply, run, stream};
use crate::entry;

/// Statuses whose answers have no body.
const NO_BODY: [u16; 2] = [204, 304];

const EVENTS: &str = "text/event-stream";

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
            Err(refused) => refused.respond_to(request),
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
) -> Result<reply::Reply, reply::Refused> {
    let begun = run::Run::begin(context, caller);
    let mut run = begun.map_err(|refusal| caller.refused(context, refusal))?;
    let asked = asked(context, caller, request).map_err(|refusal| run.refused(refusal, 0))?;
    let read = body::read(context, caller, data).await;
    let body = read.map_err(|refusal| run.refused(refusal, 0))?;
    if let Err(stop) = run.claim(&asked, &body).await {
        return run.stop(stop);
    }
    let left = caller.left().map_err(|refusal| run.refused(refusal, 0))?;
    let asked = entry::Request { remaining: left, ..asked };
    let started = entry::start(context, &asked, |_| body.clone()).await;
    let answer = started.map_err(|given_up| run.refused(given_up.refusal, given_up.attempts))?;
    run.answered(&answer.head, &answer.target);
    pass(request.method(), run, answer).await
}

// An answer of unknown length is held until it is whole: HTTP would end a cut one like
// a whole one.
async fn pass(
    method: Method,
    mut run: run::Run,
    mut answer: entry::Answer,
) -> Result<reply::Reply, reply::Refused> {
    let mut facts = run.facts(&answer.head, &answer.target, answer.attempts);
    let is_empty = method == Method::Head || NO_BODY.contains(&facts.status);
    if !is_empty && facts.content.starts_with(EVENTS) {
        let chunks = stream::pass(run, answer, stream::Cut::Event, None);
        return Ok(reply::Reply::Stream(facts, chunks));
    }
    facts.length = answer.head.length.filter(|length| *length > 0);
    if !is_empty && facts.length.is_some() {
        let chunks = stream::pass(run, answer, stream::Cut::Length, None);
        return Ok(reply::Reply::Stream(facts, chunks));
    }
    match stream::collect(&mut run, &mut answer).await {
        Ok(_) if facts.length.is_some() => {
            Ok(reply::Reply::Stream(facts, futures::stream::empty().boxed()))
        }
        Ok(body) => Ok(reply::Reply::Whole(facts, reply::Held::new(body, run))),
        Err(refusal) => Err(run.refused(refusal, answer.attempts)),
    }
}

fn asked(
    context: &Shared,
    caller: &auth::Caller,
    request: &Request<'_>,
) -> Result<entry::Request, outcome::Refusal> {
    let origin = request.uri();
    let rest = origin.path().as_str().strip_prefix("/svc/").unwrap_or_default();
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let service: id::ServiceId = name.parse().map_err(|error: id::NameError| {
        outcome::Refusal::not_run(outcome::Reason::NotFound, error.to_string())
    })?;
    let config = context.config.get();
    let Some(declared) = config.declared.services.get(&service) else {
        let detail = format!("service {service} is not declared");
        return Err(outcome::Refusal::not_run(outcome::Reason::NotFound, detail));
    };
    let path = format!("/{rest}");
    check_path(&path)?;
    let repeat = declared.repeat(request.method().as_str(), &path);
    let query = origin.query().map(|query| format!("?{query}")).unwrap_or_default();
    let content = request.content_type().map(ToString::to_string);
    Ok(entry::Request {
        request: caller.request.clone(),
        workspace: caller.workspace.clone(),
        selector: plan::Selector::Service(service),
        session: caller.session.clone(),
        pinned: None,
        remaining: caller.left()?,
        repeat,
        method: request.method().to_string(),
        path: format!("{path}{query}"),
        content_type: content.unwrap_or_else(|| "application/octet-stream".into()),
        headers: passing(request),
        key: caller.key.clone(),
        priority: caller.priority,
        stream: true,
        show_usage: false,
    })
}

// The endpoint must see the path that the repeat class was looked up for, and its HTTP
// client would resolve dot segments.
fn check_path(path: &str) -> Result<(), outcome::Refusal> {
    let is_dots = |segment: &str| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".."
    };
    if path.contains('\\') || path.split('/').any(is_dots) {
        let detail = "a path may not hold dot segments or backslashes";
        return Err(outcome::Refusal::not_run(outcome::Reason::BadRequest, detail));
    }
    Ok(())
}

fn passing(request: &Request<'_>) -> Vec<header::Header> {
    let all = request.headers().iter();
    let passing = all.filter(|header| header::is_forwarded(header.name.as_str()));
    passing.map(|header| header::Header::new(header.name.as_str(), header.value)).collect()
}
