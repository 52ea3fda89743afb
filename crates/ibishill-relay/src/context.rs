//! What all tasks of a relay share.

use std::cell::{RefCell, RefMut};
use std::rc::Rc;
use std::time::Instant;

use ibishill_core::{clock, id, time};
use tokio::sync::Notify;

use crate::{metrics, state};

/// Offset that keeps times in the past representable after a start.
const ORIGIN_MS: u64 = 10_000_000;

/// What all tasks share.
pub(crate) struct Context {
    state: RefCell<state::State>,
    /// Counters and histograms.
    pub(crate) metrics: metrics::Metrics,
    origin: Instant,
    /// When the process started, which tells its incarnations apart.
    pub(crate) start: u64,
    /// Woken when an endpoint may have room.
    pub(crate) capacity_freed: Notify,
    /// Woken when rows have changed, so that peers hear of them at once.
    pub(crate) rows_changed: Notify,
    /// Woken when the process is asked to stop.
    pub(crate) shutdown: Notify,
}

/// A shared context.
pub(crate) type Shared = Rc<Context>;

impl Context {
    pub(crate) fn new(state: state::State, metrics: metrics::Metrics, start: u64) -> Shared {
        Rc::new(Self {
            state: RefCell::new(state),
            metrics,
            origin: Instant::now(),
            start,
            capacity_freed: Notify::new(),
            rows_changed: Notify::new(),
            shutdown: Notify::new(),
        })
    }

    /// The state; the guard must not be held across an await.
    pub(crate) fn state(&self) -> RefMut<'_, state::State> {
        self.state.borrow_mut()
    }

    /// The time.
    pub(crate) fn now(&self) -> time::Tick {
        let millis = self.origin.elapsed().as_millis();
        time::Tick(ORIGIN_MS + u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Time since the process started.
    pub(crate) fn uptime(&self) -> time::Millis {
        self.now().since(time::Tick(ORIGIN_MS))
    }

    /// The VM.
    pub(crate) fn vm(&self) -> id::VmId {
        self.state().settings.vm.clone()
    }
}

/// Tells how long the VM was suspended since the last look.
///
/// The steady clock stands still in a suspension, the boot clock goes on.
pub(crate) struct SuspensionDetector {
    boot: time::Tick,
    monotonic: Instant,
}

impl SuspensionDetector {
    pub(crate) fn start() -> Self {
        Self { boot: clock::boot_now(), monotonic: Instant::now() }
    }

    /// Time for which the VM or the process stood still since the last call, beyond the
    /// `expected` time between two calls.
    pub(crate) fn poll(&mut self, expected: time::Millis) -> time::Millis {
        let (boot, monotonic) = (clock::boot_now(), Instant::now());
        let passed = boot.since(self.boot);
        let ran = monotonic.duration_since(self.monotonic).as_millis();
        let ran = time::Millis(u64::try_from(ran).unwrap_or(u64::MAX));
        (self.boot, self.monotonic) = (boot, monotonic);
        time::Millis(passed.0.max(ran.0)).saturating_sub(expected)
    }
}
