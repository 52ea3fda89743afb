//! Placement: which engine loads which version, with hysteresis.
//!
//! An owner decides for its own engines. Each version that must stay loaded somewhere in the
//! zone is assigned to an engine by [`home`], which every daemon computes alike.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_config::declared;
use ibishill_core::{id, time};

pub mod home;
pub mod order;
mod pick;
pub mod target;

/// Longest time from an accepted order until the engine reports its effect.
pub const ORDER_TIMEOUT: time::Millis = time::Millis::from_secs(300);

/// Minimum time between two changes of one engine.
const DWELL: time::Millis = time::Millis::from_secs(10);

/// A version's demand on the placement.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Need {
    /// Slots that its requests take, or would take if the version were loaded.
    pub slots: f64,
    /// Whether at least one engine of this owner has to hold it, since its home is one of them.
    pub floor: bool,
    /// The base version, if this version is an adapter.
    pub base: Option<id::VersionRef>,
}

/// How many engines should hold a version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Target {
    /// Engines including headroom.
    pub count: u32,
    /// Engines excluding headroom, which versions short of engines may not take.
    pub required: u32,
}

/// State of an engine that placement depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Versions that it is declared to run.
    pub loadable: BTreeSet<id::VersionRef>,
    /// Versions other than adapters that fit in memory together.
    pub memory: u32,
    /// Adapters that fit in memory together.
    pub adapters: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Versions that it reported when last read.
    pub loaded: BTreeSet<id::VersionRef>,
    /// Whether an order may be planned now.
    pub ready: bool,
    /// Whether it rejects orders with an outdated fencing number.
    pub fencing: bool,
    /// Whether the effect of an order is outstanding.
    pub pending: bool,
    /// The version of a load order whose effect is outstanding.
    pub loading: Option<id::VersionRef>,
}

/// A change of the versions that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Load a version.
    Load(id::VersionRef),
    /// Unload a version.
    Unload(id::VersionRef),
}

impl Change {
    /// The version to be loaded or unloaded.
    pub fn version(&self) -> &id::VersionRef {
        match self {
            Self::Load(version) | Self::Unload(version) => version,
        }
    }
}

/// A change to be ordered from an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The engine's endpoint.
    pub endpoint: id::EndpointId,
    /// What the engine is to load or unload.
    pub change: Change,
}

/// Parameters of how fast and how far the placement follows demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Slots kept loaded per slot needed.
    pub headroom: f64,
    /// Time for which the demand has to stay lower before a target falls.
    pub hold: time::Millis,
    /// Minimum time between two changes of one engine.
    pub dwell: time::Millis,
    /// Half-life of the demand estimate after demand falls.
    pub half_life: time::Millis,
    /// Whether engines are loaded for a roll-out's next stage before it begins.
    pub preload: bool,
}

impl Rules {
    /// The rules that belong to a declared policy.
    pub fn of(policy: declared::Policy) -> Self {
        match policy {
            declared::Policy::Latency => Self {
                headroom: 1.5,
                hold: time::Millis::from_secs(300),
                dwell: DWELL,
                half_life: time::Millis::from_secs(20),
                preload: true,
            },
            declared::Policy::Cost => Self {
                headroom: 1.1,
                hold: time::Millis::from_secs(120),
                dwell: DWELL,
                half_life: time::Millis::from_secs(10),
                preload: false,
            },
        }
    }
}

/// Decides the next changes: at most one for each engine, and at most one among the engines
/// that do not check fencing numbers.
///
/// A version is unloaded only to make room for one that is below its target.
pub fn steps(
    engines: &BTreeMap<id::EndpointId, Engine>,
    needs: &BTreeMap<id::VersionRef, Need>,
    targets: &BTreeMap<id::VersionRef, Target>,
    withdrawn: &BTreeSet<id::VersionRef>,
) -> Vec<Step> {
    pick::Picker::new(engines, needs, targets, withdrawn).run()
}
