//! What an endpoint says of itself in an answer.

use crate::{request_rate, time};

/// Terms on which an endpoint takes requests, as one of its answers states them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Terms {
    /// Rate of requests that it takes from all daemons together; none if it names none.
    pub limit: Option<request_rate::RequestRate>,
    /// Requests that it bears to reject in a second; with more it ends. None if it names no number.
    pub max_rejections: Option<u32>,
    /// Time for which it wants no requests from this daemon, as a rejection says.
    pub rest: Option<time::Millis>,
    /// Whether it leaves, and takes no new requests after the drain time.
    pub is_leaving: bool,
}
