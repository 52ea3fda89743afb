//! Decides whether a small model's answer is replaced by a larger model's.
//!
//! Designed for routes on which most requests are easy, and a small model answers them at a tenth
//! of the cost and of the engine time. The small model runs first. Its confidence in the answer,
//! which is known before the first event is forwarded, decides whether a larger model runs. Where a
//! request may run only once, the model is chosen before.

use ibishill_core::{call, route, time};

/// Minimum value of a correct answer, in the unit of the declared costs.
///
/// Operators declare costs relative to the value of an ordinary short answer, which is about one.
const VALUE_MIN: f64 = 0.35;

/// Tokens, with generated ones counted tenfold, that add one to the value of a correct answer at
/// the highest priority.
const VALUE_TOKENS: f64 = 4_000.0;

/// Weight of a generated token relative to a prompt token in the value of an answer.
const OUTPUT_WEIGHT: f64 = 10.0;

/// Cost of a prompt token relative to a generated one.
const INPUT_COST: f64 = 0.25;

/// Confidence at which an answer is as likely correct as wrong.
const CONFIDENCE_MIDPOINT: f64 = 0.5;

/// Scale of the logistic function that maps confidence to the probability of a correct answer;
/// a model's confidence is only a rough indicator.
const CONFIDENCE_SCALE: f64 = 0.085;

/// Probability of a wrong answer that is always accepted.
const RISK_MIN: f64 = 0.03;

/// Weight of the newest time to the first event in a service's smoothed pressure.
const PRESSURE_GAIN: f64 = 0.12;

/// Time in which the pressure halves while no first events arrive.
const PRESSURE_HALF_LIFE: time::Millis = time::Millis(2_000);

/// Time to the first event, as a share of the latency target, at which the pressure starts, and
/// at which it is at its maximum because a second run would make the answer late.
const LATENCY_RANGE: (f64, f64) = (0.15, 0.6);

/// Utilization of the engines at which the pressure starts, and at which it is at its maximum
/// because no capacity is left for second runs.
const UTILIZATION_RANGE: (f64, f64) = (0.45, 0.85);

/// Relative increase of the larger model's cost at full pressure: its tokens take capacity from
/// other answers, which are late then.
const PRESSURE_SURCHARGE: f64 = 6.0;

/// Load pressure on a service's engines: smoothed time to the first event relative to the target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pressure {
    mean: f64,
    at: time::Tick,
}

impl Pressure {
    /// Records the time to a first event against the route's latency target.
    pub fn record(&mut self, took: time::Millis, target: time::Millis, now: time::Tick) {
        let share = took.0 as f64 / target.0.max(1) as f64;
        let mean = self.decayed(now);
        self.mean = mean + PRESSURE_GAIN * (share.min(2.0) - mean);
        self.at = now;
    }

    fn decayed(&self, now: time::Tick) -> f64 {
        let half_lives = now.since(self.at).0 as f64 / PRESSURE_HALF_LIFE.0 as f64;
        self.mean * 0.5_f64.powf(half_lives)
    }

    /// Pressure level from 0 to 1. `utilization` is the share of the engines' slots in use.
    pub fn level(&self, utilization: f64, now: time::Tick) -> f64 {
        let scale =
            |value: f64, (low, high): (f64, f64)| ((value - low) / (high - low)).clamp(0.0, 1.0);
        scale(self.decayed(now), LATENCY_RANGE).max(scale(utilization, UTILIZATION_RANGE))
    }
}

/// Cost of a request's tokens at a model, in the unit of the declared costs.
pub fn cost(model: &route::Model, tokens: call::Tokens) -> f64 {
    (tokens.input as f64 * INPUT_COST + tokens.expected_output as f64) * model.cost / 1_000.0
}

/// Value of a correct answer, in the unit of the declared costs.
///
/// Callers send long prompts and ask for long answers because these are worth more to them;
/// answers of a higher priority are, too. Priority 0 is the highest.
pub fn value(priority: u8, tokens: call::Tokens) -> f64 {
    let size = (tokens.input as f64 + OUTPUT_WEIGHT * tokens.expected_output as f64) / VALUE_TOKENS;
    VALUE_MIN + size / (1.0 + f64::from(priority))
}

/// Whether a larger model's answer begins while its caller waits: `expected` is the least time to its first event, if it
/// is known, and `left` the time until the deadline.
///
/// The answer that is there is certain, so the expected time counts, and not the earliest one.
pub fn begins_in_time(expected: Option<time::Millis>, left: time::Millis) -> bool {
    expected.is_none_or(|expected| expected <= left)
}

/// Whether the larger model runs at once, if a request may run only once: where it would replace an
/// answer that is as likely correct as wrong, since nothing is known of the small model's answer yet.
/// `threshold` is the confidence below which it would run.
pub fn begins_large(threshold: f64) -> bool {
    threshold > CONFIDENCE_MIDPOINT
}

/// Confidence below which a larger model runs: where the expected loss by a wrong answer exceeds
/// the cost of the larger model at this `pressure`, 0 to 1.
pub fn threshold(larger: &route::Model, priority: u8, tokens: call::Tokens, pressure: f64) -> f64 {
    let price = cost(larger, tokens) * (1.0 + PRESSURE_SURCHARGE * pressure);
    let risk = (price / value(priority, tokens)).max(RISK_MIN);
    if risk >= 1.0 {
        // A second run costs more than even a certainly wrong answer loses.
        return 0.0;
    }
    CONFIDENCE_MIDPOINT + CONFIDENCE_SCALE * ((1.0 - risk) / risk).ln()
}
