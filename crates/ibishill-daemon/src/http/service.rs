//! Requests to plain services under `/svc/SERVICE/PATH`, with any method.

use futures::StreamExt;
use ibishill_core::{header, id, outcome};
use ibishill_decide::plan;
use rocket::data::Data;
use rocket::http::Method;
use rocket::request::FromRequest;
use rocket::response::Responder;
use rocket::route::{self, Route};
use rocket::{Request, request};

use super::{Shared, active, auth, body, reply, stream};
use crate::entry;

/// Statuses of answers without a body: 204 No Content and 304 Not Modified.
const BODYLESS_STATUSES: [u16; 2] = [204, 304];

const EVENT_STREAM: &str = "text/event-stream";

const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Patch,
];

/// One route for each method.
pub(crate) fn routes() -> Vec<Route> {
    METHODS.into_iter().map(|method| Route::new(method, "/<service>/<path..>", handle)).collect()
}

fn handle<'r>(request: &'r Request<'_>, data: Data<'r>) -> route::BoxFuture<'r> {
    Box::pin(async move {
        let caller = match auth::Caller::from_request(request).await {
            request::Outcome::Success(caller) => caller,
            request::Outcome::Error((status, ())) => return route::Outcome::Error(status),
            request::Outcome::Forward(status) => return route::Outcome::Forward((data, status)),
        };
        let context = request.rocket().state::<Shared>().expect("the server manages its context");
        let result = dispatch(context, &caller, request, data).await;
        let response = match result {
            Ok(answer) => answer.respond_to(request),
            Err(refused) => refused.respond_to(request),
        };
        match response {
            Ok(response) => route::Outcome::Success(response),
            Err(status) => route::Outcome::Error(status),
        }
    })
}

async fn dispatch(
    context: &Shared,
    caller: &auth::Caller,
    request: &Request<'_>,
    data: Data<'_>,
) -> Result<reply::Reply, reply::Refused> {
    let begun = active::Request::begin(context, caller);
    let mut active = begun.map_err(|refusal| caller.refuse(context, refusal))?;
    let entry_request =
        parse_request(context, caller, request).map_err(|refusal| active.refuse(refusal, 0))?;
    let read = body::read(context, caller, data).await;
    let body = read.map_err(|refusal| active.refuse(refusal, 0))?;
    if let Err(reason) = active.claim(&entry_request, &body).await {
        return active.reject(reason);
    }
    let remaining = caller.remaining().map_err(|refusal| active.refuse(refusal, 0))?;
    let entry_request = entry::Request { remaining, ..entry_request };
    let started = entry::start(context, &entry_request, |_| body.clone()).await;
    let answer = started.map_err(|failure| active.refuse(failure.refusal, failure.attempts))?;
    active.record_head(&answer.head, &answer.target);
    forward(request.method(), active, answer).await
}

// An answer of unknown length is buffered, except for event streams: the HTTP server would end a
// truncated response in the same way as a complete one.
async fn forward(
    method: Method,
    mut active: active::Request,
    mut answer: entry::Answer,
) -> Result<reply::Reply, reply::Refused> {
    let mut metadata = active.metadata(&answer.head, &answer.target, answer.attempts);
    let is_bodyless = method == Method::Head || BODYLESS_STATUSES.contains(&metadata.status);
    if !is_bodyless && metadata.content_type.starts_with(EVENT_STREAM) {
        let chunks = stream::forward(active, answer, stream::Truncation::ErrorEvent, None);
        return Ok(reply::Reply::Stream(metadata, chunks));
    }
    metadata.content_length = answer.head.length.filter(|length| *length > 0);
    if !is_bodyless && metadata.content_length.is_some() {
        let chunks = stream::forward(active, answer, stream::Truncation::ShortBody, None);
        return Ok(reply::Reply::Stream(metadata, chunks));
    }
    match stream::collect(&mut active, &mut answer).await {
        Ok(_) if metadata.content_length.is_some() => {
            Ok(reply::Reply::Stream(metadata, futures::stream::empty().boxed()))
        }
        Ok(body) => Ok(reply::Reply::Buffered(metadata, reply::Body::new(body, active))),
        Err(refusal) => Err(active.refuse(refusal, answer.attempts)),
    }
}

fn parse_request(
    context: &Shared,
    caller: &auth::Caller,
    request: &Request<'_>,
) -> Result<entry::Request, outcome::Refusal> {
    let uri = request.uri();
    let rest = uri.path().as_str().strip_prefix("/svc/").unwrap_or_default();
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
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let content = request.content_type().map(ToString::to_string);
    Ok(entry::Request {
        request: caller.request.clone(),
        workspace: caller.workspace.clone(),
        selector: plan::Selector::Service(service),
        session: caller.session.clone(),
        pinned: None,
        remaining: caller.remaining()?,
        repeat,
        method: request.method().to_string(),
        path: format!("{path}{query}"),
        content_type: content.unwrap_or_else(|| "application/octet-stream".into()),
        headers: forwarded_headers(request),
        key: caller.key.clone(),
        priority: caller.priority,
        stream: true,
        show_usage: false,
    })
}

// The endpoint must get the path for which the retry rule was looked up. HTTP clients resolve
// dot segments, which would change the path.
fn check_path(path: &str) -> Result<(), outcome::Refusal> {
    let is_dots = |segment: &str| {
        let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
        decoded == "." || decoded == ".."
    };
    if path.contains('\\') || path.split('/').any(is_dots) {
        let detail = "a path may not hold dot segments or backslashes";
        return Err(outcome::Refusal::not_run(outcome::Reason::BadRequest, detail));
    }
    Ok(())
}

fn forwarded_headers(request: &Request<'_>) -> Vec<header::Header> {
    let all = request.headers().iter();
    let forwarded = all.filter(|header| header::is_forwarded(header.name.as_str()));
    forwarded.map(|header| header::Header::new(header.name.as_str(), header.value)).collect()
}
