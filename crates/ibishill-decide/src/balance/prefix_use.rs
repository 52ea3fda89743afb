//! When this daemon last sent a prefix to an engine, and how much of it is likely to be cached there still.
//!
//! Designed for steady demand on engines whose memory fills: a prefix that nobody has sent for long, or at an engine
//! whose memory running requests need, has been evicted by the time the request begins, and the wait for it is lost.

use std::collections::BTreeMap;

use ibishill_core::time;

/// Uses that are kept at most. The older half is dropped then.
const KEPT_MAX: usize = 2_048;

/// Time in which half of the prefixes that nobody sends again are evicted.
const HALF_LIFE: time::Millis = time::Millis::from_secs(30);

/// Age of the last use of a prefix at its home where this daemon has not sent it: all others send it there as well.
const HOME_AGE: time::Millis = time::Millis::from_secs(2);

/// Use of an engine's memory from which on cached prefixes are evicted for running requests.
const FULL_MIN: f64 = 0.5;

/// Last uses of prefixes at engines.
#[derive(Debug, Clone, Default)]
pub(super) struct Uses(BTreeMap<(u64, u32), time::Tick>);

impl Uses {
    /// Records that a prefix is sent to an engine.
    pub(super) fn record(&mut self, prefix: u64, endpoint: u32, now: time::Tick) {
        if self.0.len() >= KEPT_MAX {
            let mut times: Vec<time::Tick> = self.0.values().copied().collect();
            let (_, middle, _) = times.select_nth_unstable(KEPT_MAX / 2);
            let middle = *middle;
            self.0.retain(|_, at| *at > middle);
        }
        self.0.insert((prefix, endpoint), now);
    }

    /// Forgets what was sent to an engine, which has started again and holds nothing.
    pub(super) fn remove(&mut self, endpoint: u32) {
        self.0.retain(|(_, found), _| *found != endpoint);
    }

    /// Share of a prefix that is likely to be cached at an engine of which this part of the memory is in use.
    pub(super) fn cached(
        &self,
        prefix: u64,
        endpoint: u32,
        is_home: bool,
        used: f64,
        now: time::Tick,
    ) -> f64 {
        let own = self.0.get(&(prefix, endpoint)).map(|at| now.since(*at));
        let home = is_home.then_some(HOME_AGE);
        let Some(age) = own.into_iter().chain(home).min() else { return 0.0 };
        let fresh = 0.5_f64.powf(age.0 as f64 / HALF_LIFE.0 as f64);
        fresh * (1.0 - (used - FULL_MIN) / (1.0 - FULL_MIN)).clamp(0.0, 1.0)
    }
}
