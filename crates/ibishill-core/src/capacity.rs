//! An owner's summary of what it can still run.

use serde::{Deserialize, Serialize};

/// Room for one target at one owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Requests that may still be admitted, less those that wait.
    pub free: u32,
    /// Requests that may run at once.
    pub limit: u32,
}
