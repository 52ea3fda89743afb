//! HTTP responses to callers: answers with their metadata as headers, and refusals as problem
//! documents (RFC 9457).

use bytes::Bytes;
use ibishill_core::{event, header, id, outcome, time};
use rocket::http::{ContentType, Header, Status};
use rocket::response::stream::ByteStream;
use rocket::response::{self, Responder};
use rocket::serde::json::json;
use rocket::{Request, Response};

use super::{Shared, active, pin};

const REQUEST_ID: &str = "x-ibishill-request-id";

/// Response to a refused request. Creating one records the refusal in events, metrics and ledger.
#[derive(Debug, Clone)]
pub(crate) struct Refused {
    request: id::RequestId,
    refusal: outcome::Refusal,
    attempts: u32,
}

impl Refused {
    /// Records a refusal and creates its response.
    pub(crate) fn new(
        context: &Shared,
        request: &id::RequestId,
        workspace: Option<id::WorkspaceId>,
        refusal: outcome::Refusal,
    ) -> Self {
        // The detail is left out of the event, as it may quote the caller's input.
        let fields = [event::field("request", request), event::field("reason", &refusal.reason)];
        event::emit(event_of(refusal.outcome), &fields);
        context.metrics.record_end(refusal.outcome, Some(refusal.reason));
        context.ledger.record_refusal(workspace, refusal.reason);
        Self { request: request.clone(), refusal, attempts: 0 }
    }

    /// Sets the number of owners that were tried.
    pub(crate) fn with_attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts;
        self
    }

    pub(crate) fn status(&self) -> Status {
        status(&self.refusal)
    }

    /// The problem document as JSON.
    pub(crate) fn problem_json(&self) -> String {
        problem(&self.request, &self.refusal).to_string()
    }
}

fn event_of(outcome: outcome::Outcome) -> event::Event {
    match outcome {
        outcome::Outcome::Unknown => event::Event::RequestUnknown,
        outcome::Outcome::NotRun | outcome::Outcome::Ran => event::Event::RequestRefused,
    }
}

/// Problem document of a refusal; its `error` member is the one that OpenAI clients read.
fn problem(request: &id::RequestId, refusal: &outcome::Refusal) -> rocket::serde::json::Value {
    let status = status(refusal);
    json!({
        "type": format!("urn:ibishill:refusal:{}", refusal.reason),
        "title": status.reason_lossy(),
        "status": status.code,
        "detail": refusal.detail,
        "instance": format!("urn:ibishill:request:{request}"),
        "outcome": refusal.outcome,
        "error": {
            "message": refusal.detail,
            "type": refusal.reason,
            "code": refusal.reason,
            "param": null,
        },
    })
}

// Clients may retry after the other statuses, so an unknown outcome is never mapped to them.
fn status(refusal: &outcome::Refusal) -> Status {
    match (refusal.outcome, refusal.reason) {
        // A retry with the same idempotency key can't run twice.
        (outcome::Outcome::Unknown, outcome::Reason::InProgress) => Status::Conflict,
        (outcome::Outcome::Unknown, outcome::Reason::Deadline) => Status::GatewayTimeout,
        (outcome::Outcome::Unknown, _) => Status::BadGateway,
        (_, reason) => reason_status(reason),
    }
}

fn reason_status(reason: outcome::Reason) -> Status {
    use outcome::Reason;
    match reason {
        Reason::Unauthorized => Status::Unauthorized,
        Reason::BadRequest => Status::BadRequest,
        Reason::TooLarge => Status::PayloadTooLarge,
        Reason::HeadersTooLarge => Status::RequestHeaderFieldsTooLarge,
        Reason::NotAllowed => Status::Forbidden,
        Reason::NotFound => Status::NotFound,
        Reason::Withdrawn => Status::Gone,
        Reason::InProgress | Reason::AlreadyRan => Status::Conflict,
        Reason::KeyReused => Status::UnprocessableEntity,
        Reason::Overloaded | Reason::RetryBudget => Status::TooManyRequests,
        Reason::Deadline => Status::GatewayTimeout,
        Reason::EndpointFailed | Reason::PeerLost | Reason::CopyUnknown => Status::BadGateway,
        Reason::NoEndpoint | Reason::Stopping | Reason::NotReady | Reason::ClaimUnavailable => {
            Status::ServiceUnavailable
        }
    }
}

impl<'r> Responder<'r, 'static> for Refused {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let body = self.problem_json();
        let mut response = Response::new();
        response.set_status(self.status());
        response.set_header(ContentType::new("application", "problem+json"));
        response.set_header(Header::new(REQUEST_ID, self.request.to_string()));
        response.set_header(Header::new("x-ibishill-outcome", self.refusal.outcome.to_string()));
        response.set_header(Header::new("x-ibishill-attempts", self.attempts.to_string()));
        if let Some(after) = self.refusal.retry_after {
            response.set_header(Header::new("retry-after", after.ceil_secs().to_string()));
        }
        response.set_sized_body(body.len(), std::io::Cursor::new(body));
        Ok(response)
    }
}

