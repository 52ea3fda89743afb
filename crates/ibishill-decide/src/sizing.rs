//! Which of a route's models answers, and whether a weak answer is asked for again.
//!
//! The load this is for: most requests are easy, and a small model answers them at a tenth
//! of the cost and of the engine's time. The small model goes first; its own opinion of the
//! answer, known before the first event is passed on, decides whether a larger one is asked.

use ibishill_core::{call, route};

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

/// Bounds of the chance of a wrong answer that is accepted.
const RISK: (f64, f64) = (0.03, 0.9);

/// What a request's tokens cost at a model, in the unit of the declared costs.
pub fn cost(model: &route::Model, tokens: call::Tokens) -> f64 {
    (tokens.input as f64 * READ_SHARE + tokens.expected as f64) * model.cost / 1_000.0
}

/// Worth of a right answer, in the unit of the declared costs.
///
/// Long prompts and answers are asked for because they are worth more, urgent ones too.
pub fn worth(priority: u8, tokens: call::Tokens) -> f64 {
    let size = (tokens.input as f64 + GENERATED * tokens.expected as f64) / WORTH_TOKENS;
    WORTH_MIN + size / (1.0 + f64::from(priority))
}

/// Confidence below which a larger model is asked: where the worth that is at risk exceeds
/// what the larger model costs.
pub fn threshold(larger: &route::Model, priority: u8, tokens: call::Tokens) -> f64 {
    let risk = (cost(larger, tokens) / worth(priority, tokens)).clamp(RISK.0, RISK.1);
    CONFIDENCE_EVEN + CONFIDENCE_SCALE * ((1.0 - risk) / risk).ln()
}
