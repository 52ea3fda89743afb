//! Whether a call may be sent twice.

use serde::{Deserialize, Serialize};

/// Repeat class of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Idempotent: a second run does no harm, so retries and hedging are allowed.
    Safe,
    /// Not idempotent: it runs at most once.
    Never,
}
