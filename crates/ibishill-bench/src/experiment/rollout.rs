//! Requests exposed to a bad version before its roll-out halts, and false halts of clean
//! roll-outs, compared with fixed stages that apply a threshold to the mean.

use ibishill_config::declared;
use ibishill_core::time;
use ibishill_decide::rollout::{self, counts};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::{Bound, Figure, Report, Series};

const CLEAN_RUNS: u64 = 100;
const BAD_RUNS: u64 = 40;
const PERIOD_MS: u64 = 5_000;
const PERIOD_REQUESTS: u64 = 100;
// Delay of the reports and of the halt on its way to every daemon.
const LAG_PERIODS: usize = 2;
const RATED_SHARE: f64 = 0.5;
const STABLE: Scenario = Scenario {
    name: "clean",
    error_rate: 0.01,
    low_rating_share: 0.1,
    latency_factor: 1.0,
    bad_stage: None,
};
const BAD: [Scenario; 5] = [
    Scenario { name: "errors 0.2", error_rate: 0.2, ..STABLE },
    Scenario { name: "quality drop 0.3", low_rating_share: 0.4, ..STABLE },
    Scenario { name: "quality drop 0.1", low_rating_share: 0.2, ..STABLE },
    Scenario { name: "latency times 2", latency_factor: 2.0, ..STABLE },
    Scenario {
        name: "quality drop 0.3 late in stage 2",
        low_rating_share: 0.4,
        bad_stage: Some(1),
        ..STABLE
    },
];

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    error_rate: f64,
    low_rating_share: f64,
    latency_factor: f64,
    // Stage halfway through which the version turns bad; `None` if it is bad from the start.
    bad_stage: Option<usize>,
}

#[derive(Clone, Copy)]
enum Strategy {
    Router(declared::Policy),
    // Compares the means once, at the end of each stage.
    Mean,
}

struct Outcome {
    exposed: f64,
    halted: bool,
    completed: bool,
}

fn declared_rollout() -> declared::Rollout {
    declared::Rollout {
        from: "assistant@v1".parse().expect("a valid name"),
        to: "assistant@v2".parse().expect("a valid name"),
        stages: vec![5, 25, 50, 100],
        stage: 0,
        dwell: time::Millis::from_secs(600),
        state: declared::RolloutState::Running,
        reason: None,
    }
}

fn record_request(rng: &mut ChaCha8Rng, scenario: Scenario, counts: &mut counts::Counts) {
    if rng.random_bool(scenario.error_rate) {
        counts.record_failure();
        return;
    }
    // The sum of uniform draws approximates a normal distribution, so that the latency is
    // about log-normal.
    let log_spread: f64 = (0..4).map(|_| rng.random::<f64>()).sum::<f64>() - 2.0;
    counts.record_answer(time::Millis((400.0 * scenario.latency_factor * log_spread.exp()) as u64));
    if rng.random_bool(RATED_SHARE) {
        counts.record_rating(!rng.random_bool(scenario.low_rating_share));
    }
}

fn simulate(seed: u64, scenario: Scenario, strategy: Strategy) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut rollout = declared_rollout();
    let mut stats = stage_stats(&counts::Counts::default());
    let mut exposed = 0;
    // Every stage ends by itself, so a run ends well within this number of periods.
    for _ in 0..10_000 {
        let candidate_share = f64::from(rollout.percent()) / 100.0;
        for _ in 0..PERIOD_REQUESTS {
            if rng.random_bool(candidate_share) {
                let is_exposed = is_bad(scenario, &rollout, &stats);
                exposed += u32::from(is_exposed);
                let scenario = if is_exposed { scenario } else { STABLE };
                record_request(&mut rng, scenario, &mut stats.candidate);
            } else {
                record_request(&mut rng, STABLE, &mut stats.stable);
            }
        }
        stats.elapsed.0 += PERIOD_MS;
        match judge(strategy, &rollout, &stats) {
            rollout::Verdict::Stay => {}
            rollout::Verdict::Halt(_) => {
                let exposed_by_lag = LAG_PERIODS as f64 * PERIOD_REQUESTS as f64 * candidate_share;
                return Outcome {
                    exposed: f64::from(exposed) + exposed_by_lag,
                    halted: true,
                    completed: false,
                };
            }
            rollout::Verdict::Advance => {
                rollout.stage += 1;
                stats = stage_stats(&stats.stable);
                if rollout.stage == rollout.stages.len() {
                    return Outcome { exposed: f64::from(exposed), halted: false, completed: true };
                }
            }
        }
    }
    Outcome { exposed: f64::from(exposed), halted: false, completed: false }
}

fn is_bad(scenario: Scenario, rollout: &declared::Rollout, stats: &rollout::Stats) -> bool {
    let Some(stage) = scenario.bad_stage else { return true };
    rollout.stage > stage || (rollout.stage == stage && stats.elapsed.0 >= rollout.dwell.0 / 2)
}

