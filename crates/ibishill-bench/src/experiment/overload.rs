//! Load beyond capacity: requests answered before their deadline, fair sharing and priority,
//! compared with FIFO.

use std::collections::{BTreeMap, VecDeque};

use ibishill_core::{id, priority, time};
use ibishill_decide::{admit, dispatch, limiter, queue};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{model, report};

const SHAPE: model::Shape = model::Shape {
    slots: 16,
    cold: 16,
    prefill_ms: 0.05,
    token_ms: 10.0,
    batch_ms: 0.3,
    prefixes: 0,
    warming: (0, 0),
};
const ENDPOINTS: usize = 4;
const RUN_MS: u64 = 90_000;
const WARM_UP_MS: u64 = 15_000;
const DEADLINE_MS: u64 = 4_000;
const DISPATCH_INTERVAL_MS: u64 = 50;
const SMALL_SHARE: f64 = 0.1;
const HIGH_SHARE: f64 = 0.1;
const WORKSPACES: &[(&str, u32)] = &[
    ("large-a", 1),
    ("large-b", 1),
    ("small-a", 1),
    ("small-b", 1),
    ("small-c", 1),
    ("small-d", 1),
    ("small-e", 1),
    ("small-f", 1),
    ("small-g", 1),
    ("small-h", 1),
];
const LARGE_COUNT: usize = 2;

/// Load, as a share of capacity, at which the reference latency of high priority is taken.
const REFERENCE_LOAD: f64 = 0.8;

/// Highest accepted ratio of the p95 of high priority to the reference.
const HIGH_P95_RATIO_MAX: f64 = 1.1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    Router,
    Fifo,
    FifoDeadline,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    prompt: model::Prompt,
    workspace: usize,
    is_high: bool,
    arrived: u64,
}

enum Event {
    Arrive,
    FirstToken(admit::Admission),
    End(id::EndpointId, Option<admit::Admission>, Request),
    Dispatch,
}

#[derive(Debug, Clone, Default)]
struct Stats {
    requests: u64,
    in_time: u64,
    small_requests: u64,
    small_in_time: u64,
    high_ms: Vec<f64>,
    refusal_ms: Vec<f64>,
    answered: u64,
}

struct Simulation {
    strategy: Strategy,
    mean_gap_ms: f64,
    rng: ChaCha8Rng,
    agenda: model::Agenda<Event>,
    config: ibishill_config::in_force::InForce,
    dispatcher: dispatch::Dispatcher,
    endpoints: BTreeMap<id::EndpointId, model::Endpoint>,
    waiting: BTreeMap<queue::Ticket, Request>,
    fifo: VecDeque<Request>,
    stats: Stats,
}

