//! Retries and hedged attempts during and after a partial endpoint failure: attempts and
//! failures per request, and the latency of the first token.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{id, outcome, repeat, time};
use ibishill_decide::{hedge, outlier, retry};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{model, report};

const ENDPOINTS: usize = 20;
const FAILING_SHARE: f64 = 0.3;
const NON_IDEMPOTENT_SHARE: f64 = 0.2;
const STALL_SHARE: f64 = 0.02;
const STALL_MS: f64 = 1_000.0;
const MEAN_GAP_MS: f64 = 8.0;
const FAULT_START_MS: u64 = 30_000;
const FAULT_END_MS: u64 = 60_000;
const RUN_MS: u64 = 100_000;
const WARM_UP_MS: u64 = 10_000;
const SETTLING_MS: u64 = 15_000;
const ATTEMPT_TIMEOUT_MS: u64 = 3_000;
const NAIVE_ATTEMPTS_MAX: u32 = 4;
const ATTEMPTS_MAX: u32 = 3;

/// Upper bound on the mean attempts per request.
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
enum Strategy {
    Router,
    NoHedge,
    // Retries every failure, up to three times.
    Naive,
    NoRetry,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptOutcome {
    Good,
    Failed,
    Unreachable,
}

struct Request {
    prompt: model::Prompt,
    repeat: repeat::Repeat,
    arrived: u64,
    attempts: u32,
    in_flight: u32,
    tried: BTreeSet<id::EndpointId>,
    sent: bool,
    started: bool,
    answered: bool,
}

enum Event {
    Arrive,
    FirstToken(u64, u64),
    End(u64, id::EndpointId, AttemptOutcome, bool),
    Hedge(u64),
}

#[derive(Debug, Clone, Default)]
struct Phase {
    requests: u64,
    succeeded: u64,
    attempts: u64,
    first_token_ms: Vec<f64>,
}

impl Phase {
    fn failure_ratio(&self) -> f64 {
        1.0 - self.succeeded as f64 / self.requests.max(1) as f64
    }

    fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.requests.max(1) as f64
    }

    fn first_token_p99(&self) -> f64 {
        model::percentile(&mut self.first_token_ms.clone(), 0.99)
    }
}

#[derive(Debug, Clone, Default)]
struct Stats {
    before: Phase,
    fault: Phase,
    after: Phase,
    // Second attempts of non-idempotent calls after a byte of an earlier one had been sent.
    unsafe_attempts: u64,
}

struct Simulation {
    strategy: Strategy,
    rng: ChaCha8Rng,
    agenda: model::Agenda<Event>,
    endpoints: BTreeMap<id::EndpointId, model::Endpoint>,
    failing: BTreeMap<id::EndpointId, AttemptOutcome>,
    requests: BTreeMap<u64, Request>,
    last_number: u64,
    budgets: retry::Budgets,
    outliers: outlier::Outliers,
    latencies: hedge::Latencies,
    stats: Stats,
}

/// Runs the experiment with random numbers from `seed` and reports its figures.
pub fn run(seed: u64) -> report::Report {
    let [ours, no_hedge, naive, no_retry] =
        [Strategy::Router, Strategy::NoHedge, Strategy::Naive, Strategy::NoRetry]
            .map(|strategy| Simulation::new(strategy, seed).run());
    let at_most = |value| report::Bound::AtMost(value);
    let figures = vec![
        report::Figure::new(
            "attempts during the fault",
            "per request",
            ours.fault.attempts_per_request(),
        )
        .bound(at_most(ATTEMPTS_BOUND))
        .baseline("three retries", naive.fault.attempts_per_request())
        .baseline("no retries", no_retry.fault.attempts_per_request()),
        report::Figure::new("failed during the fault", "of requests", ours.fault.failure_ratio())
            .optimum(0.0)
            .baseline("three retries", naive.fault.failure_ratio())
            .baseline("no retries", no_retry.fault.failure_ratio()),
        report::Figure::new(
            "attempts after the fault",
            "per request",
            ours.after.attempts_per_request(),
        )
        .bound(at_most(ATTEMPTS_BOUND))
        .optimum(1.0)
        .baseline("before", ours.before.attempts_per_request())
        .baseline("three retries", naive.after.attempts_per_request())
        .baseline("no retries", no_retry.after.attempts_per_request()),
        report::Figure::new("failed after the fault", "of requests", ours.after.failure_ratio())
            .bound(at_most(ours.before.failure_ratio()))
            .baseline("before", ours.before.failure_ratio())
            .baseline("three retries", naive.after.failure_ratio())
            .baseline("no retries", no_retry.after.failure_ratio()),
        report::Figure::new("unsafe second attempts", "calls", ours.unsafe_attempts as f64)
            .bound(at_most(0.0))
            .baseline("three retries", naive.unsafe_attempts as f64),
        report::Figure::new(
            "p99 of first token without faults",
            "ms",
            ours.before.first_token_p99(),
        )
        .baseline("no hedging", no_hedge.before.first_token_p99())
        .baseline("no retries", no_retry.before.first_token_p99()),
        report::Figure::new(
            "attempts without faults",
            "per request",
            ours.before.attempts_per_request(),
        )
        .bound(at_most(ATTEMPTS_BOUND))
        .baseline("no hedging", no_hedge.before.attempts_per_request()),
    ];
    let axes = ("".into(), "".into());
    report::Report { name: "retry".into(), seed, figures, axes, series: Vec::new() }
}

