//! Metadata that a caller sends with a request.

use std::fmt;
use std::num;
use std::str;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::time;

/// Identifier of a prompt segment's text, equal for equal texts; written in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SegmentId(pub u64);

impl fmt::Display for SegmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl str::FromStr for SegmentId {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Digest of a whole request: route, workspace, method, path with query, and body. Nobody can find
/// another request with the digest of a given one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestKey(pub [u8; 16]);

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl str::FromStr for RequestKey {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(|number| Self(number.to_be_bytes()))
    }
}

/// What requests have in common that may end endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SuspectKey {
    /// A segment of their prompts.
    Segment(SegmentId),
    /// All of it: they are copies of one request to a plain service.
    Request(RequestKey),
    /// All of it: they are copies of one prompt to a model.
    Prompt(RequestKey),
}

const REQUEST_PREFIX: &str = "request-";
const PROMPT_PREFIX: &str = "prompt-";

impl fmt::Display for SuspectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Segment(segment) => segment.fmt(f),
            Self::Request(request) => write!(f, "{REQUEST_PREFIX}{request}"),
            Self::Prompt(request) => write!(f, "{PROMPT_PREFIX}{request}"),
        }
    }
}

impl str::FromStr for SuspectKey {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Some(digest) = text.strip_prefix(REQUEST_PREFIX) {
            digest.parse().map(Self::Request)
        } else if let Some(digest) = text.strip_prefix(PROMPT_PREFIX) {
            digest.parse().map(Self::Prompt)
        } else {
            text.parse().map(Self::Segment)
        }
    }
}

/// A segment of a prompt; requests with the same leading segments can share cached prefill work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Identifier of its text.
    pub id: SegmentId,
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
    pub id: Arc<str>,
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
    pub fn shared_segment(&self) -> Option<SegmentId> {
        self.shared_segments().last().copied()
    }

    /// Ids of the segments that other requests can share, in order: all but the last one.
    pub fn shared_segments(&self) -> Vec<SegmentId> {
        let shared = self.segments.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|segment| segment.id).collect()
    }
}
