//! Frames of a stream: requests with their answers, heartbeats, configuration.

use std::collections::BTreeSet;

use bytes::Bytes;
use ibishill_core::{capacity, cost, header, id, outcome, prefix, priority, repeat, time, view};
use serde::{Deserialize, Serialize};

/// A request on its way from the entry daemon to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The request.
    pub request: id::RequestId,
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// What runs.
    pub target: id::Target,
    /// Configuration version that the entry daemon decided under.
    pub config: u64,
    /// Time left until the deadline.
    #[serde(rename = "left")]
    pub remaining: time::Millis,
    /// Endpoints that were tried before.
    pub tried: BTreeSet<id::EndpointId>,
    /// Whether the request waits at this owner for room.
    pub waits: bool,
    /// Whether the call may be sent twice.
    pub repeat: repeat::Repeat,
    /// HTTP method.
    pub method: String,
    /// Path with query at the endpoint.
    pub path: String,
    /// Content type of the body.
    #[serde(rename = "content")]
    pub content_type: String,
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
    #[serde(rename = "content")]
    pub content_type: String,
    /// Length of the body in bytes, if the endpoint told it.
    pub length: Option<u64>,
    /// Further headers that pass to the caller.
    pub headers: Vec<header::Header>,
    /// The endpoint that answers.
    pub endpoint: id::EndpointId,
    /// The endpoint's zone.
    pub zone: id::ZoneId,
    /// What the owner can still run of the same target.
    #[serde(rename = "room")]
    pub capacity: capacity::Capacity,
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

/// The daemon that calls, as its certificate must name it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The caller's VM.
    pub vm: id::VmId,
    /// The caller's zone.
    pub zone: id::ZoneId,
}

/// First frame of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preamble {
    /// Who calls.
    pub caller: Caller,
    /// What it wants.
    #[serde(rename = "open")]
    pub message: Message,
}

/// What a stream is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A request; frames of its answer follow.
    #[serde(rename = "Work")]
    Request(Box<Request>),
    /// A question between daemons; one reply follows.
    #[serde(rename = "Ask")]
    Query(Query),
}

/// A question between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// A heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// The configuration after a version.
    #[serde(rename = "Pull")]
    ConfigSince(u64),
    /// Billing records to hold until they are written, as JSON.
    Hold(Bytes),
    /// Requests whose billing records are written.
    Written(Vec<id::RequestId>),
}

/// A daemon's sign of life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's view of its zone.
    pub view: view::ViewNumber,
    /// Its configuration version.
    pub config: u64,
    /// Whether it asks the receiver not to move the view.
    #[serde(rename = "grant")]
    pub wants_grant: bool,
}

/// What a daemon knows of another one's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerConfig {
    /// The daemon.
    pub vm: id::VmId,
    /// Its configuration version.
    pub config: u64,
    /// Time since it was heard.
    pub age: time::Millis,
}

/// The reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The replier's view of its zone.
    pub view: view::ViewNumber,
    /// The replier's configuration version.
    pub config: u64,
    /// Whether the view is kept for a lease.
    pub granted: bool,
    /// For a sender of another zone: what is known within the replier's zone.
    #[serde(rename = "known")]
    pub peers: Vec<PeerConfig>,
}

/// A reply between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To a heartbeat.
    #[serde(rename = "Echo")]
    Heartbeat(HeartbeatReply),
    /// Changes, as JSON, because declarations have no fixed layout.
    #[serde(rename = "Changes")]
    ConfigChanges(Bytes),
    /// The whole configuration, as JSON.
    #[serde(rename = "Whole")]
    ConfigSnapshot(Bytes),
    /// Requests whose billing records are held now.
    Held(Vec<id::RequestId>),
}
