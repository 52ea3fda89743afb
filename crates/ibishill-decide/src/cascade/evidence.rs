//! Estimates from ratings: decayed counts of accepted answers over a declared prior, run times,
//! and the accepted share of each workspace in the current window.

use std::collections::BTreeMap;

use ibishill_core::{id, time};

use super::{Candidate, Class};

/// Share of requests that the rating service must answer in time for exploration to be useful.
pub const RESPONSE_RATE_MIN: f64 = 0.2;

const PRIOR_WEIGHT: f64 = 20.0;
const RATINGS_MEMORY: f64 = 600.0;
const HALF_LIFE_MILLIS: f64 = 3_600_000.0;
const KEYS_MAX: usize = 4_096;
const LOWER_DEVIATIONS: f64 = 1.0;
const RESPONSE_GAIN: f64 = 0.05;
const TIME_GAIN: f64 = 0.1;
const DEFAULT_RUN_MILLIS: f64 = 2_000.0;
const DEFAULT_RATING_MILLIS: f64 = 200.0;
const WINDOW_MILLIS: u64 = 60_000;
const WINDOW_RATINGS_MIN: f64 = 20.0;
const WINDOW_RESERVE: f64 = 0.01;

/// Key by which ratings are counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The workspace that sent the request.
    pub workspace: id::WorkspaceId,
    /// Size class of the prompt.
    pub class: Class,
    /// The version that answered.
    pub version: id::VersionRef,
    /// Whether a cheaper version's answer was rated low before.
    pub escalated: bool,
}

/// Estimated share of accepted answers, 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Expected value.
    pub mean: f64,
    /// Lower confidence bound; equals `mean` until there are ratings.
    pub lower: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    accepted: f64,
    rated: f64,
    at: time::Tick,
}

impl Counts {
    fn decayed(self, now: time::Tick) -> Self {
        let factor = 0.5_f64.powf(now.since(self.at).0 as f64 / HALF_LIFE_MILLIS);
        Self { accepted: self.accepted * factor, rated: self.rated * factor, at: now }
    }

    fn add(self, accepted: bool, now: time::Tick) -> Self {
        let keep = 1.0 - 1.0 / RATINGS_MEMORY;
        let old = self.decayed(now.max(self.at));
        Self {
            accepted: old.accepted * keep + f64::from(u8::from(accepted)),
            rated: old.rated * keep + 1.0,
            at: old.at,
        }
    }

    fn mean(self, prior: f64) -> f64 {
        (self.accepted + PRIOR_WEIGHT * prior) / (self.rated + PRIOR_WEIGHT)
    }

    // The declared quality is trusted without a margin until there are ratings.
    fn estimate(self, prior: f64) -> Estimate {
        let mean = self.mean(prior);
        let deviation = (mean * (1.0 - mean) / (self.rated + PRIOR_WEIGHT)).sqrt();
        let margin = if self.rated > 0.0 { LOWER_DEVIATIONS * deviation } else { 0.0 };
        Estimate { mean, lower: (mean - margin).max(0.0) }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    index: u64,
    accepted: f64,
    rated: f64,
}

/// All estimates that one daemon derives from ratings.
#[derive(Debug, Clone)]
pub struct Estimates {
    counts: BTreeMap<Key, Counts>,
    windows: BTreeMap<id::WorkspaceId, Window>,
    run_millis: BTreeMap<id::VersionRef, f64>,
    response_rate: f64,
    rating_millis: f64,
}

impl Default for Estimates {
    fn default() -> Self {
        Self {
            counts: BTreeMap::new(),
            windows: BTreeMap::new(),
            run_millis: BTreeMap::new(),
            response_rate: 1.0,
            rating_millis: DEFAULT_RATING_MILLIS,
        }
    }
}

impl Estimates {
    /// Records a rating, which may arrive long after the answer.
    pub fn record_rating(&mut self, key: Key, accepted: bool, now: time::Tick) {
        if self.counts.len() >= KEYS_MAX && !self.counts.contains_key(&key) {
            let oldest = self.counts.iter().min_by_key(|(_, counts)| counts.at);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.counts.remove(&oldest);
            }
        }
        let counts = self.counts.entry(key).or_default();
        *counts = counts.add(accepted, now);
    }

