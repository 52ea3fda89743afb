//! Which of a route's models answers, and whether a weak answer is asked for again.
//!
//! The load this is for: most requests are easy, and a small model answers them at a tenth
//! of the cost and of the engine's time. The small model goes first; its own opinion of the
//! answer, known before the first event is passed on, decides whether a larger one is asked.

use ibishill_core::{call, route, time};

/// Least worth of a right answer, in the unit of the declared costs.
///
/// Operators declare costs against the worth of an ordinary short answer, which is about one.
const WORTH_MIN: f64 = 0.35;

/// Tokens, with generated ones counted tenfold, whose right answer is worth one at the first
/// rank.
const WORTH_TOKENS: f64 = 4_000.0;

/// How much a generated token counts against a read one in an answer's worth.
const GENERATED: f64 = 10.0;

/// Generated tokens that a read token costs.
const READ_SHARE: f64 = 0.25;

/// Confidence at which an answer is as likely right as wrong.
const CONFIDENCE_EVEN: f64 = 0.5;

/// Scale of the logistic curve from confidence to the chance that an answer is right: a
/// model's opinion of itself is rough.
const CONFIDENCE_SCALE: f64 = 0.085;

/// Least chance of a wrong answer that is accepted.
const RISK_MIN: f64 = 0.03;

/// Weight of the newest first event in the mean of a service's strain.
const STRAIN_WEIGHT: f64 = 0.12;

/// Time in which strain halves if no event tells of it.
const STRAIN_HALF: time::Millis = time::Millis(2_000);

/// Time to the first event, as a share of what callers expect, at which engines are calm, and
/// at which a second run would make the first answer late.
const STRAIN_RANGE: (f64, f64) = (0.15, 0.6);

/// Share of the engines' places that are taken at which they are calm, and at which nothing
/// is left for second runs.
const TAKEN_RANGE: (f64, f64) = (0.45, 0.85);

/// How much more the larger model's tokens cost when engines are strained: they take room
/// from answers that are then late.
const STRAIN_PRICE: f64 = 6.0;

/// How long engines of a service take to begin, against what callers expect.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pressure {
    mean: f64,
    at: time::Tick,
}

impl Pressure {
    /// Notes the time to a first event.
    pub fn record(&mut self, took: time::Millis, target: time::Millis, now: time::Tick) {
        let share = took.0 as f64 / target.0.max(1) as f64;
        let mean = self.faded(now);
        self.mean = mean + STRAIN_WEIGHT * (share.min(2.0) - mean);
        self.at = now;
    }

    fn faded(&self, now: time::Tick) -> f64 {
        let halves = now.since(self.at).0 as f64 / STRAIN_HALF.0 as f64;
        self.mean * 0.5_f64.powf(halves)
    }

    /// From 0, when engines are calm, to 1; `taken` is the share of their places in use.
    pub fn level(&self, taken: f64, now: time::Tick) -> f64 {
        let between =
            |value: f64, (low, high): (f64, f64)| ((value - low) / (high - low)).clamp(0.0, 1.0);
        between(self.faded(now), STRAIN_RANGE).max(between(taken, TAKEN_RANGE))
    }
}

/// What a request's tokens cost at a model, in the unit of the declared costs.
pub fn cost(model: &route::Model, tokens: call::Tokens) -> f64 {
    (tokens.input as f64 * READ_SHARE + tokens.expected as f64) * model.cost / 1_000.0
}

/// Worth of a right answer, in the unit of the declared costs.
///
/// Long prompts and answers are asked for because they are worth more, urgent ones too.
pub fn value(priority: u8, tokens: call::Tokens) -> f64 {
    let size = (tokens.input as f64 + GENERATED * tokens.expected as f64) / WORTH_TOKENS;
    WORTH_MIN + size / (1.0 + f64::from(priority))
}

/// Confidence below which a larger model is asked: where the worth that is at risk exceeds
/// what the larger model costs at this `strain`.
pub fn threshold(larger: &route::Model, priority: u8, tokens: call::Tokens, strain: f64) -> f64 {
    let price = cost(larger, tokens) * (1.0 + STRAIN_PRICE * strain);
    let risk = (price / value(priority, tokens)).max(RISK_MIN);
    if risk >= 1.0 {
        // Even a surely wrong answer is not worth a second run.
        return 0.0;
    }
    CONFIDENCE_EVEN + CONFIDENCE_SCALE * ((1.0 - risk) / risk).ln()
}
