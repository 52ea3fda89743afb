//! Declared routes, services and workspaces: what a caller's request may reach.

use std::collections::BTreeMap;

use crate::{id, time};

/// How a route's requests are answered, and whether they may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Not idempotent: runs at most once.
    NonIdempotent,
    /// A stream of events, which may be resumed at another endpoint or not.
    Stream {
        /// Whether a broken stream may be resumed after the last whole event.
        is_resumable: bool,
    },
}

impl Kind {
    /// Whether a request whose fate is unknown may be sent again.
    pub const fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service among those that a route's requests are split over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: id::ServiceId,
    /// Its weight against the other shares.
    pub weight: u32,
}

/// A declared route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: id::RouteId,
    /// The host it answers for.
    pub host: String,
    /// Start of the paths it answers for, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time for which a request is kept waiting.
    pub timeout: time::Millis,
    /// Time to the answer, or to a stream's first event, that callers expect.
    pub latency_target: time::Millis,
    /// Longest pause between the events of a stream that callers expect.
    pub gap_target: Option<time::Millis>,
    /// Rank, 0 for the most urgent.
    pub priority: u8,
    /// Models that may answer, smallest first; empty if the caller names one.
    pub models: Vec<id::ModelId>,
    /// Services that requests are split over; one has all without a split.
    pub destinations: Vec<Destination>,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether it needs no key.
    pub is_public: bool,
}

/// A model of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: id::ModelId,
    /// Cost of 1,000 generated tokens; tokens read cost a quarter.
    pub cost: f64,
}

/// What the endpoints of a service that serve models have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one batch holds.
    pub slots: u32,
    /// Tokens that fit in an endpoint's memory.
    pub kv_capacity: u64,
    /// Models with their cost.
    pub models: Vec<Model>,
}

/// A declared service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: id::ServiceId,
    /// Most connections that one endpoint takes from all callers.
    pub max_connections: u32,
    /// Time for which an endpoint is cold after its start.
    pub cold_start: time::Millis,
    /// Requests a second that a cold endpoint bears, all daemons together; 0 for no bound.
    pub cold_rate: f64,
    /// Set if the endpoints serve models.
    pub engine: Option<Engine>,
}

/// What callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time in which a head arrives.
    pub header_timeout: time::Millis,
    /// Longest time for which a connection stays idle.
    pub idle_timeout: time::Millis,
}

/// Holder of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: id::WorkspaceId,
    /// Rank of its requests, in place of the route's.
    pub priority: Option<u8>,
}

/// One version of the declared configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Its version; versions only rise.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<id::ServiceId, Service>,
    /// Bounds of what callers send.
    pub limits: Limits,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Index into `spaces` by key.
    pub keys: BTreeMap<String, usize>,
}
