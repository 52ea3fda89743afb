//! Fault-injection histories under fixed seeds, and for each checker a run with a mechanism
//! disabled that it must detect.

use std::time::Duration;

use ibishill_bench::history::{Ablation, History, check, run, world};

#[test]
fn histories_keep_every_invariant() {
    for seed in 0..12 {
        let violations = check::check(&run::run(seed, Ablation::None));
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

#[test]
fn same_seed_gives_same_history() {
    let (first, second) = (run::run(3, Ablation::None), run::run(3, Ablation::None));
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

// Cuts one daemon off from the platform, but not from its peers, for several lease durations.
async fn cut_one_daemon(world: world::World) {
    tokio::time::sleep(Duration::from_secs(20)).await;
    world.live().last().expect("a daemon").cut_platform(80_000);
}

fn run_with_one_cut(seed: u64, ablation: Ablation) -> History {
    run::run_with(seed, ablation, cut_one_daemon)
}

#[test]
fn zone_with_one_daemon_cut_off_keeps_every_invariant() {
    for seed in 0..4 {
        let violations = check::check(&run_with_one_cut(seed, Ablation::None));
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// A disabled mechanism and the checker that must detect it.
struct Case {
    ablation: Ablation,
    checker: &'static str,
    run: fn(u64, Ablation) -> History,
}

const CASES: &[Case] = &[
    Case { ablation: Ablation::NoHeadCheck, checker: "head", run: run::run },
    Case { ablation: Ablation::NoHeadCheck, checker: "conflict", run: run::run },
    Case { ablation: Ablation::NoVersionCheck, checker: "revert", run: run::run },
    Case { ablation: Ablation::NoPoll, checker: "in force", run: run::run },
    Case { ablation: Ablation::NoAudit, checker: "audit", run: run::run },
    Case { ablation: Ablation::NoLease, checker: "owner", run: run::run },
    Case { ablation: Ablation::NoTakeoverWait, checker: "owner", run: run::run },
    Case { ablation: Ablation::NoPromise, checker: "owner", run: run_with_one_cut },
    Case { ablation: Ablation::NoJoin, checker: "idle", run: run::run },
];

#[test]
fn each_checker_detects_its_missing_mechanism() {
    for case in CASES {
        let is_detected = (0..20).any(|seed| {
            let violations = check::check(&(case.run)(seed, case.ablation));
            violations.iter().any(|text| text.starts_with(case.checker))
        });
        assert!(is_detected, "{:?} is not detected by {}", case.ablation, case.checker);
    }
}
