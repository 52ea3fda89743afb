//! One endpoint's gate: limits, slow start, and each way back to cold.

use ibishill_core::time;
use ibishill_decide::{admit, limiter};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::support;

const PROMPT: Option<limiter::PromptBytes> = Some(limiter::PromptBytes(1_000));
const LIMITS: limiter::Limits = limiter::Limits { cold: 2, warm: 16 };

fn warm_gate() -> limiter::Limiter {
    let mut gate = limiter::Limiter::new(LIMITS);
    for step in 0..400 {
        let admitted = time::Tick(step * 100);
        let mut marks = Vec::new();
        for _ in 0..gate.limit() {
            let mark = gate.admit(PROMPT, admitted).unwrap();
            gate.record_first_token(mark, admitted + time::Millis(50));
            marks.push(mark);
        }
        for mark in marks {
            gate.finish(mark, limiter::Outcome::Good, time::Tick(50_000));
        }
    }
    assert_eq!(gate.state(), limiter::State::Warm);
    gate
}

struct Sign {
    name: &'static str,
    give: fn(&mut limiter::Limiter),
    cold: bool,
}

fn stream(gate: &mut limiter::Limiter, took: u64) {
    let mark = gate.admit(PROMPT, time::Tick(50_000)).unwrap();
    gate.record_first_token(mark, time::Tick(50_000 + took));
}

const SIGNS: &[Sign] = &[
    Sign { name: "usual first token", give: |gate| stream(gate, 60), cold: false },
    Sign { name: "sudden rise", give: |gate| stream(gate, 2_000), cold: true },
    Sign {
        name: "silence",
        give: |gate| {
            gate.admit(PROMPT, time::Tick(50_000)).unwrap();
            gate.room(time::Tick(52_000));
        },
        cold: true,
    },
    Sign {
        name: "connection refused",
        give: |gate| {
            let mark = gate.admit(PROMPT, time::Tick(50_000)).unwrap();
            gate.finish(mark, limiter::Outcome::Disconnected, time::Tick(50_000));
        },
        cold: true,
    },
    Sign {
        name: "connection cut, same process",
        give: |gate| {
            gate.record_report(&support::report(1, 0));
            let mark = gate.admit(PROMPT, time::Tick(50_000)).unwrap();
            gate.finish(mark, limiter::Outcome::Disconnected, time::Tick(50_000));
            gate.record_report(&support::report(50_001, 0));
        },
        cold: false,
    },
    Sign {
        name: "connection cut, an older report",
        give: |gate| {
            let mark = gate.admit(PROMPT, time::Tick(50_000)).unwrap();
            gate.finish(mark, limiter::Outcome::Disconnected, time::Tick(50_000));
            gate.record_report(&support::report(49_999, 0));
        },
        cold: true,
    },
    Sign {
        name: "still slow after a sudden rise",
        give: |gate| {
            stream(gate, 2_000);
            for _ in 0..40 {
                let mark = gate.admit(PROMPT, time::Tick(50_000)).unwrap();
                gate.record_first_token(mark, time::Tick(50_300));
                gate.finish(mark, limiter::Outcome::Good, time::Tick(50_300));
            }
        },
        cold: true,
    },
    Sign {
        name: "report of cold",
        give: |gate| gate.record_report(&limiter::Report { cold: true, ..support::report(1, 0) }),
        cold: true,
    },
    Sign {
        name: "new process",
        give: |gate| {
            gate.record_report(&support::report(1, 0));
            gate.record_report(&limiter::Report { start: Some(2), ..support::report(2, 0) });
        },
        cold: true,
    },
    Sign {
        name: "caller left",
        give: |gate| {
            let mark = gate.admit(None, time::Tick(50_000)).unwrap();
            gate.finish(mark, limiter::Outcome::Cancelled, time::Tick(50_000));
        },
        cold: false,
    },
];

#[test]
fn signs_of_cold() {
    for sign in SIGNS {
        let mut gate = warm_gate();
        (sign.give)(&mut gate);
        let found = gate.limit() == LIMITS.cold;
        assert_eq!(found, sign.cold, "{}", sign.name);
    }
}

