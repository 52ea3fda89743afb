//! Limits on the requests per second that endpoints take from all daemons together, as they name
//! them in their answers.
//!
//! Designed for many daemons that hear of a limit at different moments, for uneven traffic, and for
//! members that come, go or can't reach each other. A few daemons send to a limited endpoint, chosen
//! from all that are known, live or not. Half of what they may send is divided evenly between them,
//! and needs no message; the other half by the requests that each of them gets. One that is not heard
//! of counts there for as much as the daemon itself, so the sum holds without messages, too.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{id, request_rate, time};
use serde::{Deserialize, Serialize};

use crate::{division, endpoint_key, rate};

/// Maximum number of endpoints with a limit; the one named longest ago makes room.
const ENDPOINTS_MAX: usize = 4_096;

/// Daemons that send to a limited endpoint. Each may have one request to send at once.
pub const SENDERS: usize = 4;

/// Share of a limit that is used.
const SHARE_USED: f64 = 0.9;

/// Share of what is used that is divided evenly.
const EVEN_SHARE: f64 = 0.5;

/// Limit that counts for a lower one, in requests per second: an endpoint tells only in answers that
/// it takes more again.
const LIMIT_MIN: f64 = 0.5;

/// Time without news after which a limit no longer counts.
const LIMIT_TTL: time::Millis = time::Millis::from_secs(30);

/// Time for which a change is told in every report.
const NEWS_TTL: time::Millis = time::Millis(2_000);

/// Age that is added to news when they are passed on, above the usual latency, so that news never
/// seem newer than where they come from.
const HOP_MARGIN: time::Millis = time::Millis(100);

#[derive(Debug, Clone, PartialEq)]
struct Known {
    // None if it was withdrawn.
    limit: Option<request_rate::RequestRate>,
    // When an answer last told it.
    at: time::Tick,
    changed: time::Tick,
    division: division::Division,
    // Share of the limit that this daemon may send, 0 to 1.
    share: f64,
    bucket: rate::Bucket,
}

impl Known {
    fn new(now: time::Tick) -> Self {
        Self {
            limit: None,
            at: now,
            changed: now,
            division: division::Division::default(),
            share: 0.0,
            bucket: rate::Bucket::new(0.0, now),
        }
    }

    // Returns whether the limit has changed.
    fn set(
        &mut self,
        limit: Option<request_rate::RequestRate>,
        at: time::Tick,
        now: time::Tick,
    ) -> bool {
        let is_changed = self.limit != limit;
        if is_changed {
            self.changed = now;
        }
        (self.limit, self.at) = (limit, at);
        is_changed
    }

    fn rate(&self) -> Option<rate::Rate> {
        let limit = self.limit?.per_second().max(LIMIT_MIN);
        Some(rate::Rate { per_second: limit * self.share, burst: 1.0 })
    }
}

/// What an endpoint's answer says of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// The limit; none if the answer names none.
    pub limit: Option<request_rate::RequestRate>,
    /// When the request was sent.
    pub sent: time::Tick,
}

/// A limit, as daemons tell it each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Told {
    endpoint: endpoint_key::EndpointKey,
    limit: Option<request_rate::RequestRate>,
    // Since an answer told it, or longer.
    age: time::Millis,
}

/// Known limits by endpoint, and the demand by which daemons divide them.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    known: BTreeMap<endpoint_key::EndpointKey, Known>,
    demands: division::Demands,
}

impl Limits {
    /// Records what an answer says; returns whether the limit has changed.
    ///
    /// An answer to a request that was sent before the limit was last named does not withdraw it, and
    /// one to a request from before it was withdrawn does not bring it back.
    pub fn record(
        &mut self,
        endpoint: endpoint_key::EndpointKey,
        statement: Statement,
        now: time::Tick,
    ) -> bool {
        let Statement { limit, sent } = statement;
        match self.known.get(&endpoint) {
            None if limit.is_none() => return false,
            Some(known) if known.limit.is_some() != limit.is_some() && sent < known.at => {
                return false;
            }
            _ => {}
        }
        self.entry(endpoint, now).set(limit, now, now)
    }

