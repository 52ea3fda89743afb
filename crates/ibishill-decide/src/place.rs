//! Which engine loads which version: orders towards a target placement, with hysteresis.
//!
//! An owner decides for its own engines. What must stay loaded somewhere in the zone is
//! shared out by [`home`], which every daemon works out alike.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_config::declared;
use ibishill_core::{id, time};

pub mod home;
pub mod order;
mod pick;
pub mod target;

/// Longest time from an order until its effect shows.
pub const ORDER_TIMEOUT: time::Millis = time::Millis::from_secs(300);

/// Least time between two changes of one engine.
const DWELL: time::Millis = time::Millis::from_secs(10);

/// What a version asks of the placement.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Need {
    /// Slots that its requests take or would take.
    pub slots: f64,
    /// Whether one engine of this owner has to hold it.
    pub floor: bool,
    /// The version it is an adapter of, if it is one.
    pub base: Option<id::VersionRef>,
}

/// How many engines should hold a version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Target {
    /// Engines with headroom.
    pub count: u32,
    /// Engines without headroom, which others that are short may not take.
    pub required: u32,
}

/// An engine as the decision sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Versions that it may load.
    pub loadable: BTreeSet<id::VersionRef>,
    /// Versions, without adapters, that fit at once.
    pub memory: u32,
    /// Adapters that fit at once.
    pub adapters: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it held when last read.
    pub loaded: BTreeSet<id::VersionRef>,
    /// Whether an order may be given now.
    pub ready: bool,
    /// Whether it refuses old fencing numbers.
    pub fencing: bool,
    /// Whether an order waits for its effect.
    pub pending: bool,
    /// A load that was ordered and has not shown yet.
    pub loading: Option<id::VersionRef>,
}

/// A change of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Loads a version.
    Load(id::VersionRef),
    /// Unloads a version.
    Unload(id::VersionRef),
}

impl Change {
    /// The version that is loaded or unloaded.
    pub fn version(&self) -> &id::VersionRef {
        match self {
            Self::Load(version) | Self::Unload(version) => version,
        }
    }
}

/// A change with its engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The engine.
    pub endpoint: id::EndpointId,
    /// The change.
    pub change: Change,
}

/// How eagerly the placement follows demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Slots kept loaded for each slot needed.
    pub headroom: f64,
    /// Time for which a target has to be lower before an engine counts as spare.
    pub hold: time::Millis,
    /// Least time between two changes of one engine.
    pub dwell: time::Millis,
    /// Half-life of demand that has ended.
    pub half_life: time::Millis,
    /// Whether a roll-out's next stage is placed ahead of it.
    pub preload: bool,
}

impl Rules {
    /// The rules of a policy.
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

/// Decides the next changes: at most one for each engine, and at most one among those
/// that don't check fencing numbers.
///
/// `targets` says how many engines should hold each version, and nothing is unloaded
/// unless its room is needed.
pub fn steps(
    engines: &BTreeMap<id::EndpointId, Engine>,
    needs: &BTreeMap<id::VersionRef, Need>,
    targets: &BTreeMap<id::VersionRef, Target>,
    withdrawn: &BTreeSet<id::VersionRef>,
) -> Vec<Step> {
    pick::Picker::new(engines, needs, targets, withdrawn).run()
}
