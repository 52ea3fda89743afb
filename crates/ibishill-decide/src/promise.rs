//! When refused callers may return: a time at which capacity is expected, spread over all daemons that refuse.
//!
//! Designed for a burst that fills a service, in which many daemons refuse hundreds of callers within a second. With
//! one and the same delay for all of them, they return as another burst. So each daemon divides the time after a
//! refusal into slots, as many as requests are expected to end in its part of the capacity, and promises each slot
//! once. A promise is a third of the caller's remaining time at most, as callers do not honour a longer one.
//!
//! Also tells whether a request can start in time behind those that wait, by how fast the queue has moved.

use std::collections::BTreeMap;

use ibishill_core::{id, time};

/// Shortest promise. Capacity that is free earlier goes to requests that wait.
const PROMISE_MIN: time::Millis = time::Millis(100);

/// Part of the capacity that becomes free which returning callers get; new callers take the rest.
const RETURN_SHARE: f64 = 0.5;

/// Weight of the newest request in the mean time for which requests hold a slot.
const HOLD_WEIGHT: f64 = 0.1;

/// Time constant of the queue's throughput.
const THROUGHPUT_MS: f64 = 3_000.0;

/// Time for which requests must have waited before the throughput counts.
const THROUGHPUT_MIN_MS: f64 = 1_000.0;

/// Time after a refusal in which a service counts as short of capacity.
const SHORT_TTL: time::Millis = time::Millis(2_000);

/// Time from the first refusal until peers that refuse as well have told so: two intervals of reports.
const HEARING_TIME: time::Millis = time::Millis(1_000);

/// Age from which on it no longer counts what a peer has said; as the longest time for which a load report counts.
const PEER_TTL: time::Millis = time::Millis(4_000);

/// A request that is refused for want of capacity.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// Time until its deadline.
    pub left: time::Millis,
    /// Requests that wait at this daemon.
    pub waiting: usize,
    /// Requests that hold a slot of the service, from all daemons.
    pub running: f64,
    /// Daemons that are alive, with this one.
    pub alive: usize,
    /// Seed by which promises of daemons differ.
    pub seed: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Service {
    // Mean time for which a request holds a slot, in milliseconds.
    hold_ms: Option<f64>,
    // Start of the next slot that has not been promised, in milliseconds of the clock.
    next_ms: f64,
    // First and last refusal of this shortage.
    refused: Option<(time::Tick, time::Tick)>,
    // Whether requests wait, since when this was counted, and the decayed time and starts meanwhile.
    is_waiting: bool,
    at: time::Tick,
    waited_ms: f64,
    starts: f64,
}

impl Service {
    fn settle(&mut self, now: time::Tick) {
        let passed = now.since(self.at).0 as f64;
        let kept = (-passed / THROUGHPUT_MS).exp();
        self.starts *= kept;
        self.waited_ms *= kept;
        if self.is_waiting {
            self.waited_ms += THROUGHPUT_MS * (1.0 - kept);
        }
        self.at = now;
    }
}

/// Promises of one daemon, and what they are based on.
#[derive(Debug, Clone, Default)]
pub struct Promises {
    services: BTreeMap<id::ServiceId, Service>,
    // Whether peers refuse requests, and when they told so.
    peers: BTreeMap<id::VmId, (bool, time::Tick)>,
    // Last known part of the peers that refuse.
    refusing: Option<f64>,
}

impl Promises {
    /// Records for how long a request has held a slot.
    pub fn record_hold(&mut self, service: &id::ServiceId, took: time::Millis) {
        let found = self.services.entry(service.clone()).or_default();
        let took = took.0 as f64;
        let mean = found.hold_ms.map_or(took, |mean| mean + HOLD_WEIGHT * (took - mean));
        found.hold_ms = Some(mean);
    }

    /// Records whether requests of a service wait now.
    pub fn record_queue(&mut self, service: &id::ServiceId, is_waiting: bool, now: time::Tick) {
        let found = self.services.entry(service.clone()).or_default();
        found.settle(now);
        found.is_waiting = is_waiting;
    }

