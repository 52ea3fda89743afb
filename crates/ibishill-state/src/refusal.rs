//! Refusals counted per workspace and minute, as the regulator wants them.

use std::collections::BTreeMap;

use ibishill_core::{id, outcome, time};
use ibishill_platform::object;
use serde::{Deserialize, Serialize};

use crate::batch;
use crate::error::StateError;

const PREFIX: &str = "refusals";
const MINUTE_MS: u64 = 60_000;

/// One cell of the count.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The workspace, if the caller's key named one.
    pub workspace: Option<id::WorkspaceId>,
    /// Minutes since 1970.
    pub minute: u64,
    /// Why requests were refused.
    pub reason: outcome::Reason,
}

impl Key {
    /// The cell of a refusal at wall-clock time `at`.
    pub fn new(
        workspace: Option<id::WorkspaceId>,
        reason: outcome::Reason,
        at: time::Tick,
    ) -> Self {
        Self { workspace, minute: at.0 / MINUTE_MS, reason }
    }
}

/// A cell with its count.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The cell.
    pub cell: Key,
    /// Refused requests.
    pub refused: u64,
}

/// The refusal batches in the object store.
#[derive(Clone)]
pub struct Refusals {
    objects: object::Objects,
}

impl Refusals {
    /// Opens the batches.
    pub fn new(objects: object::Objects) -> Self {
        Self { objects }
    }

    /// Writes a batch under a name of its own; repeating the call is harmless.
    ///
    /// # Errors
    ///
    /// Fails if the object store does; the batch is then still the caller's to keep.
    pub async fn write(
        &self,
        vm: &id::VmId,
        serial: u64,
        counts: &[Count],
    ) -> Result<(), StateError> {
        batch::write(&self.objects, PREFIX, vm, serial, counts).await
    }

    /// Reads all counts.
    ///
    /// # Errors
    ///
    /// Fails if the object store does or a batch is malformed.
    pub async fn read(&self) -> Result<BTreeMap<Key, u64>, StateError> {
        let counts: Vec<Count> = batch::read(&self.objects, PREFIX).await?;
        let mut totals = BTreeMap::new();
        for count in counts {
            *totals.entry(count.cell).or_default() += count.refused;
        }
        Ok(totals)
    }
}