#[test]
fn a_request_that_was_never_sent_leaves_the_gate_as_it_was() {
    // The contrast: the same request with a bad answer lowers the limit.
    for (answer, kept) in [(limiter::Outcome::Cancelled, true), (limiter::Outcome::Failed, false)] {
        let mut gate = warm_gate();
        let now = time::Tick(50_000);
        let (limit, baseline, room) = (gate.limit(), *gate.baseline(), gate.room(now));
        for _ in 0..100 {
            let mark = gate.admit(PROMPT, now).unwrap();
            gate.finish(mark, answer, now + time::Millis(5));
        }
        assert_eq!(gate.limit() == limit, kept, "{answer:?}");
        assert_eq!(gate.room(now) == room, kept, "{answer:?}");
        assert_eq!((gate.running(), gate.pending_bytes()), (0, 0), "{answer:?}");
        assert_eq!(*gate.baseline(), baseline, "{answer:?}");
    }
}

#[test]
fn answers_from_before_a_restart_do_not_warm() {
    let mut gate = warm_gate();
    let now = time::Tick(50_000);
    let old: Vec<_> = (0..16).map(|_| gate.admit(PROMPT, now).unwrap()).collect();
    gate.record_report(&limiter::Report { cold: true, ..support::report(1, 16) });
    assert_eq!(gate.room(now), 0);
    for mark in old {
        gate.record_first_token(mark, now + time::Millis(50));
        gate.finish(mark, limiter::Outcome::Good, time::Tick(50_000));
    }
    assert_eq!(gate.limit(), LIMITS.cold);
}

#[test]
fn bad_answers_halve_the_limit() {
    let mut gate = warm_gate();
    let mark = gate.admit(None, time::Tick(50_000)).unwrap();
    gate.finish(mark, limiter::Outcome::Failed, time::Tick(50_000));
    assert_eq!(gate.limit(), LIMITS.warm / 2);
}

struct Takeover {
    name: &'static str,
    // Taken at, running.
    report: Option<(u64, u32)>,
    at: u64,
    room: u32,
}

// Taken over at 1,000 from work that runs no longer than 5,000.
const TAKEOVERS: &[Takeover] = &[
    Takeover { name: "no report", report: None, at: 6_000, room: 0 },
    Takeover { name: "too early", report: Some((1_500, 0)), at: 2_000, room: 0 },
    Takeover { name: "idle", report: Some((1_600, 0)), at: 2_000, room: 2 },
    Takeover { name: "one left", report: Some((1_600, 1)), at: 2_000, room: 1 },
    Takeover { name: "busy", report: Some((1_600, 9)), at: 2_000, room: 0 },
    Takeover { name: "too old to run", report: None, at: 6_600, room: 2 },
];

#[test]
fn takeovers() {
    for case in TAKEOVERS {
        let mut gate = limiter::Limiter::new(LIMITS);
        gate.take_over(time::Tick(1_000), time::Millis(5_000));
        if let Some((taken, running)) = case.report {
            gate.record_report(&support::report(taken, running));
        }
        assert_eq!(gate.room(time::Tick(case.at)), case.room, "{}", case.name);
    }
}

#[test]
fn a_lapsed_lease_admits_nothing() {
    let mut world = support::World::new(1, 2, 8);
    let mut owner = admit::Owner::new(support::PERIODS);
    support::settle(&mut owner, &world, 0);
    world.until = time::Tick(2_000);
    assert!(owner.admit(&world.facts(1_999), &support::job(1, "w", 9_000)).is_ok());
    let refusal = owner.admit(&world.facts(2_000), &support::job(2, "w", 9_000)).unwrap_err();
    assert_eq!(refusal.outcome, ibishill_core::outcome::Outcome::NotRun);
    assert_eq!(refusal.reason, ibishill_core::outcome::Reason::NotReady);
}

