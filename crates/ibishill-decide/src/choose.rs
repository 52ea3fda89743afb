//! Choice between endpoints of equal right.

use ibishill_core::id;
use xxhash_rust::xxh3;

/// What is known of one endpoint when a request is placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// The endpoint.
    pub endpoint: id::EndpointId,
    /// Requests that run there.
    pub running: u32,
    /// Requests that may run there.
    pub limit: u32,
}

impl Load {
    // Share of the limit in use after one more request, in thousandths.
    fn share(&self) -> u64 {
        u64::from(self.running + 1) * 1_000 / u64::from(self.limit.max(1))
    }
}

/// Picks one endpoint: the less loaded of two that the request's id selects.
pub fn choose<'a>(loads: &'a [Load], request: &id::RequestId) -> Option<&'a Load> {
    let free: Vec<_> = loads.iter().filter(|load| load.running < load.limit).collect();
    let count = free.len() as u64;
    if count == 0 {
        return None;
    }
    let hash = xxh3::xxh3_64(request.as_str().as_bytes());
    let first = free[(hash % count) as usize];
    let second = free[((hash >> 32) % count) as usize];
    Some(if second.share() < first.share() { second } else { first })
}
