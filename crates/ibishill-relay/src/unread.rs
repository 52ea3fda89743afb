//! Limits the memory that answers occupy while their callers do not read them.
//!
//! An endpoint may write faster than a caller reads, and a caller may read nothing at all. Each stream stops to
//! read from its endpoint once a little is waiting for its caller. All answers together have a limit as well:
//! when it is reached, the callers that have read nothing for the longest time are disconnected.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ibishill_core::event;
use ibishill_decide::memory as decision;
use tokio::sync::Notify;
use tokio::time as clock;

use crate::{abort, memory};

/// What may wait for a caller while more is read from its endpoint, in bytes.
const STREAM_MAX: usize = 8 * 1_024;

/// Memory that is counted for a chunk beside its bytes.
const CHUNK_OVERHEAD: usize = 128;

/// Chunks that may wait for one caller, at most.
pub(crate) const CHUNKS_MAX: usize = STREAM_MAX / CHUNK_OVERHEAD + 2;

/// What the buffers of a connection to an endpoint hold beside, in bytes, once nothing is read from it.
const READ_AHEAD: usize = 48 * 1_024;

/// Time without reading after which a caller may be disconnected.
const STALL_MIN: Duration = Duration::from_secs(1);

/// Interval of attempts to get a part of the memory while it is exhausted.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Memory of all answers that callers have yet to read.
pub(crate) struct Unread {
    memory: Rc<memory::Memory>,
    /// Answers whose callers read nothing, the oldest first.
    stalled: RefCell<BTreeMap<u64, Stalled>>,
    /// What disconnected callers are about to release, in bytes.
    disconnected: RefCell<BTreeMap<u64, usize>>,
    next: Cell<u64>,
}

struct Stalled {
    request: Arc<str>,
    since: Instant,
    part: Part,
    /// Memory that is counted beside, in bytes.
    size: usize,
    abort: abort::Abort,
}

impl Stalled {
    // Closes its caller's connection, which releases the returned number of bytes; `used` bytes are unread in all.
    fn disconnect(&self, used: usize) -> usize {
        event::emit_json(
            event::Event::CallerStalled,
            &[event::field("request", &self.request), event::field("used", &used)],
        );
        self.abort.request();
        self.size + self.part.held.load(Ordering::Relaxed)
    }
}

/// Part of one answer; clones share it.
#[derive(Clone, Default)]
struct Part {
    held: Arc<AtomicUsize>,
    freed: Arc<Notify>,
}

/// Answer whose caller may stop to read.
pub(crate) struct Answer {
    request: Arc<str>,
    abort: abort::Abort,
    part: Part,
}

/// Bytes that count until they are written to the caller's connection.
struct Held {
    bytes: Bytes,
    used: memory::Counter,
    part: Part,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let size = self.bytes.len() + CHUNK_OVERHEAD;
        self.used.sub(size);
        self.part.held.fetch_sub(size, Ordering::Relaxed);
        self.part.freed.notify_one();
    }
}

/// Counts an answer as stalled until dropped.
struct StallGuard<'a> {
    unread: &'a Unread,
    number: u64,
    /// Memory that is counted beside, in bytes.
    size: usize,
}

impl<'a> StallGuard<'a> {
    fn begin(unread: &'a Unread, answer: &Answer, size: usize) -> Self {
        let number = unread.next.replace(unread.next.get() + 1);
        let (request, abort) = (answer.request.clone(), answer.abort.clone());
        let part = answer.part.clone();
        let stalled = Stalled { request, since: Instant::now(), part, size, abort };
        unread.stalled.borrow_mut().insert(number, stalled);
        unread.memory.unread.add(size);
        Self { unread, number, size }
    }
}

impl Drop for StallGuard<'_> {
    fn drop(&mut self) {
        self.unread.stalled.borrow_mut().remove(&self.number);
        self.unread.disconnected.borrow_mut().remove(&self.number);
        self.unread.memory.unread.sub(self.size);
    }
}

impl Answer {
    /// Begins an answer to a request, whose connection can be closed by `abort`.
    pub(crate) fn begin(request: &Arc<str>, abort: &abort::Abort) -> Self {
        Self { request: request.clone(), abort: abort.clone(), part: Part::default() }
    }
}

