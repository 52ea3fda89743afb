//! A model engine's stand-in: a pure model of its time and memory, and an HTTP face.

pub mod behaviour;
pub mod cache;
mod face;
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

const ANSWERS_KEPT: usize = 256;
const SEED: u64 = 1;

/// How far an answer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// So many tokens are there, and more will come.
    Running(u64),
    /// All of so many tokens are there.
    Done(u64),
    /// The request was cancelled or lost.
    Ended,
}

struct Data {
    model: simulation::Simulation,
    behaviour: behaviour::Behaviour,
    answers: BTreeMap<id::RequestId, watch::Sender<Progress>>,
    order: Vec<id::RequestId>,
    checks_version: bool,
    served: u64,
    last: Option<id::RequestId>,
}

/// An engine in real time; clones share it.
#[derive(Clone)]
pub struct Engine {
    data: Arc<Mutex<Data>>,
    work: Arc<Notify>,
    start: Instant,
}

impl Engine {
    /// Makes a warm engine that runs whatever it is asked.
    pub fn new(behaviour: behaviour::Behaviour) -> Self {
        let engine =
            Self::with_settings(simulation::Settings::default(), BTreeSet::new(), behaviour);
        engine.lock().model.warm(Duration::ZERO);
        engine
    }

    /// Makes a cold engine that runs only `versions`, if there are any.
    pub fn with_settings(
        settings: simulation::Settings,
        versions: BTreeSet<id::VersionRef>,
        behaviour: behaviour::Behaviour,
    ) -> Self {
        let checks_version = !versions.is_empty();
        let mut model = simulation::Simulation::new(settings, versions, SEED);
        model.set_costs(behaviour.costs());
        let data = Data {
            model,
            behaviour,
            answers: BTreeMap::new(),
            order: Vec::new(),
            checks_version,
            served: 0,
            last: None,
        };
        let data = Arc::new(Mutex::new(data));
        Self { data, work: Arc::default(), start: Instant::now() }
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
        data.model.set_costs(behaviour.costs());
        data.behaviour = behaviour;
    }

    /// Puts the engine into a cold start without warning.
    pub fn chill(&self) {
        let now = self.now();
        self.lock().model.chill(now);
    }

    /// Requests that have been started since the engine began.
    pub fn request_count(&self) -> u64 {
        self.lock().served
    }

    /// Requests that run or wait now.
    pub fn in_flight(&self) -> usize {
        self.lock().model.sequences()
    }

    pub(crate) fn serves(&self, version: &str) -> bool {
        let now = self.now();
        let data = self.lock();
        let loaded = data.model.orders().loaded(now);
        !data.checks_version || loaded.iter().any(|known| known.to_string() == version)
    }

    /// Counts a request; returns the one before it.
    pub(crate) fn count(&self, request: &id::RequestId) -> Option<id::RequestId> {
        let mut data = self.lock();
        data.served += 1;
        data.last.replace(request.clone())
    }

    pub(crate) fn submit(
        &self,
        job: simulation::Job,
    ) -> Result<watch::Receiver<Progress>, simulation::Refused> {
        let now = self.now();
        let mut data = self.lock();
        data.advance(now);
        let (sender, receiver) = watch::channel(Progress::Running(0));
        let request = job.request.clone();
        data.answers.insert(request.clone(), sender);
        data.order.push(request);
        if data.order.len() > ANSWERS_KEPT {
            let oldest = data.order.remove(0);
            data.answers.remove(&oldest);
        }
        data.model.submit(now, job)?;
        self.work.notify_one();
        Ok(receiver)
    }

    pub(crate) fn follow(&self, request: &id::RequestId) -> Option<watch::Receiver<Progress>> {
        self.lock().answers.get(request).map(watch::Sender::subscribe)
    }

    pub(crate) fn cancel(&self, request: &id::RequestId) -> bool {
        let now = self.now();
        let mut data = self.lock();
        let known = data.model.cancel(now, request);
        if known && let Some(answer) = data.answers.get(request) {
            answer.send_replace(Progress::Ended);
        }
        self.work.notify_one();
        known
    }

    pub(crate) fn order(&self, order: &wire::Order) -> Result<(), wire::Refused> {
        let now = self.now();
        let mut data = self.lock();
        data.checks_version = true;
        data.model.order(now, order)
    }

    pub(crate) fn loaded(&self) -> wire::Loaded {
        let now = self.now();
        let data = self.lock();
        let orders = data.model.orders();
        wire::Loaded { versions: orders.loaded(now).into_iter().collect(), role: orders.role() }
    }

    pub(crate) fn report(&self) -> wire::Report {
        let now = self.now();
        self.lock().model.report(now)
    }

    pub(crate) fn cache_events(&self) -> Vec<wire::CacheEvent> {
        let now = self.now();
        self.lock().model.cache_events(now)
    }

    /// Drives the model in real time for ever.
    pub(crate) async fn drive(self) {
        loop {
            let now = self.now();
            let next = {
                let mut data = self.lock();
                data.advance(now);
                data.model.next_step()
            };
            let wait = next.map_or(Duration::MAX, |next| next.saturating_sub(self.now()));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.work.notified() => {}
            }
        }
    }
}

impl Data {
    fn advance(&mut self, now: Duration) {
        for output in self.model.advance(now) {
            let Some(answer) = self.answers.get(&output.request) else { continue };
            answer.send_modify(|progress| {
                *progress = match (output.part, *progress) {
                    (simulation::Part::Token(n), _) => Progress::Running(n + 1),
                    (simulation::Part::Done, Progress::Running(n)) => Progress::Done(n),
                    (simulation::Part::Done | simulation::Part::Lost, _) => Progress::Ended,
                };
            });
        }
    }
}

/// Builds the HTTP server of an engine at `address`.
pub fn server(engine: Engine, address: SocketAddr) -> rocket::Rocket<rocket::Build> {
    face::server(engine, address)
}
