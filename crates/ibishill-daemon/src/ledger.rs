//! Writes billing records and refusal counts to the platform.
//!
//! Also writes the records that this daemon holds for others and that were not confirmed
//! in time.

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
const MESSAGE_SLOTS: usize = 16_384;

/// Billing periods after which a held record without a confirmation is written here too.
const HOLD_PERIODS: u64 = 5;

const DRAIN_RETRY_DELAY: Duration = Duration::from_millis(100);

type RefusalCounts = Arc<Mutex<BTreeMap<refusal::Key, u64>>>;

#[derive(Default)]
struct HeldRecords {
    holder: holder::Holder,
    is_closed: bool,
}

/// Handle to the ledger thread; clones share it.
#[derive(Clone)]
pub struct Handle {
    records: mpsc::Sender<billing::Record>,
    messages: mpsc::Sender<replication::Message>,
    held: Arc<Mutex<HeldRecords>>,
    hold_for: time::Millis,
    // Number of records without a second holder.
    unreplicated: Arc<AtomicU64>,
    refusal_counts: RefusalCounts,
    flush: Arc<Notify>,
    flushed: Arc<Notify>,
    // Whether the last flush wrote everything.
    is_written: Arc<AtomicBool>,
}

/// Slot for the billing record of one request, reserved before the request runs.
pub struct Slot {
    permit: mpsc::OwnedPermit<billing::Record>,
    ledger: Handle,
}

impl Slot {
    /// Queues the record for writing and for replication to a second daemon.
    pub fn bill(self, record: billing::Record) {
        // The copy is queued first, so that its confirmation can't overtake it.
        if self.ledger.messages.try_send(replication::Message::Hold(record.clone())).is_err() {
            self.ledger.record_unreplicated(1, "ring full");
        }
        let _sender = self.permit.send(record);
    }
}

impl Handle {
    /// Reserves the slot of one request.
    ///
    /// # Errors
    ///
    /// Refuses the request if too many records wait to be written to the platform.
    pub fn reserve(&self) -> Result<Slot, outcome::Refusal> {
        let permit = self.records.clone().try_reserve_owned().map_err(|_| {
            event::emit(event::Event::RingFull, &[event::field("ring", &"billing")]);
            let detail = "too many billing records wait to be written to the platform";
            outcome::Refusal::not_run(outcome::Reason::NotReady, detail)
                .retry_after(time::Millis::from_secs(5))
        })?;
        Ok(Slot { permit, ledger: self.clone() })
    }

    /// Counts one refused request.
    pub fn record_refusal(&self, workspace: Option<id::WorkspaceId>, reason: outcome::Reason) {
        let key = refusal::Key::new(workspace, reason, clock::wall_now());
        let mut refusal_counts = self.refusal_counts.lock().unwrap_or_else(PoisonError::into_inner);
        *refusal_counts.entry(key).or_default() += 1;
    }

    /// Counts and logs records without a second holder.
    fn record_unreplicated(&self, records: usize, cause: &str) {
        let added = u64::try_from(records).unwrap_or(u64::MAX);
        let total = self.unreplicated.fetch_add(added, Ordering::Relaxed).saturating_add(added);
        let fields = [event::field("total", &total), event::field("cause", &cause)];
        event::emit(event::Event::BillingSingle, &fields);
    }

    /// Holds another daemon's records; returns the ids of those that were accepted.
    pub fn hold(&self, records: &Bytes) -> Vec<id::RequestId> {
        let Ok(records) = serde_json::from_slice::<Vec<billing::Record>>(records) else {
            return Vec::new();
        };
        let due = clock::boot_now() + self.hold_for;
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.is_closed {
            return Vec::new();
        }
        let mut accepted = Vec::new();
        for record in records {
            let request = record.request.clone();
            if held.holder.hold(record, due) {
                accepted.push(request);
            }
        }
        accepted
    }

