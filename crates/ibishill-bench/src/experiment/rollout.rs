//! Requests exposed to a bad version before its roll-out halts, and false halts of
//! clean ones, against fixed stages with a threshold on the mean.

use ibishill_config::declared;
use ibishill_core::time;
use ibishill_decide::rollout::{self, counts};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::{Bound, Figure, Report, Series};

const CLEAN_RUNS: u64 = 100;
const BAD_RUNS: u64 = 40;
const PERIOD_MILLIS: u64 = 5_000;
const PERIOD_REQUESTS: u64 = 100;
// Reports and the halt's way to every daemon.
const LAG_PERIODS: usize = 2;
const RATED_SHARE: f64 = 0.5;
const STABLE: Kind = Kind { name: "clean", errors: 0.01, low: 0.1, factor: 1.0, turns: None };
const BAD: [Kind; 5] = [
    Kind { name: "errors 0.2", errors: 0.2, ..STABLE },
    Kind { name: "quality drop 0.3", low: 0.4, ..STABLE },
    Kind { name: "quality drop 0.1", low: 0.2, ..STABLE },
    Kind { name: "latency times 2", factor: 2.0, ..STABLE },
    Kind { name: "quality drop 0.3 late in stage 2", low: 0.4, turns: Some(1), ..STABLE },
];

#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    errors: f64,
    low: f64,
    factor: f64,
    // The stage in whose middle the version turns bad; none means from the start.
    turns: Option<usize>,
}

#[derive(Clone, Copy)]
enum Way {
    Ours(declared::Policy),
    // Judges the means once, when a stage ends.
    Mean,
}

