//! Service beyond capacity: useful work, fair share and priority, against FIFO.

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
const LENGTH_MS: u64 = 90_000;
const WARM_UP_MS: u64 = 15_000;
const DEADLINE_MS: u64 = 4_000;
const TURN_MS: u64 = 50;
const SMALL_SHARE: f64 = 0.1;
const HIGH_SHARE: f64 = 0.1;
const SPACES: &[(&str, u32)] = &[
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
const LARGE: usize = 2;

/// Load below capacity that high priority is compared with.
const CALM_LOAD: f64 = 0.8;

/// Growth of the p95 of high priority that still counts as kept.
const KEPT_FACTOR: f64 = 1.1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Ours,
    Fifo,
    FifoDeadline,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    prompt: model::Prompt,
    space: usize,
    high: bool,
    at: u64,
}

enum Event {
    Arrive,
    First(admit::Admission),
    End(id::EndpointId, Option<admit::Admission>, Asked),
    Turn,
}

#[derive(Debug, Clone, Default)]
struct Result {
    asked: u64,
    useful: u64,
    small_asked: u64,
    small_useful: u64,
    high: Vec<f64>,
    refusals: Vec<f64>,
    answered: u64,
}

struct Run {
    way: Way,
    gap: f64,
    rng: ChaCha8Rng,
    agenda: model::Agenda<Event>,
    config: ibishill_config::in_force::InForce,
    dispatcher: dispatch::Dispatcher,
    endpoints: BTreeMap<id::EndpointId, model::Endpoint>,
    asked: BTreeMap<queue::Ticket, Asked>,
    fifo: VecDeque<Asked>,
    result: Result,
}

/// Runs the experiment.
pub fn run(seed: u64) -> report::Report {
    // Answers a second of endpoints that are always full.
    let full = Run::new(Way::Fifo, 1.0, seed).run();
    let capacity = full.answered as f64 / seconds();
    let gap = |load: f64| 1_000.0 / (capacity * load);
    let mut calm = Run::new(Way::Ours, gap(CALM_LOAD), seed).run();
    let calm_high = model::percentile(&mut calm.high, 0.95);
    let mut figures = vec![report::Figure::new("capacity", "answers/s", capacity)];
    let mut series = vec![points("ours"), points("FIFO")];
    for load in [1.5, 3.0] {
        let mut ours = Run::new(Way::Ours, gap(load), seed).run();
        let mut fifo = Run::new(Way::Fifo, gap(load), seed).run();
        let mut dropping = Run::new(Way::FifoDeadline, gap(load), seed).run();
        let useful = |result: &Result| result.useful as f64 / seconds() / capacity;
        let small = |result: &Result| result.small_useful as f64 / result.small_asked as f64;
        series[0].points.push((load, useful(&ours)));
        series[1].points.push((load, useful(&fifo)));
        figures.push(
            report::Figure::new(format!("at {load}: useful work"), "of capacity", useful(&ours))
                .bound(report::Bound::AtLeast(0.95))
                .optimum(1.0)
                .baseline("FIFO", useful(&fifo))
                .baseline("FIFO without expired", useful(&dropping)),
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
            .baseline("FIFO without expired", small(&dropping)),
        );
        let high = model::percentile(&mut ours.high, 0.95);
        figures.push(
            report::Figure::new(format!("at {load}: p95 of high priority"), "ms", high)
                .bound(report::Bound::AtMost(calm_high * KEPT_FACTOR))
                .baseline("at 0.8 of capacity", calm_high)
                .baseline("FIFO", model::percentile(&mut fifo.high, 0.95))
                .baseline("FIFO without expired", model::percentile(&mut dropping.high, 0.95)),
        );
        for share in [0.5, 0.95] {
            let refusal = model::percentile(&mut ours.refusals, share);
            let name = format!("at {load}: p{} of the wait for a refusal", share * 100.0);
            figures.push(report::Figure::new(name, "ms", refusal));
        }
    }
    let axes = ("load against capacity".into(), "useful work against capacity".into());
    report::Report { name: "overload".into(), seed, figures, axes, series }
}

fn points(name: &str) -> report::Series {
    report::Series { name: name.into(), points: Vec::new() }
}

fn seconds() -> f64 {
    (LENGTH_MS - WARM_UP_MS) as f64 / 1_000.0
}

impl Run {
    fn new(way: Way, gap: f64, seed: u64) -> Self {
        let mut agenda = model::Agenda::default();
        agenda.plan(2_000, Event::Arrive);
        agenda.plan(0, Event::Turn);
        let periods = admit::Periods { lease: time::Millis(0), run_max: time::Millis(0) };
        Self {
            way,
            gap,
            rng: ChaCha8Rng::seed_from_u64(seed),
            agenda,
            config: model::zone(ENDPOINTS, &SHAPE, SPACES),
            dispatcher: dispatch::Dispatcher::new(admit::Owner::new(periods)),
            endpoints: model::endpoints(ENDPOINTS, SHAPE),
            asked: BTreeMap::new(),
            fifo: VecDeque::new(),
            result: Result::default(),
        }
    }