/// Responds to requests that no route has handled, and to those that a request guard has refused.
#[rocket::catch(default)]
pub(crate) fn fallback(status: Status, request: &Request<'_>) -> Refused {
    if let Some(refused) = request.local_cache(|| None::<Refused>) {
        return refused.clone();
    }
    let context = request.rocket().state::<Shared>().expect("the server manages its context");
    let reason = match status.code {
        404 => outcome::Reason::NotFound,
        413 => outcome::Reason::TooLarge,
        500.. => outcome::Reason::NotReady,
        _ => outcome::Reason::BadRequest,
    };
    let refusal = outcome::Refusal::not_run(reason, status.reason_lossy());
    Refused::new(context, &context.new_request(), None, refusal)
}

/// Status and headers of an answer.
#[derive(Debug, Clone)]
pub(crate) struct Metadata {
    /// Id of the request.
    pub(crate) request: id::RequestId,
    /// Version or service that served the request.
    pub(crate) target: id::Target,
    /// Zone of the endpoint.
    pub(crate) zone: id::ZoneId,
    /// Number of owners that were tried; 0 for a replayed answer.
    pub(crate) attempts: u32,
    /// HTTP status of the endpoint's answer.
    pub(crate) status: u16,
    /// Content type of the endpoint's answer.
    pub(crate) content_type: String,
    /// Pin of the session; absent without a session or a signing key.
    pub(crate) pin: Option<pin::Pin>,
    /// Length of a streamed body in bytes; absent if the endpoint didn't declare it.
    pub(crate) content_length: Option<u64>,
    /// Endpoint's headers that are forwarded to the caller.
    pub(crate) headers: Vec<header::Header>,
    /// Request whose recorded answer this is; absent if the answer is not a replay.
    pub(crate) replay_of: Option<id::RequestId>,
}

/// A buffered body. Its request counts as running until the body is dropped.
pub(crate) struct Body {
    body: Bytes,
    _active: Box<active::Request>,
}

impl Body {
    /// Keeps `active` alive as long as `body`.
    pub(crate) fn new(body: Bytes, active: active::Request) -> Self {
        Self { body, _active: Box::new(active) }
    }
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Response with an endpoint's answer.
pub(crate) enum Reply {
    /// A buffered answer.
    Buffered(Metadata, Body),
    /// A streamed answer, forwarded chunk by chunk.
    Stream(Metadata, futures::stream::BoxStream<'static, Bytes>),
}

impl<'r> Responder<'r, 'r> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let (metadata, mut response) = match self {
            Self::Buffered(metadata, body) => {
                let mut response = Response::new();
                response.set_sized_body(body.body.len(), std::io::Cursor::new(body));
                response.set_header(Header::new("x-ibishill-outcome", "ran"));
                (metadata, response)
            }
            Self::Stream(metadata, chunks) => {
                (metadata, ByteStream::from(chunks).respond_to(request)?)
            }
        };
        response.set_status(Status::new(metadata.status));
        for header in metadata.headers {
            response.adjoin_header(Header::new(header.name, header.value));
        }
        if let Some(content_length) = metadata.content_length {
            response.set_header(Header::new("content-length", content_length.to_string()));
        }
        response.set_header(Header::new("content-type", metadata.content_type));
        response.set_header(Header::new(REQUEST_ID, metadata.request.to_string()));
        response.set_header(Header::new("x-ibishill-zone", metadata.zone.to_string()));
        response.set_header(Header::new("x-ibishill-attempts", metadata.attempts.to_string()));
        if let Some(pin) = metadata.pin {
            response.set_header(Header::new("x-ibishill-session-token", pin.token));
            response.set_header(Header::new("x-ibishill-session-pin", pin.state.to_string()));
        }
        if let Some(original) = metadata.replay_of {
            response.set_header(Header::new("x-ibishill-replayed", "true"));
            response.set_header(Header::new("x-ibishill-replayed-request", original.to_string()));
        }
        match metadata.target {
            id::Target::Version(version) => {
                response.set_header(Header::new("x-ibishill-model", version.model.to_string()));
                response.set_header(Header::new("x-ibishill-version", version.version.to_string()));
            }
            id::Target::Service(service) => {
                response.set_header(Header::new("x-ibishill-service", service.to_string()));
            }
        }
        Ok(response)
    }
}

/// Time from `start` to now, in seconds.
pub(crate) fn seconds_since(start: time::Tick) -> f64 {
    ibishill_core::clock::boot_now().since(start).to_std().as_secs_f64()
}
