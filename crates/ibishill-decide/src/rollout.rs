//! Decides whether a staged roll-out advances, stays or halts, by a sequential test of the new
//! version against the stable one on errors, ratings and latency.

pub mod counts;
pub mod moments;
pub mod pace;
pub mod sequential;

use std::fmt;

use ibishill_config::declared;
use ibishill_core::time;

/// Share of the remaining false alarm probability that each stage leaves to all later ones.
const LATER_SHARE: f64 = 0.25;
const STABLE_MIN: u64 = 50;
const CANDIDATE_MIN: u64 = 50;
// Evidence above which a stage doesn't advance: a likelihood ratio of two.
const DOUBT_EVIDENCE: f64 = std::f64::consts::LN_2;
const SLOW_SHARE: f64 = 0.25;

/// Parameters of the roll-out test, derived from the deployment's policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Probability that a good roll-out is halted, over all its stages.
    pub alpha: f64,
    /// Whether a halt withdraws the new version, which unpins its sessions.
    pub withdraws: bool,
    /// Whether a stage advances only after enough ratings of the new version.
    pub needs_ratings: bool,
}

impl Tuning {
    /// Returns the parameters of a policy.
    pub const fn of(policy: declared::Policy) -> Self {
        match policy {
            declared::Policy::Latency => {
                Self { alpha: 0.001, withdraws: false, needs_ratings: false }
            }
            declared::Policy::Cost => Self { alpha: 0.01, withdraws: true, needs_ratings: true },
        }
    }
}

/// A measure by which the two versions are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Metric {
    /// Share of failed requests.
    Errors,
    /// Share of rated answers that were not accepted.
    LowRatings,
    /// Share of requests in the time range of the stable version's slowest quarter.
    Slow,
}

impl Metric {
    /// All metrics.
    pub const ALL: [Self; 3] = [Self::Errors, Self::LowRatings, Self::Slow];

    // Share of the false alarm probability. Small drops in quality need the most samples, so
    // ratings get the largest share.
    const fn weight(self) -> f64 {
        match self {
            Self::LowRatings => 0.6,
            Self::Errors | Self::Slow => 0.2,
        }
    }

    // Increase of the share that is accepted.
    const fn tolerance(self) -> f64 {
        match self {
            Self::Errors => 0.005,
            Self::LowRatings => 0.005,
            Self::Slow => 0.05,
        }
    }
}

impl fmt::Display for Metric {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Errors => "errors",
            Self::LowRatings => "low ratings",
            Self::Slow => "slow answers",
        })
    }
}

/// Why a roll-out was halted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reason {
    /// The metric with the strongest evidence.
    pub metric: Metric,
    /// The metric's share at the stable version, 0 to 1.
    pub stable: f64,
    /// The metric's share at the new version, 0 to 1.
    pub candidate: f64,
    /// Number of the new version's requests that were compared.
    pub samples: u64,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {:.3} of {} on the new version against {:.3} on the stable one",
            self.metric, self.candidate, self.samples, self.stable
        )
    }
}

/// Statistics of a running roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct Stats {
    /// Counts of the stable version, over the whole roll-out.
    pub stable: counts::Counts,
    /// Counts of the new version, in the current stage.
    pub candidate: counts::Counts,
    /// Time since the current stage began.
    pub elapsed: time::Millis,
}

/// The decision about a running roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The current stage continues.
    Stay,
    /// The next stage begins; after the last one, the roll-out is done.
    Advance,
    /// The roll-out ends because the new version is worse.
    Halt(Reason),
}

/// Judges a running roll-out.
///
/// The false alarm probability is split between the metrics. Most of it goes to the first
/// stages, as a bad version is usually found early. The test stays valid however often it is
/// evaluated.
pub fn judge(rollout: &declared::Rollout, tuning: Tuning, stats: &Stats) -> Verdict {
    let alpha = tuning.alpha * (1.0 - LATER_SHARE) * LATER_SHARE.powi(rollout.stage as i32);
    let tests = Metric::ALL.map(|metric| Test::of(metric, stats));
    let worst = tests.iter().max_by(|a, b| a.weighted().total_cmp(&b.weighted()));
    if let Some(worst) = worst.filter(|worst| worst.weighted() >= (1.0 / alpha).ln()) {
        return Verdict::Halt(worst.reason);
    }
    // The stage doesn't advance while the evidence suggests a worse version.
    if tests.iter().any(|test| test.evidence > DOUBT_EVIDENCE) {
        return Verdict::Stay;
    }
    let paused = rollout.state != declared::RolloutState::Running;
    if paused || stats.elapsed < rollout.dwell || stats.candidate.requests < CANDIDATE_MIN {
        return Verdict::Stay;
    }
    if tuning.needs_ratings && stats.candidate.rated < CANDIDATE_MIN {
        return Verdict::Stay;
    }
    Verdict::Advance
}

// The result of testing one metric.
struct Test {
    evidence: f64,
    reason: Reason,
}

impl Test {
    // Evidence reduced by this metric's share of the false alarm probability.
    fn weighted(&self) -> f64 {
        self.evidence + self.reason.metric.weight().ln()
    }

    fn of(metric: Metric, stats: &Stats) -> Self {
        let (stable, candidate) = match metric {
            Metric::Errors => (stats.stable.errors(), stats.candidate.errors()),
            Metric::LowRatings => (stats.stable.low_ratings(), stats.candidate.low_ratings()),
            Metric::Slow => {
                let bucket = stats.stable.slow_bucket(SLOW_SHARE);
                (stats.stable.at_or_above(bucket), stats.candidate.at_or_above(bucket))
            }
        };
        let known = stable.total >= STABLE_MIN && candidate.total > 0;
        let evidence = || sequential::share_evidence(stable, candidate, metric.tolerance());
        let reason = Reason {
            metric,
            stable: stable.share(),
            candidate: candidate.share(),
            samples: candidate.total,
        };
        Self { evidence: if known { evidence() } else { f64::NEG_INFINITY }, reason }
    }
}