    fn entry(&mut self, endpoint: endpoint_key::EndpointKey, now: time::Tick) -> &mut Known {
        if self.known.len() >= ENDPOINTS_MAX && !self.known.contains_key(&endpoint) {
            let oldest = self.known.iter().min_by_key(|(_, known)| known.at);
            if let Some(oldest) = oldest.map(|(endpoint, _)| *endpoint) {
                self.known.remove(&oldest);
            }
        }
        self.known.entry(endpoint).or_insert_with(|| Known::new(now))
    }

    /// Limits for a peer, at most `count`, the last changed first: all of them, or only news.
    pub fn told(&self, count: usize, is_complete: bool, now: time::Tick) -> Vec<Told> {
        let is_told = |known: &Known| is_complete || now.since(known.changed) < NEWS_TTL;
        let mut told: Vec<_> = self.known.iter().filter(|(_, known)| is_told(known)).collect();
        told.sort_by_key(|(_, known)| std::cmp::Reverse((known.changed, known.at)));
        told.truncate(count);
        let told = told.into_iter().map(|(endpoint, known)| Told {
            endpoint: *endpoint,
            limit: known.limit,
            age: time::Millis(now.since(known.at).0 + HOP_MARGIN.0),
        });
        told.collect()
    }

    /// Merges the limits that a peer tells; returns whether any has changed.
    pub fn merge(&mut self, told: Vec<Told>, now: time::Tick) -> bool {
        let mut is_changed = false;
        for Told { endpoint, limit, age } in told {
            let at = time::Tick(now.0.saturating_sub(age.0));
            let known = self.known.get(&endpoint);
            let is_newer = known.map_or(limit.is_some(), |known| at > known.at);
            if is_newer && age < LIMIT_TTL {
                is_changed |= self.entry(endpoint, now).set(limit, at, now);
            }
        }
        is_changed
    }

    /// Demand by which daemons divide the limits.
    pub const fn demands(&mut self) -> &mut division::Demands {
        &mut self.demands
    }

    /// Divides the limits anew, and forgets what is out of date.
    ///
    /// `senders` returns the daemons that send to an endpoint, at most [`SENDERS`], in a membership
    /// that has changed if `generation` has.
    pub fn divide<F>(&mut self, own: &id::VmId, generation: u64, senders: F, now: time::Tick)
    where
        F: Fn(endpoint_key::EndpointKey) -> Vec<id::VmId>,
    {
        self.known.retain(|_, known| now.since(known.at) < LIMIT_TTL);
        self.demands.expire(now);
        for (endpoint, known) in &mut self.known {
            known.division.refresh(generation, || senders(*endpoint));
            known.share = share(&known.division, own, &self.demands, now);
        }
    }

    /// Daemons that this one shares a limit with; they need to hear of its demand.
    pub fn partners(&self, own: &id::VmId) -> BTreeSet<id::VmId> {
        let partners = self.known.values().flat_map(|known| known.division.partners(own));
        partners.cloned().collect()
    }

    /// Whether this daemon may send a request to an endpoint now.
    pub fn admits(&self, endpoint: endpoint_key::EndpointKey, now: time::Tick) -> bool {
        let Some(known) = self.known.get(&endpoint) else { return true };
        known.rate().is_none_or(|rate| known.bucket.has_token(rate, now))
    }

    /// Daemons that send to an endpoint; none if it has no limit.
    pub fn division(&self, endpoint: endpoint_key::EndpointKey) -> Option<&division::Division> {
        let known = self.known.get(&endpoint)?;
        known.limit.map(|_| &known.division)
    }

    /// Records that this daemon sends a request to an endpoint.
    pub fn record_send(&mut self, endpoint: endpoint_key::EndpointKey, now: time::Tick) {
        let Some(known) = self.known.get_mut(&endpoint) else { return };
        if let Some(rate) = known.rate() {
            known.bucket.try_take(rate, now);
        }
    }

    /// Number of endpoints with a limit.
    pub fn len(&self) -> usize {
        self.known.values().filter(|known| known.limit.is_some()).count()
    }

    /// Whether no endpoint has a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn share(
    division: &division::Division,
    own: &id::VmId,
    demands: &division::Demands,
    now: time::Tick,
) -> f64 {
    if division.rank(own).is_none() {
        return 0.0;
    }
    let even = 1.0 / division.count() as f64;
    let by_demand = division.demand_share(own, demands, now);
    SHARE_USED * (EVEN_SHARE * even + (1.0 - EVEN_SHARE) * by_demand)
}
