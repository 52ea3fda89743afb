//! Counts of a roll-out's answers, by daemon, time window and route.

use std::collections::BTreeMap;
use std::fmt;

use ibishill_core::{id, time};
use serde::{Deserialize, Serialize};

use crate::rollout::{counts, moments};

/// Answers of one version, route and window that a daemon can have counted; sums of all daemons stay below
/// what the counters hold.
const ANSWERS_MAX: u64 = 1 << 24;

/// Routes times windows in the counts of one daemon.
const ROUTES_MAX: usize = 16_384;

/// Answers of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// All answers, including errors.
    pub all: u64,
    /// Answers with an error.
    pub failed: u64,
    /// Requests without a valid answer, which are not in `all`.
    pub lost: u64,
    /// Times to the first part of the answers received since both versions get requests.
    pub times: moments::Moments,
    /// Paces of streams, in the same period.
    pub paces: moments::Moments,
}

impl Answers {
    pub(super) const fn add(&mut self, other: &Self) {
        self.all += other.all;
        self.failed += other.failed;
        self.lost += other.lost;
        self.times.add(&other.times);
        self.paces.add(&other.paces);
    }

    // Whether a peer can have counted so.
    const fn is_plausible(&self) -> bool {
        let Self { all, failed, lost, times, paces } = self;
        *failed <= *all
            && *all <= ANSWERS_MAX
            && *lost <= ANSWERS_MAX
            && times.is_plausible(ANSWERS_MAX)
            && paces.is_plausible(ANSWERS_MAX)
    }

    pub(super) const fn errors(&self) -> counts::Proportion {
        counts::Proportion { hits: self.failed, total: self.all }
    }

    pub(super) const fn losses(&self) -> counts::Proportion {
        counts::Proportion { hits: self.lost, total: self.all + self.lost }
    }
}

/// Answers of both versions on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Comparison {
    /// The old version.
    pub stable: Answers,
    /// The new version.
    pub candidate: Answers,
}

impl Comparison {
    pub(super) const fn add(&mut self, other: &Self) {
        self.stable.add(&other.stable);
        self.candidate.add(&other.candidate);
    }
}

/// One daemon's counts of a roll-out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Start of the daemon's process; counts of a later process replace those of an earlier one.
    pub start: u64,
    /// Answers by time window and by route, as a version may fail only late or under load, or
    /// only for one kind of request.
    pub windows: BTreeMap<u8, Routes>,
}

/// Answers of both versions by route.
pub type Routes = BTreeMap<id::RouteId, Comparison>;

impl Tally {
    pub(super) fn is_plausible(&self) -> bool {
        let routes = self.windows.values();
        let pairs = routes.clone().flat_map(Routes::values);
        let mut answers = pairs.flat_map(|pair| [&pair.stable, &pair.candidate]);
        routes.map(Routes::len).sum::<usize>() <= ROUTES_MAX && answers.all(Answers::is_plausible)
    }

    pub(super) fn size(&self) -> (u64, u64) {
        let count = |answers: &Answers| answers.all + answers.lost + answers.paces.count;
        let all = |pair: &Comparison| count(&pair.stable) + count(&pair.candidate);
        (self.start, self.windows.values().flat_map(Routes::values).map(all).sum())
    }
}

/// Answers of the new version that one process has counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// VM of the process.
    pub vm: id::VmId,
    /// Answers, errors and losses.
    pub answers: Answers,
    /// Time since the counts were heard.
    pub age: time::Millis,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Answers { all, failed, lost, .. } = self.answers;
        write!(f, "{}:{all}/{failed}/{lost}@{}", self.vm, self.age)
    }
}