fn stage_stats(stable: &counts::Counts) -> rollout::Stats {
    rollout::Stats {
        stable: stable.clone(),
        candidate: counts::Counts::default(),
        elapsed: time::Millis(0),
    }
}

fn judge(
    strategy: Strategy,
    rollout: &declared::Rollout,
    stats: &rollout::Stats,
) -> rollout::Verdict {
    match strategy {
        Strategy::Router(policy) => rollout::judge(rollout, rollout::Tuning::of(policy), stats),
        Strategy::Mean if stats.elapsed < rollout.dwell => rollout::Verdict::Stay,
        Strategy::Mean => judge_means(stats),
    }
}

fn judge_means(stats: &rollout::Stats) -> rollout::Verdict {
    let slow = stats.stable.slow_bucket(0.25);
    let comparisons = [
        (rollout::Metric::Errors, stats.stable.errors(), stats.candidate.errors(), 0.02),
        (
            rollout::Metric::LowRatings,
            stats.stable.low_ratings(),
            stats.candidate.low_ratings(),
            0.05,
        ),
        (
            rollout::Metric::Slow,
            stats.stable.at_or_above(slow),
            stats.candidate.at_or_above(slow),
            0.1,
        ),
    ];
    for (metric, stable, candidate, tolerance) in comparisons {
        if candidate.share() > stable.share() + tolerance {
            let (samples, stable, candidate) = (candidate.total, stable.share(), candidate.share());
            let reason = rollout::Reason { metric, stable, candidate, samples };
            return rollout::Verdict::Halt(reason);
        }
    }
    rollout::Verdict::Advance
}

fn simulate_all(seed: u64, count: u64, scenario: Scenario, strategy: Strategy) -> Vec<Outcome> {
    (0..count).map(|run| simulate(seed * 1_000 + run, scenario, strategy)).collect()
}

fn mean_exposed(outcomes: &[Outcome]) -> f64 {
    outcomes.iter().map(|outcome| outcome.exposed).sum::<f64>() / outcomes.len() as f64
}

fn halt_count(outcomes: &[Outcome]) -> f64 {
    outcomes.iter().filter(|outcome| outcome.halted).count() as f64
}

/// Runs the experiment with random numbers from `seed` and reports its figures.
pub fn run(seed: u64) -> Report {
    let cost = Strategy::Router(declared::Policy::Cost);
    let latency = Strategy::Router(declared::Policy::Latency);
    let false_halts = |strategy| halt_count(&simulate_all(seed, CLEAN_RUNS, STABLE, strategy));
    let completed = |strategy| {
        let outcomes = simulate_all(seed, CLEAN_RUNS, STABLE, strategy);
        outcomes.iter().filter(|outcome| outcome.completed).count() as f64
    };
    let mut figures = vec![
        Figure::new(
            "false halts of 100 clean roll-outs, policy cost",
            "roll-outs",
            false_halts(cost),
        )
        .bound(Bound::AtMost(1.0))
        .baseline("policy latency", false_halts(latency))
        .baseline("threshold on the mean", false_halts(Strategy::Mean)),
        Figure::new("clean roll-outs done, policy cost", "of 100", completed(cost))
            .bound(Bound::AtLeast(CLEAN_RUNS as f64 - 1.0))
            .baseline("policy latency", completed(latency))
            .baseline("threshold on the mean", completed(Strategy::Mean)),
    ];
    let mut points = Vec::new();
    for (index, scenario) in BAD.into_iter().enumerate() {
        let (by_cost, by_latency) = (
            simulate_all(seed, BAD_RUNS, scenario, cost),
            simulate_all(seed, BAD_RUNS, scenario, latency),
        );
        let by_mean = simulate_all(seed, BAD_RUNS, scenario, Strategy::Mean);
        let name = format!("exposed requests, {}, policy cost", scenario.name);
        points.push((index as f64, mean_exposed(&by_cost)));
        figures.push(
            Figure::new(name, "requests", mean_exposed(&by_cost))
                .baseline("policy latency", mean_exposed(&by_latency))
                .baseline("threshold on the mean", mean_exposed(&by_mean)),
        );
        let name = format!("bad roll-outs halted, {}", scenario.name);
        figures.push(
            Figure::new(name, "of 40", halt_count(&by_cost))
                .bound(Bound::AtLeast(BAD_RUNS as f64))
                .baseline("policy latency", halt_count(&by_latency))
                .baseline("threshold on the mean", halt_count(&by_mean)),
        );
    }
    let axes = ("severity".into(), "exposed requests".into());
    let series = vec![Series { name: "policy cost".into(), points }];
    Report { name: "rollout".into(), seed, figures, axes, series }
}
