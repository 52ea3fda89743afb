//! In-flight requests of peers at each endpoint, as the peers report them.
//!
//! Designed for bursts, in which many daemons choose at the same moment, and a response reports
//! an endpoint's load only after it has started. Each daemon knows its own in-flight
//! requests at once, so it reports those. Sums are kept by endpoint, so that a choice costs no
//! more than without reports.

use std::collections::BTreeMap;

use ibishill_core::{id, time};
use serde::{Deserialize, Serialize};

/// Age above which a peer's report is dropped.
pub const REPORT_TTL: time::Millis = time::Millis(1_600);

/// Units of reported prefill cost per 1,000 tokens at the largest model.
const PREFILL_UNITS: f64 = 4.0;

/// In-flight requests of one daemon at one endpoint, as reported to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Low 32 bits of the hash of the endpoint's id.
    pub endpoint: u32,
    /// Number of requests; at most 255 are reported.
    pub running: u8,
    /// Outstanding prefill cost, in units of 250 tokens at the largest model.
    pub reading: u8,
}

impl InFlight {
    /// Rounds to the units of the report; `prefill` is in thousands of tokens at the largest
    /// model.
    pub fn new(endpoint: u32, running: u32, prefill: f64) -> Self {
        Self {
            endpoint,
            running: u8::try_from(running).unwrap_or(u8::MAX),
            reading: (prefill * PREFILL_UNITS).round().min(f64::from(u8::MAX)) as u8,
        }
    }
}

#[derive(Debug, Clone)]
struct Report {
    at: time::Tick,
    work: Vec<InFlight>,
}

/// Newest report of each peer, and their sums by endpoint.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    peers: BTreeMap<id::VmId, Report>,
    // By endpoint: requests and outstanding prefill cost.
    sums: BTreeMap<u32, (f64, f64)>,
}

impl Reports {
    /// Records the report of a peer, which replaces its earlier one.
    pub fn record(&mut self, vm: &id::VmId, work: Vec<InFlight>, now: time::Tick) {
        self.add(&work, 1.0);
        if let Some(earlier) = self.peers.insert(vm.clone(), Report { at: now, work }) {
            self.add(&earlier.work, -1.0);
        }
    }

    /// Drops reports older than [`REPORT_TTL`].
    pub fn expire(&mut self, now: time::Tick) {
        let is_expired = |report: &Report| now.since(report.at) > REPORT_TTL;
        let expired = self.peers.iter().filter(|(_, report)| is_expired(report));
        let expired: Vec<id::VmId> = expired.map(|(vm, _)| vm.clone()).collect();
        for vm in expired {
            if let Some(report) = self.peers.remove(&vm) {
                self.add(&report.work, -1.0);
            }
        }
        if self.peers.is_empty() {
            self.sums.clear();
        }
    }

    /// Requests that peers have in flight at an endpoint, and their outstanding prefill cost in
    /// thousands of tokens at the largest model.
    pub fn total(&self, endpoint: u32) -> (f64, f64) {
        self.sums.get(&endpoint).copied().unwrap_or_default()
    }

    fn add(&mut self, work: &[InFlight], sign: f64) {
        for item in work {
            let sums = self.sums.entry(item.endpoint).or_default();
            sums.0 += sign * f64::from(item.running);
            sums.1 += sign * f64::from(item.reading) / PREFILL_UNITS;
            if sums.0 <= 0.0 {
                self.sums.remove(&item.endpoint);
            }
        }
    }
}
