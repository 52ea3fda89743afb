//! Cold endpoints: at which rate they take requests, and how daemons learn of them while the
//! registrations that tell so don't arrive.

use ibishill_core::{id, time};
use xxhash_rust::xxh3;

use super::doubt::{self, Warmth};
use super::{Balancer, Endpoint};
use crate::endpoint_key::EndpointKey;
use crate::rate;

/// Daemons that share the admission rate of one cold endpoint.
pub const COLD_SENDERS: usize = 6;

/// Share of a cold endpoint's declared rate that is used, as daemons may disagree on which
/// of them send to it.
const COLD_RATE_SHARE: f64 = 0.8;

/// Rate at which the daemon of rank `rank` may send to a cold endpoint, whose declared rate is
/// in requests per second; 0 for ranks from [`COLD_SENDERS`] on.
pub fn cold_rate(declared: f64, rank: usize) -> rate::Rate {
    let per_second =
        if rank < COLD_SENDERS { declared * COLD_RATE_SHARE / COLD_SENDERS as f64 } else { 0.0 };
    rate::Rate { per_second, burst: 1.0 }
}

/// Time for which peers are told of an endpoint that has turned cold.
const NEWS_TTL: time::Millis = time::Millis(2_000);

/// Difference up to which two reports of a cold time are taken for the same: each daemon that passes
/// one on adds the time that its message took.
const SAME_MAX: time::Millis = time::Millis(500);

/// Rule by which an endpoint counts as cold, and the rate that it is sent then.
#[derive(Debug, Clone, Copy)]
pub struct SlowStart {
    /// Time for which an endpoint is cold after a start.
    pub duration: time::Millis,
    /// Declared rate of a cold endpoint, all daemons together, in requests per second; 0 for
    /// no limit.
    pub rate: f64,
    /// Whether the daemon's state is too old to tell a warm endpoint from a cold one; all
    /// count as cold then.
    pub is_stale: bool,
}

impl Balancer {
    /// Whether an endpoint has started recently, or may have done so.
    pub fn is_cold(&self, id: &id::EndpointId, now: time::Tick) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| endpoint.warmth.is_cold(now))
    }

    /// Records that an endpoint stays cold for a time, or is warm, as its health check of the time `asked` says;
    /// returns whether that it is cold was unknown.
    pub fn record_health(
        &mut self,
        id: &id::EndpointId,
        cold_remaining: time::Millis,
        (asked, now): (time::Tick, time::Tick),
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        let mut is_news = false;
        if cold_remaining.0 > 0 {
            let warmth = &mut endpoint.warmth;
            warmth.checked_until = now + cold_remaining;
            is_news = warmth.hear_cold(cold_remaining, now);
            warmth.cold_until = warmth.cold_until.max(now + cold_remaining);
        }
        self.settle(id, doubt::Cause::Health, asked);
        is_news
    }

    /// Whether an endpoint is cold by a health check of this daemon or of a peer. A registration may be
    /// outdated, so that daemons differ in what they take from it.
    pub fn is_checked_cold(&self, id: &id::EndpointId, now: time::Tick) -> bool {
        let found = self.endpoints.get(id);
        found.is_some_and(|found| found.warmth.checked_until > now)
    }

    /// Records that an endpoint is cold, as a peer tells; returns whether it was warm here.
    pub fn hear_cold(
        &mut self,
        id: &id::EndpointId,
        cold_remaining: time::Millis,
        now: time::Tick,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        let was_warm = !endpoint.warmth.is_cold(now);
        endpoint.warmth.hear_cold(cold_remaining, now) && was_warm
    }

    /// Endpoints that are cold or refuse connections, and how long they stay cold, at most `count`, for peers: those
    /// of which that was heard lately, in an order that differs from message to message as many may end at once, or
    /// all for a peer that may know of none.
    ///
    /// One that has started again is told by the key of its earlier start, too, as peers may know only that one.
    pub fn told_cold(
        &self,
        count: usize,
        is_complete: bool,
        now: time::Tick,
    ) -> Vec<(EndpointKey, time::Millis)> {
        let mut told = Vec::new();
        for endpoint in self.endpoints.values() {
            let warmth = &endpoint.warmth;
            // Peers may reach an endpoint that this daemon does not.
            let is_told = is_complete || !self.contacts.is_out(endpoint.key);
            let remaining = match warmth.refused {
                // It may be back any time until the next check.
                Some(_) if is_told => time::Millis(warmth.duration.0 + SAME_MAX.0),
                _ => warmth.cold_until.since(now),
            };
            let heard = warmth.refused.max(warmth.heard);
            let is_recent = heard.is_some_and(|heard| now.since(heard) < NEWS_TTL);
            if remaining.0 > 0 && (is_complete || is_recent) {
                told.push((endpoint, remaining));
            }
        }
        let order = |endpoint: &Endpoint| {
            xxh3::xxh3_64_with_seed(&endpoint.report_key.to_le_bytes(), now.0)
        };
        told.sort_by_key(|(endpoint, _)| order(endpoint));
        let told = told.into_iter().flat_map(|(endpoint, remaining)| {
            let keys = std::iter::once(endpoint.key).chain(endpoint.earlier);
            keys.map(move |key| (key, remaining))
        });
        told.take(count).collect()
    }
}

impl Warmth {
    fn hear_cold(&mut self, cold_remaining: time::Millis, now: time::Tick) -> bool {
        let until = now + cold_remaining;
        let is_new = until > self.cold_until.max(now) + SAME_MAX;
        if is_new {
            self.cold_until = until;
            self.checked_until = until;
            self.heard = Some(now);
        }
        is_new
    }
}

pub(super) fn admits<R>(endpoint: &Endpoint, cold: SlowStart, rank: &R, now: time::Tick) -> bool
where
    R: Fn(&id::EndpointId) -> usize,
{
    let is_cold = cold.is_stale || endpoint.warmth.is_cold(now);
    if !is_cold || cold.rate <= 0.0 {
        return true;
    }
    endpoint.cold_bucket.has_token(cold_rate(cold.rate, rank(&endpoint.entry.id)), now)
}
