//! Outlier ejection: a circuit breaker per endpoint and per version that it runs, with half-open
//! probes.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{id, time};

/// Least share of an owner's endpoints that is usable for a request without an alternative, even
/// if more are ejected.
const USABLE_MIN_SHARE: f64 = 0.5;

/// Weight of the newest attempt in the moving average of failures.
const EWMA_WEIGHT: f64 = 0.3;

/// Failure rate from which on a breaker opens.
const OPEN_FAILURE_RATE: f64 = 0.5;

/// Delay of the first probe; each failed probe doubles it.
const PROBE_DELAY_MIN: time::Millis = time::Millis(500);

/// Longest delay of a probe.
const PROBE_DELAY_MAX: time::Millis = time::Millis(4_000);

/// How an attempt at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The endpoint responded.
    Good,
    /// Failure response, closed connection or late response.
    Failed,
    /// The endpoint accepted no connection.
    Unreachable,
}

/// A circuit breaker, which opens by failure rate or at the first failed connection.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Breaker {
    failure_rate: f64,
    open: Option<Open>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Open {
    until: time::Tick,
    delay: time::Millis,
    /// Whether a probe has begun whose result is not known.
    is_probed: bool,
}

impl Breaker {
    /// Whether an attempt may be made; after its delay, an open breaker allows one probe at a
    /// time.
    pub fn allows(&self, now: time::Tick) -> bool {
        self.open.is_none_or(|open| open.until <= now)
    }

    /// Records the start of an attempt, which is the probe if the breaker is half-open.
    pub fn begin(&mut self, now: time::Tick) {
        if let Some(open) = &mut self.open {
            open.until = open.until.max(now + open.delay);
            open.is_probed = true;
        }
    }

    /// Records the result of an attempt. While the breaker is open, one failure counts for each probe: attempts that
    /// began before it opened may fail as well.
    pub fn end(&mut self, attempt: Attempt, now: time::Tick) {
        let failed = f64::from(u8::from(attempt != Attempt::Good));
        self.failure_rate += EWMA_WEIGHT * (failed - self.failure_rate);
        match (attempt, self.open) {
            (Attempt::Good, Some(_)) => *self = Self::default(),
            (Attempt::Good, None) => {}
            (_, Some(open)) if open.is_probed => {
                let delay = time::Millis(2 * open.delay.0).min(PROBE_DELAY_MAX);
                self.open = Some(Open { until: now + delay, delay, is_probed: false });
            }
            (_, Some(_)) => {}
            (Attempt::Failed, None) if self.failure_rate < OPEN_FAILURE_RATE => {}
            (Attempt::Failed | Attempt::Unreachable, None) => {
                let delay = PROBE_DELAY_MIN;
                self.open = Some(Open { until: now + delay, delay, is_probed: false });
            }
        }
    }
}

/// Circuit breakers of one owner: one for each endpoint, and one for each version on an endpoint.
#[derive(Debug, Clone, Default)]
pub struct Outliers {
    endpoints: BTreeMap<id::EndpointId, Breaker>,
    versions: BTreeMap<(id::EndpointId, id::Target), Breaker>,
}

impl Outliers {
    /// The endpoints of `names` that may get a request for `target`.
    ///
    /// For a request that can run nowhere else (`no_alternative`), at most a share of them counts
    /// as ejected: those whose probes are due first are usable, too.
    pub fn usable(
        &self,
        names: &[id::EndpointId],
        target: &id::Target,
        no_alternative: bool,
        now: time::Tick,
    ) -> BTreeSet<id::EndpointId> {
        let due = |name: &id::EndpointId| self.available_at(name, target);
        let mut sorted: Vec<_> = names.iter().collect();
        sorted.sort_by_key(|name| due(name));
        let usable_min = if no_alternative {
            (names.len() as f64 * USABLE_MIN_SHARE).ceil() as usize
        } else {
            0
        };
        let usable = sorted.into_iter().enumerate();
        let usable = usable.filter(|(at, name)| *at < usable_min || due(name) <= now);
        usable.map(|(_, name)| name.clone()).collect()
    }

    /// Time from which on an endpoint may get a request for `target`; zero if it is not ejected.
    pub fn available_at(&self, name: &id::EndpointId, target: &id::Target) -> time::Tick {
        let until = |breaker: &Breaker| breaker.open.map_or(time::Tick(0), |open| open.until);
        let endpoint = self.endpoints.get(name).map_or(time::Tick(0), until);
        let version = self.versions.get(&(name.clone(), target.clone()));
        endpoint.max(version.map_or(time::Tick(0), until))
    }

    /// Records the start of an attempt.
    pub fn begin(&mut self, name: &id::EndpointId, target: &id::Target, now: time::Tick) {
        if let Some(breaker) = self.endpoints.get_mut(name) {
            breaker.begin(now);
        }
        if let Some(breaker) = self.versions.get_mut(&(name.clone(), target.clone())) {
            breaker.begin(now);
        }
    }

    /// Records the result of an attempt: failed responses count against the version, failed
    /// connections against the whole endpoint.
    ///
    /// Returns whether this ejected the endpoint for `target` or put it back.
    pub fn end(
        &mut self,
        name: &id::EndpointId,
        target: &id::Target,
        attempt: Attempt,
        now: time::Tick,
    ) -> bool {
        let is_ejected = |outliers: &Self| outliers.available_at(name, target) > time::Tick(0);
        let before = is_ejected(self);
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
        before != is_ejected(self)
    }

    /// Removes the breakers of endpoints for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&id::EndpointId) -> bool,
    {
        self.endpoints.retain(|name, _| keep(name));
        self.versions.retain(|(name, _), _| keep(name));
    }
}
