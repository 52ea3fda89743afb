//! Refusals and failures that the relay itself answers with.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use ibishill_core::{event, time};

use crate::body::{self, Body};
use crate::context::Shared;

/// Time after which a caller may come back when nothing better is known: about the time in
/// which endpoints that were lost are replaced by what others have room for.
pub(crate) const RETRY_AFTER: time::Millis = time::Millis(500);

/// Refusals and failures that the relay itself answers with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reason {
    /// No configuration is known yet.
    NotReady,
    /// No route answers for the path.
    NoRoute,
    /// The key is missing or unknown.
    Unauthorized,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive.
    BodyIncomplete,
    /// The route's weights name no service.
    NoService,
    /// No endpoint of the service is in service.
    NoEndpoint,
    /// No endpoint has room in time.
    NoCapacity,
    /// The endpoint refused and no further attempt is allowed.
    Refused,
    /// The deadline has passed, and it has not run.
    DeadlineBeforeSend,
    /// The deadline has passed, and it may have run.
    DeadlineAfterSend,
    /// It may have run, and no whole answer came.
    OutcomeUnknown,
}

impl Reason {
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::DeadlineAfterSend => StatusCode::GATEWAY_TIMEOUT,
            Self::NotReady
            | Self::NoService
            | Self::NoEndpoint
            | Self::NoCapacity
            | Self::Refused
            | Self::DeadlineBeforeSend => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "no configuration yet",
            Self::NoRoute => "no route",
            Self::Unauthorized => "key missing or unknown",
            Self::BodyTooLarge => "body too large",
            Self::BodyIncomplete => "body not received",
            Self::NoService => "no service by weight",
            Self::NoEndpoint => "no endpoint in service",
            Self::NoCapacity => "no endpoint with room in time",
            Self::Refused => "refused by the endpoint",
            Self::DeadlineBeforeSend => "deadline passed before a send",
            Self::DeadlineAfterSend => "deadline passed after a send",
            Self::OutcomeUnknown => "sent, and its fate is unknown",
        }
    }
}

/// Answers with a refusal or failure of the relay's own.
pub(crate) fn respond(
    context: &Shared,
    request: &str,
    reason: Reason,
    retry_after: Option<time::Millis>,
) -> Response<Body> {
    let is_refusal = reason.status() == StatusCode::SERVICE_UNAVAILABLE;
    let retry_after = if is_refusal { retry_after.or(Some(RETRY_AFTER)) } else { None };
    let version = context.state().catalog.as_ref().map_or(0, |catalog| catalog.version);
    context.metrics.record_local_reply(reason.as_str());
    event::emit_json(
        event::Event::RequestDeclined,
        &[
            event::field("request", &request),
            event::field("status", &reason.status().as_u16()),
            event::field("reason", &reason.as_str()),
            event::field("after", &retry_after.unwrap_or_default()),
            event::field("configuration", &version),
        ],
    );
    let mut answer = Response::new(body::full(Bytes::from_static(reason.as_str().as_bytes())));
    *answer.status_mut() = reason.status();
    if let Some(retry_after) = retry_after {
        let secs = format!("{:.2}", retry_after.0 as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&secs) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    if reason == Reason::BodyIncomplete || reason == Reason::BodyTooLarge {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}
