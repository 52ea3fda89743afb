//! Counts the memory for data of callers and endpoints against the relay's budget.
//!
//! Bodies, answers that are being read and answers that callers have yet to read have limits of their own within the
//! budget. What to give up is decided in [`ibishill_decide::memory`].

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use ibishill_core::time;
use ibishill_decide::memory;
use tokio::sync::Notify;
use tokio::time as clock;

use crate::unread;

/// Interval of attempts to get memory that uploads which were given up are about to release.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Memory of one kind in use, which counts for the total as well; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Counter {
    own: Arc<AtomicUsize>,
    total: Arc<AtomicUsize>,
}

impl Counter {
    fn new(total: &Arc<AtomicUsize>) -> Self {
        Self { own: Arc::default(), total: total.clone() }
    }

    /// Adds bytes.
    pub(crate) fn add(&self, bytes: usize) {
        self.own.fetch_add(bytes, Ordering::Relaxed);
        self.total.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Subtracts bytes.
    pub(crate) fn sub(&self, bytes: usize) {
        self.own.fetch_sub(bytes, Ordering::Relaxed);
        self.total.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Memory of this kind, in bytes.
    pub(crate) fn used(&self) -> usize {
        self.own.load(Ordering::Relaxed)
    }
}

/// Memory of a relay for data of callers and endpoints.
pub(crate) struct Memory {
    pub(crate) budget: memory::Budget,
    total: Arc<AtomicUsize>,
    /// Requests of callers: heads and bodies.
    pub(crate) bodies: Counter,
    /// Answers that are being read from endpoints.
    pub(crate) answers: Counter,
    /// Answers that callers have yet to read.
    pub(crate) unread: Counter,
    /// Refused bodies that are being read.
    discards: Cell<usize>,
    /// Refused bodies that were not read, as many others were, since the start.
    pub(crate) cut: Cell<u64>,
    /// Connections of callers, and requests of peers.
    pub(crate) callers: Cell<usize>,
    uploads: RefCell<BTreeMap<u64, Entry>>,
    next: Cell<u64>,
    origin: Instant,
}

struct Entry {
    upload: memory::Upload,
    /// Notified when it is given up.
    evicted: Rc<Notify>,
}

/// A request that is being received; its memory is released when dropped.
pub(crate) struct Upload {
    memory: Rc<Memory>,
    number: u64,
    /// Memory that its head occupies, in bytes.
    head: usize,
    /// The same with its body.
    size: usize,
    evicted: Rc<Notify>,
}

/// Memory of the head of a request that has arrived whole, released when dropped.
pub(crate) struct Head {
    size: usize,
    bodies: Counter,
}

impl Drop for Head {
    fn drop(&mut self) {
        self.bodies.sub(self.size);
    }
}

/// Memory of a body that has arrived whole, released when dropped.
pub(crate) struct Body {
    bytes: Vec<u8>,
    size: usize,
    bodies: Counter,
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.bodies.sub(self.size);
    }
}

/// A refused body that is being read; it is counted until dropped.
pub(crate) struct Discard(Rc<Memory>);

impl Drop for Discard {
    fn drop(&mut self) {
        self.0.discards.set(self.0.discards.get() - 1);
    }
}

/// Error of an upload for which there is no memory.
pub(crate) struct Exhausted;

impl Memory {
    /// Memory with nothing in use.
    pub(crate) fn new(budget: memory::Budget) -> Rc<Self> {
        let total = Arc::default();
        Rc::new(Self {
            budget,
            bodies: Counter::new(&total),
            answers: Counter::new(&total),
            unread: Counter::new(&total),
            total,
            discards: Cell::new(0),
            cut: Cell::new(0),
            callers: Cell::new(0),
            uploads: RefCell::default(),
            next: Cell::new(0),
            origin: Instant::now(),
        })
    }

