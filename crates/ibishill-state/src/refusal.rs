//! Counts of refused requests per workspace, minute and reason, as the regulator requires.

use std::collections::BTreeMap;

use ibishill_core::{id, outcome, time};
use ibishill_platform::object;
use serde::{Deserialize, Serialize};

use crate::batch;
use crate::error::StateError;

const PREFIX: &str = "refusals";
const MS_PER_MINUTE: u64 = 60_000;

/// Key under which refused requests are counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Workspace of the caller's API key; `None` if the key named no workspace.
    pub workspace: Option<id::WorkspaceId>,
    /// Wall-clock time in minutes since the start of 1970 (UTC).
    pub minute: u64,
    /// Reason of the refusal.
    pub reason: outcome::Reason,
}

impl Key {
    /// Creates the key of a refusal at wall-clock time `at`.
    pub fn new(
        workspace: Option<id::WorkspaceId>,
        reason: outcome::Reason,
        at: time::Tick,
    ) -> Self {
        Self { workspace, minute: at.0 / MS_PER_MINUTE, reason }
    }
}

/// Number of refused requests under one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Workspace, minute and reason.
    pub cell: Key,
    /// Number of refused requests.
    pub refused: u64,
}

/// Batches of refusal counts in the object store.
#[derive(Clone)]
pub struct Refusals {
    objects: object::Objects,
}

impl Refusals {
    /// Creates a client of the batches in `objects`.
    pub fn new(objects: object::Objects) -> Self {
        Self { objects }
    }

    /// Writes a batch under a name made of `vm` and `serial`; the call is idempotent.
    ///
    /// # Errors
    ///
    /// Fails if the object store does; the caller then has to retry with the same batch.
    pub async fn write(
        &self,
        vm: &id::VmId,
        serial: u64,
        counts: &[Count],
    ) -> Result<(), StateError> {
        batch::write(&self.objects, PREFIX, vm, serial, counts).await
    }

    /// Sums the counts of all batches by key.
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
