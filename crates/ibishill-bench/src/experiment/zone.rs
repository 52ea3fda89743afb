//! Service while an availability zone leaves and returns, in both example deployments.

use ibishill_config::declared;

use crate::{model, report};

mod owner;
mod setup;
mod world;

/// Time after acceptance from which on a zone gets no new work, in seconds.
const LATEST_S: f64 = 3.0;

/// Offered load against capacity with all zones.
const LOADS: [f64; 2] = [0.5, 0.9];

/// Offered load against capacity at which policies are compared.
const POLICY_LOAD: f64 = 0.75;

/// Runs in which the latest new work is looked for, each with other poll times.
const LEAVES: u64 = 8;

/// Load that no endpoint can bear, in requests a second for one slot.
const FULL_RATE: f64 = 20.0;

const COOPERATIVA: setup::Deployment = setup::Deployment {
    name: "cooperativa",
    declared: include_str!("../../../../examples/cooperativa/declared.yaml"),
    vms: [
        include_str!("../../../../examples/cooperativa/vm-1.yaml"),
        include_str!("../../../../examples/cooperativa/vm-2.yaml"),
        include_str!("../../../../examples/cooperativa/vm-3.yaml"),
        include_str!("../../../../examples/cooperativa/vm-4.yaml"),
        include_str!("../../../../examples/cooperativa/vm-5.yaml"),
        include_str!("../../../../examples/cooperativa/vm-6.yaml"),
    ],
};

const BRAZOS: setup::Deployment = setup::Deployment {
    name: "brazos",
    declared: include_str!("../../../../examples/brazos/declared.yaml"),
    vms: [
        include_str!("../../../../examples/brazos/vm-1.yaml"),
        include_str!("../../../../examples/brazos/vm-2.yaml"),
        include_str!("../../../../examples/brazos/vm-3.yaml"),
        include_str!("../../../../examples/brazos/vm-4.yaml"),
        include_str!("../../../../examples/brazos/vm-5.yaml"),
        include_str!("../../../../examples/brazos/vm-6.yaml"),
    ],
};

/// Runs the experiment.
pub fn run(seed: u64) -> report::Report {
    let mut figures = Vec::new();
    for deployment in [&COOPERATIVA, &BRAZOS] {
        let policy = setup::declarations(deployment).policy;
        let rate = capacity(deployment, policy, seed);
        for load in LOADS {
            figures.extend(service(deployment, policy, rate, load, seed));
        }
        figures.extend(cut(deployment, policy, rate, seed));
        figures.extend(policies(deployment, rate, seed));
    }
    let axes = ("load against capacity".into(), "refused or late".into());
    report::Report { name: "zone".into(), seed, figures, axes, series: Vec::new() }
}

fn setup(way: setup::Way, policy: declared::Policy, rate: f64) -> setup::Setup {
    setup::Setup { way, fault: setup::Fault::TakenOut, policy, rate }
}

// Answers a second of one slot when all are full: the reference of every load.
fn capacity(deployment: &setup::Deployment, policy: declared::Policy, seed: u64) -> f64 {
    let fault = setup::Fault::CutOff;
    let full = setup::Setup { fault, ..setup(setup::Way::Local, policy, FULL_RATE) };
    let result = world::World::new(deployment, full, seed).run();
    let slots: u32 = setup::targets(&setup::declarations(deployment), None)
        .into_iter()
        .map(|(_, slots)| slots)
        .sum();
    result.answered as f64 / world::counted_seconds() / f64::from(slots)
}

fn missed(part: &setup::Part) -> f64 {
    1.0 - part.useful as f64 / part.asked.max(1) as f64
}

