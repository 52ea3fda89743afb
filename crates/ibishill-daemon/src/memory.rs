//! Counts the memory for callers' bodies against the daemon's budget. What to give up is decided in
//! [`ibishill_decide::memory`].

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ibishill_core::{clock, event, time};
use ibishill_decide::memory;
use tokio::sync::Notify;

/// Copies of a body while its request runs: as it was received, and as it is encoded for an engine, in a buffer that
/// doubles.
const COPIES: usize = 3;

/// Size up to which a body is taken in any case, in bytes.
const SMALL_BODY: usize = 4 * 1_024;

/// Interval of attempts to get memory that uploads which were given up are about to release.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Least time between two log lines, each of which tells of all refusals so far.
const LOG_INTERVAL: time::Millis = time::Millis::from_secs(1);

/// Memory of a daemon for bodies of callers.
pub(crate) struct Memory {
    budget: memory::Budget,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Memory of all bodies, in bytes.
    bodies: usize,
    uploads: BTreeMap<u64, Entry>,
    next: u64,
    /// Bodies that were refused or given up since the start.
    refused: u64,
    logged: time::Tick,
}

struct Entry {
    upload: memory::Upload,
    /// Notified when it is given up.
    evicted: Arc<Notify>,
}

/// A body that is being received; its memory is released when dropped.
pub(crate) struct Upload {
    memory: Arc<Memory>,
    number: u64,
    /// Memory that it occupies, in bytes.
    size: usize,
    evicted: Arc<Notify>,
}

/// A body that has arrived whole; its memory is released when dropped.
pub(crate) struct Body {
    bytes: Vec<u8>,
    _upload: Upload,
}

/// Error of a body for which there is no memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Exhausted;

/// What an upload that wants to grow has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Nothing; there is memory for it.
    Done,
    /// Wait for the memory of others that were given up.
    Wait,
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Memory {
    /// Memory of a daemon that may use so many bytes, with nothing in use.
    pub(crate) fn new(bytes: u64) -> Arc<Self> {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let budget = memory::Budget::of(Some(bytes / COPIES), None);
        Arc::new(Self { budget, state: Mutex::default() })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Memory of all bodies, in bytes, and how many were refused since the start.
    pub(crate) fn counts(&self) -> (usize, u64) {
        let state = self.state();
        (state.bodies * COPIES, state.refused)
    }

    /// Begins to receive a body.
    pub(crate) fn begin(self: &Arc<Self>) -> Upload {
        let evicted = Arc::<Notify>::default();
        let mut state = self.state();
        let number = state.next;
        state.next += 1;
        let upload = memory::Upload::begin(clock::boot_now());
        state.uploads.insert(number, Entry { upload, evicted: evicted.clone() });
        Upload { memory: self.clone(), number, size: 0, evicted }
    }

    /// Counts a body that is refused.
    pub(crate) fn record_refused(&self) {
        let now = clock::boot_now();
        let mut state = self.state();
        state.refused += 1;
        if now.since(state.logged) < LOG_INTERVAL {
            return;
        }
        state.logged = now;
        let (refused, used) = (state.refused, state.bodies * COPIES);
        drop(state);
        event::emit(
            event::Event::BodiesRefused,
            &[event::field("refused", &refused), event::field("used", &used)],
        );
    }
}

impl Upload {
    /// Completes once the upload has been given up for others.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Records that bytes have arrived.
    pub(crate) fn record(&self, bytes: usize) {
        let now = clock::boot_now();
        if let Some(entry) = self.memory.state().uploads.get_mut(&self.number) {
            entry.upload.record(bytes, now);
        }
    }

    /// Has the buffer grow to `capacity` bytes, and waits for the memory of others that are given up for it.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for it.
    pub(crate) async fn grow(&mut self, capacity: usize) -> Result<(), Exhausted> {
        while let Step::Wait = self.try_grow(capacity)? {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Ok(())
    }

    fn try_grow(&mut self, capacity: usize) -> Result<Step, Exhausted> {
        let size = memory::arriving(capacity);
        let claim = memory::Claim { number: self.number, held: self.size, size };
        let memory = self.memory.clone();
        let mut state = memory.state();
        if capacity > SMALL_BODY && state.make_room(&memory.budget, claim)? == Step::Wait {
            return Ok(Step::Wait);
        }
        self.resize(&mut state, size);
        Ok(Step::Done)
    }

    fn resize(&mut self, state: &mut State, size: usize) {
        state.bodies = state.bodies + size - self.size;
        if let Some(entry) = state.uploads.get_mut(&self.number) {
            entry.upload.size = size;
        }
        self.size = size;
    }

    /// Ends the upload, since the body has arrived whole.
    pub(crate) fn complete(mut self, bytes: Vec<u8>) -> Body {
        let memory = self.memory.clone();
        let mut state = memory.state();
        self.resize(&mut state, bytes.capacity());
        // A body that has arrived whole is never given up.
        state.uploads.remove(&self.number);
        drop(state);
        Body { bytes, _upload: self }
    }
}

impl State {
    // Gives up others until there is memory for an upload.
    fn make_room(
        &mut self,
        budget: &memory::Budget,
        claim: memory::Claim,
    ) -> Result<Step, Exhausted> {
        let now = clock::boot_now();
        let mut released = 0;
        loop {
            let bodies = self.bodies.saturating_sub(released);
            let usage = memory::Usage { total: bodies, bodies };
            let uploads = self.uploads.iter().map(|(number, entry)| (*number, entry.upload));
            match memory::grow(budget, usage, claim, uploads, now) {
                memory::Growth::Fits if released > 0 => return Ok(Step::Wait),
                memory::Growth::Fits => return Ok(Step::Done),
                memory::Growth::Evict(number) => {
                    // It is no longer a candidate, although its memory is released a little later.
                    let entry = self.uploads.remove(&number).ok_or(Exhausted)?;
                    entry.evicted.notify_one();
                    released += entry.upload.size;
                }
                memory::Growth::Refuse => return Err(Exhausted),
            }
        }
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.uploads.remove(&self.number);
        state.bodies -= self.size;
    }
}
