//! Free capacity that the owner of endpoints reports to other daemons.

use serde::{Deserialize, Serialize};

/// Capacity for one target at one owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Requests that can still be admitted, minus those that are waiting.
    pub free: u32,
    /// Maximum number of concurrent requests.
    pub limit: u32,
}
