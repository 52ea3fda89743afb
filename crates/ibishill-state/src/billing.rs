//! Billing records in create-only batches; totals are deduplicated by request id.

use std::collections::BTreeMap;

use ibishill_core::{cost, id, time};
use ibishill_platform::object;
use serde::{Deserialize, Serialize};

use crate::batch;
use crate::error::StateError;

const PREFIX: &str = "billing";

/// Target of a record for which it is unknown whether the request ran; its price is zero.
pub const UNKNOWN_TARGET: &str = "unknown";

/// Maximum number of records in a batch.
pub const BATCH_MAX: usize = 4_096;

/// Usage and price of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Request id; several records of one request count once.
    pub request: id::RequestId,
    /// The workspace that is billed.
    pub workspace: id::WorkspaceId,
    /// The model version or service that answered, or [`UNKNOWN_TARGET`].
    pub target: String,
    /// Tokens used by the last run.
    pub usage: cost::Usage,
    /// Price of the last run.
    pub price: cost::Micros,
    /// Wall-clock time at which the request ended.
    pub at: time::Tick,
    /// Earlier runs of the same request, whose answers were rated too low.
    #[serde(default)]
    pub earlier: Vec<Run>,
}

/// One run of a request at a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The model version or service.
    pub target: String,
    /// Tokens used by this run.
    pub usage: cost::Usage,
    /// Price of this run.
    pub price: cost::Micros,
}

/// Sum over several records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Number of requests.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of generated tokens.
    pub output: u64,
    /// Sum of prices.
    pub price: cost::Micros,
}

/// Key of a total.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Line {
    /// The workspace that is billed.
    pub workspace: id::WorkspaceId,
    /// The model version or service, or [`UNKNOWN_TARGET`].
    pub target: String,
}

/// The batch being written; it keeps its serial number and records until the write is
/// confirmed.
#[derive(Debug, Clone)]
pub struct Outbox {
    serial: u64,
    batch: Vec<Record>,
}

impl Outbox {
    /// Creates an empty outbox. Serial numbers start after `first`, which has to differ
    /// between restarts of a VM so that batch names are not reused.
    pub fn new(first: u64) -> Self {
        Self { serial: first, batch: Vec::new() }
    }

    /// Starts the next batch with records from `next`, unless a batch is still pending.
    pub fn fill<N>(&mut self, mut next: N)
    where
        N: FnMut() -> Option<Record>,
    {
        if !self.batch.is_empty() {
            return;
        }
        self.batch.extend(std::iter::from_fn(&mut next).take(BATCH_MAX));
        if !self.batch.is_empty() {
            self.serial = self.serial.wrapping_add(1);
        }
    }

    /// Serial number of the pending batch.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Records of the pending batch; empty if there is none.
    pub fn batch(&self) -> &[Record] {
        &self.batch
    }

    /// Clears the batch after its write is confirmed, and returns the requests in it.
    pub fn complete(&mut self) -> Vec<id::RequestId> {
        self.batch.drain(..).map(|record| record.request).collect()
    }
}

/// Batches of billing records in the object store.
#[derive(Clone)]
pub struct Billing {
    objects: object::Objects,
}

impl Billing {
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
        records: &[Record],
    ) -> Result<(), StateError> {
        batch::write(&self.objects, PREFIX, vm, serial, records).await
    }

    /// Sums the records of all batches per workspace and target.
    ///
    /// # Errors
    ///
    /// Fails if the object store does or a batch is malformed.
    pub async fn totals(&self) -> Result<BTreeMap<Line, Total>, StateError> {
        let records: Vec<Record> = batch::read(&self.objects, PREFIX).await?;
        let keyed = records.into_iter().map(|record| (record.request.clone(), record));
        let unique: BTreeMap<_, _> = keyed.collect();
        Ok(sum(unique.into_values()))
    }
}

fn sum<I>(records: I) -> BTreeMap<Line, Total>
where
    I: Iterator<Item = Record>,
{
    let mut totals: BTreeMap<Line, Total> = BTreeMap::new();
    for record in records {
        let last = Run { target: record.target, usage: record.usage, price: record.price };
        // A request is counted only for the version whose answer the caller received.
        add(&mut totals, &record.workspace, last, 1);
        for run in record.earlier {
            add(&mut totals, &record.workspace, run, 0);
        }
    }
    totals
}

fn add(totals: &mut BTreeMap<Line, Total>, workspace: &id::WorkspaceId, run: Run, requests: u64) {
    let line = Line { workspace: workspace.clone(), target: run.target };
    let total = totals.entry(line).or_default();
    total.requests += requests;
    total.prompt += run.usage.prompt;
    total.output += run.usage.output;
    total.price = total.price + run.price;
}
