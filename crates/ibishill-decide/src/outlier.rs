//! Ejection of endpoints that fail: a breaker for each endpoint, and for each version that
//! it runs, with half-open probes.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{id, time};

/// Share of an owner's endpoints that a request which can run nowhere else never finds
/// ejected.
const KEPT_SHARE: f64 = 0.5;

/// Weight of the last answer in the learned share of failures.
const WEIGHT: f64 = 0.3;

/// Share of failures from which on a breaker opens.
const OPEN_SHARE: f64 = 0.5;

/// First wait for a probe; each failed probe doubles it.
const WAIT_MIN: time::Millis = time::Millis(500);

/// Longest wait for a probe.
const WAIT_MAX: time::Millis = time::Millis(4_000);

/// How an attempt at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The endpoint answered.
    Good,
    /// It answered with a failure, was cut or late.
    Failed,
    /// It took no connection.
    Unreachable,
}

/// A circuit breaker.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Breaker {
    failing: f64,
    open: Option<Open>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Open {
    until: time::Tick,
    wait: time::Millis,
}

impl Breaker {
    /// Whether an attempt may be made; after the wait, one probe at a time may.
    pub fn allows(&self, now: time::Tick) -> bool {
        self.open.is_none_or(|open| open.until <= now)
    }

    /// Notes that an attempt was begun; while the breaker is half-open, it is the probe.
    pub fn begin(&mut self, now: time::Tick) {
        if let Some(open) = &mut self.open {
            open.until = open.until.max(now + open.wait);
        }
    }

    /// Notes how an attempt ended.
    pub fn end(&mut self, attempt: Attempt, now: time::Tick) {
        let failed = f64::from(u8::from(attempt != Attempt::Good));
        self.failing += WEIGHT * (failed - self.failing);
        match (attempt, self.open) {
            (Attempt::Good, Some(_)) => *self = Self::default(),
            (Attempt::Good, None) => {}
            (_, Some(open)) => {
                let wait = time::Millis(2 * open.wait.0).min(WAIT_MAX);
                let is_probe = open.until >= now;
                let wait = if is_probe { wait } else { open.wait };
                self.open = Some(Open { until: now + wait, wait });
            }
            (Attempt::Failed, None) if self.failing < OPEN_SHARE => {}
            (Attempt::Failed | Attempt::Unreachable, None) => {
                self.open = Some(Open { until: now + WAIT_MIN, wait: WAIT_MIN });
            }
        }
    }
}

/// The breakers of one owner.
#[derive(Debug, Clone, Default)]
pub struct Outliers {
    endpoints: BTreeMap<id::EndpointId, Breaker>,
    versions: BTreeMap<(id::EndpointId, id::Target), Breaker>,
}

impl Outliers {
    /// The endpoints of `names` that may get a request of `target`.
    ///
    /// A request that could run nowhere else is `stuck`: for it the ejected ones are at most
    /// a share of all, and those whose probe is due soonest are taken back.
    pub fn usable(
        &self,
        names: &[id::EndpointId],
        target: &id::Target,
        stuck: bool,
        now: time::Tick,
    ) -> BTreeSet<id::EndpointId> {
        let due = |name: &id::EndpointId| self.available_at(name, target);
        let mut sorted: Vec<_> = names.iter().collect();
        sorted.sort_by_key(|name| due(name));
        let kept = if stuck { (names.len() as f64 * KEPT_SHARE).ceil() as usize } else { 0 };
        let usable = sorted.into_iter().enumerate();
        let usable = usable.filter(|(at, name)| *at < kept || due(name) <= now);
        usable.map(|(_, name)| name.clone()).collect()
    }

    /// When an endpoint may get a request of `target`.
    pub fn available_at(&self, name: &id::EndpointId, target: &id::Target) -> time::Tick {
        let until = |breaker: &Breaker| breaker.open.map_or(time::Tick(0), |open| open.until);
        let whole = self.endpoints.get(name).map_or(time::Tick(0), until);
        let version = self.versions.get(&(name.clone(), target.clone()));
        whole.max(version.map_or(time::Tick(0), until))
    }

    /// Notes that an attempt was begun.
    pub fn begin(&mut self, name: &id::EndpointId, target: &id::Target, now: time::Tick) {
        if let Some(breaker) = self.endpoints.get_mut(name) {
            breaker.begin(now);
        }
        if let Some(breaker) = self.versions.get_mut(&(name.clone(), target.clone())) {
            breaker.begin(now);
        }
    }

    /// Notes how an attempt ended: failed answers count against the version, failed
    /// connections against the whole endpoint.
    ///
    /// Returns whether this ejected or took back the endpoint for `target`.
    pub fn end(
        &mut self,
        name: &id::EndpointId,
        target: &id::Target,
        attempt: Attempt,
        now: time::Tick,
    ) -> bool {
        let is_out = |found: &Self| found.available_at(name, target) > time::Tick(0);
        let before = is_out(self);
        let version = self.versions.entry((name.clone(), target.clone())).or_default();
        match attempt {
            Attempt::Good => {
                version.end(attempt, now);
                self.endpoints.remove(name);
            }
            Attempt::Failed => version.end(attempt, now),
            Attempt::Unreachable => {
                self.endpoints.entry(name.clone()).or_default().end(attempt, now);
            }
        }
        before != is_out(self)
    }

    /// Forgets endpoints of other owners.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&id::EndpointId) -> bool,
    {
        self.endpoints.retain(|name, _| keep(name));
        self.versions.retain(|(name, _), _| keep(name));
    }
}
