//! Which availability zones one daemon reaches, and how long a connection to each may take.
//!
//! The load this is for: a zone is cut off amid heavy traffic. Each endpoint there would cost
//! requests a connection that times out before the endpoint's own breaker opens, and on a
//! large deployment there are more such endpoints than requests can afford. Two endpoints of
//! a zone that stay silent, with none that answers between them, put the whole zone in doubt;
//! single requests then probe it.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{id, time};

/// Different endpoints that stay silent in a row until their zone is in doubt; one may have
/// lost its power alone.
const SILENT_MIN: usize = 2;

/// First wait for a probe; each silent probe doubles it.
const WAIT_MIN: time::Millis = time::Millis(400);

/// Longest wait for a probe, so that a zone is back within two seconds of its return.
const WAIT_MAX: time::Millis = time::Millis(1_600);

/// Longest time for a connection: a lost first packet is sent again after a second, and
/// within a region a connection takes a few milliseconds.
pub const CONNECT_TIMEOUT_MAX: time::Millis = time::Millis(400);

/// Shortest such time; a busy process needs tens of milliseconds to take a connection.
const CONNECT_TIMEOUT_MIN: time::Millis = time::Millis(120);

/// Times the slowest of the last connections that a connection may take.
const CONNECT_FACTOR: u64 = 8;

/// Share of the slowest connection that is remembered at each further one, in percent.
const CONNECT_KEPT: u64 = 90;

/// Lateness of this process's own timers from which on silence tells nothing of others.
const TIMER_SLACK: time::Millis = time::Millis(60);

/// What an attempt at a connection tells of the other side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It took or refused the connection.
    Answered,
    /// It did not answer.
    TimedOut,
    /// Nothing: this process could not try, for want of descriptors or a way.
    NotAttempted,
}

#[derive(Debug, Clone, Default)]
struct Zone {
    silent: BTreeSet<id::EndpointId>,
    slowest: Option<time::Millis>,
    probe: Option<Probe>,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    at: time::Tick,
    wait: time::Millis,
}

/// What is known of each zone.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    zones: BTreeMap<id::ZoneId, Zone>,
}

impl Reach {
    /// Longest time for a connection to an endpoint of a zone.
    pub fn connect_timeout(&self, zone: &id::ZoneId) -> time::Millis {
        let slowest = self.zones.get(zone).and_then(|zone| zone.slowest);
        slowest.map_or(CONNECT_TIMEOUT_MAX, |slowest| {
            time::Millis(slowest.0 * CONNECT_FACTOR).clamp(CONNECT_TIMEOUT_MIN, CONNECT_TIMEOUT_MAX)
        })
    }

    /// Whether a request may be sent to a zone; a zone in doubt gets single probes.
    pub fn allows(&self, zone: &id::ZoneId, now: time::Tick) -> bool {
        let probe = self.zones.get(zone).and_then(|zone| zone.probe);
        probe.is_none_or(|probe| probe.at <= now)
    }

    /// Number of zones in doubt.
    pub fn suspect_count(&self) -> usize {
        self.zones.values().filter(|zone| zone.probe.is_some()).count()
    }

    /// Notes that a connection to a zone is begun; if the zone is in doubt, it is the probe.
    pub fn begin(&mut self, zone: &id::ZoneId, now: time::Tick) {
        let found = self.zones.get_mut(zone).and_then(|zone| zone.probe.as_mut());
        if let Some(probe) = found {
            probe.at = probe.at.max(now + probe.wait);
        }
    }

    /// Notes how an attempt at a connection to an endpoint went, which had `limit` and took
    /// `took`.
    ///
    /// Returns whether the zone is in doubt from now on, or no longer.
    pub fn record(
        &mut self,
        zone: &id::ZoneId,
        endpoint: &id::EndpointId,
        contact: Contact,
        (limit, took): (time::Millis, time::Millis),
        now: time::Tick,
    ) -> bool {
        match contact {
            Contact::Answered => self.heard(zone, took),
            Contact::TimedOut if took.0 > limit.0 + TIMER_SLACK.0 => false,
            Contact::TimedOut => self.silent(zone, endpoint, now),
            Contact::NotAttempted => false,
        }
    }

    fn heard(&mut self, zone: &id::ZoneId, took: time::Millis) -> bool {
        let found = self.zones.entry(zone.clone()).or_default();
        let kept = found.slowest.map_or(0, |slowest| slowest.0 * CONNECT_KEPT / 100);
        found.slowest = Some(time::Millis(took.0.max(kept)));
        found.silent.clear();
        found.probe.take().is_some()
    }

    fn silent(&mut self, zone: &id::ZoneId, endpoint: &id::EndpointId, now: time::Tick) -> bool {
        let found = self.zones.entry(zone.clone()).or_default();
        if let Some(probe) = &mut found.probe {
            if probe.at <= now + probe.wait {
                probe.wait = time::Millis(2 * probe.wait.0).min(WAIT_MAX);
                probe.at = now + probe.wait;
            }
            return false;
        }
        found.silent.insert(endpoint.clone());
        let is_doubted = found.silent.len() >= SILENT_MIN;
        if is_doubted {
            found.probe = Some(Probe { at: now + WAIT_MIN, wait: WAIT_MIN });
        }
        is_doubted
    }
}
