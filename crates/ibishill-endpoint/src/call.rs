//! Calls to endpoints.

use bytes::Bytes;
use ibishill_core::{header, id, repeat, time};

/// Kind of endpoint, which decides how strictly its response is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Model engine: the response must name the request.
    Engine,
    /// Plain service: the response may omit the request but must not name another one.
    Service,
}

/// HTTP request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Identifier of the request, sent as `x-request-id` and echoed by the endpoint.
    pub request: id::RequestId,
    /// Kind of the endpoint.
    pub kind: Kind,
    /// Whether the call may be sent more than once.
    pub repeat: repeat::Repeat,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Other headers.
    pub headers: Vec<header::Header>,
    /// Body of the request.
    pub body: Bytes,
    /// Time left until the deadline.
    pub remaining: time::Millis,
    /// Maximum time between two parts of the response.
    pub idle_timeout: time::Millis,
}
