//! A call as it goes to an endpoint.

use bytes::Bytes;
use ibishill_core::{header, id, repeat, time};

/// Who the call is for, and so how strictly its answer is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model engine: the answer must name the request.
    Engine,
    /// A plain service: an answer that names another request is refused.
    Service,
}

/// A call to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The request, echoed by the endpoint.
    pub request: id::RequestId,
    /// Who the call is for.
    pub kind: Kind,
    /// Whether the call may be sent twice.
    pub repeat: repeat::Repeat,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Further headers.
    pub headers: Vec<header::Header>,
    /// The body.
    pub body: Bytes,
    /// Time left until the deadline.
    pub remaining: time::Millis,
    /// Longest silence within the answer.
    pub idle_timeout: time::Millis,
}
