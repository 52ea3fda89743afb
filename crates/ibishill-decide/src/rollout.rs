//! Whether a roll-out advances, stays or halts: a sequential test of the new version
//! against the stable one on errors, ratings and latency.

pub mod counts;
pub mod moments;
pub mod sequential;

use std::fmt;

use ibishill_config::declared;
use ibishill_core::time;

/// Share of the chance of a false halt that each stage leaves to all later ones.
const LATER_SHARE: f64 = 0.25;
const STABLE_MIN: u64 = 50;
const CANDIDATE_MIN: u64 = 50;
// Natural logarithm of a likelihood ratio of two.
const DOUBT: f64 = std::f64::consts::LN_2;
const SLOW_SHARE: f64 = 0.25;

/// How the deployment's policy steers roll-outs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Chance that a clean roll-out is halted, over all its stages.
    pub alpha: f64,
    /// Whether a halt withdraws the new version, which ends the pins of sessions.
    pub withdraws: bool,
    /// Whether a stage is left only with enough ratings of the new version.
    pub needs_ratings: bool,
}

impl Tuning {
    /// The tuning of a policy.
    pub const fn of(policy: declared::Policy) -> Self {
        match policy {
            declared::Policy::Latency => {
                Self { alpha: 0.001, withdraws: false, needs_ratings: false }
            }
            declared::Policy::Cost => Self { alpha: 0.01, withdraws: true, needs_ratings: true },
        }
    }
}

/// What is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Metric {
    /// Share of failed requests.
    Errors,
    /// Share of rated answers that were not accepted.
    LowRatings,
    /// Share of requests slower than most of the stable version's.
    Slow,
}

impl Metric {
    /// Every measure.
    pub const ALL: [Self; 3] = [Self::Errors, Self::LowRatings, Self::Slow];

    // Part of the chance of a false halt; small drops of quality take the most samples.
    const fn weight(self) -> f64 {
        match self {
            Self::LowRatings => 0.6,
            Self::Errors | Self::Slow => 0.2,
        }
    }

    // A worse share by no more than this is no reason to halt.
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
    /// The measure that decided.
    pub metric: Metric,
    /// Share at the stable version.
    pub stable: f64,
    /// Share at the new version.
    pub candidate: f64,
    /// Requests of the new version that were compared.
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

/// What is known of a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct Stats {
    /// The stable version, over the whole roll-out.
    pub stable: counts::Counts,
    /// The new version, in this stage.
    pub candidate: counts::Counts,
    /// Time since the stage began.
    pub elapsed: time::Millis,
}

/// What happens next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The stage goes on.
    Stay,
    /// The next stage begins, or the roll-out is done.
    Advance,
    /// The roll-out ends.
    Halt(Reason),
}

/// Judges a running roll-out.
///
/// The chance of a false halt is split over measures, and most of it goes to the first
/// stages, as a bad version is mostly found early. The test may be looked at any number of times.
pub fn judge(rollout: &declared::Rollout, tuning: Tuning, stand: &Stats) -> Verdict {
    let alpha = tuning.alpha * (1.0 - LATER_SHARE) * LATER_SHARE.powi(rollout.stage as i32);
    let looks = Metric::ALL.map(|measure| Look::of(measure, stand));
    let worst = looks.iter().max_by(|a, b| a.weighted().total_cmp(&b.weighted()));
    if let Some(worst) = worst.filter(|worst| worst.weighted() >= (1.0 / alpha).ln()) {
        return Verdict::Halt(worst.reason);
    }
    // A stage is not left while the evidence points at a worse version.
    if looks.iter().any(|look| look.evidence > DOUBT) {
        return Verdict::Stay;
    }
    let paused = rollout.state != declared::RolloutState::Running;
    if paused || stand.elapsed < rollout.dwell || stand.candidate.requests < CANDIDATE_MIN {
        return Verdict::Stay;
    }
    if tuning.needs_ratings && stand.candidate.rated < CANDIDATE_MIN {
        return Verdict::Stay;
    }
    Verdict::Advance
}

// One measure's evidence, and the reason that it would give.
struct Look {
    evidence: f64,
    reason: Reason,
}

impl Look {
    // Evidence after this measure's part of the chance of a false halt.
    fn weighted(&self) -> f64 {
        self.evidence + self.reason.metric.weight().ln()
    }

    fn of(measure: Metric, stand: &Stats) -> Self {
        let (stable, candidate) = match measure {
            Metric::Errors => (stand.stable.errors(), stand.candidate.errors()),
            Metric::LowRatings => (stand.stable.low_ratings(), stand.candidate.low_ratings()),
            Metric::Slow => {
                let edge = stand.stable.slow_bucket(SLOW_SHARE);
                (stand.stable.at_or_above(edge), stand.candidate.at_or_above(edge))
            }
        };
        let known = stable.total >= STABLE_MIN && candidate.total > 0;
        let evidence = || sequential::share_evidence(stable, candidate, measure.tolerance());
        let reason = Reason {
            metric: measure,
            stable: stable.share(),
            candidate: candidate.share(),
            samples: candidate.total,
        };
        Self { evidence: if known { evidence() } else { f64::NEG_INFINITY }, reason }
    }
}
