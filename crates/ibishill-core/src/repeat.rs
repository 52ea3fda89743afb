//! Whether a call may run more than once.

use serde::{Deserialize, Serialize};

/// Repeat class of a call, set by the declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Idempotent: a second run has no further effect, so retries are allowed.
    Safe,
    /// Not idempotent: the call runs at most once.
    Never,
}