/// Runs the experiment with random numbers from `seed` and reports its figures.
pub fn run(seed: u64) -> report::Report {
    // One request per ms keeps the endpoints full, so that the answer rate is their capacity.
    let full = Simulation::new(Strategy::Fifo, 1.0, seed).run();
    let capacity = full.answered as f64 / measured_seconds();
    let mean_gap_ms = |load: f64| 1_000.0 / (capacity * load);
    let mut reference = Simulation::new(Strategy::Router, mean_gap_ms(REFERENCE_LOAD), seed).run();
    let reference_high = model::percentile(&mut reference.high_ms, 0.95);
    let mut figures = vec![report::Figure::new("capacity", "answers/s", capacity)];
    let mut series = vec![empty_series("ours"), empty_series("FIFO")];
    for load in [1.5, 3.0] {
        let mut ours = Simulation::new(Strategy::Router, mean_gap_ms(load), seed).run();
        let mut fifo = Simulation::new(Strategy::Fifo, mean_gap_ms(load), seed).run();
        let mut fifo_deadline =
            Simulation::new(Strategy::FifoDeadline, mean_gap_ms(load), seed).run();
        let useful = |stats: &Stats| stats.in_time as f64 / measured_seconds() / capacity;
        let small = |stats: &Stats| stats.small_in_time as f64 / stats.small_requests as f64;
        series[0].points.push((load, useful(&ours)));
        series[1].points.push((load, useful(&fifo)));
        figures.push(
            report::Figure::new(format!("at {load}: useful work"), "of capacity", useful(&ours))
                .bound(report::Bound::AtLeast(0.95))
                .optimum(1.0)
                .baseline("FIFO", useful(&fifo))
                .baseline("FIFO without expired", useful(&fifo_deadline)),
        );
        figures.push(
            report::Figure::new(
                format!("at {load}: small workspaces in time"),
                "of their requests",
                small(&ours),
            )
            .bound(report::Bound::AtLeast(0.95))
            .optimum(1.0)
            .baseline("FIFO", small(&fifo))
            .baseline("FIFO without expired", small(&fifo_deadline)),
        );
        let high = model::percentile(&mut ours.high_ms, 0.95);
        figures.push(
            report::Figure::new(format!("at {load}: p95 of high priority"), "ms", high)
                .bound(report::Bound::AtMost(reference_high * HIGH_P95_RATIO_MAX))
                .baseline("at 0.8 of capacity", reference_high)
                .baseline("FIFO", model::percentile(&mut fifo.high_ms, 0.95))
                .baseline(
                    "FIFO without expired",
                    model::percentile(&mut fifo_deadline.high_ms, 0.95),
                ),
        );
        for share in [0.5, 0.95] {
            let refusal = model::percentile(&mut ours.refusal_ms, share);
            let name = format!("at {load}: p{} of the wait for a refusal", share * 100.0);
            figures.push(report::Figure::new(name, "ms", refusal));
        }
    }
    let axes = ("load against capacity".into(), "useful work against capacity".into());
    report::Report { name: "overload".into(), seed, figures, axes, series }
}

fn empty_series(name: &str) -> report::Series {
    report::Series { name: name.into(), points: Vec::new() }
}

fn measured_seconds() -> f64 {
    (RUN_MS - WARM_UP_MS) as f64 / 1_000.0
}

impl Simulation {
    fn new(strategy: Strategy, mean_gap_ms: f64, seed: u64) -> Self {
        let mut agenda = model::Agenda::default();
        agenda.plan(2_000, Event::Arrive);
        agenda.plan(0, Event::Dispatch);
        let periods = admit::Periods { lease: time::Millis(0), run_max: time::Millis(0) };
        Self {
            strategy,
            mean_gap_ms,
            rng: ChaCha8Rng::seed_from_u64(seed),
            agenda,
            config: model::zone(ENDPOINTS, &SHAPE, WORKSPACES),
            dispatcher: dispatch::Dispatcher::new(admit::Owner::new(periods)),
            endpoints: model::endpoints(ENDPOINTS, SHAPE),
            waiting: BTreeMap::new(),
            fifo: VecDeque::new(),
            stats: Stats::default(),
        }
    }

    fn run(mut self) -> Stats {
        while let Some((now, event)) = self.agenda.pop() {
            if now >= RUN_MS {
                break;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::FirstToken(admission) => {
                    self.dispatcher.owner.record_first_token(&admission, time::Tick(now));
                }
                Event::End(name, admission, request) => {
                    self.end(&name, admission.as_ref(), &request, now);
                }
                Event::Dispatch => self.agenda.plan(now + DISPATCH_INTERVAL_MS, Event::Dispatch),
            }
            match self.strategy {
                Strategy::Router => self.dispatch(now),
                Strategy::Fifo | Strategy::FifoDeadline => self.dispatch_fifo(now),
            }
        }
        self.stats
    }

    fn arrive(&mut self, now: u64) {
        let gap = model::exponential(&mut self.rng, self.mean_gap_ms).round() as u64;
        self.agenda.plan(now + gap, Event::Arrive);
        let is_small = self.rng.random_bool(SMALL_SHARE);
        let workspace = if is_small {
            self.rng.random_range(LARGE_COUNT..WORKSPACES.len())
        } else {
            self.rng.random_range(0..LARGE_COUNT)
        };
        let is_high = self.rng.random_bool(HIGH_SHARE) && !is_small;
        let prompt = model::Prompt {
            tokens: self.rng.random_range(100..900),
            output: self.rng.random_range(20..100),
            prefix: self.rng.random(),
        };
        let request = Request { prompt, workspace, is_high, arrived: now };
        if now >= WARM_UP_MS {
            self.stats.requests += 1;
            self.stats.small_requests += u64::from(is_small);
        }
        match self.strategy {
            Strategy::Fifo | Strategy::FifoDeadline => self.fifo.push_back(request),
            Strategy::Router => self.enqueue(request, now),
        }
    }

