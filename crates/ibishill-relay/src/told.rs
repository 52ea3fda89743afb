//! What relays tell each other of themselves and of endpoints, apart from how it is encoded.

use ibishill_core::time;
use ibishill_decide::{endpoint_key, endpoint_limit, exposure, gate, quarantine, slot_share};
use serde::{Deserialize, Serialize};

/// Configuration that a relay has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Announcement {
    /// Version; 0 before the first.
    pub(crate) version: u64,
    /// Time since any relay first had it, as far as the sender knows.
    pub(crate) age: time::Millis,
}

/// Endpoints: their terms, segments of prompts that end them, and which have turned cold.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct News {
    pub(crate) limits: Vec<endpoint_limit::Told>,
    /// Endpoints that leave.
    pub(crate) leaving: Vec<gate::Leaving>,
    /// Services whose endpoints end by rejections.
    pub(crate) fragile: Vec<slot_share::Told>,
    pub(crate) evidence: Vec<quarantine::evidence::Evidence>,
    /// Endpoints that have turned cold, and how long they stay so.
    pub(crate) cold: Vec<(endpoint_key::EndpointKey, time::Millis)>,
    /// Prompts sent to endpoints, and whether these have ended.
    #[serde(skip)]
    pub(crate) exposures: Vec<exposure::Told>,
}