    /// Records a rated answer that was delivered to the caller.
    pub fn record_delivery(
        &mut self,
        workspace: &id::WorkspaceId,
        accepted: bool,
        now: time::Tick,
    ) {
        let index = now.0 / WINDOW_MILLIS;
        let window = self.windows.entry(workspace.clone()).or_default();
        if window.index != index {
            *window = Window { index, ..Window::default() };
        }
        window.accepted += f64::from(u8::from(accepted));
        window.rated += 1.0;
    }

    /// Records a request to the rating service: how long it took, `None` without an answer in
    /// time.
    pub fn record_query(&mut self, took: Option<time::Millis>) {
        let answered = f64::from(u8::from(took.is_some()));
        self.response_rate += RESPONSE_GAIN * (answered - self.response_rate);
        if let Some(took) = took {
            self.rating_millis += TIME_GAIN * (took.0 as f64 - self.rating_millis);
        }
    }

    /// Records how long a complete run took.
    pub fn record_run(&mut self, version: &id::VersionRef, took: time::Millis) {
        let took = took.0 as f64;
        let mean = self.run_millis.entry(version.clone()).or_insert(took);
        *mean += TIME_GAIN * (took - *mean);
    }

    /// Expected duration of a complete run, in milliseconds.
    pub fn run_time(&self, version: &id::VersionRef) -> f64 {
        self.run_millis.get(version).copied().unwrap_or(DEFAULT_RUN_MILLIS)
    }

    /// Expected duration of a rating, in milliseconds.
    pub fn rating_time(&self) -> f64 {
        self.rating_millis
    }

    /// Smoothed share of requests that the rating service answers in time, 0 to 1.
    pub fn response_rate(&self) -> f64 {
        self.response_rate
    }

    /// Whether the workspace's accepted share in the current window is below `target` plus a
    /// reserve; false until enough answers of the window were rated.
    pub fn is_behind(&self, workspace: &id::WorkspaceId, target: f64, now: time::Tick) -> bool {
        let Some(window) = self.windows.get(workspace) else { return false };
        let current = window.index == now.0 / WINDOW_MILLIS;
        let required = (target + WINDOW_RESERVE) * window.rated;
        current && window.rated >= WINDOW_RATINGS_MIN && window.accepted < required
    }

    /// Number of ratings of a version's answers as the first of a chain, after decay.
    pub fn rating_weight(
        &self,
        workspace: &id::WorkspaceId,
        class: Class,
        version: &id::VersionRef,
        now: time::Tick,
    ) -> f64 {
        self.counts(workspace, class, version, false, now).rated
    }

    fn counts(
        &self,
        workspace: &id::WorkspaceId,
        class: Class,
        version: &id::VersionRef,
        escalated: bool,
        now: time::Tick,
    ) -> Counts {
        let (workspace, version) = (workspace.clone(), version.clone());
        let key = Key { workspace, class, version, escalated };
        self.counts.get(&key).copied().unwrap_or_default().decayed(now)
    }

    /// Estimate for a candidate. If `escalated`, the prior is its estimate as the first of a chain.
    pub fn estimate(
        &self,
        workspace: &id::WorkspaceId,
        class: Class,
        candidate: &Candidate,
        escalated: bool,
        now: time::Tick,
    ) -> Estimate {
        let first_counts = self.counts(workspace, class, &candidate.version, false, now);
        let first = first_counts.estimate(candidate.quality);
        let later_counts = self.counts(workspace, class, &candidate.version, true, now);
        let later = later_counts.estimate(first.mean);
        if escalated {
            return later;
        }
        // Escalated requests aren't easier than others, so their quality is a lower bound.
        Estimate { mean: first.mean.max(later.lower), lower: first.lower.max(later.lower) }
    }
}
