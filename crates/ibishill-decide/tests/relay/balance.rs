use std::collections::BTreeMap;

use ibishill_core::{fleet, id, time};
use ibishill_decide::{balance, canary, outlier};

const SLOTS: u32 = 12;
const CALM: balance::SlowStart =
    balance::SlowStart { duration: time::Millis(3_000), rate: 10.0, is_stale: false };

fn entry(name: &str, zone: &str) -> fleet::Registration {
    fleet::Registration {
        id: name.parse().unwrap(),
        service: "pool".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: zone.parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SLOTS,
        readiness: fleet::Readiness::Ready,
        cold_remaining: time::Millis(0),
        started: Some(1),
    }
}

fn pool(count: usize) -> balance::Balancer {
    let mut pool = balance::Balancer::new("a".parse().unwrap());
    for at in 0..count {
        pool.register(entry(&format!("e{at}"), "a"), time::Tick(0));
    }
    pool
}

fn ask<'a>(service: &'a id::ServiceId, avoid: &'a [id::EndpointId]) -> balance::Request<'a> {
    balance::Request {
        service,
        versions: balance::Versions::Any,
        tried: avoid,
        prefix: None,
        tokens: 0,
        capacity: 100_000,
        prefill: 0.0,
        tier: balance::Tier::Any,
        uses_subset: false,
        seed: 1,
    }
}

fn first(_: &id::EndpointId) -> usize {
    0
}

struct Case {
    name: &'static str,
    change: fn(&mut balance::Balancer),
    rule: balance::SlowStart,
    expected: balance::Choice,
}

