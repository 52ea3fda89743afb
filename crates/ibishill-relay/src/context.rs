//! Context shared by all tasks of a relay.

use std::cell::{Cell, RefCell, RefMut};
use std::rc::Rc;
use std::time::Instant;

use ibishill_core::{clock, id, time};
use ibishill_decide::{memory as budget, report_targets};
use tokio::sync::Notify;

use crate::{answer, connections, forgotten, memory, metrics, peer_formats, state, unread};

/// Offset of the clock at start, in milliseconds, so that times before the start are representable.
const ORIGIN_MS: u64 = 10_000_000;

/// State, metrics and notifications of one relay.
pub(crate) struct Context {
    state: RefCell<state::State>,
    pub(crate) metrics: metrics::Metrics,
    /// Memory for data of callers and endpoints.
    pub(crate) memory: Rc<memory::Memory>,
    /// Connections of callers.
    pub(crate) connections: connections::Connections,
    /// Memory of answers that are being read.
    pub(crate) answers: answer::Buffers,
    /// Memory of answers that callers have yet to read.
    pub(crate) unread: unread::Unread,
    /// Prompts that were forgotten early.
    pub(crate) forgotten: forgotten::Forgotten,
    /// Encodings that peers read.
    pub(crate) peer_formats: RefCell<peer_formats::PeerFormats>,
    origin: Instant,
    /// Start time of the process, in milliseconds since the Unix epoch; distinguishes it from
    /// earlier processes on the same VM.
    pub(crate) start: u64,
    /// Notified when an endpoint may have a free slot.
    pub(crate) capacity_freed: Notify,
    /// Notified when rows have changed, to start a gossip round at once.
    pub(crate) rows_changed: Notify,
    /// Notified when chunks of a delta are missing.
    pub(crate) chunks_wanted: Notify,
    /// Number of requests for chunks that are being served.
    pub(crate) chunks_serving: Cell<u32>,
    /// Number of running checks of endpoints that may have ended.
    pub(crate) end_checks: Cell<u32>,
    /// Notified when an endpoint that was out of reach has answered a probe.
    pub(crate) probe_answered: Notify,
    /// Notified when other endpoints are out of reach than before.
    pub(crate) reach_changed: Notify,
    /// Number of requests that are being run for peers.
    pub(crate) forwarded: Cell<u32>,
    /// Notified when this relay has seen an endpoint end as an answer began.
    pub(crate) evidence_added: Notify,
    /// Endpoints that have just begun or ended to read a prompt of this relay, with its prefill cost.
    pub(crate) readings: RefCell<Vec<(id::EndpointId, f64)>>,
    /// Notified when there are some.
    pub(crate) reading_changed: Notify,
    /// Notified when requests must be answered because the process is about to end.
    pub(crate) ending: Notify,
    /// Notified when connections must be closed because the process is stopping.
    pub(crate) shutdown: Notify,
}

/// Reference to the shared context.
pub(crate) type Shared = Rc<Context>;

impl Context {
    pub(crate) fn new(mut state: state::State, metrics: metrics::Metrics, start: u64) -> Shared {
        let (bytes, descriptors) = (state.settings.memory, state.settings.descriptors);
        let memory = memory::Memory::new(budget::Budget::of(bytes, descriptors));
        state.exposures.limit_answered(memory.budget.answered);
        Rc::new(Self {
            state: RefCell::new(state),
            metrics,
            answers: answer::Buffers::new(&memory),
            unread: unread::Unread::new(&memory),
            memory,
            connections: connections::Connections::default(),
            forgotten: forgotten::Forgotten::default(),
            peer_formats: RefCell::default(),
            origin: Instant::now(),
            start,
            capacity_freed: Notify::new(),
            rows_changed: Notify::new(),
            chunks_wanted: Notify::new(),
            chunks_serving: Cell::new(0),
            end_checks: Cell::new(0),
            probe_answered: Notify::new(),
            reach_changed: Notify::new(),
            forwarded: Cell::new(0),
            evidence_added: Notify::new(),
            readings: RefCell::default(),
            reading_changed: Notify::new(),
            ending: Notify::new(),
            shutdown: Notify::new(),
        })
    }

    /// Records that an endpoint begins or ends to read a prompt, which peers may be told of.
    pub(crate) fn record_reading(&self, endpoint: &id::EndpointId, prefill: f64) {
        if report_targets::is_told(prefill) {
            self.readings.borrow_mut().push((endpoint.clone(), prefill));
            self.reading_changed.notify_one();
        }
    }

    /// Borrows the state; the guard must not be held across an await.
    pub(crate) fn state(&self) -> RefMut<'_, state::State> {
        self.state.borrow_mut()
    }

    /// Monotonic time since the start, plus a fixed offset.
    pub(crate) fn now(&self) -> time::Tick {
        self.at(Instant::now())
    }

    /// An instant as a time since the start, plus a fixed offset.
    pub(crate) fn at(&self, instant: Instant) -> time::Tick {
        let millis = instant.saturating_duration_since(self.origin).as_millis();
        time::Tick(ORIGIN_MS + u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Time since the process started.
    pub(crate) fn uptime(&self) -> time::Millis {
        self.now().since(time::Tick(ORIGIN_MS))
    }

    /// VM that this relay runs on.
    pub(crate) fn vm(&self) -> id::VmId {
        self.state().settings.vm.clone()
    }
}

/// Detects suspensions of the VM and stalls of the process.
///
/// The monotonic clock stops during a suspension, the boot clock does not.
pub(crate) struct SuspensionDetector {
    boot: time::Tick,
    monotonic: Instant,
}

impl SuspensionDetector {
    pub(crate) fn start() -> Self {
        Self { boot: clock::boot_now(), monotonic: Instant::now() }
    }

    /// Time since the last call in excess of `expected`, the planned interval between calls.
    pub(crate) fn poll(&mut self, expected: time::Millis) -> time::Millis {
        let (boot, monotonic) = (clock::boot_now(), Instant::now());
        let passed = boot.since(self.boot);
        let ran = monotonic.duration_since(self.monotonic).as_millis();
        let ran = time::Millis(u64::try_from(ran).unwrap_or(u64::MAX));
        (self.boot, self.monotonic) = (boot, monotonic);
        time::Millis(passed.0.max(ran.0)).saturating_sub(expected)
    }
}
