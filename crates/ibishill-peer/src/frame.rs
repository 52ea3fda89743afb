//! Frames exchanged between daemons: requests and their responses, heartbeats, configuration.
//!
//! Frames are encoded by position, so fields and variants must keep their order.

use std::collections::BTreeSet;

use bytes::Bytes;
use ibishill_core::{capacity, cost, header, id, outcome, prefix, priority, repeat, time, view};
use serde::{Deserialize, Serialize};

/// Request that the entry daemon forwards to the owner of the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifier of the request.
    pub request: id::RequestId,
    /// Workspace of the caller.
    pub workspace: id::WorkspaceId,
    /// Model version or service to run.
    pub target: id::Target,
    /// Configuration version that the entry daemon planned the request with.
    pub config: u64,
    /// Time left until the deadline.
    #[serde(rename = "left")]
    pub remaining: time::Millis,
    /// Endpoints tried by earlier attempts; they are not tried again.
    pub tried: BTreeSet<id::EndpointId>,
    /// Whether the request may wait at this owner for capacity.
    pub waits: bool,
    /// Whether the call may be sent more than once.
    pub repeat: repeat::Repeat,
    /// HTTP method.
    pub method: String,
    /// Path and query at the endpoint.
    pub path: String,
    /// Content type of the body.
    #[serde(rename = "content")]
    pub content_type: String,
    /// Other headers, forwarded to the endpoint.
    pub headers: Vec<header::Header>,
    /// Prompt prefix; `None` if the request has no messages.
    pub prefix: Option<prefix::PrefixKey>,
    /// Priority in the owner's queue.
    pub priority: priority::Priority,
    /// Whether the caller asked for a streamed response.
    pub stream: bool,
    /// Whether the caller asked for the usage event of a stream.
    pub show_usage: bool,
    /// Body for the endpoint.
    pub body: Bytes,
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    #[serde(rename = "content")]
    pub content_type: String,
    /// Length of the body in bytes, if the endpoint declared it.
    pub length: Option<u64>,
    /// Other headers, forwarded to the caller.
    pub headers: Vec<header::Header>,
    /// Endpoint that sent the response.
    pub endpoint: id::EndpointId,
    /// Zone of the endpoint.
    pub zone: id::ZoneId,
    /// Capacity that the owner has left for the same target.
    #[serde(rename = "room")]
    pub capacity: capacity::Capacity,
}

/// End of a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Tokens consumed; zero for plain services.
    pub usage: cost::Usage,
    /// Total length of all chunks in bytes, which the receiver verifies.
    pub bytes: u64,
}

/// Frame of a response, sent by the owner to the entry daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Head of the response.
    Head(Head),
    /// Part of the body.
    Chunk(Bytes),
    /// The response is complete.
    End(End),
    /// The request failed; tells whether it may have run.
    Failed(outcome::Refusal),
}

/// Calling daemon; its certificate must name the same VM and zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// VM of the caller.
    pub vm: id::VmId,
    /// Zone of the caller.
    pub zone: id::ZoneId,
}

/// First frame of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preamble {
    /// Daemon that opened the stream.
    pub caller: Caller,
    /// Request or query that the stream carries.
    #[serde(rename = "open")]
    pub message: Message,
}

/// Message that opens a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A caller's request; the owner replies with [`Frame`]s.
    #[serde(rename = "Work")]
    Request(Box<Request>),
    /// A query between daemons; the peer sends one [`Reply`].
    #[serde(rename = "Ask")]
    Query(Query),
}

/// Query from one daemon to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Requests the configuration changes after this version.
    #[serde(rename = "Pull")]
    ConfigSince(u64),
    /// Billing records to hold until they are stored, as JSON.
    Hold(Bytes),
    /// Requests whose billing records are stored and need not be held any longer.
    Written(Vec<id::RequestId>),
}

/// Heartbeat of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of the zone's view that the sender holds.
    pub view: view::ViewNumber,
    /// Configuration version of the sender.
    pub config: u64,
    /// Whether the sender asks the receiver not to change the view for the time of a lease.
    #[serde(rename = "grant")]
    pub wants_grant: bool,
}

/// Configuration version that a daemon last reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerConfig {
    /// VM of the daemon.
    pub vm: id::VmId,
    /// Configuration version of the daemon.
    pub config: u64,
    /// Time since the report was received.
    pub age: time::Millis,
}

/// Reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Number of the zone's view that the replier holds.
    pub view: view::ViewNumber,
    /// Configuration version of the replier.
    pub config: u64,
    /// Whether the replier will not change the view for the time of a lease.
    pub granted: bool,
    /// Configuration versions reported by daemons of the replier's zone, its own included.
    #[serde(rename = "known")]
    pub peers: Vec<PeerConfig>,
}

/// Reply to a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to a heartbeat.
    #[serde(rename = "Echo")]
    Heartbeat(HeartbeatReply),
    /// Configuration changes as JSON, because declarations have no fixed layout.
    #[serde(rename = "Changes")]
    ConfigChanges(Bytes),
    /// Complete configuration as JSON.
    #[serde(rename = "Whole")]
    ConfigSnapshot(Bytes),
    /// Requests whose billing records the replier holds now.
    Held(Vec<id::RequestId>),
}