#[test]
fn an_endpoint_gets_work_only_if_it_may_and_can() {
    let e0 = || balance::Choice::Send("e0".parse().unwrap());
    let cases = [
        Case { name: "ready", change: |_| {}, rule: CALM, expected: e0() },
        Case {
            name: "draining",
            change: |pool| {
                let standing = fleet::Readiness::Draining;
                pool.register(
                    fleet::Registration { readiness: standing, ..entry("e0", "a") },
                    time::Tick(1),
                );
            },
            rule: CALM,
            expected: balance::Choice::NoEndpoint,
        },
        Case {
            name: "gone",
            change: |pool| pool.remove(&"e0".parse().unwrap()),
            rule: CALM,
            expected: balance::Choice::NoEndpoint,
        },
        Case {
            name: "its zone taken out",
            change: |pool| pool.disable_zone("a".parse().unwrap()),
            rule: CALM,
            expected: balance::Choice::NoEndpoint,
        },
        Case {
            name: "full",
            change: |pool| {
                for _ in 0..SLOTS {
                    let work = balance::Work::default();
                    pool.begin(&"e0".parse().unwrap(), work, CALM, 0, time::Tick(1));
                }
            },
            rule: CALM,
            expected: balance::Choice::Full,
        },
        Case {
            name: "cold, and this daemon sent there just now",
            change: |pool| {
                let cold = time::Millis(3_000);
                pool.register(
                    fleet::Registration { cold_remaining: cold, ..entry("e0", "a") },
                    time::Tick(900),
                );
                let work = balance::Work::default();
                pool.begin(&"e0".parse().unwrap(), work, CALM, 0, time::Tick(900));
            },
            rule: CALM,
            expected: balance::Choice::Full,
        },
        Case {
            name: "not known to be warm after a suspension",
            change: |pool| {
                let work = balance::Work::default();
                pool.begin(&"e0".parse().unwrap(), work, CALM, 0, time::Tick(900));
            },
            rule: balance::SlowStart { is_stale: true, ..CALM },
            expected: balance::Choice::Full,
        },
    ];
    let service = "pool".parse().unwrap();
    for case in cases {
        let mut pool = pool(1);
        (case.change)(&mut pool);
        let found = pool.pick(&ask(&service, &[]), case.rule, first, time::Tick(1_000));
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

// Requests that daemons admit to one cold endpoint in any second.
#[test]
fn a_cold_endpoint_gets_no_more_than_it_bears_from_all_daemons() {
    struct Load {
        daemons: usize,
        declared: f64,
    }
    let loads = [
        Load { daemons: 1, declared: 13.0 },
        Load { daemons: 6, declared: 13.0 },
        Load { daemons: 10, declared: 24.0 },
        Load { daemons: 83, declared: 13.0 },
    ];
    let service = "pool".parse().unwrap();
    let id: id::EndpointId = "e0".parse().unwrap();
    for load in loads {
        let rule = balance::SlowStart { rate: load.declared, ..CALM };
        let cold = time::Millis(60_000);
        let mut daemons: Vec<_> = (0..load.daemons).map(|_| pool(1)).collect();
        for daemon in &mut daemons {
            daemon.register(
                fleet::Registration { cold_remaining: cold, ..entry("e0", "a") },
                time::Tick(0),
            );
        }
        let mut admitted = Vec::new();
        for now in (0..5_000).step_by(10) {
            for (rank, daemon) in daemons.iter_mut().enumerate() {
                let now = time::Tick(now);
                let choice = daemon.pick(&ask(&service, &[]), rule, |_| rank, now);
                if choice != balance::Choice::Full {
                    daemon.begin(&id, balance::Work::default(), rule, rank, now);
                    daemon.end(&id, balance::Work::default());
                    admitted.push(now.0);
                }
            }
        }
        let most = admitted
            .iter()
            .map(|from| admitted.iter().filter(|at| (*from..*from + 1_000).contains(*at)).count());
        let most = most.max().unwrap_or(0) as f64;
        assert!(most <= load.declared * 1.5 + 5.0, "{} daemons: {most}", load.daemons);
        assert!(most >= 1.0, "{} daemons admit nothing", load.daemons);
    }
}

#[test]
fn an_endpoint_that_took_no_connection_counts_as_cold_until_it_has_answered() {
    let mut pool = pool(1);
    let (service, id) = ("pool".parse().unwrap(), "e0".parse().unwrap());
    let now = time::Tick(1_000);
    pool.begin(&id, balance::Work::default(), CALM, 0, now);
    pool.end(&id, balance::Work::default());
    pool.record_attempt(&id, outlier::Attempt::Unreachable, None, CALM, now);
    let soon = time::Tick(1_010);
    let choice = pool.pick(&ask(&service, &[]), CALM, first, soon);
    assert_eq!(choice, balance::Choice::Full);
    pool.record_attempt(&id, outlier::Attempt::Good, None, CALM, soon);
    let choice = pool.pick(&ask(&service, &[]), CALM, first, time::Tick(1_020));
    assert_eq!(choice, balance::Choice::Full, "it may have restarted");
    let later = time::Tick(soon.0 + CALM.duration.0 + 1);
    let choice = pool.pick(&ask(&service, &[]), CALM, first, later);
    assert_eq!(choice, balance::Choice::Send(id));
}

// A burst of long prompts over engines that all look idle.
#[test]
fn a_burst_spreads_over_engines_by_what_their_prompts_cost_to_read() {
    let mut pool = pool(4);
    let service = "pool".parse().unwrap();
    let mut counts: BTreeMap<id::EndpointId, u32> = BTreeMap::new();
    for seed in 0..16 {
        let reading = 12.0;
        let ask = balance::Request { prefill: reading, seed, ..ask(&service, &[]) };
        let choice = pool.pick(&ask, CALM, first, time::Tick(1_000));
        let balance::Choice::Send(id) = choice else { panic!("no room for request {seed}") };
        let work = balance::Work { tokens: 12_000, prefill: reading };
        pool.begin(&id, work, CALM, 0, time::Tick(1_000));
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 4), "{counts:?}");
}

// Many subjects, each asked about again and again, from daemons that know the same loads.
#[test]
fn a_shared_prompt_is_read_at_one_endpoint_while_that_has_room() {
    let pool = pool(8);
    let service = "pool".parse().unwrap();
    let mut read = std::collections::BTreeSet::new();
    for seed in 0..400 {
        let part = seed % 40;
        let ask = balance::Request { prefix: Some((part, 5_000)), seed, ..ask(&service, &[]) };
        let choice = pool.pick(&ask, CALM, first, time::Tick(1_000));
        read.insert((part, format!("{choice:?}")));
    }
    assert_eq!(read.len(), 40);
}

// One subject that all callers ask about at once.
#[test]
fn a_shared_prompt_is_read_elsewhere_once_its_endpoint_is_busy() {
    let mut pool = pool(8);
    let service = "pool".parse().unwrap();
    let mut counts: BTreeMap<id::EndpointId, u32> = BTreeMap::new();
    for seed in 0..u64::from(8 * SLOTS) {
        let ask = balance::Request { prefix: Some((77, 5_000)), seed, ..ask(&service, &[]) };
        let choice = pool.pick(&ask, CALM, first, time::Tick(1_000));
        let balance::Choice::Send(id) = choice else { panic!("no room for request {seed}") };
        pool.begin(&id, balance::Work::default(), CALM, 0, time::Tick(1_000));
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == SLOTS), "{counts:?}");
}

