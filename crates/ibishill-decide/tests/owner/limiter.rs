//! Limiter of one endpoint: limits, slow start, and each event that turns it cold.

use ibishill_core::time;
use ibishill_decide::{admit, limiter};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::support;

const PROMPT: Option<limiter::PromptBytes> = Some(limiter::PromptBytes(1_000));
const LIMITS: limiter::Limits = limiter::Limits { cold: 2, warm: 16 };

fn warm_limiter() -> limiter::Limiter {
    let mut limiter = limiter::Limiter::new(LIMITS);
    for step in 0..400 {
        let admitted = time::Tick(step * 100);
        let mut tickets = Vec::new();
        for _ in 0..limiter.limit() {
            let ticket = limiter.admit(PROMPT, admitted).unwrap();
            limiter.record_first_token(ticket, admitted + time::Millis(50));
            tickets.push(ticket);
        }
        for ticket in tickets {
            limiter.finish(ticket, limiter::Outcome::Good, time::Tick(50_000));
        }
    }
    assert_eq!(limiter.state(), limiter::State::Warm);
    limiter
}

struct Sign {
    name: &'static str,
    give: fn(&mut limiter::Limiter),
    cold: bool,
}

fn stream(limiter: &mut limiter::Limiter, took: u64) {
    let ticket = limiter.admit(PROMPT, time::Tick(50_000)).unwrap();
    limiter.record_first_token(ticket, time::Tick(50_000 + took));
}

const SIGNS: &[Sign] = &[
    Sign { name: "usual first token", give: |limiter| stream(limiter, 60), cold: false },
    Sign { name: "sudden rise", give: |limiter| stream(limiter, 2_000), cold: true },
    Sign {
        name: "no first token",
        give: |limiter| {
            limiter.admit(PROMPT, time::Tick(50_000)).unwrap();
            limiter.available(time::Tick(52_000));
        },
        cold: true,
    },
    Sign {
        name: "connection refused",
        give: |limiter| {
            let ticket = limiter.admit(PROMPT, time::Tick(50_000)).unwrap();
            limiter.finish(ticket, limiter::Outcome::Disconnected, time::Tick(50_000));
        },
        cold: true,
    },
    Sign {
        name: "connection lost, same process",
        give: |limiter| {
            limiter.record_report(&support::report(1, 0));
            let ticket = limiter.admit(PROMPT, time::Tick(50_000)).unwrap();
            limiter.finish(ticket, limiter::Outcome::Disconnected, time::Tick(50_000));
            limiter.record_report(&support::report(50_001, 0));
        },
        cold: false,
    },
    Sign {
        name: "connection lost, older report",
        give: |limiter| {
            let ticket = limiter.admit(PROMPT, time::Tick(50_000)).unwrap();
            limiter.finish(ticket, limiter::Outcome::Disconnected, time::Tick(50_000));
            limiter.record_report(&support::report(49_999, 0));
        },
        cold: true,
    },
    Sign {
        name: "still slow after a sudden rise",
        give: |limiter| {
            stream(limiter, 2_000);
            for _ in 0..40 {
                let ticket = limiter.admit(PROMPT, time::Tick(50_000)).unwrap();
                limiter.record_first_token(ticket, time::Tick(50_300));
                limiter.finish(ticket, limiter::Outcome::Good, time::Tick(50_300));
            }
        },
        cold: true,
    },
    Sign {
        name: "report of cold",
        give: |limiter| {
            limiter.record_report(&limiter::Report { cold: true, ..support::report(1, 0) })
        },
        cold: true,
    },
    Sign {
        name: "new process",
        give: |limiter| {
            limiter.record_report(&support::report(1, 0));
            limiter.record_report(&limiter::Report { start: Some(2), ..support::report(2, 0) });
        },
        cold: true,
    },
    Sign {
        name: "caller disconnected",
        give: |limiter| {
            let ticket = limiter.admit(None, time::Tick(50_000)).unwrap();
            limiter.finish(ticket, limiter::Outcome::Cancelled, time::Tick(50_000));
        },
        cold: false,
    },
];

