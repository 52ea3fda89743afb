//! Behaviour of an engine over HTTP, with injectable faults.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::simulation;

/// Timing and faults of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Behaviour {
    /// Fixed part of the time to first token, in milliseconds.
    pub first_ms: u64,
    /// Fixed time of a step, which generates one token for each request of the batch, in
    /// milliseconds.
    pub token_ms: u64,
    /// Most tokens of an answer.
    pub tokens: u64,
    /// Factor by which every step is slowed down; 1 means normal speed.
    pub slow: u32,
    /// Whether answers contain the marker that the platform stand-in rates as bad.
    pub bad: bool,
    /// Whether every chat request fails with status 500, and the health check with 503.
    pub fail: bool,
    /// Tokens after which a stream ends without its end marker; 0 means never.
    pub cut_after: u64,
    /// Tokens after which a stream stalls with its connection open; 0 means never.
    pub hang_after: u64,
    /// Whether responses carry a wrong id: the request's own with `-other` appended.
    pub crossed: bool,
    /// Whether responses carry the id of the previous request.
    pub late: bool,
    /// Whether responses carry no id.
    pub unmarked: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            first_ms: 20,
            token_ms: 5,
            tokens: 12,
            slow: 1,
            bad: false,
            fail: false,
            cut_after: 0,
            hang_after: 0,
            crossed: false,
            late: false,
            unmarked: false,
        }
    }
}

impl Behaviour {
    /// Costs of the engine's steps.
    pub fn costs(&self) -> simulation::Costs {
        let defaults = simulation::Settings::default().costs;
        simulation::Costs {
            prefill: Duration::from_millis(self.first_ms) * self.slow,
            prefill_token: defaults.prefill_token * self.slow,
            step: Duration::from_millis(self.token_ms) * self.slow,
            sequence: defaults.sequence * self.slow,
        }
    }
}
