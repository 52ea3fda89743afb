//! In-memory implementation of the platform's services, with injectable faults.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use ibishill_core::clock;
use ibishill_platform::{Platform, failure, object, rating, table, vm, weight as weights};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time;

use crate::weight;

/// Minimum time between the starts of two transfers of the weight store.
const TRANSFER_INTERVAL: ibishill_core::time::Millis = ibishill_core::time::Millis(200);

/// Time for which a zone keeps its copy after a transfer starts.
const COPY_RETENTION: ibishill_core::time::Millis = ibishill_core::time::Millis(60_000);

/// Faults injected into calls. Chances are probabilities from 0 to 1, and at most one of the
/// chances applies to a call, so their sum should be at most 1.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Faults {
    /// Every call fails without taking effect.
    pub outage: bool,
    /// Chance that a call takes effect but its response is lost.
    pub lose_after: f64,
    /// Chance that a call is lost without taking effect.
    pub lose_before: f64,
    /// Chance that a call's response is lost and the call takes effect later.
    pub late: f64,
    /// Longest time from a lost response to its late effect, in milliseconds.
    pub late_ms: u64,
    /// Longest delay of a call, in milliseconds.
    pub delay_ms: u64,
    /// Longest time by which a read of rows is stale, in milliseconds; at most 10 s take effect.
    pub lag_ms: u64,
}

/// Time for which a row's older values are kept, which bounds how stale a read can be.
const READ_LAG_MAX: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Data {
    // Revisions of each row with their values, oldest first.
    rows: BTreeMap<table::RowKey, Vec<(u64, Option<String>)>>,
    revision: u64,
    commits: VecDeque<(time::Instant, u64)>,
    objects: BTreeMap<String, String>,
    vms: Vec<vm::Vm>,
    faults: Faults,
    rng: ChaCha8Rng,
    reads: u64,
    writes: u64,
    weights: weight::Store,
}

/// In-memory platform. Clones share the same data.
#[derive(Debug, Clone)]
pub struct Memory {
    data: Arc<Mutex<Data>>,
}

/// Calls received so far, including those that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Calls that only read, including VM lists and ratings.
    pub reads: u64,
    /// Calls that write, including weight reservations.
    pub writes: u64,
}

enum Fault {
    None,
    LostBefore,
    LostAfter,
    Late(Duration),
}

impl Memory {
    /// Creates an empty platform without faults; `seed` decides which calls faults apply to.
    pub fn new(seed: u64) -> Self {
        let data = Data {
            rows: BTreeMap::new(),
            revision: 0,
            commits: VecDeque::new(),
            objects: BTreeMap::new(),
            vms: Vec::new(),
            faults: Faults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            reads: 0,
            writes: 0,
            weights: weight::Store::new(TRANSFER_INTERVAL, COPY_RETENTION),
        };
        Self { data: Arc::new(Mutex::new(data)) }
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<vm::Vm>) {
        self.lock().vms = vms;
    }

    /// Number of rows of `table` whose key starts with `prefix`.
    pub fn row_count(&self, table: &str, prefix: &str) -> usize {
        let data = self.lock();
        let keys = data.rows.keys().filter(|name| name.table == table);
        let keys = keys.filter(|name| name.key.starts_with(prefix));
        keys.filter(|name| data.row(name, u64::MAX).value.is_some()).count()
    }

    /// Calls received so far.
    pub fn counts(&self) -> Counts {
        let data = self.lock();
        Counts { reads: data.reads, writes: data.writes }
    }

