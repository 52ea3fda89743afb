//! Declared routes, services and workspaces, which determine where a request may be sent.

use std::collections::BTreeMap;

use crate::{id, time};

/// Kind of a route: how its requests are answered, and whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether a broken stream may be resumed at another endpoint, after the last
        /// complete event.
        is_resumable: bool,
    },
}

impl Kind {
    /// Whether a request with an unknown outcome may be sent again.
    pub const fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Weighted service of a route with a traffic split.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Service that receives the requests.
    pub service: id::ServiceId,
    /// Weight relative to the route's other destinations.
    pub weight: u32,
}

/// A declared route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: id::RouteId,
    /// Host name that the route matches.
    pub host: String,
    /// Path prefix that the route matches, with a slash at both ends.
    pub prefix: String,
    /// How requests are answered, and whether they may be retried.
    pub kind: Kind,
    /// Maximum duration of a request; a longer deadline of the caller is cut to it.
    pub timeout: time::Millis,
    /// Expected time to the answer, or to the first event of a stream.
    pub latency_target: time::Millis,
    /// Expected maximum gap between two events of a stream; absent if none is declared.
    pub gap_target: Option<time::Millis>,
    /// Priority, 0 for the most urgent.
    pub priority: u8,
    /// Models that may answer, smallest first; empty if the caller selects the model.
    pub models: Vec<id::ModelId>,
    /// Services that requests are split over; a single one without a split.
    pub destinations: Vec<Destination>,
    /// Maximum number of times that one request may be sent to an endpoint, at least 1.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
}

/// A model that an engine serves.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: id::ModelId,
    /// Cost of 1,000 generated tokens; a prompt token costs a quarter of a generated one.
    pub cost: f64,
}

/// Engine properties shared by all endpoints of a service that serves models.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Capacity of an endpoint's KV cache, in tokens.
    pub kv_capacity: u64,
    /// Models that the engine serves.
    pub models: Vec<Model>,
}

/// A declared service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: id::ServiceId,
    /// Maximum number of connections to one endpoint, summed over all callers; 0 if not declared.
    pub max_connections: u32,
    /// Duration of an endpoint's cold start.
    pub cold_start: time::Millis,
    /// Requests per second that a cold endpoint can handle, summed over all daemons; 0 for no
    /// limit.
    pub cold_rate: f64,
    /// Path of an endpoint's health check; empty if it has none.
    pub health_path: String,
    /// Engine properties; present if the endpoints serve models.
    pub engine: Option<Engine>,
}

/// Limits on the size and duration of what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's header section.
    pub header_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Maximum time to receive the header section.
    pub header_timeout: time::Millis,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: time::Millis,
}

/// A workspace, which callers select by an API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: id::WorkspaceId,
    /// Priority of the workspace's requests; overrides the route's if present.
    pub priority: Option<u8>,
}

/// One version of the declared configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Version of the configuration, strictly increasing.
    pub version: u64,
    /// Declared routes, in the order of the declaration.
    pub routes: Vec<Route>,
    /// Declared services by name.
    pub services: BTreeMap<id::ServiceId, Service>,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Declared workspaces; empty if the deployment has none.
    pub workspaces: Vec<Workspace>,
    /// Index into `workspaces` by API key.
    pub keys: BTreeMap<String, usize>,
}
