//! What peers have under way at each endpoint, by their own reports.
//!
//! The load this is for: in a burst many daemons choose at the same moment, and an answer
//! tells of an endpoint's load only after it began. Each daemon knows its own work at once,
//! so it tells that; sums by endpoint make a choice as cheap as without them.

use std::collections::BTreeMap;

use ibishill_core::{id, time};
use serde::{Deserialize, Serialize};

/// Age from which on a peer's report of its work no longer counts.
pub const REPORT_MAX: time::Millis = time::Millis(1_600);

/// Steps of a thousand tokens at the largest model in which reports tell what is to be read.
const READING_STEPS: f64 = 4.0;

/// What one daemon has under way at an endpoint, as it tells its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Hash of the endpoint's id.
    pub endpoint: u32,
    /// Requests.
    pub running: u8,
    /// What is still to be read, in quarters of a thousand tokens at the largest model.
    pub reading: u8,
}

impl InFlight {
    /// Rounds what is under way to what is told.
    pub fn new(endpoint: u32, running: u32, reading: f64) -> Self {
        Self {
            endpoint,
            running: u8::try_from(running).unwrap_or(u8::MAX),
            reading: (reading * READING_STEPS).round().min(f64::from(u8::MAX)) as u8,
        }
    }
}

#[derive(Debug, Clone)]
struct Report {
    at: time::Tick,
    shares: Vec<InFlight>,
}

/// The newest report of each peer, with their sums.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    peers: BTreeMap<id::VmId, Report>,
    // By hash of the endpoint: requests, and what is to be read.
    sums: BTreeMap<u32, (f64, f64)>,
}

impl Reports {
    /// Takes in what a peer has under way.
    pub fn record(&mut self, vm: &id::VmId, shares: Vec<InFlight>, now: time::Tick) {
        self.add(&shares, 1.0);
        if let Some(before) = self.peers.insert(vm.clone(), Report { at: now, shares }) {
            self.add(&before.shares, -1.0);
        }
    }

    /// Forgets peers that have fallen silent.
    pub fn expire(&mut self, now: time::Tick) {
        let is_old = |report: &Report| now.since(report.at) > REPORT_MAX;
        let old = self.peers.iter().filter(|(_, report)| is_old(report));
        let old: Vec<id::VmId> = old.map(|(vm, _)| vm.clone()).collect();
        for vm in old {
            if let Some(report) = self.peers.remove(&vm) {
                self.add(&report.shares, -1.0);
            }
        }
        if self.peers.is_empty() {
            self.sums.clear();
        }
    }

    /// Requests that peers have under way at an endpoint, and what is to be read for them, in
    /// thousands of tokens at the largest model.
    pub fn total(&self, endpoint: u32) -> (f64, f64) {
        self.sums.get(&endpoint).copied().unwrap_or_default()
    }

    fn add(&mut self, shares: &[InFlight], sign: f64) {
        for share in shares {
            let sums = self.sums.entry(share.endpoint).or_default();
            sums.0 += sign * f64::from(share.running);
            sums.1 += sign * f64::from(share.reading) / READING_STEPS;
            if sums.0 <= 0.0 {
                self.sums.remove(&share.endpoint);
            }
        }
    }
}
