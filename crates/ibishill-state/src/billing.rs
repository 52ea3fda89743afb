//! Billing records in create-only batches; counting is idempotent by request id.

use std::collections::BTreeMap;

use ibishill_core::{cost, id, time};
use ibishill_platform::object;
use serde::{Deserialize, Serialize};

use crate::batch;
use crate::error::StateError;

const PREFIX: &str = "billing";

/// Target of a record whose request may or may not have run; its price is zero.
pub const UNKNOWN_TARGET: &str = "unknown";

/// Most records of one batch.
pub const BATCH_MAX: usize = 4_096;

/// What one request is billed for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request; two records of one request count once.
    pub request: id::RequestId,
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// What ran.
    pub target: String,
    /// Tokens.
    pub usage: cost::Usage,
    /// Price.
    pub price: cost::Micros,
    /// Wall-clock time of the end.
    pub at: time::Tick,
    /// Earlier runs of the same request whose answers were rated low.
    #[serde(default)]
    pub earlier: Vec<Run>,
}

/// One more run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// What ran.
    pub target: String,
    /// Tokens.
    pub usage: cost::Usage,
    /// Price.
    pub price: cost::Micros,
}

/// Sum of some records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Requests.
    pub requests: u64,
    /// Tokens of prompts.
    pub prompt: u64,
    /// Tokens generated.
    pub output: u64,
    /// Price.
    pub price: cost::Micros,
}

/// What a total is over.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Line {
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// What ran.
    pub target: String,
}

/// The batch under way: it keeps its name and content until it is known to be written.
#[derive(Debug, Clone)]
pub struct Outbox {
    serial: u64,
    batch: Vec<Record>,
}

impl Outbox {
    /// Starts an outbox; `first` differs between two lives of a VM.
    pub fn new(first: u64) -> Self {
        Self { serial: first, batch: Vec::new() }
    }

    /// Starts the next batch with records of `next`, unless one is still under way.
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

    /// The serial number of the batch under way.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// The batch under way, empty if there is none.
    pub fn batch(&self) -> &[Record] {
        &self.batch
    }

    /// Ends the batch, which is known to be written, and tells whose records it held.
    pub fn complete(&mut self) -> Vec<id::RequestId> {
        self.batch.drain(..).map(|record| record.request).collect()
    }
}

/// The billing batches in the object store.
#[derive(Clone)]
pub struct Billing {
    objects: object::Objects,
}

impl Billing {
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
        records: &[Record],
    ) -> Result<(), StateError> {
        batch::write(&self.objects, PREFIX, vm, serial, records).await
    }

    /// Totals of all batches.
    ///
    /// # Errors
    ///
    /// Fails if the object store does or a batch is malformed.
    pub async fn totals(&self) -> Result<BTreeMap<Line, Total>, StateError> {
        let records: Vec<Record> = batch::read(&self.objects, PREFIX).await?;
        let named = records.into_iter().map(|record| (record.request.clone(), record));
        let seen: BTreeMap<_, _> = named.collect();
        Ok(sum(seen.into_values()))
    }
}

fn sum<I>(records: I) -> BTreeMap<Line, Total>
where
    I: Iterator<Item = Record>,
{
    let mut totals: BTreeMap<Line, Total> = BTreeMap::new();
    for record in records {
        let last = Run { target: record.target, usage: record.usage, price: record.price };
        // A request counts once, at the version whose answer the caller got.
        add(&mut totals, &record.workspace, last, 1);
        for part in record.earlier {
            add(&mut totals, &record.workspace, part, 0);
        }
    }
    totals
}

fn add(totals: &mut BTreeMap<Line, Total>, workspace: &id::WorkspaceId, part: Run, requests: u64) {
    let line = Line { workspace: workspace.clone(), target: part.target };
    let total = totals.entry(line).or_default();
    total.requests += requests;
    total.prompt += part.usage.prompt;
    total.output += part.usage.output;
    total.price = total.price + part.price;
}
