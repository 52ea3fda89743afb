//! Rows of the platform's store, endpoint registrations, operators' orders, and the settings
//! that the platform gives a daemon. The platform here is the users' platform, whose store
//! `ibishill-relay` reads; `ibishill-daemon` does not use these rows.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::store_version::StoreVersion;
use crate::{call, id, link, time};

/// An undecoded row of the platform's store, as cached and replicated to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRow {
    /// Key of the row.
    pub key: String,
    /// Version of the transaction that last wrote or removed the row, in the era of the read.
    pub version: StoreVersion,
    /// Value; none if the row was removed (tombstone).
    pub value: Option<Bytes>,
}

/// Readiness that an endpoint reports for new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts new requests.
    Ready,
    /// Finishes its running requests and accepts no new ones.
    Draining,
}

/// Registration that an endpoint writes to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Id of this incarnation; never reused after the endpoint has ended.
    pub id: id::EndpointId,
    /// Service that the endpoint belongs to.
    pub service: id::ServiceId,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: id::ZoneId,
    /// Software version of the endpoint.
    pub version: id::VersionId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint accepts new requests.
    pub readiness: Readiness,
    /// Remaining duration of the cold start, as of the time of writing; 0 if warm.
    pub cold_remaining: time::Millis,
    /// Start time of the endpoint's process, in milliseconds since 1970 (Unix epoch), if reported.
    pub started: Option<u64>,
}

/// An operator's order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// Service that is moved.
    pub service: id::ServiceId,
    /// Target version.
    pub to: id::VersionId,
    /// Time within which the roll-out must complete.
    pub duration: time::Millis,
}

/// State of a roll-out as operators are told it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Service that is moved.
    pub service: id::ServiceId,
    /// Target version.
    pub to: id::VersionId,
    /// Progress.
    pub progress: Progress,
}

/// Progress of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// In progress.
    Running,
    /// The new version receives all traffic.
    Completed,
    /// The old version receives all traffic again.
    RolledBack,
}

/// How an earlier roll-out ended; of two reports on the same order the greater one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutEnd {
    /// The next order came before a verdict.
    Superseded,
    /// It was rolled back for want of proof that the version is sound.
    Unproven,
    /// It was completed.
    Completed,
    /// It was rolled back for evidence of faults.
    RolledBack,
}

impl RolloutEnd {
    /// Whether the version was rolled back.
    pub const fn is_withdrawn(self) -> bool {
        matches!(self, Self::Unproven | Self::RolledBack)
    }
}

/// A roll-out of a service before the present one, as relays tell each other and keep it in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierRollout {
    /// The version that it moved the service to.
    pub to: id::VersionId,
    /// Version of the order's row, or of that of a status of it.
    pub row: StoreVersion,
    /// How it ended.
    pub end: RolloutEnd,
}

impl fmt::Display for EarlierRollout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:?}", self.to, self.end)
    }
}

/// State of what was refused, as kept in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineHold {
    /// What the refused requests have in common.
    pub key: call::SuspectKey,
    /// Number of changes of the state; the one with more changes is newer.
    pub epoch: u32,
    /// Whether it is refused; false after it was released.
    pub is_refused: bool,
    /// Trials that ended an endpoint.
    pub relapses: u8,
    /// When the state was last changed, in milliseconds since 1970 (Unix epoch).
    pub since: u64,
}

/// A decoded row of the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub enum Row {
    /// The declared configuration.
    Catalog(Box<crate::route::Catalog>),
    /// A roll-out order.
    Rollout(Rollout),
    /// A zone that receives no new requests while the row exists.
    ZoneOut(id::ZoneId),
    /// A registered endpoint.
    Registration(Registration),
    /// What operators are told of a roll-out.
    Status(Status),
}

/// Time and traffic bounds that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM until the daemon's process is killed.
    pub grace: time::Millis,
    /// Time within which a draining endpoint must stop receiving new requests.
    pub drain: time::Millis,
    /// Time within which a declared configuration must be in force.
    pub apply: time::Millis,
    /// Retries allowed per request, summed over all daemons.
    pub retry_ratio: f64,
    /// Retries allowed per window in addition to the ratio.
    pub retry_slack: f64,
    /// Length of the retry budget's window.
    pub retry_window: time::Millis,
    /// Maximum share of requests that an unproven version may receive, 0 to 1.
    pub expose_share: f64,
    /// Maximum gap between two requests of the same session; a session that is idle for
    /// longer has ended.
    pub session_gap: time::Millis,
}

/// Settings of one daemon, read from the file that the platform writes.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// VM that runs the daemon.
    pub vm: id::VmId,
    /// Availability zone of the VM.
    pub zone: id::ZoneId,
    /// Region of each zone.
    pub regions: BTreeMap<id::ZoneId, id::RegionId>,
    /// Listen address for callers.
    pub front: SocketAddr,
    /// Listen address of the readiness check.
    pub ready: SocketAddr,
    /// Listen address of the metrics.
    pub metrics: SocketAddr,
    /// Listen address for other daemons.
    pub peer: SocketAddr,
    /// Address under which other daemons reach `peer`; the listener may be bound to another one.
    pub advertised: SocketAddr,
    /// Bandwidth of the VM's link; 0 if unknown.
    pub link: link::Bandwidth,
    /// Memory that the process may use, in bytes; none if unknown.
    pub memory: Option<usize>,
    /// File descriptors that the process may have open; none if unknown.
    pub descriptors: Option<usize>,
    /// Addresses of some other daemons, possibly outdated.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment is starting for the first time.
    pub is_bootstrap: bool,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}

impl Settings {
    /// Whether a zone is in the VM's region; zones without a region are all in one.
    pub fn is_in_own_region(&self, zone: &id::ZoneId) -> bool {
        self.regions.get(zone) == self.regions.get(&self.zone)
    }
}
