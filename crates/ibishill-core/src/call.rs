//! Metadata that a caller sends with a request.

use crate::time;

/// A segment of a prompt; requests with the same leading segments can share cached prefill work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Identifier of the text, equal for equal texts.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Token counts of a generation request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Prompt length.
    pub input: u64,
    /// Upper bound of the answer's length.
    pub max_output: u64,
    /// Expected length of the answer.
    pub expected_output: u64,
}

/// Metadata of one request, decoded from its headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// Request id; a caller's retry has a new one.
    pub id: String,
    /// Time that the caller is willing to wait; absent if it sets none.
    pub deadline: Option<time::Millis>,
    /// API key of the caller's workspace.
    pub key: Option<String>,
    /// Id of the session; absent for requests outside a session.
    pub session: Option<String>,
    /// Prompt segments in order; the last is specific to the request or its session.
    pub segments: Vec<Segment>,
    /// Token counts; present for generation requests only.
    pub tokens: Option<Tokens>,
    /// Whether the router chooses the model.
    pub any_model: bool,
    /// Id of the last event received by the caller; present when it resumes a stream.
    pub last_event: Option<u64>,
}

impl Metadata {
    /// Id of the last segment that other requests can share, the one before the request's own;
    /// none if there are fewer than two segments.
    pub fn shared_segment(&self) -> Option<u64> {
        let at = self.segments.len().checked_sub(2)?;
        self.segments.get(at).map(|segment| segment.id)
    }
}