    fn enqueue(&mut self, request: Request, now: u64) {
        let number = self.rng.random();
        let (workspace, _) = WORKSPACES[request.workspace];
        let mut job = model::job(number, workspace, &request.prompt, now + DEADLINE_MS);
        if request.is_high {
            job.priority = priority::Priority::High;
        }
        let (ticket, decisions) =
            self.with_facts(now, |dispatcher, facts| dispatcher.enqueue(facts, job));
        self.waiting.insert(ticket, request);
        decisions.into_iter().for_each(|decision| self.apply(decision, now));
    }

    fn with_facts<R, F>(&mut self, now: u64, operation: F) -> R
    where
        F: FnOnce(&mut dispatch::Dispatcher, &admit::Facts<'_>) -> R,
    {
        let (view, location) = (model::view(1, &["vm-a"]), model::place("vm-a"));
        let facts = admit::Facts {
            config: &self.config,
            view: &view,
            location: &location,
            lease: admit::Lease { until: time::Tick(u64::MAX) },
            now: time::Tick(now),
        };
        operation(&mut self.dispatcher, &facts)
    }

    fn dispatch(&mut self, now: u64) {
        let decisions = self.with_facts(now, dispatch::Dispatcher::dispatch);
        decisions.into_iter().for_each(|decision| self.apply(decision, now));
    }

    fn apply(&mut self, decision: dispatch::Decision, now: u64) {
        let Some(request) = self.waiting.remove(&decision.ticket) else { return };
        match decision.result {
            Ok(admission) => {
                let name = admission.endpoint.clone();
                self.start(&name, Some(admission), request, now);
            }
            Err(_) if request.arrived >= WARM_UP_MS => {
                self.stats.refusal_ms.push((now - request.arrived) as f64);
            }
            Err(_) => {}
        }
    }

    fn dispatch_fifo(&mut self, now: u64) {
        while !self.fifo.is_empty() {
            let free = self.endpoints.iter().filter(|(_, endpoint)| endpoint.held() < SHAPE.slots);
            let least_loaded = free.min_by_key(|(_, endpoint)| endpoint.held());
            let Some(name) = least_loaded.map(|(name, _)| name.clone()) else { return };
            let Some(request) = self.fifo.pop_front() else { return };
            let is_expired = now >= request.arrived + DEADLINE_MS;
            if is_expired && self.strategy == Strategy::FifoDeadline {
                continue;
            }
            self.start(&name, None, request, now);
        }
    }

    fn start(
        &mut self,
        name: &id::EndpointId,
        admission: Option<admit::Admission>,
        request: Request,
        now: u64,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let times = endpoint.begin(&request.prompt, now as f64);
        let first = (times.first as u64).max(now + 1);
        if let Some(admission) = &admission {
            self.agenda.plan(first, Event::FirstToken(admission.clone()));
        }
        let last = (times.last as u64).max(first);
        self.agenda.plan(last, Event::End(name.clone(), admission, request));
    }

    fn end(
        &mut self,
        name: &id::EndpointId,
        admission: Option<&admit::Admission>,
        request: &Request,
        now: u64,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.end();
        }
        if let Some(admission) = admission {
            let target = model::target();
            let outcome = limiter::Outcome::Good;
            self.dispatcher.finish(&target, admission, outcome, time::Tick(now));
        }
        if now < WARM_UP_MS {
            return;
        }
        self.stats.answered += 1;
        let latency = now - request.arrived;
        let in_time = latency <= DEADLINE_MS;
        self.stats.in_time += u64::from(in_time);
        if request.arrived >= WARM_UP_MS {
            self.stats.small_in_time += u64::from(in_time && request.workspace >= LARGE_COUNT);
        }
        if request.is_high {
            self.stats.high_ms.push(latency as f64);
        }
    }
}