fn service(
    deployment: &setup::Deployment,
    policy: declared::Policy,
    rate: f64,
    load: f64,
    seed: u64,
) -> Vec<report::Figure> {
    let run = |way| world::World::new(deployment, setup(way, policy, rate * load), seed).run();
    let (ours, equal) = (run(setup::Way::Ours), run(setup::Way::Equal));
    let (local, no_ramp) = (run(setup::Way::Local), run(setup::Way::NoRamp));
    let planner = run(setup::Way::Planner);
    let named = |what: &str| format!("{} at {load}: {what}", deployment.name);
    let latest = |way| {
        let setup = setup(way, policy, rate * load);
        let run = |n| world::World::new(deployment, setup, seed.wrapping_add(n)).run().latest;
        (0..LEAVES).map(run).max().unwrap_or(0) as f64 / 1_000.0
    };
    let p95 = |part: &setup::Part| model::percentile(&mut part.first.clone(), 0.95);
    vec![
        report::Figure::new(
            named("latest new work after acceptance"),
            "s",
            latest(setup::Way::Ours),
        )
        .bound(report::Bound::AtMost(LATEST_S))
        .baseline("check at the entry only", latest(setup::Way::EntryCheck)),
        report::Figure::new(named("away, refused or late"), "of requests", missed(&ours.away))
            .optimum(missed(&planner.away))
            .baseline("equal spread", missed(&equal.away))
            .baseline("local only", missed(&local.away)),
        report::Figure::new(named("back, refused or late"), "of requests", missed(&ours.back))
            .optimum(missed(&planner.back))
            .baseline("equal spread", missed(&equal.back))
            .baseline("local only", missed(&local.back))
            .baseline("no ramp", missed(&no_ramp.back)),
        report::Figure::new(named("away, p95 of first token"), "ms", p95(&ours.away))
            .optimum(p95(&planner.away))
            .baseline("equal spread", p95(&equal.away))
            .baseline("local only", p95(&local.away)),
        report::Figure::new(named("back, p95 of first token"), "ms", p95(&ours.back))
            .optimum(p95(&planner.back))
            .baseline("equal spread", p95(&equal.back))
            .baseline("local only", p95(&local.back))
            .baseline("no ramp", p95(&no_ramp.back)),
    ]
}

// The zone's own callers while it is cut off; what its slots bear is the optimum.
fn cut(
    deployment: &setup::Deployment,
    policy: declared::Policy,
    rate: f64,
    seed: u64,
) -> Vec<report::Figure> {
    let load = LOADS[0];
    let run = |way| {
        let fault = setup::Fault::CutOff;
        let setup = setup::Setup { fault, ..setup(way, policy, rate * load) };
        world::World::new(deployment, setup, seed).run()
    };
    let (ours, equal) = (run(setup::Way::Ours), run(setup::Way::Equal));
    let p95 = |part: &setup::Part| model::percentile(&mut part.first.clone(), 0.95);
    let named = |what: &str| format!("{} cut off: {what}", deployment.name);
    vec![
        report::Figure::new(named("refused or late inside"), "of requests", missed(&ours.inside))
            .optimum(least_inside(deployment, load))
            .baseline("equal spread", missed(&equal.inside)),
        report::Figure::new(named("refused or late in all"), "of requests", missed(&ours.away))
            .baseline("equal spread", missed(&equal.away)),
        report::Figure::new(named("p95 of first token in all"), "ms", p95(&ours.away))
            .baseline("equal spread", p95(&equal.away)),
    ]
}

// Callers reach each VM with equal right, so the zone's load follows its VMs.
fn least_inside(deployment: &setup::Deployment, load: f64) -> f64 {
    let declared = setup::declarations(deployment);
    let gone = setup::leaving(&declared);
    let share = setup::share_of_vms(deployment, &gone);
    let whole = setup::targets(&declared, None);
    let rest = setup::targets(&declared, Some(&gone));
    let (mut offered, mut missed) = (0.0, 0.0);
    for ((_, whole), (_, rest)) in whole.iter().zip(&rest) {
        let asked = load * share * f64::from(*whole);
        offered += asked;
        missed += (asked - f64::from(whole - rest)).max(0.0);
    }
    missed / offered
}

fn policies(deployment: &setup::Deployment, rate: f64, seed: u64) -> Vec<report::Figure> {
    let run = |policy| {
        let setup = setup(setup::Way::Ours, policy, rate * POLICY_LOAD);
        world::World::new(deployment, setup, seed).run()
    };
    let (latency, cost) = (run(declared::Policy::Latency), run(declared::Policy::Cost));
    let p95 = |part: &setup::Part| model::percentile(&mut part.first.clone(), 0.95);
    let crossed = |part: &setup::Part| part.crossed as f64 / part.asked.max(1) as f64;
    let named = |what: &str| format!("{} policies: {what}", deployment.name);
    vec![
        report::Figure::new(named("latency, p95 of first token"), "ms", p95(&latency.before))
            .bound(report::Bound::AtMost(p95(&cost.before)))
            .baseline("cost", p95(&cost.before)),
        report::Figure::new(named("cost, other zone"), "of requests", crossed(&cost.before))
            .bound(report::Bound::AtMost(crossed(&latency.before)))
            .baseline("latency", crossed(&latency.before)),
    ]
}
