//! In-flight requests of peers at each endpoint, as the peers report them.
//!
//! Designed for bursts, in which many daemons choose at the same moment, and a response reports
//! an endpoint's load only after it has started. Each daemon knows its own in-flight
//! requests at once, so it reports those. They are kept by endpoint, so that a choice looks at
//! those of one endpoint only.

use std::collections::BTreeMap;

use ibishill_core::{id, time};
use serde::{Deserialize, Serialize};

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

/// Time after which a prompt that a peer has told of is taken for read: the datagram that tells so may be lost.
const READING_TTL: time::Millis = time::Millis(3_000);

// What a peer has in flight at one endpoint.
#[derive(Debug, Clone, Copy)]
struct Told {
    sender: u32,
    at: time::Tick,
    work: InFlight,
}

#[derive(Debug, Clone, Copy)]
struct Sender {
    number: u32,
    until: time::Tick,
}

/// Newest report of each peer, and what was told since, by endpoint.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    senders: BTreeMap<id::VmId, Sender>,
    next: u32,
    endpoints: BTreeMap<u32, Vec<Told>>,
}

impl Reports {
    /// Records the report of a peer, which replaces its earlier one and counts for `ttl`.
    pub fn record(
        &mut self,
        vm: &id::VmId,
        work: Vec<InFlight>,
        ttl: time::Millis,
        now: time::Tick,
    ) {
        let sender = self.sender(vm, ttl, now);
        self.endpoints.retain(|_, told| {
            told.retain(|told| told.sender != sender);
            !told.is_empty()
        });
        for work in work {
            self.endpoints.entry(work.endpoint).or_default().push(Told { sender, at: now, work });
        }
    }

    /// Records what a peer has in flight at one endpoint, beside the rest of its report.
    pub fn update(&mut self, vm: &id::VmId, work: InFlight, ttl: time::Millis, now: time::Tick) {
        let sender = self.sender(vm, ttl, now);
        let told = self.endpoints.entry(work.endpoint).or_default();
        told.retain(|told| told.sender != sender);
        told.push(Told { sender, at: now, work });
    }

    fn sender(&mut self, vm: &id::VmId, ttl: time::Millis, now: time::Tick) -> u32 {
        let until = now + ttl;
        if let Some(sender) = self.senders.get_mut(vm) {
            sender.until = sender.until.max(until);
            return sender.number;
        }
        self.next = self.next.wrapping_add(1);
        self.senders.insert(vm.clone(), Sender { number: self.next, until });
        self.next
    }

    /// Drops the reports of peers that have told nothing for longer than their reports count.
    pub fn expire(&mut self, now: time::Tick) {
        let expired = self.senders.values().filter(|sender| sender.until < now);
        let expired: Vec<u32> = expired.map(|sender| sender.number).collect();
        if expired.is_empty() {
            return;
        }
        self.senders.retain(|_, sender| sender.until >= now);
        self.endpoints.retain(|_, told| {
            told.retain(|told| !expired.contains(&told.sender));
            !told.is_empty()
        });
    }

    /// When a peer last told of an endpoint; none if none has.
    pub fn heard(&self, endpoint: u32) -> Option<time::Tick> {
        self.endpoints.get(&endpoint)?.iter().map(|told| told.at).max()
    }

    /// Requests that peers have in flight at an endpoint, and their outstanding prefill cost in
    /// thousands of tokens at the largest model.
    pub fn total(&self, endpoint: u32, now: time::Tick) -> (f64, f64) {
        let told = self.endpoints.get(&endpoint).map_or(&[][..], Vec::as_slice);
        told.iter().fold((0.0, 0.0), |(running, prefill), told| {
            let is_read = now.since(told.at) >= READING_TTL;
            let reading = if is_read { 0.0 } else { f64::from(told.work.reading) };
            (running + f64::from(told.work.running), prefill + reading / PREFILL_UNITS)
        })
    }
}