    fn run(mut self) -> Result {
        while let Some((now, event)) = self.agenda.pop() {
            if now >= LENGTH_MS {
                break;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::First(admission) => {
                    self.dispatcher.owner.record_first_token(&admission, time::Tick(now));
                }
                Event::End(name, admission, asked) => {
                    self.end(&name, admission.as_ref(), &asked, now);
                }
                Event::Turn => self.agenda.plan(now + TURN_MS, Event::Turn),
            }
            match self.way {
                Way::Ours => self.turn(now),
                Way::Fifo | Way::FifoDeadline => self.turn_fifo(now),
            }
        }
        self.result
    }

    fn arrive(&mut self, now: u64) {
        let gap = model::exponential(&mut self.rng, self.gap).round() as u64;
        self.agenda.plan(now + gap, Event::Arrive);
        let small = self.rng.random_bool(SMALL_SHARE);
        let space = if small {
            self.rng.random_range(LARGE..SPACES.len())
        } else {
            self.rng.random_range(0..LARGE)
        };
        let high = self.rng.random_bool(HIGH_SHARE) && !small;
        let prompt = model::Prompt {
            tokens: self.rng.random_range(100..900),
            output: self.rng.random_range(20..100),
            prefix: self.rng.random(),
        };
        let asked = Asked { prompt, space, high, at: now };
        if now >= WARM_UP_MS {
            self.result.asked += 1;
            self.result.small_asked += u64::from(small);
        }
        match self.way {
            Way::Fifo | Way::FifoDeadline => self.fifo.push_back(asked),
            Way::Ours => self.offer(asked, now),
        }
    }

    fn offer(&mut self, asked: Asked, now: u64) {
        let number = self.rng.random();
        let (space, _) = SPACES[asked.space];
        let mut job = model::job(number, space, &asked.prompt, now + DEADLINE_MS);
        if asked.high {
            job.priority = priority::Priority::High;
        }
        let offered = self.decide(now, |dispatcher, facts| dispatcher.enqueue(facts, job));
        self.asked.insert(offered.0, asked);
        offered.1.into_iter().for_each(|decision| self.decided(decision, now));
    }

    fn decide<R, F>(&mut self, now: u64, decide: F) -> R
    where
        F: FnOnce(&mut dispatch::Dispatcher, &admit::Facts<'_>) -> R,
    {
        let (view, place) = (model::view(1, &["vm-a"]), model::place("vm-a"));
        let facts = admit::Facts {
            config: &self.config,
            view: &view,
            location: &place,
            lease: admit::Lease { until: time::Tick(u64::MAX) },
            now: time::Tick(now),
        };
        decide(&mut self.dispatcher, &facts)
    }

    fn turn(&mut self, now: u64) {
        let decisions = self.decide(now, dispatch::Dispatcher::dispatch);
        decisions.into_iter().for_each(|decision| self.decided(decision, now));
    }

    fn decided(&mut self, decision: dispatch::Decision, now: u64) {
        let Some(asked) = self.asked.remove(&decision.ticket) else { return };
        match decision.result {
            Ok(admission) => {
                let name = admission.endpoint.clone();
                self.begin(&name, Some(admission), asked, now);
            }
            Err(_) if asked.at >= WARM_UP_MS => {
                self.result.refusals.push((now - asked.at) as f64);
            }
            Err(_) => {}
        }
    }

    fn turn_fifo(&mut self, now: u64) {
        while !self.fifo.is_empty() {
            let free = self.endpoints.iter().filter(|(_, found)| found.held() < SHAPE.slots);
            let least = free.min_by_key(|(_, found)| found.held());
            let Some(name) = least.map(|(name, _)| name.clone()) else { return };
            let Some(asked) = self.fifo.pop_front() else { return };
            let past = now >= asked.at + DEADLINE_MS;
            if past && self.way == Way::FifoDeadline {
                continue;
            }
            self.begin(&name, None, asked, now);
        }
    }

    fn begin(
        &mut self,
        name: &id::EndpointId,
        admission: Option<admit::Admission>,
        asked: Asked,
        now: u64,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let times = endpoint.begin(&asked.prompt, now as f64);
        let first = (times.first as u64).max(now + 1);
        if let Some(admission) = &admission {
            self.agenda.plan(first, Event::First(admission.clone()));
        }
        let last = (times.last as u64).max(first);
        self.agenda.plan(last, Event::End(name.clone(), admission, asked));
    }

    fn end(
        &mut self,
        name: &id::EndpointId,
        admission: Option<&admit::Admission>,
        asked: &Asked,
        now: u64,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.end();
        }
        if let Some(admission) = admission {
            let target = model::target();
            let good = limiter::Outcome::Good;
            self.dispatcher.finish(&target, admission, good, time::Tick(now));
        }
        if now < WARM_UP_MS {
            return;
        }
        self.result.answered += 1;
        let took = now - asked.at;
        let in_time = took <= DEADLINE_MS;
        self.result.useful += u64::from(in_time);
        if asked.at >= WARM_UP_MS {
            self.result.small_useful += u64::from(in_time && asked.space >= LARGE);
        }
        if asked.high {
            self.result.high.push(took as f64);
        }
    }
}
