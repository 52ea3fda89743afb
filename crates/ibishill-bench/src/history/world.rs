//! The platform, the daemons and the recorded history of one run.

use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ibishill_core::id;
use ibishill_platform::vm;
use ibishill_standin::memory;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Ablation, Disturbance, History, daemon, fault};

/// Zone of all daemons.
pub fn zone() -> id::ZoneId {
    "zone-a".parse().expect("a valid name")
}

/// Faults present throughout a run: stale reads and slow calls.
pub fn base_faults() -> memory::Faults {
    memory::Faults { delay_ms: 20, lag_ms: 1_000, ..memory::Faults::default() }
}

struct Inner {
    rng: ChaCha8Rng,
    history: History,
    daemons: Vec<daemon::Daemon>,
    position: u64,
}

/// One run; clones share its state.
#[derive(Clone)]
pub struct World {
    /// The in-memory platform.
    pub memory: memory::Memory,
    /// The mechanism that is disabled.
    pub ablation: Ablation,
    start: tokio::time::Instant,
    inner: Arc<Mutex<Inner>>,
}

impl World {
    /// Creates a run of `seed` without daemons.
    pub fn new(seed: u64, ablation: Ablation) -> Self {
        let memory = memory::Memory::new(seed);
        memory.set_faults(base_faults());
        let inner = Inner {
            rng: ChaCha8Rng::seed_from_u64(seed),
            history: History::default(),
            daemons: Vec::new(),
            position: 0,
        };
        let start = tokio::time::Instant::now();
        Self { memory, ablation, start, inner: Arc::new(Mutex::new(inner)) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Virtual time since the start, in milliseconds.
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).expect("a run is short")
    }

    /// Draws a number from the generator of the run.
    pub fn draw(&self, range: Range<u64>) -> u64 {
        fault::draw(&mut self.lock().rng, range)
    }

    /// Returns the next position in the order of events.
    pub fn position(&self) -> u64 {
        let mut inner = self.lock();
        inner.position += 1;
        inner.position
    }

    /// Updates the recorded history.
    pub fn record<F>(&self, change: F)
    where
        F: FnOnce(&mut History),
    {
        change(&mut self.lock().history);
    }

    /// The history recorded so far.
    pub fn history(&self) -> History {
        self.lock().history.clone()
    }

    /// Counts an injected fault by its kind.
    pub fn count_fault(&self, kind: &'static str) {
        self.record(|history| *history.faults.entry(kind).or_default() += 1);
    }

    /// Records a period in which daemons are disturbed.
    pub fn record_disturbance(&self, disturbance: Disturbance) {
        self.record(|history| history.disturbances.push(disturbance));
    }

    /// Whether no platform fault lasts beyond `now`.
    pub fn is_undisturbed(&self, now: u64) -> bool {
        let inner = self.lock();
        !inner
            .history
            .disturbances
            .iter()
            .any(|disturbance| disturbance.vm.is_none() && disturbance.until > now)
    }

    /// Starts a daemon on a new VM.
    pub fn start_daemon(&self) {
        let number = self.lock().history.started.len() as u64;
        let daemon = daemon::Daemon::new(self, number);
        let from = self.now();
        // A new daemon may take as long to become ready as a change to come into force.
        let until = from + super::check::IN_FORCE_MS;
        self.record_disturbance(Disturbance { vm: Some(daemon.vm.clone()), from: 0, until });
        self.record(|history| history.started.push(daemon.vm.clone()));
        self.lock().daemons.push(daemon.clone());
        self.publish_vms();
        daemon.spawn_tasks(self);
    }

    /// Sets the platform's list of VMs to those of the live daemons.
    pub fn publish_vms(&self) {
        let listed = self.live().into_iter().map(|daemon| vm::Vm {
            vm: daemon.vm.clone(),
            zone: zone(),
            leaving: false,
        });
        self.memory.set_vms(listed.collect());
    }

    /// All daemons started so far, including stopped ones.
    pub fn daemons(&self) -> Vec<daemon::Daemon> {
        self.lock().daemons.clone()
    }

    /// The daemons that have not been stopped.
    pub fn live(&self) -> Vec<daemon::Daemon> {
        let daemons = self.lock().daemons.clone();
        daemons.into_iter().filter(|daemon| !daemon.is_stopped()).collect()
    }
}
