//! Weights in practice: roll-outs, swinging demand, lost answers and unfenced engines.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_config::declared::Policy;
use ibishill_core::time;
use ibishill_decide::place;

use crate::report;
use sim::{Sim, Way};

mod sim;

const HOUR_S: u64 = 3_600;

/// Period of the swing between two versions, in seconds.
const SWING_S: u64 = 90;

/// Seconds from one stage of the roll-out to the next, and their shares in percent.
const STAGE_S: u64 = 600;
const STAGES: &[u8] = &[5, 20, 50, 100];

const ROLLOUT_SLOTS: f64 = 150.0;

fn rollout(at: u64) -> [f64; 4] {
    let share = f64::from(STAGES[stage(at)]) / 100.0;
    [ROLLOUT_SLOTS * (1.0 - share), ROLLOUT_SLOTS * share, 10.0, 10.0]
}

fn stage(at: u64) -> usize {
    ((at / STAGE_S) as usize).min(STAGES.len() - 1)
}

fn swing(at: u64) -> [f64; 4] {
    // Both peaks together are more than the pool holds beside the first version.
    let (high, low) = (110.0, 15.0);
    let up = (at / SWING_S).is_multiple_of(2);
    let (third, fourth) = if up { (high, low) } else { (low, high) };
    [180.0, 0.0, third, fourth]
}

fn greedy() -> place::Rules {
    let none = time::Millis(0);
    place::Rules {
        headroom: 1.0,
        hold: none,
        dwell: none,
        half_life: time::Millis(1),
        preload: false,
    }
}

fn ways() -> [(&'static str, Way); 4] {
    [
        ("latency", Way::Rules(place::Rules::of(Policy::Latency))),
        ("cost", Way::Rules(place::Rules::of(Policy::Cost))),
        ("greedy", Way::Rules(greedy())),
        ("static", Way::Static),
    ]
}

// One figure of every way: the first is ours, under policy `latency`.
fn figure(name: &str, unit: &str, values: &[(&'static str, f64)]) -> report::Figure {
    let mut figure = report::Figure::new(name, unit, values[0].1);
    for (name, value) in &values[1..] {
        figure = figure.baseline(*name, *value);
    }
    figure
}

/// Runs the experiment.
pub fn run(seed: u64) -> report::Report {
    let mut figures = Vec::new();
    let mut series = Vec::new();
    figures.extend(rollouts(seed, &mut series));
    figures.extend(swings(seed));
    figures.extend(faults(seed));
    let axes = ("time, s".into(), "slots of the new version".into());
    report::Report { name: "place".into(), seed, figures, axes, series }
}

fn rollouts(seed: u64, series: &mut Vec<report::Series>) -> Vec<report::Figure> {
    let mut met = Vec::new();
    let mut orders = Vec::new();
    let mut refused = Vec::new();
    let mut spare = Vec::new();
    for (name, way) in ways() {
        let mut sim = Sim::new(seed, way, rollout);
        sim.rollout = true;
        let result = sim.run(HOUR_S);
        met.push((name, worst_wait(&result.slots)));
        orders.push((name, result.orders as f64));
        refused.push((name, 100.0 * result.refused / result.asked));
        spare.push((name, result.kept / HOUR_S as f64));
        let points = result.slots.iter().enumerate();
        let points = points.map(|(at, slots)| (at as f64, *slots)).collect();
        series.push(report::Series { name: name.into(), points });
    }
    vec![
        // A planner that knows the stages has loaded before each.
        figure("roll-out: longest time until a stage's demand is met", "s", &met).optimum(0.0),
        figure("roll-out: orders in an hour", "orders", &orders),
        figure("roll-out: requests refused", "%", &refused).optimum(0.0),
        figure("roll-out: slots not given up beyond demand, mean", "slots", &spare),
    ]
}

// Longest time from the start of a stage until the new version's slots suffice.
fn worst_wait(slots: &[f64]) -> f64 {
    let wait = |stage: usize| {
        let start = stage as u64 * STAGE_S;
        let end = if stage + 1 < STAGES.len() { start + STAGE_S } else { HOUR_S };
        let met = (start..end).find(|at| slots[*at as usize] >= rollout(*at)[1]);
        met.unwrap_or(end) - start
    };
    (1..STAGES.len()).map(wait).max().unwrap_or(0) as f64
}

fn swings(seed: u64) -> Vec<report::Figure> {
    let mut orders = Vec::new();
    let mut reloads = Vec::new();
    let mut refused = Vec::new();
    for (name, way) in ways() {
        let result = Sim::new(seed, way, swing).run(HOUR_S);
        orders.push((name, result.orders as f64));
        reloads.push((name, result.reloads as f64));
        refused.push((name, 100.0 * result.refused / result.asked));
    }
    vec![
        figure("swing: orders in an hour", "orders", &orders),
        figure("swing: versions loaded again where they were unloaded", "loads", &reloads)
            .bound(report::Bound::AtMost(0.0)),
        figure("swing: requests refused", "%", &refused),
    ]
}

fn faults(seed: u64) -> Vec<report::Figure> {
    let run = |settle: bool| {
        let mut sim = Sim::new(seed, ways()[1].1, rollout);
        sim.rollout = true;
        sim.faulty = true;
        sim.settle = settle;
        sim.run(HOUR_S)
    };
    let (ours, hasty) = (run(true), run(false));
    let none = report::Bound::AtMost(0.0);
    let count = |name: &str, ours: u64| report::Figure::new(name, "orders", ours as f64);
    vec![
        report::Figure::new(
            "faults: longest time until a stage's demand is met",
            "s",
            worst_wait(&ours.slots),
        ),
        count("faults: answers lost", ours.lost),
        count("faults: old orders refused by fencing", ours.fenced),
        count("faults: old orders carried out after one of the new owner", ours.stale)
            .bound(none)
            .baseline("without the lease wait", hasty.stale as f64),
        count("faults: unfenced engines under change at once", ours.together)
            .bound(report::Bound::AtMost(1.0)),
        report::Figure::new("faults: served versions without an engine", "s", ours.bare as f64)
            .bound(none),
    ]
}

/// Versions by their place in a demand.
fn names() -> [&'static str; 4] {
    ["a@v1", "a@v2", "b@v1", "c@v1"]
}

type Slots = BTreeMap<ibishill_core::id::VersionRef, f64>;
type Versions = BTreeSet<ibishill_core::id::VersionRef>;
