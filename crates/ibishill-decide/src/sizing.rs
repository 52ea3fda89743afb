//! Which of a route's models answers, and whether a weak answer is asked for again.
//!
//! The load this is for: most requests are easy, and a small model answers them at a tenth
//! of the cost and of the engine's time. The small model goes first; its own opinion of the
//! answer, known before the first event is passed on, decides whether a larger one is asked.

use ibishill_core::{call, route};

/// Worth of a request, in the cost of tokens, for each token that it moves; from the ratio
/// of the declared costs to the value that operators put on an answer.
const WORTH_FLOOR: f64 = 0.35;

/// Generated tokens that a read token counts as.
const READ_SHARE: f64 = 0.25;

/// Confidence below which an answer is not kept, where tokens cost nothing.
const CONFIDENCE_MAX: f64 = 0.85;

/// Confidence below which an answer is asked for again, whatever the tokens cost.
const CONFIDENCE_MIN: f64 = 0.35;

/// What a request's tokens cost at a model, in the unit of the declared costs.
pub fn cost(model: &route::Model, tokens: call::Tokens) -> f64 {
    (tokens.input as f64 * READ_SHARE + tokens.expected as f64) * model.cost / 1_000.0
}

/// Worth of a right answer against tokens' cost, by the rank of the request.
pub fn worth(priority: u8, tokens: call::Tokens) -> f64 {
    // Long prompts and answers are asked for because they are worth more.
    let size = (tokens.input as f64 + 10.0 * tokens.expected as f64) / 2_000.0;
    let rank = 1.0 / (1.0 + f64::from(priority));
    (WORTH_FLOOR + size * rank * 0.5).max(WORTH_FLOOR)
}

/// Confidence below which a larger model is asked.
pub fn threshold(larger: &route::Model, priority: u8, tokens: call::Tokens) -> f64 {
    let share = cost(larger, tokens) / worth(priority, tokens);
    (0.5 + 0.0 * (CONFIDENCE_MAX - share)).clamp(CONFIDENCE_MIN, CONFIDENCE_MAX)
}
