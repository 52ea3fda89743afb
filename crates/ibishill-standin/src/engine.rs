//! Stand-in for a model engine: a simulation of its timing and memory, served over HTTP.

pub mod behaviour;
pub mod cache;
mod http;
pub mod order;
pub mod simulation;
mod text;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ibishill_core::id;
use ibishill_endpoint::wire;
use tokio::sync::{Notify, watch};

pub use behaviour::Behaviour;

// Requests whose progress is kept, so that a stream can be resumed after it has finished.
const TRACKED_REQUESTS_MAX: usize = 256;
const SEED: u64 = 1;

/// Progress of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Number of tokens generated so far; more will follow.
    Running(u64),
    /// The generation is complete, with this number of tokens.
    Done(u64),
    /// The request was cancelled, or lost when the engine crashed.
    Aborted,
}

struct Data {
    simulation: simulation::Simulation,
    behaviour: behaviour::Behaviour,
    progress: BTreeMap<id::RequestId, watch::Sender<Progress>>,
    arrivals: Vec<id::RequestId>,
    checks_version: bool,
    request_count: u64,
    last_request: Option<id::RequestId>,
}

/// An engine that runs its simulation in real time. Clones share the same state.
#[derive(Clone)]
pub struct Engine {
    data: Arc<Mutex<Data>>,
    wakeup: Arc<Notify>,
    start: Instant,
}

impl Engine {
    /// Creates a warm engine with default settings that accepts any version.
    pub fn new(behaviour: behaviour::Behaviour) -> Self {
        let engine =
            Self::with_settings(simulation::Settings::default(), BTreeSet::new(), behaviour);
        engine.lock().simulation.end_cold_start(Duration::ZERO);
        engine
    }

    /// Creates a cold engine that accepts only `versions`, or any version if the set is empty.
    /// After the first order it accepts only loaded versions in either case.
    pub fn with_settings(
        settings: simulation::Settings,
        versions: BTreeSet<id::VersionRef>,
        behaviour: behaviour::Behaviour,
    ) -> Self {
        let checks_version = !versions.is_empty();
        let mut simulation = simulation::Simulation::new(settings, versions, SEED);
        simulation.set_costs(behaviour.costs());
        let data = Data {
            simulation,
            behaviour,
            progress: BTreeMap::new(),
            arrivals: Vec::new(),
            checks_version,
            request_count: 0,
            last_request: None,
        };
        let data = Arc::new(Mutex::new(data));
        Self { data, wakeup: Arc::default(), start: Instant::now() }
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the current behaviour.
    pub fn behaviour(&self) -> behaviour::Behaviour {
        self.lock().behaviour.clone()
    }

    /// Replaces the behaviour; step costs change from the next step on.
    pub fn set_behaviour(&self, behaviour: behaviour::Behaviour) {
        let mut data = self.lock();
        data.simulation.set_costs(behaviour.costs());
        data.behaviour = behaviour;
    }

    /// Starts a cold start that no order announced.
    pub fn begin_cold_start(&self) {
        let now = self.now();
        self.lock().simulation.begin_cold_start(now);
    }

    /// Well-formed chat requests received so far, including those that were rejected.
    pub fn request_count(&self) -> u64 {
        self.lock().request_count
    }

    /// Requests that are running or queued.
    pub fn in_flight(&self) -> usize {
        self.lock().simulation.in_flight()
    }

    pub(crate) fn accepts_version(&self, version: &str) -> bool {
        let now = self.now();
        let data = self.lock();
        let loaded = data.simulation.order_state().loaded(now);
        !data.checks_version || loaded.iter().any(|loaded| loaded.to_string() == version)
    }

    /// Counts a request and returns the id of the previous one.
    pub(crate) fn record_request(&self, request: &id::RequestId) -> Option<id::RequestId> {
        let mut data = self.lock();
        data.request_count += 1;
        data.last_request.replace(request.clone())
    }

    pub(crate) fn submit(
        &self,
        job: simulation::Job,
    ) -> Result<watch::Receiver<Progress>, simulation::SubmitError> {
        let now = self.now();
        let mut data = self.lock();
        data.advance(now);
        let (sender, receiver) = watch::channel(Progress::Running(0));
        let request = job.request.clone();
        data.progress.insert(request.clone(), sender);
        data.arrivals.push(request);
        if data.arrivals.len() > TRACKED_REQUESTS_MAX {
            let oldest = data.arrivals.remove(0);
            data.progress.remove(&oldest);
        }
        data.simulation.submit(now, job)?;
        self.wakeup.notify_one();
        Ok(receiver)
    }

    pub(crate) fn subscribe(&self, request: &id::RequestId) -> Option<watch::Receiver<Progress>> {
        self.lock().progress.get(request).map(watch::Sender::subscribe)
    }

    pub(crate) fn cancel(&self, request: &id::RequestId) -> bool {
        let now = self.now();
        let mut data = self.lock();
        let known = data.simulation.cancel(now, request);
        if known && let Some(sender) = data.progress.get(request) {
            sender.send_replace(Progress::Aborted);
        }
        self.wakeup.notify_one();
        known
    }

    pub(crate) fn apply_order(&self, order: &wire::Order) -> Result<(), wire::Refused> {
        let now = self.now();
        let mut data = self.lock();
        data.checks_version = true;
        data.simulation.apply_order(now, order)
    }

    pub(crate) fn loaded(&self) -> wire::Loaded {
        let now = self.now();
        let data = self.lock();
        let state = data.simulation.order_state();
        wire::Loaded { versions: state.loaded(now).into_iter().collect(), role: state.role() }
    }

    pub(crate) fn load_report(&self) -> wire::Report {
        let now = self.now();
        self.lock().simulation.load_report(now)
    }

    pub(crate) fn take_cache_events(&self) -> Vec<wire::CacheEvent> {
        let now = self.now();
        self.lock().simulation.take_cache_events(now)
    }

    /// Advances the simulation in real time; never returns.
    pub(crate) async fn run(self) {
        loop {
            let now = self.now();
            let next = {
                let mut data = self.lock();
                data.advance(now);
                data.simulation.next_step()
            };
            let wait = next.map_or(Duration::MAX, |next| next.saturating_sub(self.now()));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.wakeup.notified() => {}
            }
        }
    }
}

impl Data {
    fn advance(&mut self, now: Duration) {
        for output in self.simulation.advance(now) {
            let Some(sender) = self.progress.get(&output.request) else { continue };
            sender.send_modify(|progress| {
                *progress = match (output.event, *progress) {
                    (simulation::Event::Token(n), _) => Progress::Running(n + 1),
                    (simulation::Event::Done, Progress::Running(n)) => Progress::Done(n),
                    (simulation::Event::Done | simulation::Event::Lost, _) => Progress::Aborted,
                };
            });
        }
    }
}

/// Builds an engine's HTTP server, listening on `address`.
pub fn server(engine: Engine, address: SocketAddr) -> rocket::Rocket<rocket::Build> {
    http::server(engine, address)
}
