//! Frames of a request's stream.

use bytes::Bytes;
use ibishill_core::{cost, header, id, outcome, prefix, priority, repeat, time};
use serde::{Deserialize, Serialize};

/// A request on its way from the entry daemon to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The request.
    pub request: id::RequestId,
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// What runs.
    pub target: id::Target,
    /// Configuration version that the entry daemon decided under.
    pub config: u64,
    /// Time left until the deadline.
    pub left: time::Millis,
    /// Whether the call may be sent twice.
    pub repeat: repeat::Repeat,
    /// HTTP method.
    pub method: String,
    /// Path with query at the endpoint.
    pub path: String,
    /// Content type of the body.
    pub content: String,
    /// Further headers that pass to the endpoint.
    pub headers: Vec<header::Header>,
    /// Start of the messages, if there are any.
    pub prefix: Option<prefix::PrefixKey>,
    /// Priority among other requests.
    pub priority: priority::Priority,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Whether the caller wants the usage event of a stream.
    pub show_usage: bool,
    /// The body.
    pub body: Bytes,
}

/// Start of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: String,
    /// Length of the body in bytes, if the endpoint told it.
    pub length: Option<u64>,
    /// Further headers that pass to the caller.
    pub headers: Vec<header::Header>,
    /// The endpoint that answers.
    pub endpoint: id::EndpointId,
    /// The endpoint's zone.
    pub zone: id::ZoneId,
}

/// End of a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Tokens, zero for plain services.
    pub usage: cost::Usage,
    /// Bytes of all chunks, for verification.
    pub bytes: u64,
}

/// A frame from the owner to the entry daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Start of the answer.
    Head(Head),
    /// Part of the answer.
    Chunk(Bytes),
    /// The answer is whole.
    End(End),
    /// The request was given up, with what is known.
    Failed(outcome::Refusal),
}
