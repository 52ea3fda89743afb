//! Refusals and failures that the relay itself answers with.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use ibishill_core::{event, time};

use crate::body::{self, Body};
use crate::context::Shared;

/// Time after which a caller may come back when nothing better is known: about the time in
/// which endpoints that were lost are replaced by what others have room for.
pub(crate) const COME_BACK: time::Millis = time::Millis(500);

/// Refusals and failures that the relay itself answers with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Own {
    /// No configuration is known yet.
    Uninformed,
    /// No route answers for the path.
    NoRoute,
    /// The key is missing or unknown.
    Unauthorized,
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive.
    BodyCut,
    /// The route's weights name no service.
    NoService,
    /// No endpoint of the service is in service.
    NoEndpoint,
    /// No endpoint has room in time.
    NoRoom,
    /// The endpoint refused and no further attempt is allowed.
    Refused,
    /// The deadline has passed, and it has not run.
    Expired,
    /// The deadline has passed, and it may have run.
    Late,
    /// It may have run, and no whole answer came.
    Unknown,
}

impl Own {
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyCut => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::Uninformed
            | Self::NoService
            | Self::NoEndpoint
            | Self::NoRoom
            | Self::Refused
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    pub(crate) const fn reason(self) -> &'static str {
        match self {
            Self::Uninformed => "no configuration yet",
            Self::NoRoute => "no route",
            Self::Unauthorized => "key missing or unknown",
            Self::TooLarge => "body too large",
            Self::BodyCut => "body not received",
            Self::NoService => "no service by weight",
            Self::NoEndpoint => "no endpoint in service",
            Self::NoRoom => "no endpoint with room in time",
            Self::Refused => "refused by the endpoint",
            Self::Expired => "deadline passed before a send",
            Self::Late => "deadline passed after a send",
            Self::Unknown => "sent, and its fate is unknown",
        }
    }
}

/// Answers with a refusal or failure of the relay's own.
pub(crate) fn decline(
    context: &Shared,
    request: &str,
    own: Own,
    after: Option<time::Millis>,
) -> Response<Body> {
    let is_refusal = own.status() == StatusCode::SERVICE_UNAVAILABLE;
    let after = if is_refusal { after.or(Some(COME_BACK)) } else { None };
    let version = context.state().catalog.as_ref().map_or(0, |catalog| catalog.version);
    context.metrics.declined(own.reason());
    event::emit_json(
        event::Event::RequestDeclined,
        &[
            event::field("request", &request),
            event::field("status", &own.status().as_u16()),
            event::field("reason", &own.reason()),
            event::field("after", &after.unwrap_or_default()),
            event::field("configuration", &version),
        ],
    );
    let mut answer = Response::new(body::whole(Bytes::from_static(own.reason().as_bytes())));
    *answer.status_mut() = own.status();
    if let Some(after) = after {
        let secs = format!("{:.2}", after.0 as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&secs) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    if own == Own::BodyCut || own == Own::TooLarge {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}
