//! Reachability of availability zones from one daemon, and the connect timeout for each.
//!
//! Designed for a zone that is partitioned under heavy traffic. Each endpoint there would
//! cost requests a connect timeout before the endpoint's own circuit breaker opens, and a large
//! deployment has more such endpoints than requests can afford. The whole zone is suspected
//! after connections to two of its endpoints time out with none answered between them; single
//! requests then probe it.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{id, time};

/// Different endpoints that time out in a row until their zone is suspected; a single one may
/// have lost power on its own.
const SUSPECT_MIN: usize = 2;

/// Delay of the first probe; each probe that times out doubles it.
const PROBE_DELAY_MIN: time::Millis = time::Millis(400);

/// Longest delay of a probe, so that a zone is used again within two seconds of its return.
const PROBE_DELAY_MAX: time::Millis = time::Millis(1_600);

/// Longest connect timeout: a lost SYN is retransmitted only after a second, and within a
/// region a connection takes a few milliseconds.
pub const CONNECT_TIMEOUT_MAX: time::Millis = time::Millis(400);

/// Shortest connect timeout: a busy process needs tens of milliseconds to accept a connection.
const CONNECT_TIMEOUT_MIN: time::Millis = time::Millis(120);

/// Connect timeout as a multiple of the slowest recent connection.
const CONNECT_TIMEOUT_FACTOR: u64 = 8;

/// Share of the slowest connection time that is kept at each further connection, in percent.
const SLOWEST_KEPT_PERCENT: u64 = 90;

/// Delay of this process's own timers above which a timeout says nothing about the other side.
const TIMER_SLACK: time::Millis = time::Millis(60);

/// Whether a connection attempt has timed out so late that this process was delayed itself.
pub const fn is_own_delay(timeout: time::Millis, took: time::Millis) -> bool {
    took.0 > timeout.0 + TIMER_SLACK.0
}

/// Result of a connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// The other side accepted or refused the connection.
    Answered,
    /// No answer within the connect timeout.
    TimedOut,
    /// This process could not try, for lack of descriptors or of a route.
    NotAttempted,
}

#[derive(Debug, Clone, Default)]
struct Zone {
    timed_out: BTreeSet<id::EndpointId>,
    slowest: Option<time::Millis>,
    probe: Option<Probe>,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    at: time::Tick,
    delay: time::Millis,
    /// Whether it has begun, and its result is not known.
    is_begun: bool,
}

/// Reachability of each zone.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    zones: BTreeMap<id::ZoneId, Zone>,
}

impl Reach {
    /// Connect timeout for an endpoint of a zone.
    pub fn connect_timeout(&self, zone: &id::ZoneId) -> time::Millis {
        let slowest = self.zones.get(zone).and_then(|zone| zone.slowest);
        slowest.map_or(CONNECT_TIMEOUT_MAX, |slowest| {
            time::Millis(slowest.0 * CONNECT_TIMEOUT_FACTOR)
                .clamp(CONNECT_TIMEOUT_MIN, CONNECT_TIMEOUT_MAX)
        })
    }

    /// Whether a request may be sent to a zone; a suspected zone gets single probes.
    pub fn allows(&self, zone: &id::ZoneId, now: time::Tick) -> bool {
        let probe = self.zones.get(zone).and_then(|zone| zone.probe);
        probe.is_none_or(|probe| probe.at <= now)
    }

    /// Number of suspected zones.
    pub fn suspect_count(&self) -> usize {
        self.zones.values().filter(|zone| zone.probe.is_some()).count()
    }

    /// Records the start of a connection to a zone, which is the probe if the zone is suspected.
    pub fn begin(&mut self, zone: &id::ZoneId, now: time::Tick) {
        let suspected = self.zones.get_mut(zone).and_then(|zone| zone.probe.as_mut());
        if let Some(probe) = suspected {
            probe.at = probe.at.max(now + probe.delay);
            probe.is_begun = true;
        }
    }

    /// Records the result of a connection attempt, which had the timeout `timeout` and took
    /// `took`.
    ///
    /// Returns whether the zone has become suspected, or is no longer.
    pub fn record(
        &mut self,
        zone: &id::ZoneId,
        endpoint: &id::EndpointId,
        contact: Contact,
        (timeout, took): (time::Millis, time::Millis),
        now: time::Tick,
    ) -> bool {
        match contact {
            Contact::Answered => self.record_answer(zone, took),
            Contact::TimedOut if is_own_delay(timeout, took) => false,
            Contact::TimedOut => self.record_timeout(zone, endpoint, now),
            Contact::NotAttempted => false,
        }
    }

    fn record_answer(&mut self, zone: &id::ZoneId, took: time::Millis) -> bool {
        let state = self.zones.entry(zone.clone()).or_default();
        let kept = state.slowest.map_or(0, |slowest| slowest.0 * SLOWEST_KEPT_PERCENT / 100);
        state.slowest = Some(time::Millis(took.0.max(kept)));
        state.timed_out.clear();
        state.probe.take().is_some()
    }

    fn record_timeout(
        &mut self,
        zone: &id::ZoneId,
        endpoint: &id::EndpointId,
        now: time::Tick,
    ) -> bool {
        let state = self.zones.entry(zone.clone()).or_default();
        if let Some(probe) = &mut state.probe {
            // Connections that began before the zone was suspected time out as well.
            if std::mem::take(&mut probe.is_begun) {
                probe.delay = time::Millis(2 * probe.delay.0).min(PROBE_DELAY_MAX);
                probe.at = now + probe.delay;
            }
            return false;
        }
        state.timed_out.insert(endpoint.clone());
        let is_suspected = state.timed_out.len() >= SUSPECT_MIN;
        if is_suspected {
            let delay = PROBE_DELAY_MIN;
            state.probe = Some(Probe { at: now + delay, delay, is_begun: false });
        }
        is_suspected
    }
}