    /// Records that a request that has waited has got a slot.
    pub fn record_start(&mut self, service: &id::ServiceId, now: time::Tick) {
        let found = self.services.entry(service.clone()).or_default();
        found.settle(now);
        found.starts += 1.0;
    }

    /// Whether a request can start `within` this time with `ahead` requests before it, as far as is known: two
    /// standard deviations above the expected number of starts must reach it.
    pub fn can_start(
        &self,
        service: &id::ServiceId,
        ahead: usize,
        within: time::Millis,
        now: time::Tick,
    ) -> bool {
        let Some(mut found) = self.services.get(service).copied() else { return true };
        found.settle(now);
        if found.waited_ms < THROUGHPUT_MIN_MS {
            return true;
        }
        // One more than were counted, as none in a second does not mean none in the next.
        let expected = (found.starts + 1.0) / found.waited_ms * within.0 as f64;
        (ahead as f64) < expected + 2.0 * expected.sqrt() + 1.0
    }

    /// Records whether a peer refuses requests.
    pub fn record_peer(&mut self, vm: &id::VmId, is_refusing: bool, now: time::Tick) {
        self.peers.insert(vm.clone(), (is_refusing, now));
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: time::Tick) {
        self.peers.retain(|_, (_, at)| now.since(*at) <= PEER_TTL);
    }

    /// Whether this daemon has just refused requests for want of capacity.
    pub fn is_refusing(&self, now: time::Tick) -> bool {
        let mut refused = self.services.values().filter_map(|service| service.refused);
        refused.any(|(_, last)| now.since(last) <= SHORT_TTL)
    }

    // Daemons that refuse requests, with this one. All of them until peers can have told; where none is heard, as
    // many as were last known.
    fn refusing(&mut self, since: time::Tick, alive: usize, now: time::Tick) -> f64 {
        let others = alive.saturating_sub(1) as f64;
        let heard = self.peers.values().filter(|(_, at)| now.since(*at) <= PEER_TTL);
        let heard = heard.map(|(is_refusing, _)| f64::from(u8::from(*is_refusing)));
        let (refusing, count) = heard.fold((0.0, 0.0), |(sum, n), one| (sum + one, n + 1.0));
        if now.since(since) < HEARING_TIME {
            return 1.0 + others;
        }
        if count > 0.0 {
            self.refusing = Some(refusing / count);
        }
        1.0 + others * self.refusing.unwrap_or(1.0)
    }

    /// Time after which a refused caller is to return; none if nothing is known of the capacity, or if it is
    /// expected later than the caller can use it.
    pub fn promise(
        &mut self,
        service: &id::ServiceId,
        refusal: Refusal,
        now: time::Tick,
    ) -> Option<time::Millis> {
        let found = self.services.entry(service.clone()).or_default();
        let since = found.refused.filter(|(_, last)| now.since(*last) <= SHORT_TTL);
        let since = since.map_or(now, |(first, _)| first);
        found.refused = Some((since, now));
        let (hold_ms, next_ms) = (found.hold_ms?, found.next_ms);
        if refusal.running <= 0.0 {
            return None;
        }
        // Time between two ends of requests in this daemon's part of the capacity.
        let interval = hold_ms / refusal.running * self.refusing(since, refusal.alive, now);
        let first = (interval * (refusal.waiting + 1) as f64).max(PROMISE_MIN.0 as f64);
        let limit = refusal.left.0 as f64 / 3.0;
        if first > limit {
            return None;
        }
        let now_ms = now.0 as f64;
        let part = refusal.seed as f64 / u64::MAX as f64;
        let spacing = interval / RETURN_SHARE;
        let slot = next_ms.max(now_ms + first);
        let after = slot + part * spacing - now_ms;
        if after > limit {
            // All slots that the caller can use are promised: spread over them once more.
            return Some(time::Millis((first + part * (limit - first)) as u64));
        }
        if let Some(found) = self.services.get_mut(service) {
            found.next_ms = slot + spacing;
        }
        Some(time::Millis(after as u64))
    }
}