impl Simulation {
    fn new(strategy: Strategy, seed: u64) -> Self {
        let mut agenda = model::Agenda::default();
        agenda.plan(0, Event::Arrive);
        let endpoints = model::endpoints(ENDPOINTS, SHAPE);
        let count = (ENDPOINTS as f64 * FAILING_SHARE) as usize;
        let kinds = [AttemptOutcome::Failed, AttemptOutcome::Unreachable].into_iter().cycle();
        let failing = endpoints.keys().cloned().zip(kinds).take(count).collect();
        Self {
            strategy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            agenda,
            endpoints,
            failing,
            requests: BTreeMap::new(),
            last_number: 0,
            budgets: retry::Budgets::default(),
            outliers: outlier::Outliers::default(),
            latencies: hedge::Latencies::default(),
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
                Event::FirstToken(number, sent_at) => self.record_first_token(number, sent_at, now),
                Event::End(number, name, outcome, has_slot) => {
                    self.end(number, &name, outcome, has_slot, now);
                }
                Event::Hedge(number) => self.hedge(number, now),
            }
        }
        self.stats
    }

    fn is_router(&self) -> bool {
        matches!(self.strategy, Strategy::Router | Strategy::NoHedge)
    }

    fn arrive(&mut self, now: u64) {
        let gap = model::exponential(&mut self.rng, MEAN_GAP_MS).round() as u64;
        self.agenda.plan(now + gap, Event::Arrive);
        let is_non_idempotent = self.rng.random_bool(NON_IDEMPOTENT_SHARE);
        let repeat = if is_non_idempotent { repeat::Repeat::Never } else { repeat::Repeat::Safe };
        let prompt = model::Prompt {
            tokens: self.rng.random_range(100..900),
            output: self.rng.random_range(20..100),
            prefix: self.rng.random(),
        };
        self.last_number += 1;
        let number = self.last_number;
        let (attempts, in_flight, tried) = (0, 0, BTreeSet::new());
        let (sent, started, answered) = (false, false, false);
        let request = Request {
            prompt,
            repeat,
            arrived: now,
            attempts,
            in_flight,
            tried,
            sent,
            started,
            answered,
        };
        self.requests.insert(number, request);
        self.budgets.record_request(&workspace(), &zone());
        self.record(now, |phase| phase.requests += 1);
        self.attempt(number, now);
        if self.strategy == Strategy::Router
            && let Some(delay) = self.latencies.delay(&model::target(), repeat)
        {
            self.agenda.plan(now + delay.0, Event::Hedge(number));
        }
    }

    fn hedge(&mut self, number: u64, now: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let is_waiting = !request.answered && !request.started && request.attempts < ATTEMPTS_MAX;
        if is_waiting && self.budgets.try_acquire(&workspace(), &zone()) {
            self.attempt(number, now);
        }
    }

    // Owners limit the requests in flight at an endpoint to its slots; ordinary clients do not.
    fn pick(&mut self, number: u64, now: u64) -> Option<id::EndpointId> {
        let names: Vec<_> = self.endpoints.keys().cloned().collect();
        let tried = &self.requests[&number].tried;
        let tick = time::Tick(now);
        let usable = if self.is_router() {
            let usable = self.outliers.usable(&names, &model::target(), false, tick);
            let free = |name: &id::EndpointId| self.endpoints[name].held() < SHAPE.slots;
            usable.into_iter().filter(|name| !tried.contains(name) && free(name)).collect()
        } else {
            names
        };
        let start = self.rng.random_range(0..usable.len().max(1));
        let rotated = usable[start.min(usable.len())..].iter().chain(&usable[..start]);
        rotated.min_by_key(|name| self.endpoints[*name].held()).cloned()
    }

    fn attempt(&mut self, number: u64, now: u64) {
        let Some(name) = self.pick(number, now) else { return };
        let fault = self.failing.get(&name).copied();
        let fault = fault.filter(|_| (FAULT_START_MS..FAULT_END_MS).contains(&now));
        let is_sent = fault != Some(AttemptOutcome::Unreachable);
        let stalls = self.rng.random_bool(STALL_SHARE);
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.sent && request.repeat == repeat::Repeat::Never {
            self.stats.unsafe_attempts += 1;
        }
        request.sent |= is_sent;
        request.attempts += 1;
        request.in_flight += 1;
        request.tried.insert(name.clone());
        let (arrived, prompt) = (request.arrived, request.prompt);
        self.record(arrived, |phase| phase.attempts += 1);
        self.outliers.begin(&name, &model::target(), time::Tick(now));
        if let Some(fault) = fault {
            let delay = if is_sent { 5 } else { 1 };
            self.agenda.plan(now + delay, Event::End(number, name, fault, false));
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&name) else { return };
        let times = endpoint.begin(&prompt, now as f64);
        let stall = if stalls { STALL_MS } else { 0.0 };
        let (first, last) = (times.first + stall, times.last + stall);
        self.agenda.plan((first as u64).max(now + 1), Event::FirstToken(number, now));
        let timeout_at = now + ATTEMPT_TIMEOUT_MS;
        let outcome =
            if last as u64 > timeout_at { AttemptOutcome::Failed } else { AttemptOutcome::Good };
        self.agenda.plan((last as u64).min(timeout_at), Event::End(number, name, outcome, true));
    }

    fn record_first_token(&mut self, number: u64, sent_at: u64, now: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.started || request.answered {
            return;
        }
        request.started = true;
        let arrived = request.arrived;
        self.latencies.record(&model::target(), time::Millis(now - sent_at));
        self.record(arrived, |phase| phase.first_token_ms.push((now - arrived) as f64));
    }

    fn end(
        &mut self,
        number: u64,
        name: &id::EndpointId,
        outcome: AttemptOutcome,
        has_slot: bool,
        now: u64,
    ) {
        if has_slot && let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.end();
        }
        let attempt = match outcome {
            AttemptOutcome::Good => outlier::Attempt::Good,
            AttemptOutcome::Failed => outlier::Attempt::Failed,
            AttemptOutcome::Unreachable => outlier::Attempt::Unreachable,
        };
        self.outliers.end(name, &model::target(), attempt, time::Tick(now));
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.in_flight -= 1;
        let (arrived, in_flight, answered) = (request.arrived, request.in_flight, request.answered);
        if outcome == AttemptOutcome::Good && !answered {
            request.answered = true;
            self.record(arrived, |phase| phase.succeeded += 1);
        } else if !answered && in_flight == 0 && self.should_retry(number, outcome) {
            return self.attempt(number, now);
        }
        if in_flight == 0 {
            self.requests.remove(&number);
        }
    }

    fn should_retry(&mut self, number: u64, outcome: AttemptOutcome) -> bool {
        let request = &self.requests[&number];
        let outcome = match outcome {
            AttemptOutcome::Unreachable if !request.sent => outcome::Outcome::NotRun,
            _ => outcome::Outcome::Unknown,
        };
        match self.strategy {
            Strategy::NoRetry => false,
            Strategy::Naive => request.attempts < NAIVE_ATTEMPTS_MAX,
            Strategy::Router | Strategy::NoHedge => {
                // A response that has started streaming cannot be restarted.
                !request.started
                    && request.attempts < ATTEMPTS_MAX
                    && retry::is_safe(outcome, request.repeat)
                    && self.budgets.try_acquire(&workspace(), &zone())
            }
        }
    }

    fn record<F>(&mut self, arrived: u64, update: F)
    where
        F: FnOnce(&mut Phase),
    {
        const AFTER_START_MS: u64 = FAULT_END_MS + SETTLING_MS;
        const AFTER_END_MS: u64 = RUN_MS - ATTEMPT_TIMEOUT_MS * 4;
        match arrived {
            WARM_UP_MS..FAULT_START_MS => update(&mut self.stats.before),
            FAULT_START_MS..FAULT_END_MS => update(&mut self.stats.fault),
            AFTER_START_MS..AFTER_END_MS => {
                update(&mut self.stats.after);
            }
            _ => {}
        }
    }
}

fn workspace() -> id::WorkspaceId {
    model::name("space")
}

fn zone() -> id::ZoneId {
    model::name("z")
}
