//! Forecasts the time to the first event of a stream at an engine, and how far the forecast may be wrong.
//!
//! Designed for surges on engines of different speeds: prompts queue inside the engines then, where a daemon does not
//! see them move, and a request that would begin after its caller has left only takes the time of others. The
//! forecast is learnt from first events, for each service and model; an engine that differs is known by a factor,
//! which decays to 1. Errors multiply rather than add, so the uncertainty is that of the ratio of measured to forecast.
//!
//! An event takes constant time to learn from, and a forecast takes no memory.

use std::collections::BTreeMap;

use ibishill_core::{id, time};
use xxhash_rust::xxh3;

/// Number of quantities that a forecast is a weighted sum of: one, prompts to be read, requests that wait.
const TERMS: usize = 3;

/// Weights before anything is measured, in milliseconds: a step of a batch, 1,000 tokens of the largest model, and a
/// request that waits.
const PRIOR: [f64; TERMS] = [50.0, 50.0, 50.0];

/// Weight of [`PRIOR`] against that of events, of which one weighs 1 at most.
const PRIOR_WEIGHT: f64 = 0.25;

/// Time in which an event loses half of its weight: engines change by restarts and by what runs beside them.
const HALF_LIFE: time::Millis = time::Millis::from_secs(10);

/// Time in which an event loses half of its weight as evidence that the forecast is right now.
const EVIDENCE_HALF_LIFE: time::Millis = time::Millis::from_secs(2);

/// Recent first events from which on a request may be refused by the forecast; a daemon that gets three first events
/// in a second has as many.
const EVIDENCE_MIN: f64 = 8.0;

/// Time that is added before times are compared, in milliseconds: the interval of peers' reports, in which others send
/// what is not known yet. Below it, the ratio of two times says nothing.
const FLOOR_MS: f64 = 500.0;

/// Standard deviation of the logarithm of the ratio before anything is measured, and the events that it counts as.
const PRIOR_DEVIATION: (f64, f64) = (1.0, 4.0);

/// Standard deviations that the uncertainty covers. A request is refused only if all engines are late by it: with one,
/// 2 of 780 refused callers of a simulated surge could have begun in time at some engine (tests/relay/surge.rs).
const DEVIATIONS: f64 = 1.0;

/// Age of what is known of an engine at which the forecast is as uncertain as if nothing were measured: the longest
/// time for which a peer's report counts.
const AGE_MAX: time::Millis = time::Millis::from_secs(4);

/// Time, in milliseconds, that an engine must have taken before its factor follows it.
const FACTOR_PRIOR_MS: f64 = 500.0;

/// Range of an engine's factor.
const FACTOR_RANGE: (f64, f64) = (0.25, 4.0);

/// Range of what an engine says of the time that work takes there.
const WORK_RANGE: (f64, f64) = (0.2, 5.0);

/// Longest time that is learnt from.
const TIME_MAX: time::Millis = time::Millis::from_secs(60);

/// Service and model that requests have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class(u64);

impl Class {
    /// Class of a service's requests to a model; without one, of those whose callers have chosen it.
    pub fn of(service: &id::ServiceId, model: Option<&id::ModelId>) -> Self {
        let model = model.map_or(0, |model| xxh3::xxh3_64(model.as_str().as_bytes()));
        Self(xxh3::xxh3_64_with_seed(service.as_str().as_bytes(), model))
    }
}

/// What is known of an engine as a request would be sent there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Prompts that still await prefill, of all daemons, in thousands of tokens at the largest model.
    pub backlog: f64,
    /// Prefill of the request itself, without what is cached there.
    pub prefill: f64,
    /// Requests of other daemons that waited there, as the engine has last told.
    pub waiting: f64,
    /// Age of what others have told.
    pub age: time::Millis,
    /// Time that work takes there now, as a multiple of the usual one; 1 if the engine does not tell.
    pub work: f64,
}

impl Load {
    fn terms(&self) -> [f64; TERMS] {
        [1.0, self.backlog + self.prefill, self.waiting]
    }

    fn work(&self) -> f64 {
        if self.work.is_finite() { self.work.clamp(WORK_RANGE.0, WORK_RANGE.1) } else { 1.0 }
    }

