//! Second attempts while endpoints fail and after: their number, and what callers get.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{id, outcome, repeat, time};
use ibishill_decide::{hedge, outlier, retry};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{model, report};

const ENDPOINTS: usize = 20;
const FAILING_SHARE: f64 = 0.3;
const NEVER_SHARE: f64 = 0.2;
const STALL_SHARE: f64 = 0.02;
const STALL_MS: f64 = 1_000.0;
const GAP_MS: f64 = 8.0;
const FAULT_MS: u64 = 30_000;
const REPAIR_MS: u64 = 60_000;
const LENGTH_MS: u64 = 100_000;
const WARM_UP_MS: u64 = 10_000;
const SETTLED_MS: u64 = 15_000;
const ATTEMPT_MS: u64 = 3_000;
const NAIVE_MAX: u32 = 4;
const ATTEMPTS_MAX: u32 = 3;

/// Bound on attempts for one request.
const ATTEMPTS_BOUND: f64 = 1.1;

const SHAPE: model::Shape = model::Shape {
    slots: 16,
    cold: 16,
    prefill_ms: 0.1,
    token_ms: 10.0,
    batch_ms: 1.0,
    prefixes: 64,
    warming: (0, 0),
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Ours,
    NoHedge,
    // Every failure is tried again, up to three times.
    Naive,
    Never,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    Good,
    Failed,
    Unreachable,
}

struct Asked {
    prompt: model::Prompt,
    repeat: repeat::Repeat,
    at: u64,
    attempts: u32,
    open: u32,
    tried: BTreeSet<id::EndpointId>,
    sent: bool,
    begun: bool,
    done: bool,
}

enum Event {
    Arrive,
    First(u64, u64),
    End(u64, id::EndpointId, Ended, bool),
    Hedge(u64),
}

#[derive(Debug, Clone, Default)]
struct Part {
    asked: u64,
    good: u64,
    attempts: u64,
    first: Vec<f64>,
}

impl Part {
    fn failed(&self) -> f64 {
        1.0 - self.good as f64 / self.asked.max(1) as f64
    }

    fn attempts(&self) -> f64 {
        self.attempts as f64 / self.asked.max(1) as f64
    }

    fn tail(&self) -> f64 {
        model::percentile(&mut self.first.clone(), 0.99)
    }
}

#[derive(Debug, Clone, Default)]
struct Result {
    before: Part,
    fault: Part,
    after: Part,
    // Second attempts of calls that may not be repeated, after a byte had left.
    unsafe_again: u64,
}

struct World {
    way: Way,
    rng: ChaCha8Rng,
    agenda: model::Agenda<Event>,
    endpoints: BTreeMap<id::EndpointId, model::Endpoint>,
    failing: BTreeMap<id::EndpointId, Ended>,
    asked: BTreeMap<u64, Asked>,
    count: u64,
    budgets: retry::Budgets,
    outliers: outlier::Outliers,
    hedge: hedge::Latencies,
    result: Result,
}

/// Runs the experiment.
pub fn run(seed: u64) -> report::Report {
    let [ours, plain, naive, never] =
        [Way::Ours, Way::NoHedge, Way::Naive, Way::Never].map(|way| World::new(way, seed).run());
    let at_most = |value| report::Bound::AtMost(value);
    let figures = vec![
        report::Figure::new("attempts during the fault", "per request", ours.fault.attempts())
            .bound(at_most(ATTEMPTS_BOUND))
            .baseline("three retries", naive.fault.attempts())
            .baseline("no retries", never.fault.attempts()),
        report::Figure::new("failed during the fault", "of requests", ours.fault.failed())
            .optimum(0.0)
            .baseline("three retries", naive.fault.failed())
            .baseline("no retries", never.fault.failed()),
        report::Figure::new("attempts after the fault", "per request", ours.after.attempts())
            .bound(at_most(ATTEMPTS_BOUND))
            .optimum(1.0)
            .baseline("before", ours.before.attempts())
            .baseline("three retries", naive.after.attempts())
            .baseline("no retries", never.after.attempts()),
        report::Figure::new("failed after the fault", "of requests", ours.after.failed())
            .bound(at_most(ours.before.failed()))
            .baseline("before", ours.before.failed())
            .baseline("three retries", naive.after.failed())
            .baseline("no retries", never.after.failed()),
        report::Figure::new("unsafe second attempts", "calls", ours.unsafe_again as f64)
            .bound(at_most(0.0))
            .baseline("three retries", naive.unsafe_again as f64),
        report::Figure::new("p99 of first token without faults", "ms", ours.before.tail())
            .baseline("no hedging", plain.before.tail())
            .baseline("no retries", never.before.tail()),
        report::Figure::new("attempts without faults", "per request", ours.before.attempts())
            .bound(at_most(ATTEMPTS_BOUND))
            .baseline("no hedging", plain.before.attempts()),
    ];
    let axes = ("".into(), "".into());
    report::Report { name: "retry".into(), seed, figures, axes, series: Vec::new() }
}