    async fn begin_call(&self, is_write: bool) -> Result<Fault, failure::Failure> {
        let (delay_ms, fault) = {
            let mut data = self.lock();
            if is_write {
                data.writes += 1;
            } else {
                data.reads += 1;
            }
            let delay_max = data.faults.delay_ms;
            let delay_ms = data.rng.random_range(0..=delay_max);
            let (before, after) = (data.faults.lose_before, data.faults.lose_after);
            let (late, late_ms) = (data.faults.late, data.faults.late_ms);
            let draw: f64 = data.rng.random();
            let fault = if draw < before {
                Fault::LostBefore
            } else if draw < before + after {
                Fault::LostAfter
            } else if draw < before + after + late {
                let wait_ms = data.rng.random_range(0..=late_ms);
                Fault::Late(Duration::from_millis(wait_ms))
            } else {
                Fault::None
            };
            (delay_ms, fault)
        };
        if delay_ms > 0 {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if self.lock().faults.outage {
            return Err(failure::Failure::NotApplied { detail: "outage".into() });
        }
        Ok(fault)
    }

    async fn call<O, F>(&self, is_write: bool, apply: F) -> Result<O, failure::Failure>
    where
        F: FnOnce(&mut Data) -> Result<O, failure::Failure> + Send + 'static,
    {
        let lost = || failure::Failure::Unknown { detail: "response lost".into() };
        match self.begin_call(is_write).await? {
            Fault::None => apply(&mut self.lock()),
            Fault::LostBefore => Err(lost()),
            Fault::LostAfter => {
                let _response = apply(&mut self.lock());
                Err(lost())
            }
            Fault::Late(wait) => {
                let memory = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(wait).await;
                    let _response = apply(&mut memory.lock());
                });
                Err(lost())
            }
        }
    }

    /// Commits a transaction, subject to faults.
    ///
    /// # Errors
    ///
    /// Fails as the platform's tables do.
    pub async fn commit(&self, transaction: table::Transaction) -> Result<(), failure::Failure> {
        self.call(true, |data| data.commit(transaction)).await
    }

    /// Reads rows, subject to faults; rows may be stale.
    ///
    /// # Errors
    ///
    /// Fails as the platform's tables do.
    pub async fn read(&self, query: table::Query) -> Result<Vec<table::Row>, failure::Failure> {
        self.call(false, |data| Ok(data.read(query))).await
    }

    /// Creates an object, subject to faults.
    ///
    /// # Errors
    ///
    /// Fails as the platform's object store does.
    pub async fn create(&self, object: object::Object) -> Result<object::Put, failure::Failure> {
        self.call(true, |data| Ok(data.create(object))).await
    }

    /// Reads an object, subject to faults.
    ///
    /// # Errors
    ///
    /// Fails as the platform's object store does.
    pub async fn get(&self, name: String) -> Result<Option<String>, failure::Failure> {
        self.call(false, move |data| Ok(data.objects.get(&name).cloned())).await
    }

    /// Lists the names of objects that start with `prefix`, subject to faults.
    ///
    /// # Errors
    ///
    /// Fails as the platform's object store does.
    pub async fn list(&self, prefix: String) -> Result<Vec<String>, failure::Failure> {
        self.call(false, move |data| Ok(data.list(&prefix))).await
    }

    /// Lists the VMs, subject to faults.
    ///
    /// # Errors
    ///
    /// Fails as the platform's VM list does.
    pub async fn vms(&self) -> Result<Vec<vm::Vm>, failure::Failure> {
        self.call(false, |data| Ok(data.vms.clone())).await
    }

    /// Rates an answer, subject to faults: accepted unless it is empty or contains `(bad)`.
    ///
    /// # Errors
    ///
    /// Fails as the rating service does.
    pub async fn rate(&self, request: rating::Request) -> Result<rating::Rating, failure::Failure> {
        self.call(false, move |_| {
            let accepted = !request.answer.is_empty() && !request.answer.contains("(bad)");
            Ok(rating::Rating { score: if accepted { 1.0 } else { 0.0 }, accepted })
        })
        .await
    }

    /// Grants a load at the weight store's rate, subject to faults.
    ///
    /// # Errors
    ///
    /// Fails as the weight store does.
    pub async fn reserve(
        &self,
        reservation: weights::Reservation,
    ) -> Result<weights::Grant, failure::Failure> {
        self.call(true, |data| Ok(data.weights.reserve(reservation, clock::boot_now()))).await
    }

    /// Returns a platform client that calls this platform directly, without HTTP.
    pub fn platform(&self) -> Platform {
        Platform {
            table: self.table(),
            objects: self.objects(),
            vms: self.vm_list(),
            ratings: self.ratings(),
            weights: self.weights(),
        }
    }

    fn table(&self) -> table::Table {
        let (commit, read) = (self.clone(), self.clone());
        table::Table::new(
            move |transaction| {
                let memory = commit.clone();
                async move { memory.commit(transaction).await }.boxed()
            },
            move |query| {
                let memory = read.clone();
                async move { memory.read(query).await }.boxed()
            },
        )
    }

    fn objects(&self) -> object::Objects {
        let (create, get, list) = (self.clone(), self.clone(), self.clone());
        object::Objects::new(
            move |object| {
                let memory = create.clone();
                async move { memory.create(object).await }.boxed()
            },
            move |name| {
                let memory = get.clone();
                async move { memory.get(name).await }.boxed()
            },
            move |prefix| {
                let memory = list.clone();
                async move { memory.list(prefix).await }.boxed()
            },
        )
    }

    fn vm_list(&self) -> vm::Vms {
        let list = self.clone();
        vm::Vms::new(move || {
            let memory = list.clone();
            async move { memory.vms().await }.boxed()
        })
    }

    fn ratings(&self) -> rating::Ratings {
        let rate = self.clone();
        rating::Ratings::new(move |request| {
            let memory = rate.clone();
            async move { memory.rate(request).await }.boxed()
        })
    }
}

