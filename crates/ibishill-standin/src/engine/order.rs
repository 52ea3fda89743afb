//! Orders to an engine, with or without a check of the fencing number.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ibishill_core::{id, view};
use ibishill_endpoint::wire;

/// What orders have made of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Orders {
    fencing: bool,
    load: Duration,
    highest: view::ViewNumber,
    role: wire::Role,
    versions: BTreeMap<id::VersionRef, Duration>,
}

impl Orders {
    /// An engine that runs `versions`; loading another takes `load`.
    pub fn new(fencing: bool, load: Duration, versions: BTreeSet<id::VersionRef>) -> Self {
        let versions = versions.into_iter().map(|version| (version, Duration::ZERO)).collect();
        Self { fencing, load, highest: view::ViewNumber(0), role: wire::Role::Both, versions }
    }

    /// Carries out an order; returns whether it loads a version that was not loaded.
    ///
    /// # Errors
    ///
    /// Refuses an old fencing number, if the engine checks it.
    pub fn carry_out(&mut self, now: Duration, order: &wire::Order) -> Result<bool, wire::Refused> {
        if self.fencing && order.fence < self.highest {
            return Err(wire::Refused { highest: self.highest });
        }
        self.highest = self.highest.max(order.fence);
        match &order.action {
            wire::Action::Load(version) => {
                if self.versions.contains_key(version) {
                    return Ok(false);
                }
                self.versions.insert(version.clone(), now + self.load);
                return Ok(true);
            }
            wire::Action::Unload(version) => drop(self.versions.remove(version)),
            wire::Action::Role(role) => self.role = *role,
        }
        Ok(false)
    }

    /// Versions that are loaded at `now`.
    pub fn loaded(&self, now: Duration) -> BTreeSet<id::VersionRef> {
        let ready = self.versions.iter().filter(|(_, at)| **at <= now);
        ready.map(|(version, _)| version.clone()).collect()
    }

    /// The role.
    pub fn role(&self) -> wire::Role {
        self.role
    }
}
