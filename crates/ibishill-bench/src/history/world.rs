//! The platform, the daemons and the record of one run.

use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ibishill_core::id;
use ibishill_platform::vm;
use ibishill_standin::memory;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Breakage, History, Span, daemon, fault};

/// The zone of the daemons.
pub fn zone() -> id::ZoneId {
    "zone-a".parse().expect("a valid name")
}

/// Faults that are always there: reads lag a little, calls take a little.
pub fn base_faults() -> memory::Faults {
    memory::Faults { delay_ms: 20, lag_ms: 1_000, ..memory::Faults::default() }
}

struct Inner {
    rng: ChaCha8Rng,
    history: History,
    nodes: Vec<daemon::Node>,
    position: u64,
}

/// One run; clones share it.
#[derive(Clone)]
pub struct World {
    /// The platform.
    pub memory: memory::Memory,
    /// What is left out.
    pub breakage: Breakage,
    start: tokio::time::Instant,
    inner: Arc<Mutex<Inner>>,
}

impl World {
    /// Makes the world of `seed` without daemons.
    pub fn new(seed: u64, breakage: Breakage) -> Self {
        let memory = memory::Memory::new(seed);
        memory.set_faults(base_faults());
        let inner = Inner {
            rng: ChaCha8Rng::seed_from_u64(seed),
            history: History::default(),
            nodes: Vec::new(),
            position: 0,
        };
        let start = tokio::time::Instant::now();
        Self { memory, breakage, start, inner: Arc::new(Mutex::new(inner)) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Virtual time since the start, in milliseconds.
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).expect("a run is short")
    }

    /// Draws a number.
    pub fn draw(&self, range: Range<u64>) -> u64 {
        fault::draw(&mut self.lock().rng, range)
    }

    /// The next position in the order of events.
    pub fn position(&self) -> u64 {
        let mut inner = self.lock();
        inner.position += 1;
        inner.position
    }

    /// Changes the record.
    pub fn record<F>(&self, change: F)
    where
        F: FnOnce(&mut History),
    {
        change(&mut self.lock().history);
    }

    /// The record so far.
    pub fn history(&self) -> History {
        self.lock().history.clone()
    }

    /// Counts a fault.
    pub fn count(&self, kind: &'static str) {
        self.record(|history| *history.faults.entry(kind).or_default() += 1);
    }

    /// Notes that daemons are disturbed.
    pub fn disturb(&self, span: Span) {
        self.record(|history| history.disturbed.push(span));
    }

    /// Whether no disturbance of the platform lasts at `now`.
    pub fn calm_at(&self, now: u64) -> bool {
        let inner = self.lock();
        !inner.history.disturbed.iter().any(|span| span.vm.is_none() && span.until > now)
    }

    /// Starts one more daemon, under a new name.
    pub fn start(&self) {
        let number = self.lock().history.started.len() as u64;
        let node = daemon::Node::new(self, number);
        let from = self.now();
        // A new daemon has as long to become ready as a change has to arrive.
        let until = from + super::check::IN_FORCE_MS;
        self.disturb(Span { vm: Some(node.vm.clone()), from: 0, until });
        self.record(|history| history.started.push(node.vm.clone()));
        self.lock().nodes.push(node.clone());
        self.list();
        node.spawn(self);
    }

    /// Shows the platform's list as it is now.
    pub fn list(&self) {
        let listed = self.live().into_iter().map(|node| vm::Vm {
            vm: node.vm.clone(),
            zone: zone(),
            leaving: false,
        });
        self.memory.set_vms(listed.collect());
    }

    /// All daemons that were ever started.
    pub fn nodes(&self) -> Vec<daemon::Node> {
        self.lock().nodes.clone()
    }

    /// The daemons that have not been stopped.
    pub fn live(&self) -> Vec<daemon::Node> {
        let nodes = self.lock().nodes.clone();
        nodes.into_iter().filter(|node| !node.stopped()).collect()
    }
}