    /// Whether the request has nothing to wait for but its own prefill.
    pub fn is_idle(&self) -> bool {
        self.backlog <= 0.0 && self.waiting <= 0.0
    }
}

/// Time to a first event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Expected time.
    pub expected: time::Millis,
    /// Time by which it may begin earlier, one standard deviation.
    pub uncertainty: time::Millis,
}

impl Forecast {
    /// The earliest time at which the request is likely to begin.
    pub fn earliest(&self) -> time::Millis {
        self.expected.saturating_sub(self.uncertainty)
    }
}

/// A forecast that was made for a request, to be compared with what comes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Made {
    /// Low 32 bits of the hash of the endpoint's id.
    pub endpoint: u32,
    /// Service and model of the request.
    pub class: Class,
    /// What it was made from.
    pub load: Load,
    /// The forecast.
    pub forecast: Forecast,
}

/// Measured minus forecast.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The request began later than forecast, or as forecast.
    Late(time::Millis),
    /// It began earlier.
    Early(time::Millis),
}

// Weighted least squares, of which old events lose their weight.
#[derive(Debug, Clone, Copy)]
struct Fit {
    // Sums of products of terms, and of terms and measured times.
    products: [[f64; TERMS]; TERMS],
    targets: [f64; TERMS],
    weights: [f64; TERMS],
    // Number of events, and the sum of their squared errors.
    count: f64,
    squares: f64,
    evidence: f64,
    at: time::Tick,
}

fn decay(half_life: time::Millis, since: time::Tick, now: time::Tick) -> f64 {
    0.5_f64.powf(now.since(since).0 as f64 / half_life.0 as f64)
}

impl Fit {
    const fn new(now: time::Tick) -> Self {
        Self {
            products: [[0.0; TERMS]; TERMS],
            targets: [0.0; TERMS],
            weights: PRIOR,
            count: 0.0,
            squares: 0.0,
            evidence: 0.0,
            at: now,
        }
    }

    fn advance(&mut self, now: time::Tick) {
        let kept = decay(HALF_LIFE, self.at, now);
        self.products.iter_mut().flatten().for_each(|sum| *sum *= kept);
        self.targets.iter_mut().for_each(|sum| *sum *= kept);
        self.count *= kept;
        self.squares *= kept;
        self.evidence *= decay(EVIDENCE_HALF_LIFE, self.at, now);
        self.at = now;
    }

    fn expected(&self, terms: &[f64; TERMS]) -> f64 {
        terms.iter().zip(&self.weights).map(|(term, weight)| term * weight).sum()
    }

    // Learns that `terms` took this time. A long time has a larger error, so it weighs less.
    fn learn(&mut self, terms: &[f64; TERMS], took: f64) {
        let share = FLOOR_MS / (self.expected(terms) + FLOOR_MS);
        let weight = share * share;
        for (row, term) in self.products.iter_mut().zip(terms) {
            row.iter_mut().zip(terms).for_each(|(sum, other)| *sum += weight * term * other);
        }
        self.targets.iter_mut().zip(terms).for_each(|(sum, term)| *sum += weight * term * took);
        self.weights = solve(&self.products, &self.targets);
    }

    // Standard deviation of the logarithm of measured to forecast.
    fn deviation(&self, now: time::Tick) -> f64 {
        let kept = decay(HALF_LIFE, self.at, now);
        let (deviation, prior) = PRIOR_DEVIATION;
        let squares = self.squares * kept + prior * deviation * deviation;
        (squares / (self.count * kept + prior)).sqrt()
    }
}

// Weights of the least squares. A weight below 0, which chance may give, would let a longer queue look shorter.
fn solve(products: &[[f64; TERMS]; TERMS], targets: &[f64; TERMS]) -> [f64; TERMS] {
    let mut rows = *products;
    let mut values = *targets;
    for at in 0..TERMS {
        rows[at][at] += PRIOR_WEIGHT;
        values[at] += PRIOR_WEIGHT * PRIOR[at];
    }
    // The matrix is positive definite, so each pivot is above 0.
    for at in 0..TERMS {
        let (pivot, value) = (rows[at], values[at]);
        for below in at + 1..TERMS {
            let factor = rows[below][at] / pivot[at];
            rows[below].iter_mut().zip(pivot).for_each(|(cell, above)| *cell -= factor * above);
            values[below] -= factor * value;
        }
    }
    let mut weights = [0.0; TERMS];
    for at in (0..TERMS).rev() {
        let known: f64 = (at + 1..TERMS).map(|after| rows[at][after] * weights[after]).sum();
        weights[at] = ((values[at] - known) / rows[at][at]).max(0.0);
    }
    weights
}

