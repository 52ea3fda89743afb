//! The start of a prompt, which engines cache.

use serde::{Deserialize, Serialize};

/// Hash of the start of a request's messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixKey(pub u64);
