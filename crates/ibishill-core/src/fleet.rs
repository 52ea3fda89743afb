//! Endpoints as they register themselves, operators' orders, and a daemon's place.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{id, time};

/// A row of the platform's store, as it is kept and passed on to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its key.
    pub key: String,
    /// Version of the transaction that wrote or removed it.
    pub version: u64,
    /// Its value; none if it was removed.
    pub value: Option<Bytes>,
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Its id, which appears nowhere else once it has ended.
    pub id: id::EndpointId,
    /// The service it belongs to.
    pub service: id::ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: id::ZoneId,
    /// Version of its software.
    pub version: id::VersionId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// Time for which it is still cold, when it wrote this.
    pub cold_remaining: time::Millis,
    /// When this process of it started, in milliseconds since 1970, if it tells.
    pub started: Option<u64>,
}

/// An order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// The service.
    pub service: id::ServiceId,
    /// The version to move to.
    pub to: id::VersionId,
    /// Time in which it is to be done.
    pub duration: time::Millis,
}

/// How a roll-out stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Under way.
    Running,
    /// The new version has all traffic.
    Completed,
    /// The old version has all traffic.
    RolledBack,
}

/// A row of the platform's store, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Row {
    /// The declared configuration.
    Catalog(Box<crate::route::Catalog>),
    /// An order to move a service to another version.
    Rollout(Rollout),
    /// A zone that gets no work while the row exists.
    ZoneOut(id::ZoneId),
    /// An endpoint.
    Registration(Registration),
}

/// Bounds that the deployment states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM until the process is killed.
    pub grace: time::Millis,
    /// Time until an endpoint that leaves gets no new work.
    pub drain: time::Millis,
    /// Time until a declared configuration is in force.
    pub apply: time::Millis,
    /// Second attempts allowed for each request, all daemons together.
    pub retry_ratio: f64,
    /// Second attempts allowed beside the ratio, in one window.
    pub retry_slack: f64,
    /// Window of the retry budget.
    pub retry_window: time::Millis,
    /// Largest share of requests that an unproven version may get.
    pub expose_share: f64,
    /// Time for which requests of a session count as following each other.
    pub session_gap: time::Millis,
}

/// Where a daemon stands and whom it talks to.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The VM.
    pub vm: id::VmId,
    /// Its zone.
    pub zone: id::ZoneId,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Where metrics are asked for.
    pub metrics: SocketAddr,
    /// Where peers connect.
    pub peer: SocketAddr,
    /// Addresses of some peers, which may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub is_bootstrap: bool,
    /// The platform's store.
    pub store: SocketAddr,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}