    /// All memory in use, in bytes.
    pub(crate) fn used(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// Time since the start, which differs from that of other decisions.
    pub(crate) fn now(&self) -> time::Tick {
        self.at(Instant::now())
    }

    /// The same for another moment.
    pub(crate) fn at(&self, moment: Instant) -> time::Tick {
        let passed = moment.saturating_duration_since(self.origin).as_millis();
        time::Tick(u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// What callers may have yet to read, in bytes.
    pub(crate) fn unread_limit(&self) -> usize {
        let limit = self.budget.unread_beside(self.bodies.used() + self.answers.used());
        memory::beside_callers(limit, self.callers.get())
    }

    /// The same with answers that are being read, in bytes.
    pub(crate) fn unread_and_reading(&self) -> usize {
        let limit = self.budget.unread_and_reading(self.bodies.used());
        memory::beside_callers(limit, self.callers.get())
    }

    /// Gives up stalled uploads while the budget is exceeded.
    pub(crate) fn relieve(&self) {
        let mut excess = self.used().saturating_sub(self.budget.total);
        while excess > 0 {
            let Some(size) = self.evict_stalled(1) else { break };
            excess = excess.saturating_sub(size);
        }
    }

    /// Gives up the upload that has stalled first, of those that occupy `size_min` bytes; returns its size.
    pub(crate) fn evict_stalled(&self, size_min: usize) -> Option<usize> {
        let number = {
            let uploads = self.uploads.borrow();
            let all = uploads.iter().map(|(number, entry)| (*number, entry.upload));
            memory::stalled(all.filter(|(_, upload)| upload.size >= size_min), self.now())?
        };
        self.evict(number)
    }

    // It is no longer a candidate, although its memory is released a little later.
    fn evict(&self, number: u64) -> Option<usize> {
        let entry = self.uploads.borrow_mut().remove(&number)?;
        entry.evicted.notify_one();
        Some(entry.upload.size)
    }

    /// Begins to read a refused body; none if as many are read as may be.
    pub(crate) fn begin_discard(self: &Rc<Self>) -> Option<Discard> {
        let count = self.discards.get();
        if count >= self.budget.discards {
            self.cut.set(self.cut.get() + 1);
            return None;
        }
        self.discards.set(count + 1);
        Some(Discard(self.clone()))
    }

    /// Begins to receive a request.
    pub(crate) fn begin_upload(self: &Rc<Self>) -> Upload {
        let number = self.next.replace(self.next.get() + 1);
        let evicted = Rc::<Notify>::default();
        let upload = memory::Upload::begin(self.now());
        self.uploads.borrow_mut().insert(number, Entry { upload, evicted: evicted.clone() });
        Upload { memory: self.clone(), number, head: 0, size: 0, evicted }
    }
}

impl Upload {
    /// Completes once the upload has been given up for others.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Records that bytes have arrived.
    pub(crate) fn record(&self, bytes: usize) {
        let now = self.memory.now();
        if let Some(entry) = self.memory.uploads.borrow_mut().get_mut(&self.number) {
            entry.upload.record(bytes, now);
        }
    }

    /// Counts the head.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for it.
    pub(crate) async fn add_head(
        &mut self,
        head: memory::Head,
        unread: &unread::Unread,
    ) -> Result<(), Exhausted> {
        let size = head.size();
        if head.is_small() {
            self.resize(size);
        } else {
            self.grow(size, unread).await?;
        }
        self.head = size;
        Ok(())
    }

    /// Has the buffer of the body grow to `capacity` bytes, and waits for the memory of others that are given up for it.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for it.
    pub(crate) async fn grow_body(
        &mut self,
        capacity: usize,
        unread: &unread::Unread,
    ) -> Result<(), Exhausted> {
        self.grow(self.head + memory::arriving(capacity), unread).await
    }

    async fn grow(&mut self, size: usize, unread: &unread::Unread) -> Result<(), Exhausted> {
        while !self.try_grow(size, unread)? {
            clock::sleep(RETRY_INTERVAL).await;
        }
        Ok(())
    }

    // Whether it has grown; if not, it may once others have released their memory.
    fn try_grow(&mut self, size: usize, unread: &unread::Unread) -> Result<bool, Exhausted> {
        let memory = &self.memory;
        let claim = memory::Claim { number: self.number, held: self.size, size };
        let (mut uploads_released, mut unread_released) = (0, 0);
        loop {
            let released = uploads_released + unread_released;
            let usage = memory::Usage {
                total: memory.used().saturating_sub(released),
                bodies: memory.bodies.used().saturating_sub(uploads_released),
            };
            let growth = {
                let uploads = memory.uploads.borrow();
                let all = uploads.iter().map(|(number, entry)| (*number, entry.upload));
                memory::grow(&memory.budget, usage, claim, all, memory.now())
            };
            match growth {
                memory::Growth::Fits if released > 0 => return Ok(false),
                memory::Growth::Fits => break,
                memory::Growth::Evict(number) => {
                    uploads_released += memory.evict(number).ok_or(Exhausted)?;
                }
                memory::Growth::Refuse => {
                    // Several uploads may wait for what the same callers release.
                    if unread_released == unread.disconnected() {
                        unread.release_for(usage, claim).ok_or(Exhausted)?;
                    }
                    unread_released = unread.disconnected();
                }
            }
        }
        self.resize(size);
        Ok(true)
    }

    fn resize(&mut self, size: usize) {
        self.memory.bodies.add(size);
        self.memory.bodies.sub(self.size);
        self.size = size;
        if let Some(entry) = self.memory.uploads.borrow_mut().get_mut(&self.number) {
            entry.upload.size = size;
        }
    }

    /// Ends the upload, since the request has arrived whole; its memory is released with what is returned.
    pub(crate) fn complete(mut self, bytes: Vec<u8>) -> (Body, Head) {
        let (head, body) = (self.head, bytes.capacity());
        self.resize(head + body);
        self.size = 0;
        let bodies = &self.memory.bodies;
        (
            Body { bytes, size: body, bodies: bodies.clone() },
            Head { size: head, bodies: bodies.clone() },
        )
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.memory.uploads.borrow_mut().remove(&self.number);
        self.memory.bodies.sub(self.size);
    }
}