#[test]
fn cold_start_is_detected() {
    for sign in SIGNS {
        let mut limiter = warm_limiter();
        (sign.give)(&mut limiter);
        let found = limiter.limit() == LIMITS.cold;
        assert_eq!(found, sign.cold, "{}", sign.name);
    }
}

#[test]
fn unsent_request_leaves_limiter_unchanged() {
    // In contrast, the same request with a failure lowers the limit.
    for (outcome, kept) in [(limiter::Outcome::Cancelled, true), (limiter::Outcome::Failed, false)]
    {
        let mut limiter = warm_limiter();
        let now = time::Tick(50_000);
        let (limit, baseline, room) =
            (limiter.limit(), *limiter.baseline(), limiter.available(now));
        for _ in 0..100 {
            let ticket = limiter.admit(PROMPT, now).unwrap();
            limiter.finish(ticket, outcome, now + time::Millis(5));
        }
        assert_eq!(limiter.limit() == limit, kept, "{outcome:?}");
        assert_eq!(limiter.available(now) == room, kept, "{outcome:?}");
        assert_eq!((limiter.running(), limiter.pending_bytes()), (0, 0), "{outcome:?}");
        assert_eq!(*limiter.baseline(), baseline, "{outcome:?}");
    }
}

#[test]
fn responses_from_before_restart_do_not_raise_limit() {
    let mut limiter = warm_limiter();
    let now = time::Tick(50_000);
    let old: Vec<_> = (0..16).map(|_| limiter.admit(PROMPT, now).unwrap()).collect();
    limiter.record_report(&limiter::Report { cold: true, ..support::report(1, 16) });
    assert_eq!(limiter.available(now), 0);
    for ticket in old {
        limiter.record_first_token(ticket, now + time::Millis(50));
        limiter.finish(ticket, limiter::Outcome::Good, time::Tick(50_000));
    }
    assert_eq!(limiter.limit(), LIMITS.cold);
}

#[test]
fn failure_halves_limit() {
    let mut limiter = warm_limiter();
    let ticket = limiter.admit(None, time::Tick(50_000)).unwrap();
    limiter.finish(ticket, limiter::Outcome::Failed, time::Tick(50_000));
    assert_eq!(limiter.limit(), LIMITS.warm / 2);
}

struct Takeover {
    name: &'static str,
    // Time of the report, and running requests.
    report: Option<(u64, u32)>,
    at: u64,
    room: u32,
}

// Takeover at 1,000 ms from an owner whose requests run no longer than 5,000 ms.
const TAKEOVERS: &[Takeover] = &[
    Takeover { name: "no report", report: None, at: 6_000, room: 0 },
    Takeover { name: "too early", report: Some((1_500, 0)), at: 2_000, room: 0 },
    Takeover { name: "idle", report: Some((1_600, 0)), at: 2_000, room: 2 },
    Takeover { name: "one left", report: Some((1_600, 1)), at: 2_000, room: 1 },
    Takeover { name: "busy", report: Some((1_600, 9)), at: 2_000, room: 0 },
    Takeover { name: "past the longest run", report: None, at: 6_600, room: 2 },
];

#[test]
fn takeover_waits_for_requests_of_previous_owner() {
    for case in TAKEOVERS {
        let mut limiter = limiter::Limiter::new(LIMITS);
        limiter.take_over(time::Tick(1_000), time::Millis(5_000));
        if let Some((taken, running)) = case.report {
            limiter.record_report(&support::report(taken, running));
        }
        assert_eq!(limiter.available(time::Tick(case.at)), case.room, "{}", case.name);
    }
}

#[test]
fn expired_lease_admits_nothing() {
    let mut fixture = support::Fixture::new(1, 2, 8);
    let mut owner = admit::Owner::new(support::PERIODS);
    support::report_idle(&mut owner, &fixture, 0);
    fixture.until = time::Tick(2_000);
    assert!(owner.admit(&fixture.facts(1_999), &support::job(1, "w", 9_000)).is_ok());
    let refusal = owner.admit(&fixture.facts(2_000), &support::job(2, "w", 9_000)).unwrap_err();
    assert_eq!(refusal.outcome, ibishill_core::outcome::Outcome::NotRun);
    assert_eq!(refusal.reason, ibishill_core::outcome::Reason::NotReady);
}

