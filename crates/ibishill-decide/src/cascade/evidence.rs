//! What ratings have shown: decayed accept counts over a declared prior, run times,
//! and how the current window of each workspace stands.

use std::collections::BTreeMap;

use ibishill_core::{id, time};

use super::{Candidate, Class};

/// Share of questions that the rating service must answer for exploration to teach anything.
pub const RESPONSE_RATE_MIN: f64 = 0.2;

const PRIOR_WEIGHT: f64 = 20.0;
const MEMORY_RATINGS: f64 = 600.0;
const HALF_LIFE_MILLIS: f64 = 3_600_000.0;
const CELLS_MAX: usize = 4_096;
const LOW_DEVIATIONS: f64 = 1.0;
const ANSWERED_GAIN: f64 = 0.05;
const TIME_GAIN: f64 = 0.1;
const FIRST_RUN_MILLIS: f64 = 2_000.0;
const FIRST_RATING_MILLIS: f64 = 200.0;
const WINDOW_MILLIS: u64 = 60_000;
const WINDOW_LEAST: f64 = 20.0;
const WINDOW_RESERVE: f64 = 0.01;

/// What a rating is counted under.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// The request's class.
    pub class: Class,
    /// The version that answered.
    pub version: id::VersionRef,
    /// Whether a cheaper version's answer was rated low before.
    pub escalated: bool,
}

/// Estimated share of accepted answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// A lower bound.
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
        let keep = 1.0 - 1.0 / MEMORY_RATINGS;
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

    // The declared quality is taken at its word until there are ratings.
    fn belief(self, prior: f64) -> Estimate {
        let mean = self.mean(prior);
        let deviation = (mean * (1.0 - mean) / (self.rated + PRIOR_WEIGHT)).sqrt();
        let margin = if self.rated > 0.0 { LOW_DEVIATIONS * deviation } else { 0.0 };
        Estimate { mean, lower: (mean - margin).max(0.0) }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    index: u64,
    accepted: f64,
    rated: f64,
}

/// All that one daemon has learnt from ratings.
#[derive(Debug, Clone)]
pub struct Estimates {
    cells: BTreeMap<Key, Counts>,
    windows: BTreeMap<id::WorkspaceId, Window>,
    runs: BTreeMap<id::VersionRef, f64>,
    answered: f64,
    rating: f64,
}

impl Default for Estimates {
    fn default() -> Self {
        Self {
            cells: BTreeMap::new(),
            windows: BTreeMap::new(),
            runs: BTreeMap::new(),
            answered: 1.0,
            rating: FIRST_RATING_MILLIS,
        }
    }
}

impl Estimates {
    /// Counts a rating, which may come long after the answer.
    pub fn record_rating(&mut self, cell: Key, accepted: bool, now: time::Tick) {
        if self.cells.len() >= CELLS_MAX && !self.cells.contains_key(&cell) {
            let oldest = self.cells.iter().min_by_key(|(_, counts)| counts.at);
            if let Some(oldest) = oldest.map(|(cell, _)| cell.clone()) {
                self.cells.remove(&oldest);
            }
        }
        let counts = self.cells.entry(cell).or_default();
        *counts = counts.add(accepted, now);
    }

    /// Counts a rated answer that the caller got.
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

    /// Notes whether the rating service answered in time, and how long it took.
    pub fn record_query(&mut self, took: Option<time::Millis>) {
        let answered = f64::from(u8::from(took.is_some()));
        self.answered += ANSWERED_GAIN * (answered - self.answered);
        if let Some(took) = took {
            self.rating += TIME_GAIN * (took.0 as f64 - self.rating);
        }
    }

    /// Notes how long a whole run took.
    pub fn record_run(&mut self, version: &id::VersionRef, took: time::Millis) {
        let took = took.0 as f64;
        let mean = self.runs.entry(version.clone()).or_insert(took);
        *mean += TIME_GAIN * (took - *mean);
    }

    /// Expected time of a whole run, in milliseconds.
    pub fn run_time(&self, version: &id::VersionRef) -> f64 {
        self.runs.get(version).copied().unwrap_or(FIRST_RUN_MILLIS)
    }

    /// Expected time of a rating, in milliseconds.
    pub fn rating_time(&self) -> f64 {
        self.rating
    }

    /// Share of questions that the rating service answers in time.
    pub fn response_rate(&self) -> f64 {
        self.answered
    }

    /// Whether the workspace's current window is short of its target.
    pub fn is_behind(&self, workspace: &id::WorkspaceId, target: f64, now: time::Tick) -> bool {
        let Some(window) = self.windows.get(workspace) else { return false };
        let current = window.index == now.0 / WINDOW_MILLIS;
        let wanted = (target + WINDOW_RESERVE) * window.rated;
        current && window.rated >= WINDOW_LEAST && window.accepted < wanted
    }

    /// Number of ratings that count for a version as first answer, after decay.
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
        let cell = Key { workspace, class, version, escalated };
        self.cells.get(&cell).copied().unwrap_or_default().decayed(now)
    }

    /// Estimate for one candidate; an escalated one starts from what it does as first.
    pub fn estimate(
        &self,
        workspace: &id::WorkspaceId,
        class: Class,
        candidate: &Candidate,
        escalated: bool,
        now: time::Tick,
    ) -> Estimate {
        let first = self.counts(workspace, class, &candidate.version, false, now);
        let alone = first.belief(candidate.quality);
        let after = self.counts(workspace, class, &candidate.version, true, now);
        let follow = after.belief(alone.mean);
        if escalated {
            return follow;
        }
        // Requests that were escalated are not the easier ones, so they bound the others.
        Estimate { mean: alone.mean.max(follow.lower), lower: alone.lower.max(follow.lower) }
    }
}
