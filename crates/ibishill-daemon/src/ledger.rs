//! Billing records and refusal counts on their way to the platform.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use ibishill_core::{clock, event, id, outcome, time};
use ibishill_platform::object;
use ibishill_state::{billing, error::StateError, refusal};
use tokio::sync::{Notify, mpsc};

const RECORD_SLOTS: usize = 16_384;
const BATCH_MAX: usize = 4_096;
const DRAIN_PAUSE: Duration = Duration::from_millis(100);

type Cells = Arc<Mutex<BTreeMap<refusal::Minute, u64>>>;

/// The way to the ledger's thread.
#[derive(Clone)]
pub struct Handle {
    records: mpsc::Sender<billing::Record>,
    cells: Cells,
    flush: Arc<Notify>,
    flushed: Arc<Notify>,
    // Whether the last flush has left nothing behind.
    is_written: Arc<AtomicBool>,
}

/// A slot for the billing record of one request, reserved before it runs.
pub struct Slot {
    permit: mpsc::OwnedPermit<billing::Record>,
}

impl Slot {
    /// Fills the slot.
    pub fn bill(self, record: billing::Record) {
        let _sender = self.permit.send(record);
    }
}

impl Handle {
    /// Reserves the slot of one request.
    ///
    /// # Errors
    ///
    /// Refuses the request if the platform has taken no records for too long.
    pub fn reserve(&self) -> Result<Slot, outcome::Refusal> {
        let permit = self.records.clone().try_reserve_owned().map_err(|_| {
            event::emit(event::Event::RingFull, &[event::field("ring", &"billing")]);
            let detail = "billing records wait for the platform";
            outcome::Refusal::not_run(outcome::Reason::NotReady, detail)
                .retry_after(time::Millis::from_secs(5))
        })?;
        Ok(Slot { permit })
    }

    /// Counts one refused request.
    pub fn refused(&self, workspace: Option<id::WorkspaceId>, reason: outcome::Reason) {
        let cell = refusal::Minute::new(workspace, reason, clock::wall_now());
        let mut cells = self.cells.lock().unwrap_or_else(PoisonError::into_inner);
        *cells.entry(cell).or_default() += 1;
    }

    /// Writes all that waits, and returns once that was tried.
    pub async fn flush(&self) {
        let done = self.flushed.notified();
        self.flush.notify_one();
        done.await;
    }

    /// Writes all that waits, again and again until it is written or the time is over;
    /// returns whether all is written.
    pub async fn drain(&self, within: time::Millis) -> bool {
        let written = async {
            loop {
                self.flush().await;
                if self.is_written.load(Ordering::Acquire) {
                    return;
                }
                tokio::time::sleep(DRAIN_PAUSE).await;
            }
        };
        tokio::time::timeout(within.to_std(), written).await.is_ok()
    }
}

/// Starts the thread.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(
    vm: &id::VmId,
    objects: &object::Objects,
    period: time::Millis,
) -> std::io::Result<Handle> {
    let (records, inbox) = mpsc::channel(RECORD_SLOTS);
    let handle = Handle {
        records,
        cells: Cells::default(),
        flush: Arc::default(),
        flushed: Arc::default(),
        is_written: Arc::default(),
    };
    // Names differ between two lives of a VM, so that no batch hides another.
    let first = clock::wall_now().0 << 16;
    let ledger = Ledger {
        vm: vm.clone(),
        billing: billing::Billing::new(objects.clone()),
        refusals: refusal::Refusals::new(objects.clone()),
        cells: Arc::clone(&handle.cells),
        is_written: Arc::clone(&handle.is_written),
        serial: first,
        batch: Vec::new(),
        counts: Vec::new(),
    };
    let (flush, flushed) = (Arc::clone(&handle.flush), Arc::clone(&handle.flushed));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new()
        .name("ledger".into())
        .spawn(move || runtime.block_on(ledger.run(inbox, period, flush, flushed)))?;
    Ok(handle)
}

struct Ledger {
    vm: id::VmId,
    billing: billing::Billing,
    refusals: refusal::Refusals,
    cells: Cells,
    is_written: Arc<AtomicBool>,
    serial: u64,
    batch: Vec<billing::Record>,
    counts: Vec<refusal::Count>,
}

impl Ledger {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<billing::Record>,
        period: time::Millis,
        flush: Arc<Notify>,
        flushed: Arc<Notify>,
    ) {
        loop {
            let asked = tokio::select! {
                () = tokio::time::sleep(period.to_std()) => false,
                () = flush.notified() => true,
            };
            self.write_records(&mut inbox).await;
            self.write_counts().await;
            let is_written = self.batch.is_empty() && self.counts.is_empty();
            self.is_written.store(is_written, Ordering::Release);
            if asked {
                flushed.notify_waiters();
            }
        }
    }

    async fn write_records(&mut self, inbox: &mut mpsc::Receiver<billing::Record>) {
        loop {
            // A batch keeps its name and content until it is known to be written.
            if self.batch.is_empty() {
                while self.batch.len() < BATCH_MAX
                    && let Ok(record) = inbox.try_recv()
                {
                    self.batch.push(record);
                }
                self.serial += 1;
            }
            if self.batch.is_empty() {
                return;
            }
            let written = self.billing.write(&self.vm, self.serial, &self.batch).await;
            if !report(written, self.batch.len()) {
                return;
            }
            self.batch.clear();
        }
    }

    async fn write_counts(&mut self) {
        if self.counts.is_empty() {
            let mut cells = self.cells.lock().unwrap_or_else(PoisonError::into_inner);
            let taken = std::mem::take(&mut *cells);
            self.counts =
                taken.into_iter().map(|(cell, refused)| refusal::Count { cell, refused }).collect();
            self.serial += 1;
        }
        if self.counts.is_empty() {
            return;
        }
        let written = self.refusals.write(&self.vm, self.serial, &self.counts).await;
        if report(written, self.counts.len()) {
            self.counts.clear();
        }
    }
}

fn report(written: Result<(), StateError>, entries: usize) -> bool {
    match written {
        Ok(()) => {
            event::emit(event::Event::BillingWritten, &[event::field("entries", &entries)]);
            true
        }
        Err(error) => {
            event::emit(event::Event::BillingDelayed, &[event::field("error", &error)]);
            false
        }
    }
}