impl Unread {
    /// Nothing unread, within the relay's memory.
    pub(crate) fn new(memory: &Rc<memory::Memory>) -> Self {
        Self {
            memory: memory.clone(),
            stalled: RefCell::default(),
            disconnected: RefCell::default(),
            next: Cell::default(),
        }
    }

    /// Memory in use, in bytes.
    pub(crate) fn used(&self) -> usize {
        self.memory.unread.used()
    }

    /// Waits until the caller has read enough for more to be read from the endpoint; returns whether that took
    /// time.
    pub(crate) async fn ready(&self, answer: &Answer) -> bool {
        let mut stall = None;
        loop {
            let has_read = answer.part.held.load(Ordering::Relaxed) <= STREAM_MAX;
            if self.make_room() && has_read {
                return stall.is_some();
            }
            stall.get_or_insert_with(|| StallGuard::begin(self, answer, READ_AHEAD));
            if has_read {
                clock::sleep(RETRY_INTERVAL).await;
            } else {
                answer.part.freed.notified().await;
            }
        }
    }

    /// Waits until the memory is not exhausted for more of the answers that are being read.
    pub(crate) async fn room<F>(&self, reading: F)
    where
        F: Fn() -> decision::Reading,
    {
        loop {
            let reading = reading();
            let limit = self.memory.unread_and_reading();
            // While no caller has anything to read, nothing else would make room. Answers that wait here count as well,
            // and many of them must not keep each other waiting.
            let others = if self.used() > 0 { reading.size().min(limit / 2) } else { 0 };
            if self.make_room_within(limit, others) {
                return;
            }
            clock::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Disconnects a caller that reads nothing, so that an upload may grow; none if there is none to disconnect.
    pub(crate) fn release_for(&self, usage: decision::Usage, claim: decision::Claim) -> Option<()> {
        let mut stalled = self.stalled.borrow_mut();
        let readers = stalled.iter().map(|(number, found)| (*number, self.memory.at(found.since)));
        let (budget, now) = (&self.memory.budget, self.memory.now());
        let number = decision::unread_to_release(budget, usage, claim, readers, now)?;
        let size = stalled.remove(&number)?.disconnect(self.used());
        self.disconnected.borrow_mut().insert(number, size);
        Some(())
    }

    /// What disconnected callers are about to release, in bytes.
    pub(crate) fn disconnected(&self) -> usize {
        self.disconnected.borrow().values().sum()
    }

    /// Counts bytes that wait for the caller until they are written.
    pub(crate) fn add(&self, answer: &Answer, bytes: Bytes) -> Bytes {
        let size = bytes.len() + CHUNK_OVERHEAD;
        self.memory.unread.add(size);
        answer.part.held.fetch_add(size, Ordering::Relaxed);
        let (used, part) = (self.memory.unread.clone(), answer.part.clone());
        Bytes::from_owner(Held { bytes, used, part })
    }

    /// Waits until the caller has read all of the answer, or has left.
    pub(crate) async fn drained(&self, answer: &Answer) {
        let _stall = StallGuard::begin(self, answer, 0);
        while answer.part.held.load(Ordering::Relaxed) > 0 {
            self.make_room();
            answer.part.freed.notified().await;
        }
    }

    fn make_room(&self) -> bool {
        self.make_room_within(self.memory.unread_limit(), 0)
    }

    // Whether the memory is not exhausted; disconnects callers that read nothing until it is not. `others` count
    // towards the limit.
    fn make_room_within(&self, limit: usize, others: usize) -> bool {
        self.memory.relieve();
        let mut used = self.used() + others;
        let mut stalled = self.stalled.borrow_mut();
        while used > limit {
            let oldest = stalled.first_entry();
            let oldest = oldest.filter(|found| found.get().since.elapsed() >= STALL_MIN);
            let Some((number, oldest)) = oldest.map(|found| found.remove_entry()) else { break };
            let size = oldest.disconnect(used);
            self.disconnected.borrow_mut().insert(number, size);
            used = used.saturating_sub(size);
        }
        self.used() + others <= limit
    }
}