#[test]
fn models_keep_apart_while_their_engines_have_room() {
    let pool = pool(10);
    let service = "pool".parse().unwrap();
    let chosen = |tier| {
        let pick = |seed| {
            let ask = balance::Request { tier, seed, ..ask(&service, &[]) };
            format!("{:?}", pool.pick(&ask, CALM, first, time::Tick(1_000)))
        };
        (0..64).map(pick).collect::<std::collections::BTreeSet<_>>()
    };
    let (small, large) = (chosen(balance::Tier::Small), chosen(balance::Tier::Large));
    assert!(small.is_disjoint(&large), "{small:?} {large:?}");
    assert_eq!(small.len(), 2);
}

#[test]
fn work_stays_in_the_zone_only_while_it_has_room() {
    let mut pool = balance::Balancer::new("a".parse().unwrap());
    pool.register(entry("near", "a"), time::Tick(0));
    pool.register(entry("far", "b"), time::Tick(0));
    let service = "pool".parse().unwrap();
    let near: id::EndpointId = "near".parse().unwrap();
    let choose =
        |pool: &balance::Balancer| pool.pick(&ask(&service, &[]), CALM, first, time::Tick(1_000));
    assert_eq!(choose(&pool), balance::Choice::Send(near.clone()));
    for _ in 0..4 {
        pool.begin(&near, balance::Work::default(), CALM, 0, time::Tick(1_000));
    }
    assert_eq!(choose(&pool), balance::Choice::Send("far".parse().unwrap()));
}

#[test]
fn work_that_a_peer_tells_of_counts_until_its_next_report_or_until_that_is_due() {
    struct Case {
        name: &'static str,
        // Reports of the peer: when, of which requests at e0.
        reports: &'static [(u64, u8)],
        now: u64,
        is_busy: bool,
    }
    let slots = SLOTS as u8;
    let cases = [
        Case { name: "none", reports: &[], now: 1_000, is_busy: false },
        Case { name: "full there", reports: &[(900, 12)], now: 1_000, is_busy: true },
        Case { name: "free again", reports: &[(800, 12), (900, 0)], now: 1_000, is_busy: false },
        Case { name: "told twice", reports: &[(800, 12), (900, 12)], now: 1_000, is_busy: true },
        Case { name: "silent since", reports: &[(900, 12)], now: 2_501, is_busy: false },
    ];
    let service = "pool".parse().unwrap();
    for case in cases {
        let mut pool = pool(1);
        // What this daemon has at the endpoint is told in the same way.
        let work = balance::Work::default();
        pool.begin(&"e0".parse().unwrap(), work, CALM, 0, time::Tick(1));
        let own = pool.in_flight()[0];
        assert_eq!(own.running, 1);
        for (at, running) in case.reports {
            let share = balance::reports::InFlight { running: *running, ..own };
            pool.reports().record(&"vm".parse().unwrap(), vec![share], time::Tick(*at));
        }
        assert!(case.reports.iter().all(|(_, running)| *running <= slots));
        pool.reports().expire(time::Tick(case.now));
        let found = pool.pick(&ask(&service, &[]), CALM, first, time::Tick(case.now));
        assert_eq!(found == balance::Choice::Full, case.is_busy, "{}", case.name);
    }
}

