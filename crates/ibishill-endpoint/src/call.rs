//! A call as it goes to an endpoint.

use bytes::Bytes;
use ibishill_core::{id, time};

/// A call to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The request, echoed by the endpoint.
    pub request: id::RequestId,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Content type of the body.
    pub content: String,
    /// The body.
    pub body: Bytes,
    /// Time left until the deadline.
    pub left: time::Millis,
    /// Longest silence within the answer.
    pub idle: time::Millis,
}
