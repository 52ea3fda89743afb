//! Frames of a stream: requests with their answers, heartbeats, configuration.

use std::collections::BTreeSet;

use bytes::Bytes;
use ibishill_core::{capacity, cost, header, id, outcome, prefix, priority, repeat, time, view};
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
    /// What the owner can still run of the same target.
    pub room: capacity::Capacity,
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
pub struct First {
    /// Who calls.
    pub caller: Caller,
    /// What it wants.
    pub open: Open,
}

/// What a stream is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Open {
    /// A request; frames of its answer follow.
    Work(Box<Work>),
    /// A question between daemons; one reply follows.
    Ask(Ask),
}

/// A question between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// A heartbeat.
    Beat(Beat),
    /// The configuration after a version.
    Pull(u64),
    /// Billing records to hold until they are written, as JSON.
    Hold(Bytes),
    /// Requests whose billing records are written.
    Written(Vec<id::RequestId>),
}

/// A daemon's sign of life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender's view of its zone.
    pub view: view::ViewNumber,
    /// Its configuration version.
    pub config: u64,
    /// Whether it asks the receiver not to move the view.
    pub grant: bool,
}

/// What a daemon knows of another one's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The daemon.
    pub vm: id::VmId,
    /// Its configuration version.
    pub config: u64,
    /// Time since it was heard.
    pub age: time::Millis,
}

/// The reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The replier's view of its zone.
    pub view: view::ViewNumber,
    /// The replier's configuration version.
    pub config: u64,
    /// Whether the view is kept for a lease.
    pub granted: bool,
    /// For a sender of another zone: what is known within the replier's zone.
    pub known: Vec<Known>,
}

/// A reply between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To a heartbeat.
    Echo(Echo),
    /// Changes, as JSON, because declarations have no fixed layout.
    Changes(Bytes),
    /// The whole configuration, as JSON.
    Whole(Bytes),
    /// Requests whose billing records are held now.
    Held(Vec<id::RequestId>),
}
