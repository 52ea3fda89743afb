//! What a caller's request says of itself.

use crate::time;

/// A part of a prompt; requests that share their first parts share that work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Identity of its text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Tokens of a generation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub input: u64,
    /// Most tokens of the answer.
    pub max_output: u64,
    /// Tokens that the answer is expected to have.
    pub expected_output: u64,
}

/// What a request says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Time for which the caller waits.
    pub deadline: Option<time::Millis>,
    /// The caller's key.
    pub key: Option<String>,
    /// The session that the request belongs to.
    pub session: Option<String>,
    /// Parts of the prompt, in order; the last belongs to the request or its session.
    pub segments: Vec<Segment>,
    /// Tokens, for a generation.
    pub tokens: Option<Tokens>,
    /// Whether the system chooses the model.
    pub any_model: bool,
    /// Id of the last event that the caller has, on a resumed stream.
    pub last_event: Option<u64>,
}

impl Metadata {
    /// Identity of the longest part of the prompt that other requests share.
    pub fn shared_segment(&self) -> Option<u64> {
        let at = self.segments.len().checked_sub(2)?;
        self.segments.get(at).map(|part| part.id)
    }
}