struct End {
    exposed: f64,
    halted: bool,
    done: bool,
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

fn finish(rng: &mut ChaCha8Rng, kind: Kind, counts: &mut counts::Counts) {
    if rng.random_bool(kind.errors) {
        counts.record_failure();
        return;
    }
    // The sum of uniform draws gives times with a tail on the logarithmic scale.
    let spread: f64 = (0..4).map(|_| rng.random::<f64>()).sum::<f64>() - 2.0;
    counts.record_answer(time::Millis((400.0 * kind.factor * spread.exp()) as u64));
    if rng.random_bool(RATED_SHARE) {
        counts.record_rating(!rng.random_bool(kind.low));
    }
}

fn play(seed: u64, kind: Kind, way: Way) -> End {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut rollout = declared_rollout();
    let mut stand = fresh(&counts::Counts::default());
    let mut exposed = 0;
    // Each stage ends by itself, so the sum of dwells bounds the run generously.
    for _ in 0..10_000 {
        let percent = f64::from(rollout.percent()) / 100.0;
        for _ in 0..PERIOD_REQUESTS {
            if rng.random_bool(percent) {
                let bad = is_bad(kind, &rollout, &stand);
                exposed += u32::from(bad);
                let kind = if bad { kind } else { STABLE };
                finish(&mut rng, kind, &mut stand.candidate);
            } else {
                finish(&mut rng, STABLE, &mut stand.stable);
            }
        }
        stand.elapsed.0 += PERIOD_MILLIS;
        match judge(way, &rollout, &stand) {
            rollout::Verdict::Stay => {}
            rollout::Verdict::Halt(_) => {
                let late = LAG_PERIODS as f64 * PERIOD_REQUESTS as f64 * percent;
                return End { exposed: f64::from(exposed) + late, halted: true, done: false };
            }
            rollout::Verdict::Advance => {
                rollout.stage += 1;
                stand = fresh(&stand.stable);
                if rollout.stage == rollout.stages.len() {
                    return End { exposed: f64::from(exposed), halted: false, done: true };
                }
            }
        }
    }
    End { exposed: f64::from(exposed), halted: false, done: false }
}

fn is_bad(kind: Kind, rollout: &declared::Rollout, stand: &rollout::Stats) -> bool {
    let Some(stage) = kind.turns else { return true };
    rollout.stage > stage || (rollout.stage == stage && stand.elapsed.0 >= rollout.dwell.0 / 2)
}

fn fresh(stable: &counts::Counts) -> rollout::Stats {
    rollout::Stats {
        stable: stable.clone(),
        candidate: counts::Counts::default(),
        elapsed: time::Millis(0),
    }
}

fn judge(way: Way, rollout: &declared::Rollout, stand: &rollout::Stats) -> rollout::Verdict {
    match way {
        Way::Ours(policy) => rollout::judge(rollout, rollout::Tuning::of(policy), stand),
        Way::Mean if stand.elapsed < rollout.dwell => rollout::Verdict::Stay,
        Way::Mean => by_mean(stand),
    }
}

fn by_mean(stand: &rollout::Stats) -> rollout::Verdict {
    let edge = stand.stable.slow_bucket(0.25);
    let pairs = [
        (rollout::Metric::Errors, stand.stable.errors(), stand.candidate.errors(), 0.02),
        (
            rollout::Metric::LowRatings,
            stand.stable.low_ratings(),
            stand.candidate.low_ratings(),
            0.05,
        ),
        (
            rollout::Metric::Slow,
            stand.stable.at_or_above(edge),
            stand.candidate.at_or_above(edge),
            0.1,
        ),
    ];
    for (measure, stable, candidate, most) in pairs {
        if candidate.share() > stable.share() + most {
            let (samples, stable, candidate) = (candidate.total, stable.share(), candidate.share());
            let reason = rollout::Reason { metric: measure, stable, candidate, samples };
            return rollout::Verdict::Halt(reason);
        }
    }
    rollout::Verdict::Advance
}

fn runs(seed: u64, count: u64, kind: Kind, way: Way) -> Vec<End> {
    (0..count).map(|run| play(seed * 1_000 + run, kind, way)).collect()
}

fn mean(ends: &[End]) -> f64 {
    ends.iter().map(|end| end.exposed).sum::<f64>() / ends.len() as f64
}

fn halted(ends: &[End]) -> f64 {
    ends.iter().filter(|end| end.halted).count() as f64
}

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let ours = Way::Ours(declared::Policy::Cost);
    let other = Way::Ours(declared::Policy::Latency);
    let clean = |way| halted(&runs(seed, CLEAN_RUNS, STABLE, way));
    let done = |way| {
        let ends = runs(seed, CLEAN_RUNS, STABLE, way);
        ends.iter().filter(|end| end.done).count() as f64
    };
    let mut figures = vec![
        Figure::new("false halts of 100 clean roll-outs, policy cost", "roll-outs", clean(ours))
            .bound(Bound::AtMost(1.0))
            .baseline("policy latency", clean(other))
            .baseline("threshold on the mean", clean(Way::Mean)),
        Figure::new("clean roll-outs done, policy cost", "of 100", done(ours))
            .bound(Bound::AtLeast(CLEAN_RUNS as f64 - 1.0))
            .baseline("policy latency", done(other))
            .baseline("threshold on the mean", done(Way::Mean)),
    ];
    let mut points = Vec::new();
    for (index, kind) in BAD.into_iter().enumerate() {
        let (mine, slow) = (runs(seed, BAD_RUNS, kind, ours), runs(seed, BAD_RUNS, kind, other));
        let fixed = runs(seed, BAD_RUNS, kind, Way::Mean);
        let name = format!("exposed requests, {}, policy cost", kind.name);
        points.push((index as f64, mean(&mine)));
        figures.push(
            Figure::new(name, "requests", mean(&mine))
                .baseline("policy latency", mean(&slow))
                .baseline("threshold on the mean", mean(&fixed)),
        );
        let name = format!("bad roll-outs halted, {}", kind.name);
        figures.push(
            Figure::new(name, "of 40", halted(&mine))
                .bound(Bound::AtLeast(BAD_RUNS as f64))
                .baseline("policy latency", halted(&slow))
                .baseline("threshold on the mean", halted(&fixed)),
        );
    }
    let axes = ("severity".into(), "exposed requests".into());
    let series = vec![Series { name: "policy cost".into(), points }];
    Report { name: "rollout".into(), seed, figures, axes, series }
}