// A burst in which the old version's endpoints are busy, and few requests try the new one.
#[test]
fn endpoints_of_a_new_version_bear_what_the_old_ones_bear() {
    struct Case {
        name: &'static str,
        // Requests at each endpoint of the old version.
        old: u32,
        // Requests that try the new version, and the endpoints that get them.
        new: u32,
        used: usize,
    }
    let cases = [
        Case { name: "calm", old: 2, new: 8, used: 4 },
        Case { name: "busy", old: 9, new: 8, used: 1 },
        Case { name: "busy, with more tries", old: 9, new: 18, used: 2 },
    ];
    let (service, v2) = ("pool".parse().unwrap(), "v2".parse().unwrap());
    for case in cases {
        let (mut pool, now) = (pool(4), time::Tick(10));
        for at in 0..4 {
            let id = format!("e{at}").parse().unwrap();
            for _ in 0..case.old {
                pool.begin(&id, balance::Work::default(), CALM, 0, now);
            }
            let version = "v2".parse().unwrap();
            pool.register(fleet::Registration { version, ..entry(&format!("n{at}"), "a") }, now);
        }
        let mut used = BTreeMap::new();
        for seed in 0..case.new {
            let versions = balance::Versions::Only(&v2);
            let seed = u64::from(seed);
            let ask = balance::Request { versions, uses_subset: true, seed, ..ask(&service, &[]) };
            let balance::Choice::Send(id) = pool.pick(&ask, CALM, first, now) else {
                panic!("{}: no endpoint", case.name);
            };
            pool.begin(&id, balance::Work::default(), CALM, 0, now);
            *used.entry(id).or_insert(0) += 1;
        }
        assert_eq!(used.len(), case.used, "{}: {used:?}", case.name);
    }
}

// Daemons send trials of a new version at the same moment, before they hear of each other.
#[test]
fn trials_of_many_daemons_do_not_meet_at_one_endpoint() {
    let (service, v2) = ("pool".parse().unwrap(), "v2".parse().unwrap());
    for daemons in [6_u64, 8, 83, 910] {
        let order = fleet::Rollout {
            service: "pool".parse().unwrap(),
            to: "v2".parse().unwrap(),
            duration: time::Millis(24_000),
        };
        let canary = canary::Canary::new(order, &crate::bounds(), time::Tick(0));
        let (mut pool, now) = (pool(4), time::Tick(10));
        for at in 0..4 {
            for _ in 0..9 {
                let id = format!("e{at}").parse().unwrap();
                pool.begin(&id, balance::Work::default(), CALM, 0, now);
            }
        }
        for at in 0..daemons {
            let version = "v2".parse().unwrap();
            pool.register(fleet::Registration { version, ..entry(&format!("n{at}"), "a") }, now);
        }
        let mut used: BTreeMap<id::EndpointId, u32> = BTreeMap::new();
        for seed in 0..daemons {
            let versions = balance::Versions::Only(&v2);
            let is_trial = canary.uses_subset(daemons as usize);
            let ask =
                balance::Request { versions, uses_subset: is_trial, seed, ..ask(&service, &[]) };
            let balance::Choice::Send(id) = pool.pick(&ask, CALM, first, now) else {
                panic!("{daemons} daemons: no endpoint");
            };
            *used.entry(id).or_insert(0) += 1;
        }
        let most = used.values().max().copied().unwrap_or_default();
        assert!(most <= SLOTS, "{daemons} daemons: {most} at one endpoint");
    }
}
