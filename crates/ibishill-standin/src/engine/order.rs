//! Orders to an engine, with or without a check of the fencing number.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ibishill_core::{id, view};
use serde::{Deserialize, Serialize};

/// What an engine is used for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts and generation.
    #[default]
    Both,
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
}

/// What is ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads a version.
    Load(id::VersionRef),
    /// Unloads a version.
    Unload(id::VersionRef),
    /// Changes the role.
    Role(Role),
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of whoever orders.
    pub fence: view::ViewNumber,
    /// What is ordered.
    pub action: Action,
}

/// An order with an old fencing number; nothing was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The highest number seen.
    pub highest: view::ViewNumber,
}

/// What orders have made of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Orders {
    fencing: bool,
    load: Duration,
    highest: view::ViewNumber,
    role: Role,
    versions: BTreeMap<id::VersionRef, Duration>,
}

impl Orders {
    /// An engine that runs `versions`; loading another takes `load`.
    pub fn new(fencing: bool, load: Duration, versions: BTreeSet<id::VersionRef>) -> Self {
        let versions = versions.into_iter().map(|version| (version, Duration::ZERO)).collect();
        Self { fencing, load, highest: view::ViewNumber(0), role: Role::Both, versions }
    }

    /// Carries out an order; returns whether it loads a version that was not loaded.
    ///
    /// # Errors
    ///
    /// Refuses an old fencing number, if the engine checks it.
    pub fn carry_out(&mut self, now: Duration, order: &Order) -> Result<bool, Refused> {
        if self.fencing && order.fence < self.highest {
            return Err(Refused { highest: self.highest });
        }
        self.highest = self.highest.max(order.fence);
        match &order.action {
            Action::Load(version) => {
                if self.versions.contains_key(version) {
                    return Ok(false);
                }
                self.versions.insert(version.clone(), now + self.load);
                return Ok(true);
            }
            Action::Unload(version) => drop(self.versions.remove(version)),
            Action::Role(role) => self.role = *role,
        }
        Ok(false)
    }

    /// Versions that are loaded at `now`.
    pub fn loaded(&self, now: Duration) -> BTreeSet<id::VersionRef> {
        let ready = self.versions.iter().filter(|(_, at)| **at <= now);
        ready.map(|(version, _)| version.clone()).collect()
    }

    /// The role.
    pub fn role(&self) -> Role {
        self.role
    }
}