// Time that an engine has taken, and that its class would have.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    measured: f64,
    expected: f64,
    at: time::Tick,
}

impl Pace {
    fn factor(&self, now: time::Tick) -> f64 {
        let kept = decay(HALF_LIFE, self.at, now);
        let (measured, expected) = (self.measured * kept, self.expected * kept);
        let factor = (measured + FACTOR_PRIOR_MS) / (expected + FACTOR_PRIOR_MS);
        factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
    }
}

/// What has been learnt from first events.
#[derive(Debug, Clone, Default)]
pub struct Forecasts {
    classes: BTreeMap<Class, Fit>,
    engines: BTreeMap<u32, Pace>,
}

impl Forecasts {
    /// Forecast for a request of a class at an engine.
    pub fn forecast(&self, endpoint: u32, class: Class, load: &Load, now: time::Tick) -> Forecast {
        let prior = Fit::new(now);
        let fit = self.classes.get(&class).unwrap_or(&prior);
        let factor = self.engines.get(&endpoint).map_or(1.0, |pace| pace.factor(now));
        let expected = fit.expected(&load.terms()) * factor * load.work();
        let expected = expected.min(TIME_MAX.0 as f64);
        let age = (load.age.0 as f64 / AGE_MAX.0 as f64).min(1.0) * PRIOR_DEVIATION.0;
        let deviation = fit.deviation(now).hypot(age);
        let earliest = (expected + FLOOR_MS) * (-DEVIATIONS * deviation).exp() - FLOOR_MS;
        Forecast {
            expected: time::Millis(expected as u64),
            uncertainty: time::Millis((expected - earliest.max(0.0)) as u64),
        }
    }

    /// Learns that a request has begun after this time; returns the error of its forecast.
    pub fn record_start(&mut self, made: &Made, took: time::Millis, now: time::Tick) -> Error {
        self.learn(made, took, now);
        if let Some(fit) = self.classes.get_mut(&made.class) {
            fit.evidence += 1.0;
        }
        let expected = made.forecast.expected;
        if took < expected {
            Error::Early(expected.saturating_sub(took))
        } else {
            Error::Late(took.saturating_sub(expected))
        }
    }

    /// Learns that a request has not begun within this time and never will: it would have taken longer. Otherwise only
    /// those that begin would be learnt from, and a surge would look shorter than it is.
    pub fn record_unstarted(&mut self, made: &Made, waited: time::Millis, now: time::Tick) {
        if waited > made.forecast.expected {
            self.learn(made, waited, now);
        }
    }

    fn learn(&mut self, made: &Made, took: time::Millis, now: time::Tick) {
        let terms = made.load.terms();
        let took = took.min(TIME_MAX).0 as f64;
        let usual = took / made.load.work();
        let fit = self.classes.entry(made.class).or_insert_with(|| Fit::new(now));
        fit.advance(now);
        let expected = fit.expected(&terms);
        let error = ((took + FLOOR_MS) / (made.forecast.expected.0 as f64 + FLOOR_MS)).ln();
        fit.count += 1.0;
        fit.squares += error * error;
        fit.learn(&terms, usual);
        let pace = self.engines.entry(made.endpoint).or_default();
        let kept = decay(HALF_LIFE, pace.at, now);
        pace.measured = pace.measured * kept + usual;
        pace.expected = pace.expected * kept + expected;
        pace.at = now;
    }

    /// Whether enough requests of a class have begun in the last seconds to refuse others by the forecast.
    pub fn has_evidence(&self, class: Class, now: time::Tick) -> bool {
        let fit = self.classes.get(&class);
        fit.is_some_and(|fit| fit.evidence * decay(EVIDENCE_HALF_LIFE, fit.at, now) >= EVIDENCE_MIN)
    }

    /// Forgets an engine.
    pub fn remove(&mut self, endpoint: u32) {
        self.engines.remove(&endpoint);
    }
}
