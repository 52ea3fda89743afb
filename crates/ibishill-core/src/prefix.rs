//! Prompt prefixes, which engines cache.

use serde::{Deserialize, Serialize};

/// Hash of the first part of a request's messages; requests with the same hash share a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixKey(pub u64);
