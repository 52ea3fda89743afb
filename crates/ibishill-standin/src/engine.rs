//! A model engine's stand-in: a pure model of its time and memory, and an HTTP face.

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

const TRACKED_REQUESTS_MAX: usize = 256;
const SEED: u64 = 1;

/// How far an answer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// So many tokens are there, and more will come.
    Running(u64),
    /// All of so many tokens are there.
    Done(u64),
    /// The request was cancelled or lost.
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

/// An engine in real time; clones share it.
#[derive(Clone)]
pub struct Engine {
    data: Arc<Mutex<Data>>,
    wakeup: Arc<Notify>,
    start: Instant,
}

impl Engine {
    /// Makes a warm engine that runs whatever it is asked.
    pub fn new(behaviour: behaviour::Behaviour) -> Self {
        let engine =
            Self::with_settings(simulation::Settings::default(), BTreeSet::new(), behaviour);
        engine.lock().simulation.end_cold_start(Duration::ZERO);
        engine
    }

    /// Makes a cold engine that runs only `versions`, if there are any.
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

    /// How the engine behaves now.
    pub fn behaviour(&self) -> behaviour::Behaviour {
        self.lock().behaviour.clone()
    }

    /// Changes how the engine behaves.
    pub fn set_behaviour(&self, behaviour: behaviour::Behaviour) {
        let mut data = self.lock();
        data.simulation.set_costs(behaviour.costs());
        data.behaviour = behaviour;
    }

    /// Puts the engine into a cold start without warning.
    pub fn begin_cold_start(&self) {
        let now = self.now();
        self.lock().simulation.begin_cold_start(now);
    }

    /// Requests that have been started since the engine began.
    pub fn request_count(&self) -> u64 {
        self.lock().request_count
    }

    /// Requests that run or wait now.
    pub fn in_flight(&self) -> usize {
        self.lock().simulation.in_flight()
    }

    pub(crate) fn accepts_version(&self, version: &str) -> bool {
        let now = self.now();
        let data = self.lock();
        let loaded = data.simulation.order_state().loaded(now);
        !data.checks_version || loaded.iter().any(|loaded| loaded.to_string() == version)
    }

    /// Counts a request; returns the one before it.
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

    /// Drives the model in real time for ever.
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

/// Builds the HTTP server of an engine at `address`.
pub fn server(engine: Engine, address: SocketAddr) -> rocket::Rocket<rocket::Build> {
    http::server(engine, address)
}
