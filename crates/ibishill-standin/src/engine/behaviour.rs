//! How an engine behaves over HTTP, with injectable faults.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::simulation;

/// How the engine behaves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Behaviour {
    /// Fixed time to the first token, in milliseconds.
    pub first_ms: u64,
    /// Time between tokens of a request that runs alone, in milliseconds.
    pub token_ms: u64,
    /// Tokens of an answer.
    pub tokens: u64,
    /// Factor by which the engine is slower than it should be.
    pub slow: u32,
    /// Whether answers are of bad quality.
    pub bad: bool,
    /// Whether every request fails with status 500.
    pub fail: bool,
    /// Tokens after which a stream is cut without its end marker; 0 means never.
    pub cut_after: u64,
    /// Tokens after which a stream falls silent; 0 means never.
    pub hang_after: u64,
    /// Whether answers carry another request's id.
    pub crossed: bool,
    /// Whether answers carry the id of the request before.
    pub late: bool,
    /// Whether answers carry no id at all.
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
    /// What steps of the engine take.
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
