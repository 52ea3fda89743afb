//! Limits on the requests per second that endpoints take from all daemons together, as they name
//! them in their answers.

use std::collections::BTreeMap;

use ibishill_core::rate::RequestRate;
use ibishill_core::time;

use crate::endpoint_key::EndpointKey;

/// Maximum number of endpoints with a limit; the one named longest ago makes room.
const ENDPOINTS_MAX: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Known {
    limit: RequestRate,
    // When an answer last named it.
    at: time::Tick,
}

/// What an endpoint's answer says of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// The limit; none if the answer names none.
    pub limit: Option<RequestRate>,
    /// When the request was sent.
    pub sent: time::Tick,
}

/// Known limits by endpoint.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    known: BTreeMap<EndpointKey, Known>,
}

impl Limits {
    /// Records what an answer says; returns whether the limit has changed.
    ///
    /// An answer to a request that was sent before the limit was last named does not withdraw it.
    pub fn record(&mut self, endpoint: EndpointKey, statement: Statement, now: time::Tick) -> bool {
        let known = self.known.get(&endpoint).copied();
        match statement.limit {
            Some(limit) => {
                self.make_room(endpoint);
                self.known.insert(endpoint, Known { limit, at: now });
                known.is_none_or(|known| known.limit != limit)
            }
            None if known.is_some_and(|known| known.at <= statement.sent) => {
                self.known.remove(&endpoint);
                true
            }
            None => false,
        }
    }

    fn make_room(&mut self, endpoint: EndpointKey) {
        if self.known.len() >= ENDPOINTS_MAX && !self.known.contains_key(&endpoint) {
            let oldest = self.known.iter().min_by_key(|(_, known)| known.at);
            if let Some(oldest) = oldest.map(|(endpoint, _)| *endpoint) {
                self.known.remove(&oldest);
            }
        }
    }

    /// Number of endpoints with a limit.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no endpoint has a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
