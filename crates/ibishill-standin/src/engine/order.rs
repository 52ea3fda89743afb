//! Loading, unloading and role changes ordered by a router, with optional fencing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ibishill_core::{id, view};
use ibishill_endpoint::wire;

/// Versions and role of an engine, as set by the orders it has taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct State {
    fencing: bool,
    load_time: Duration,
    highest_fence: view::ViewNumber,
    role: wire::Role,
    ready_at: BTreeMap<id::VersionRef, Duration>,
}

impl State {
    /// Creates the state of an engine that has `versions` loaded. Loading another takes
    /// `load_time`; orders with an old fencing number are refused only if `fencing` is set.
    pub fn new(fencing: bool, load_time: Duration, versions: BTreeSet<id::VersionRef>) -> Self {
        let ready_at = versions.into_iter().map(|version| (version, Duration::ZERO)).collect();
        Self {
            fencing,
            load_time,
            highest_fence: view::ViewNumber(0),
            role: wire::Role::Both,
            ready_at,
        }
    }

    /// Applies an order and returns whether it starts loading a version.
    ///
    /// # Errors
    ///
    /// Fails if fencing is on and the order's fencing number is lower than the highest one seen.
    pub fn apply(&mut self, now: Duration, order: &wire::Order) -> Result<bool, wire::Refused> {
        if self.fencing && order.fence < self.highest_fence {
            return Err(wire::Refused { highest: self.highest_fence });
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        match &order.action {
            wire::Action::Load(version) => {
                if self.ready_at.contains_key(version) {
                    return Ok(false);
                }
                self.ready_at.insert(version.clone(), now + self.load_time);
                return Ok(true);
            }
            wire::Action::Unload(version) => drop(self.ready_at.remove(version)),
            wire::Action::Role(role) => self.role = *role,
        }
        Ok(false)
    }

    /// Versions whose loading has finished at `now`.
    pub fn loaded(&self, now: Duration) -> BTreeSet<id::VersionRef> {
        let ready = self.ready_at.iter().filter(|(_, at)| **at <= now);
        ready.map(|(version, _)| version.clone()).collect()
    }

    /// Role set by the last order that changed it, initially `Both`.
    pub fn role(&self) -> wire::Role {
        self.role
    }
}
