//! Short keys of endpoints, for messages between daemons.

use std::fmt;

use ibishill_core::{fleet, id};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// One incarnation of an endpoint: the low 32 bits of a hash of its id and start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointKey(u32);

impl fmt::Display for EndpointKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl EndpointKey {
    /// Key of the incarnation with this id and start time, in milliseconds since the Unix epoch.
    pub fn new(id: &id::EndpointId, started: Option<u64>) -> Self {
        let seed = started.unwrap_or_default();
        Self(xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), seed) as u32)
    }

    /// Key of the registered incarnation.
    pub fn of(registration: &fleet::Registration) -> Self {
        Self::new(&registration.id, registration.started)
    }
}