#[test]
fn a_joining_owner_waits_for_the_knowledge_of_others() {
    let mut world = support::World::new(1, 2, 8);
    let solo = ["vm-a", "vm-b", "vm-c", "vm-d"].into_iter().find(|vm| {
        let view = support::view(&["vm-x", vm]);
        let owner = ibishill_decide::owner::owner(&view, &support::name("e0")).unwrap();
        owner.vm.as_str() == *vm
    });
    let vm = solo.expect("one of four owns e0 beside vm-x");
    world.place.vm = support::name(vm);
    for known in [false, true] {
        let mut owner = admit::Owner::new(support::PERIODS);
        if known {
            // It has seen the others before it is a member itself.
            world.view = support::view(&["vm-x"]);
            owner.refresh(&world.facts(0));
        }
        world.view = support::view(&["vm-x", vm]);
        owner.refresh(&world.facts(0));
        wait_for_knowledge(&mut owner, &world);
    }
}

fn wait_for_knowledge(owner: &mut admit::Owner, world: &support::World) {
    let lease = support::PERIODS.lease.0;
    let target = support::job(1, "w", 1).target;
    assert_eq!(owner.ready_at(&target), Some(time::Tick(lease + limiter::SETTLE.0)));
    owner.record_report(&support::name("e0"), support::report(lease, 0));
    assert!(owner.admit(&world.facts(lease + 1), &support::job(1, "w", 90_000)).is_err());
    owner.record_report(&support::name("e0"), support::report(lease + limiter::SETTLE.0, 0));
    assert!(owner.admit(&world.facts(lease + 700), &support::job(2, "w", 90_000)).is_ok());
}

#[test]
fn an_endpoint_that_comes_back_starts_cold() {
    let mut world = support::World::new(1, 2, 8);
    let mut owner = admit::Owner::new(support::PERIODS);
    support::settle(&mut owner, &world, 0);
    let kept = owner.admit(&world.facts(1_000), &support::job(1, "w", 90_000)).unwrap();
    world.view = support::view(&[]);
    owner.refresh(&world.facts(2_000));
    assert!(owner.admit(&world.facts(2_000), &support::job(2, "w", 90_000)).is_err());
    world.view = support::view(&["vm-a"]);
    support::settle(&mut owner, &world, 3_000);
    assert_eq!(owner.limiters()[&kept.endpoint].running(), 1);
    assert!(owner.admit(&world.facts(4_000), &support::job(3, "w", 90_000)).is_ok());
    assert!(owner.admit(&world.facts(4_000), &support::job(4, "w", 90_000)).is_err());
}

#[derive(Debug, Clone)]
enum Step {
    Admit,
    First(u64),
    Finish(u8),
    Report(bool, u64),
    TakeOver,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Admit),
        3 => (1_u64..3_000).prop_map(Step::First),
        3 => (0_u8..4).prop_map(Step::Finish),
        1 => (any::<bool>(), 0_u64..3).prop_map(|(cold, start)| Step::Report(cold, start)),
        1 => Just(Step::TakeOver),
    ];
    prop::collection::vec(step, 1..400)
}

proptest! {
    #![proptest_config(Config {
        cases: 200, rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..Config::default()
    })]

    #[test]
    fn never_over_the_limit(steps in steps()) {
        let mut gate = limiter::Limiter::new(LIMITS);
        let mut held = Vec::new();
        for (at, step) in steps.into_iter().enumerate() {
            let now = time::Tick(at as u64 * 40);
            match step {
                Step::Admit => {
                    if let Some(mark) = gate.admit(PROMPT, now) {
                        held.push((mark, now));
                        prop_assert!(held.len() as u32 <= gate.limit());
                    }
                }
                Step::First(took) => if let Some(&(mark, admitted)) = held.last() {
                    gate.record_first_token(mark, admitted + time::Millis(took));
                },
                Step::Finish(way) => if let Some((mark, _)) = held.pop() {
                    gate.finish(mark, match way {
                        0 => limiter::Outcome::Failed,
                        1 => limiter::Outcome::Disconnected,
                        2 => limiter::Outcome::Cancelled,
                        _ => limiter::Outcome::Good,
                    }, now);
                },
                Step::Report(cold, start) => {
                    gate.record_report(&limiter::Report { cold, start: Some(start), ..support::report(now.0, 3) });
                }
                Step::TakeOver => gate.take_over(now, time::Millis(500)),
            }
            prop_assert!(gate.limit() >= LIMITS.cold && gate.limit() <= LIMITS.warm);
            prop_assert_eq!(gate.running() as usize, held.len());
        }
    }
}
