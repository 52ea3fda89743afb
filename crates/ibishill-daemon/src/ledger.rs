//! Billing records and refusal counts on their way to the platform.
//!
//! Records of other daemons that were not confirmed in time go the same way.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use ibishill_core::{clock, event, id, outcome, time};
use ibishill_platform::object;
use ibishill_state::{billing, error::StateError, holder, refusal};
use tokio::sync::{Notify, mpsc};

pub mod replication;

const RECORD_SLOTS: usize = 16_384;
const NOTE_SLOTS: usize = 16_384;

/// Billing periods after which a record that is not confirmed is written here too.
const HOLD_PERIODS: u64 = 5;

const DRAIN_PAUSE: Duration = Duration::from_millis(100);

type Cells = Arc<Mutex<BTreeMap<refusal::Key, u64>>>;

#[derive(Default)]
struct Held {
    holder: holder::Holder,
    is_closed: bool,
}

/// The way to the ledger's thread.
#[derive(Clone)]
pub struct Handle {
    records: mpsc::Sender<billing::Record>,
    notes: mpsc::Sender<replication::Message>,
    held: Arc<Mutex<Held>>,
    hold_for: time::Millis,
    // Records that have found no second holder.
    single: Arc<AtomicU64>,
    cells: Cells,
    flush: Arc<Notify>,
    flushed: Arc<Notify>,
    // Whether the last flush has left nothing behind.
    is_written: Arc<AtomicBool>,
}

/// A slot for the billing record of one request, reserved before it runs.
pub struct Slot {
    permit: mpsc::OwnedPermit<billing::Record>,
    ledger: Handle,
}

impl Slot {
    /// Fills the slot and has a second daemon hold the record.
    pub fn bill(self, record: billing::Record) {
        // The copy goes first, so that it can't come after its confirmation.
        if self.ledger.notes.try_send(replication::Message::Hold(record.clone())).is_err() {
            self.ledger.single(1, "ring full");
        }
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
        Ok(Slot { permit, ledger: self.clone() })
    }

    /// Counts one refused request.
    pub fn record_refusal(&self, workspace: Option<id::WorkspaceId>, reason: outcome::Reason) {
        let cell = refusal::Key::new(workspace, reason, clock::wall_now());
        let mut cells = self.cells.lock().unwrap_or_else(PoisonError::into_inner);
        *cells.entry(cell).or_default() += 1;
    }

    /// Counts records that have found no second holder.
    fn single(&self, records: usize, cause: &str) {
        let added = u64::try_from(records).unwrap_or(u64::MAX);
        let total = self.single.fetch_add(added, Ordering::Relaxed).saturating_add(added);
        let fields = [event::field("total", &total), event::field("cause", &cause)];
        event::emit(event::Event::BillingSingle, &fields);
    }

    /// Holds another daemon's records, and tells which there was room for.
    pub fn hold(&self, records: &Bytes) -> Vec<id::RequestId> {
        let Ok(records) = serde_json::from_slice::<Vec<billing::Record>>(records) else {
            return Vec::new();
        };
        let due = clock::boot_now() + self.hold_for;
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.is_closed {
            return Vec::new();
        }
        let mut taken = Vec::new();
        for record in records {
            let request = record.request.clone();
            if held.holder.hold(record, due) {
                taken.push(request);
            }
        }
        taken
    }

    /// How many records of other daemons are held.
    pub fn held_count(&self) -> usize {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).holder.len()
    }

    /// Lets go of records that their first holder has written; none of them is held now.
    pub fn confirm(&self, requests: &[id::RequestId]) -> Vec<id::RequestId> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        for request in requests {
            held.holder.confirm(request);
        }
        Vec::new()
    }

    /// Writes all that waits, and returns once that was tried.
    pub async fn flush(&self) {
        let done = self.flushed.notified();
        self.flush.notify_one();
        done.await;
    }

    /// Writes all that waits and all that is held for others, again and again until it is
    /// written or the time is over; returns whether all is written.
    pub async fn drain(&self, within: time::Millis) -> bool {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).is_closed = true;
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
) -> std::io::Result<(Handle, mpsc::Receiver<replication::Message>)> {
    let (records, inbox) = mpsc::channel(RECORD_SLOTS);
    let (notes, noted) = mpsc::channel(NOTE_SLOTS);
    let handle = Handle {
        records,
        notes,
        held: Arc::default(),
        hold_for: time::Millis(period.0.saturating_mul(HOLD_PERIODS)),
        single: Arc::default(),
        cells: Cells::default(),
        flush: Arc::default(),
        flushed: Arc::default(),
        is_written: Arc::default(),
    };
    // Names differ between two lives of a VM, also if its clock was set back.
    let first: u64 = rand::random();
    let ledger = Ledger {
        vm: vm.clone(),
        billing: billing::Billing::new(objects.clone()),
        refusals: refusal::Refusals::new(objects.clone()),
        cells: Arc::clone(&handle.cells),
        is_written: Arc::clone(&handle.is_written),
        serial: first,
        outbox: billing::Outbox::new(first),
        notes: handle.notes.clone(),
        held: Arc::clone(&handle.held),
        counts: Vec::new(),
    };
    let (flush, flushed) = (Arc::clone(&handle.flush), Arc::clone(&handle.flushed));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new()
        .name("ledger".into())
        .spawn(move || runtime.block_on(ledger.run(inbox, period, flush, flushed)))?;
    Ok((handle, noted))
}

struct Ledger {
    vm: id::VmId,
    billing: billing::Billing,
    refusals: refusal::Refusals,
    cells: Cells,
    is_written: Arc<AtomicBool>,
    serial: u64,
    outbox: billing::Outbox,
    notes: mpsc::Sender<replication::Message>,
    held: Arc<Mutex<Held>>,
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
            let is_written = self.outbox.batch().is_empty() && self.counts.is_empty();
            self.is_written.store(is_written, Ordering::Release);
            if asked {
                flushed.notify_waiters();
            }
        }
    }

    async fn write_records(&mut self, inbox: &mut mpsc::Receiver<billing::Record>) {
        loop {
            let mut late = self.late().into_iter();
            self.outbox.fill(|| late.next().or_else(|| inbox.try_recv().ok()));
            let batch = self.outbox.batch();
            if batch.is_empty() {
                return;
            }
            let written = self.billing.write(&self.vm, self.outbox.serial(), batch).await;
            if !report(written, batch.len()) {
                return;
            }
            // A confirmation that finds no room only costs a second write.
            let _full = self.notes.try_send(replication::Message::Written(self.outbox.complete()));
        }
    }

    // Records of other daemons to write here, none while a batch is under way.
    fn late(&self) -> Vec<billing::Record> {
        if !self.outbox.batch().is_empty() {
            return Vec::new();
        }
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let now = if held.is_closed { time::Tick(u64::MAX) } else { clock::boot_now() };
        held.holder.take_expired(now, billing::BATCH_MAX)
    }

    async fn write_counts(&mut self) {
        if self.counts.is_empty() {
            let mut cells = self.cells.lock().unwrap_or_else(PoisonError::into_inner);
            let taken = std::mem::take(&mut *cells);
            self.counts =
                taken.into_iter().map(|(cell, refused)| refusal::Count { cell, refused }).collect();
            self.serial = self.serial.wrapping_add(1);
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
