//! Histories under fixed seeds, and for each checker a run without the mechanism.

use std::time::Duration;

use ibishill_bench::history::{Breakage, History, check, run, world};

#[test]
fn histories_keep_every_invariant() {
    for seed in 0..12 {
        let found = check::check(&run::run(seed, Breakage::None));
        assert!(found.is_empty(), "seed {seed}: {found:?}");
    }
}

#[test]
fn a_seed_always_gives_the_same_history() {
    let (one, other) = (run::run(3, Breakage::None), run::run(3, Breakage::None));
    assert_eq!(format!("{one:?}"), format!("{other:?}"));
}

// One daemon is cut off from the platform, not from its peers, for several leases.
async fn cut_one(world: world::World) {
    tokio::time::sleep(Duration::from_secs(20)).await;
    world.live().last().expect("a daemon").cut(80_000);
}

fn partly_cut(seed: u64, breakage: Breakage) -> History {
    run::run_with(seed, breakage, cut_one)
}

#[test]
fn a_partly_cut_zone_keeps_every_invariant() {
    for seed in 0..4 {
        let found = check::check(&partly_cut(seed, Breakage::None));
        assert!(found.is_empty(), "seed {seed}: {found:?}");
    }
}

/// A mechanism that is left out, and the checker that must notice.
struct Case {
    breakage: Breakage,
    checker: &'static str,
    run: fn(u64, Breakage) -> History,
}

const CASES: &[Case] = &[
    Case { breakage: Breakage::NoHeadCheck, checker: "head", run: run::run },
    Case { breakage: Breakage::NoHeadCheck, checker: "conflict", run: run::run },
    Case { breakage: Breakage::NoRaise, checker: "revert", run: run::run },
    Case { breakage: Breakage::NoPoll, checker: "in force", run: run::run },
    Case { breakage: Breakage::NoAudit, checker: "audit", run: run::run },
    Case { breakage: Breakage::NoLease, checker: "owner", run: run::run },
    Case { breakage: Breakage::NoWait, checker: "owner", run: run::run },
    Case { breakage: Breakage::NoPromise, checker: "owner", run: partly_cut },
    Case { breakage: Breakage::NoJoin, checker: "idle", run: run::run },
];

#[test]
fn each_checker_notices_a_missing_mechanism() {
    for case in CASES {
        let caught = (0..20).any(|seed| {
            let found = check::check(&(case.run)(seed, case.breakage));
            found.iter().any(|text| text.starts_with(case.checker))
        });
        assert!(caught, "{:?} is not noticed by {}", case.breakage, case.checker);
    }
}