impl World {
    fn new(way: Way, seed: u64) -> Self {
        let mut agenda = model::Agenda::default();
        agenda.plan(0, Event::Arrive);
        let endpoints = model::endpoints(ENDPOINTS, SHAPE);
        let count = (ENDPOINTS as f64 * FAILING_SHARE) as usize;
        let kinds = [Ended::Failed, Ended::Unreachable].into_iter().cycle();
        let failing = endpoints.keys().cloned().zip(kinds).take(count).collect();
        Self {
            way,
            rng: ChaCha8Rng::seed_from_u64(seed),
            agenda,
            endpoints,
            failing,
            asked: BTreeMap::new(),
            count: 0,
            budgets: retry::Budgets::default(),
            outliers: outlier::Outliers::default(),
            hedge: hedge::Latencies::default(),
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
                Event::First(number, begun) => self.first(number, begun, now),
                Event::End(number, name, ended, held) => {
                    self.end(number, &name, ended, held, now);
                }
                Event::Hedge(number) => self.second(number, now),
            }
        }
        self.result
    }

    fn is_ours(&self) -> bool {
        matches!(self.way, Way::Ours | Way::NoHedge)
    }

    fn arrive(&mut self, now: u64) {
        let gap = model::exponential(&mut self.rng, GAP_MS).round() as u64;
        self.agenda.plan(now + gap, Event::Arrive);
        let never = self.rng.random_bool(NEVER_SHARE);
        let repeat = if never { repeat::Repeat::Never } else { repeat::Repeat::Safe };
        let prompt = model::Prompt {
            tokens: self.rng.random_range(100..900),
            output: self.rng.random_range(20..100),
            prefix: self.rng.random(),
        };
        self.count += 1;
        let number = self.count;
        let (attempts, open, tried) = (0, 0, BTreeSet::new());
        let (sent, begun, done) = (false, false, false);
        let asked = Asked { prompt, repeat, at: now, attempts, open, tried, sent, begun, done };
        self.asked.insert(number, asked);
        self.budgets.record_request(&space(), &zone());
        self.part(now, |part| part.asked += 1);
        self.attempt(number, now);
        if self.way == Way::Ours
            && let Some(delay) = self.hedge.delay(&model::target(), repeat)
        {
            self.agenda.plan(now + delay.0, Event::Hedge(number));
        }
    }

    fn second(&mut self, number: u64, now: u64) {
        let Some(asked) = self.asked.get(&number) else { return };
        let is_slow = !asked.done && !asked.begun && asked.attempts < ATTEMPTS_MAX;
        if is_slow && self.budgets.try_acquire(&space(), &zone()) {
            self.attempt(number, now);
        }
    }

    // Requests at one endpoint are bounded as its owner bounds them; ordinary clients do not.
    fn pick(&mut self, number: u64, now: u64) -> Option<id::EndpointId> {
        let names: Vec<_> = self.endpoints.keys().cloned().collect();
        let tried = &self.asked[&number].tried;
        let tick = time::Tick(now);
        let usable = if self.is_ours() {
            let usable = self.outliers.usable(&names, &model::target(), false, tick);
            let free = |name: &id::EndpointId| self.endpoints[name].held() < SHAPE.slots;
            usable.into_iter().filter(|name| !tried.contains(name) && free(name)).collect()
        } else {
            names
        };
        let start = self.rng.random_range(0..usable.len().max(1));
        let turned = usable[start.min(usable.len())..].iter().chain(&usable[..start]);
        turned.min_by_key(|name| self.endpoints[*name].held()).cloned()
    }

    fn attempt(&mut self, number: u64, now: u64) {
        let Some(name) = self.pick(number, now) else { return };
        let fault = self.failing.get(&name).copied();
        let fault = fault.filter(|_| (FAULT_MS..REPAIR_MS).contains(&now));
        let leaves = fault != Some(Ended::Unreachable);
        let stalls = self.rng.random_bool(STALL_SHARE);
        let Some(asked) = self.asked.get_mut(&number) else { return };
        if asked.sent && asked.repeat == repeat::Repeat::Never {
            self.result.unsafe_again += 1;
        }
        asked.sent |= leaves;
        asked.attempts += 1;
        asked.open += 1;
        asked.tried.insert(name.clone());
        let (at, prompt) = (asked.at, asked.prompt);
        self.part(at, |part| part.attempts += 1);
        self.outliers.begin(&name, &model::target(), time::Tick(now));
        if let Some(fault) = fault {
            let took = if leaves { 5 } else { 1 };
            self.agenda.plan(now + took, Event::End(number, name, fault, false));
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&name) else { return };
        let times = endpoint.begin(&prompt, now as f64);
        let stall = if stalls { STALL_MS } else { 0.0 };
        let (first, last) = (times.first + stall, times.last + stall);
        self.agenda.plan((first as u64).max(now + 1), Event::First(number, now));
        let late = now + ATTEMPT_MS;
        let ended = if last as u64 > late { Ended::Failed } else { Ended::Good };
        self.agenda.plan((last as u64).min(late), Event::End(number, name, ended, true));
    }

    fn first(&mut self, number: u64, begun: u64, now: u64) {
        let Some(asked) = self.asked.get_mut(&number) else { return };
        if asked.begun || asked.done {
            return;
        }
        asked.begun = true;
        let at = asked.at;
        self.hedge.record(&model::target(), time::Millis(now - begun));
        self.part(at, |part| part.first.push((now - at) as f64));
    }

    fn end(&mut self, number: u64, name: &id::EndpointId, ended: Ended, held: bool, now: u64) {
        if held && let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.end();
        }
        let attempt = match ended {
            Ended::Good => outlier::Attempt::Good,
            Ended::Failed => outlier::Attempt::Failed,
            Ended::Unreachable => outlier::Attempt::Unreachable,
        };
        self.outliers.end(name, &model::target(), attempt, time::Tick(now));
        let Some(asked) = self.asked.get_mut(&number) else { return };
        asked.open -= 1;
        let (at, open, done) = (asked.at, asked.open, asked.done);
        if ended == Ended::Good && !done {
            asked.done = true;
            self.part(at, |part| part.good += 1);
        } else if !done && open == 0 && self.again(number, ended) {
            return self.attempt(number, now);
        }
        if open == 0 {
            self.asked.remove(&number);
        }
    }

    fn again(&mut self, number: u64, ended: Ended) -> bool {
        let asked = &self.asked[&number];
        let outcome = match ended {
            Ended::Unreachable if !asked.sent => outcome::Outcome::NotRun,
            _ => outcome::Outcome::Unknown,
        };
        match self.way {
            Way::Never => false,
            Way::Naive => asked.attempts < NAIVE_MAX,
            Way::Ours | Way::NoHedge => {
                // A started answer can't be begun again.
                !asked.begun
                    && asked.attempts < ATTEMPTS_MAX
                    && retry::is_safe(outcome, asked.repeat)
                    && self.budgets.try_acquire(&space(), &zone())
            }
        }
    }

    fn part<F>(&mut self, at: u64, change: F)
    where
        F: FnOnce(&mut Part),
    {
        const AFTER_MS: u64 = REPAIR_MS + SETTLED_MS;
        const COUNTED_MS: u64 = LENGTH_MS - ATTEMPT_MS * 4;
        match at {
            WARM_UP_MS..FAULT_MS => change(&mut self.result.before),
            FAULT_MS..REPAIR_MS => change(&mut self.result.fault),
            AFTER_MS..COUNTED_MS => {
                change(&mut self.result.after);
            }
            _ => {}
        }
    }
}

fn space() -> id::WorkspaceId {
    model::name("space")
}

fn zone() -> id::ZoneId {
    model::name("z")
}