impl Memory {
    fn weights(&self) -> weights::Weights {
        let memory = self.clone();
        weights::Weights::new(move |reservation| {
            let memory = memory.clone();
            async move { memory.reserve(reservation).await }.boxed()
        })
    }
}

impl Data {
    // The row as of revision `revision_max`.
    fn row(&self, name: &table::RowKey, revision_max: u64) -> table::Row {
        let values = self.rows.get(name).map(Vec::as_slice).unwrap_or_default();
        let found = values.iter().rev().find(|(revision, _)| *revision <= revision_max);
        match found {
            Some((revision, Some(value))) => {
                table::Row { name: name.clone(), revision: *revision, value: Some(value.clone()) }
            }
            _ => table::Row { name: name.clone(), revision: 0, value: None },
        }
    }

    fn write(&mut self, write: table::Write) {
        let oldest = self.commits.front().map_or(self.revision, |(_, revision)| *revision);
        let revision = self.revision;
        let values = self.rows.entry(write.name.clone()).or_default();
        values.push((revision, write.value));
        // Also keeps the newest value that the stalest read can see.
        let visible = values.partition_point(|(revision, _)| *revision <= oldest);
        values.drain(..visible.saturating_sub(1));
    }

    fn commit(&mut self, transaction: table::Transaction) -> Result<(), failure::Failure> {
        let current = |name| self.row(name, u64::MAX);
        let checked = transaction.checks.iter().map(|check| (check, current(&check.name)));
        let rows: Vec<_> = checked
            .filter(|(check, row)| row.revision != check.revision)
            .map(|(_, row)| row)
            .collect();
        if !rows.is_empty() {
            return Err(failure::Failure::Conflict { rows });
        }
        self.revision += 1;
        let now = time::Instant::now();
        self.commits.push_back((now, self.revision));
        // Keeps the last commit that is older than the limit: the stalest read still sees it.
        while self.commits.get(1).is_some_and(|(at, _)| now.duration_since(*at) > READ_LAG_MAX) {
            self.commits.pop_front();
        }
        for write in transaction.writes {
            self.write(write);
        }
        Ok(())
    }

    // The newest revision that a read sees.
    fn visible_revision(&mut self) -> u64 {
        let lag = Duration::from_millis(self.rng.random_range(0..=self.faults.lag_ms));
        let now = time::Instant::now();
        let mut newest_first = self.commits.iter().rev();
        let visible = newest_first.find(|(at, _)| now.duration_since(*at) >= lag.min(READ_LAG_MAX));
        match (visible, self.commits.front()) {
            (Some((_, revision)), _) => *revision,
            (None, Some((_, first))) => first - 1,
            (None, None) => 0,
        }
    }

    fn read(&mut self, query: table::Query) -> Vec<table::Row> {
        let revision = self.visible_revision();
        match query {
            table::Query::Rows(names) => {
                names.iter().map(|name| self.row(name, revision)).collect()
            }
            table::Query::Scan(scan) => self
                .rows
                .keys()
                .filter(|name| name.table == scan.table && name.key.starts_with(&scan.prefix))
                .filter(|name| name.key > scan.after)
                .map(|name| self.row(name, revision))
                .filter(|row| row.value.is_some())
                .take(scan.limit)
                .collect(),
        }
    }

    fn create(&mut self, object: object::Object) -> object::Put {
        if self.objects.contains_key(&object.name) {
            return object::Put::Exists;
        }
        self.objects.insert(object.name, object.content);
        object::Put::Created
    }

    fn list(&self, prefix: &str) -> Vec<String> {
        self.objects.keys().filter(|name| name.starts_with(prefix)).cloned().collect()
    }
}