#[test]
fn joining_owner_waits_for_lease_of_others() {
    let mut fixture = support::Fixture::new(1, 2, 8);
    let solo = ["vm-a", "vm-b", "vm-c", "vm-d"].into_iter().find(|vm| {
        let view = support::view(&["vm-x", vm]);
        let owner = ibishill_decide::owner::owner(&view, &support::name("e0")).unwrap();
        owner.vm.as_str() == *vm
    });
    let vm = solo.expect("one of four owns e0 beside vm-x");
    fixture.place.vm = support::name(vm);
    for known in [false, true] {
        let mut owner = admit::Owner::new(support::PERIODS);
        if known {
            // It has seen the other members before it joins.
            fixture.view = support::view(&["vm-x"]);
            owner.refresh(&fixture.facts(0));
        }
        fixture.view = support::view(&["vm-x", vm]);
        owner.refresh(&fixture.facts(0));
        assert_waits_for_lease(&mut owner, &fixture);
    }
}

fn assert_waits_for_lease(owner: &mut admit::Owner, fixture: &support::Fixture) {
    let lease = support::PERIODS.lease.0;
    let target = support::job(1, "w", 1).target;
    assert_eq!(owner.ready_at(&target), Some(time::Tick(lease + limiter::SETTLE.0)));
    owner.record_report(&support::name("e0"), support::report(lease, 0));
    assert!(owner.admit(&fixture.facts(lease + 1), &support::job(1, "w", 90_000)).is_err());
    owner.record_report(&support::name("e0"), support::report(lease + limiter::SETTLE.0, 0));
    assert!(owner.admit(&fixture.facts(lease + 700), &support::job(2, "w", 90_000)).is_ok());
}

#[test]
fn regained_endpoint_starts_cold() {
    let mut fixture = support::Fixture::new(1, 2, 8);
    let mut owner = admit::Owner::new(support::PERIODS);
    support::report_idle(&mut owner, &fixture, 0);
    let kept = owner.admit(&fixture.facts(1_000), &support::job(1, "w", 90_000)).unwrap();
    fixture.view = support::view(&[]);
    owner.refresh(&fixture.facts(2_000));
    assert!(owner.admit(&fixture.facts(2_000), &support::job(2, "w", 90_000)).is_err());
    fixture.view = support::view(&["vm-a"]);
    support::report_idle(&mut owner, &fixture, 3_000);
    assert_eq!(owner.limiters()[&kept.endpoint].running(), 1);
    assert!(owner.admit(&fixture.facts(4_000), &support::job(3, "w", 90_000)).is_ok());
    assert!(owner.admit(&fixture.facts(4_000), &support::job(4, "w", 90_000)).is_err());
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
    fn limit_is_never_exceeded(steps in steps()) {
        let mut limiter = limiter::Limiter::new(LIMITS);
        let mut held = Vec::new();
        for (at, step) in steps.into_iter().enumerate() {
            let now = time::Tick(at as u64 * 40);
            match step {
                Step::Admit => {
                    if let Some(ticket) = limiter.admit(PROMPT, now) {
                        held.push((ticket, now));
                        prop_assert!(held.len() as u32 <= limiter.limit());
                    }
                }
                Step::First(took) => if let Some(&(ticket, admitted)) = held.last() {
                    limiter.record_first_token(ticket, admitted + time::Millis(took));
                },
                Step::Finish(way) => if let Some((ticket, _)) = held.pop() {
                    limiter.finish(ticket, match way {
                        0 => limiter::Outcome::Failed,
                        1 => limiter::Outcome::Disconnected,
                        2 => limiter::Outcome::Cancelled,
                        _ => limiter::Outcome::Good,
                    }, now);
                },
                Step::Report(cold, start) => {
                    limiter.record_report(&limiter::Report { cold, start: Some(start), ..support::report(now.0, 3) });
                }
                Step::TakeOver => limiter.take_over(now, time::Millis(500)),
            }
            prop_assert!(limiter.limit() >= LIMITS.cold && limiter.limit() <= LIMITS.warm);
            prop_assert_eq!(limiter.running() as usize, held.len());
        }
    }
}