    /// Number of records held for other daemons.
    pub fn held_count(&self) -> usize {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).holder.len()
    }

    /// Drops held records that their first holder has written.
    ///
    /// Always returns an empty list: none of them is held any longer.
    pub fn confirm(&self, requests: &[id::RequestId]) -> Vec<id::RequestId> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        for request in requests {
            held.holder.confirm(request);
        }
        Vec::new()
    }

    /// Attempts to write everything pending and returns after the attempt.
    pub async fn flush(&self) {
        let done = self.flushed.notified();
        self.flush.notify_one();
        done.await;
    }

    /// Writes everything pending and everything held for others, with retries until the time
    /// limit; returns whether all is written. From now on no records of others are accepted.
    pub async fn drain(&self, within: time::Millis) -> bool {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).is_closed = true;
        let written = async {
            loop {
                self.flush().await;
                if self.is_written.load(Ordering::Acquire) {
                    return;
                }
                tokio::time::sleep(DRAIN_RETRY_DELAY).await;
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
    let (messages, message_inbox) = mpsc::channel(MESSAGE_SLOTS);
    let handle = Handle {
        records,
        messages,
        held: Arc::default(),
        hold_for: time::Millis(period.0.saturating_mul(HOLD_PERIODS)),
        unreplicated: Arc::default(),
        refusal_counts: RefusalCounts::default(),
        flush: Arc::default(),
        flushed: Arc::default(),
        is_written: Arc::default(),
    };
    // A random first serial keeps object names of two runs on one VM apart, even if the
    // clock was set back.
    let first_serial: u64 = rand::random();
    let ledger = Ledger {
        vm: vm.clone(),
        billing: billing::Billing::new(objects.clone()),
        refusals: refusal::Refusals::new(objects.clone()),
        refusal_counts: Arc::clone(&handle.refusal_counts),
        is_written: Arc::clone(&handle.is_written),
        serial: first_serial,
        outbox: billing::Outbox::new(first_serial),
        messages: handle.messages.clone(),
        held: Arc::clone(&handle.held),
        counts: Vec::new(),
    };
    let (flush, flushed) = (Arc::clone(&handle.flush), Arc::clone(&handle.flushed));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new()
        .name("ledger".into())
        .spawn(move || runtime.block_on(ledger.run(inbox, period, flush, flushed)))?;
    Ok((handle, message_inbox))
}

struct Ledger {
    vm: id::VmId,
    billing: billing::Billing,
    refusals: refusal::Refusals,
    refusal_counts: RefusalCounts,
    is_written: Arc<AtomicBool>,
    serial: u64,
    outbox: billing::Outbox,
    messages: mpsc::Sender<replication::Message>,
    held: Arc<Mutex<HeldRecords>>,
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
            let is_requested = tokio::select! {
                () = tokio::time::sleep(period.to_std()) => false,
                () = flush.notified() => true,
            };
            self.write_records(&mut inbox).await;
            self.write_counts().await;
            let is_written = self.outbox.batch().is_empty() && self.counts.is_empty();
            self.is_written.store(is_written, Ordering::Release);
            if is_requested {
                flushed.notify_waiters();
            }
        }
    }

    async fn write_records(&mut self, inbox: &mut mpsc::Receiver<billing::Record>) {
        loop {
            let mut expired = self.take_expired().into_iter();
            self.outbox.fill(|| expired.next().or_else(|| inbox.try_recv().ok()));
            let batch = self.outbox.batch();
            if batch.is_empty() {
                return;
            }
            let written = self.billing.write(&self.vm, self.outbox.serial(), batch).await;
            if !log_write(written, batch.len()) {
                return;
            }
            // A confirmation dropped for lack of a slot only costs a second write.
            let _full =
                self.messages.try_send(replication::Message::Written(self.outbox.complete()));
        }
    }

    // Takes the expired records of other daemons, none while a batch is being written.
    fn take_expired(&self) -> Vec<billing::Record> {
        if !self.outbox.batch().is_empty() {
            return Vec::new();
        }
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let now = if held.is_closed { time::Tick(u64::MAX) } else { clock::boot_now() };
        held.holder.take_expired(now, billing::BATCH_MAX)
    }

    async fn write_counts(&mut self) {
        if self.counts.is_empty() {
            let mut refusal_counts =
                self.refusal_counts.lock().unwrap_or_else(PoisonError::into_inner);
            let counts = std::mem::take(&mut *refusal_counts);
            self.counts = counts
                .into_iter()
                .map(|(key, refused)| refusal::Count { cell: key, refused })
                .collect();
            self.serial = self.serial.wrapping_add(1);
        }
        if self.counts.is_empty() {
            return;
        }
        let written = self.refusals.write(&self.vm, self.serial, &self.counts).await;
        if log_write(written, self.counts.len()) {
            self.counts.clear();
        }
    }
}

fn log_write(written: Result<(), StateError>, entries: usize) -> bool {
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
