use std::collections::BTreeMap;

use ibishill_core::{fleet, id, time};
use ibishill_decide::{balance, canary, outlier};

const SLOTS: u32 = 12;
const SLOW_START: balance::SlowStart =
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

fn balancer(count: usize) -> balance::Balancer {
    let mut balancer = balance::Balancer::new("own".parse().unwrap(), "a".parse().unwrap());
    for at in 0..count {
        balancer.register(entry(&format!("e{at}"), "a"), time::Tick(0));
    }
    balancer
}

fn request<'a>(service: &'a id::ServiceId, tried: &'a [id::EndpointId]) -> balance::Request<'a> {
    balance::Request {
        service,
        versions: balance::Versions::Any,
        tried,
        prefix: None,
        model: None,
        tokens: 0,
        capacity: 100_000,
        prefill: 0.0,
        saved: 0.0,
        tier: balance::Tier::Any,
        uses_subset: false,
        seed: 1,
    }
}

fn first_rank(_: &id::EndpointId) -> usize {
    0
}

struct Case {
    name: &'static str,
    change: fn(&mut balance::Balancer),
    rule: balance::SlowStart,
    expected: balance::Choice,
}

#[test]
fn only_available_endpoint_is_picked() {
    let e0 = || balance::Choice::Send("e0".parse().unwrap());
    let cases = [
        Case { name: "ready", change: |_| {}, rule: SLOW_START, expected: e0() },
        Case {
            name: "draining",
            change: |balancer| {
                let standing = fleet::Readiness::Draining;
                balancer.register(
                    fleet::Registration { readiness: standing, ..entry("e0", "a") },
                    time::Tick(1),
                );
            },
            rule: SLOW_START,
            expected: balance::Choice::NoEndpoint,
        },
        Case {
            name: "removed",
            change: |balancer| balancer.remove(&"e0".parse().unwrap(), time::Tick(0)),
            rule: SLOW_START,
            expected: balance::Choice::NoEndpoint,
        },
        Case {
            name: "zone out of service",
            change: |balancer| balancer.take_zone_out("a".parse().unwrap()),
            rule: SLOW_START,
            expected: balance::Choice::NoEndpoint,
        },
        Case {
            name: "full",
            change: |balancer| {
                for _ in 0..SLOTS {
                    let work = balance::Work::default();
                    balancer.begin(&"e0".parse().unwrap(), work, SLOW_START, 0, time::Tick(1));
                }
            },
            rule: SLOW_START,
            expected: balance::Choice::Full,
        },
        Case {
            name: "cold, and its rate is used up",
            change: |balancer| {
                let cold = time::Millis(3_000);
                balancer.register(
                    fleet::Registration { cold_remaining: cold, ..entry("e0", "a") },
                    time::Tick(900),
                );
                let work = balance::Work::default();
                balancer.begin(&"e0".parse().unwrap(), work, SLOW_START, 0, time::Tick(900));
            },
            rule: SLOW_START,
            expected: balance::Choice::Full,
        },
        Case {
            name: "state is stale after a suspension, and the cold rate is used up",
            change: |balancer| {
                let work = balance::Work::default();
                balancer.begin(&"e0".parse().unwrap(), work, SLOW_START, 0, time::Tick(900));
            },
            rule: balance::SlowStart { is_stale: true, ..SLOW_START },
            expected: balance::Choice::Full,
        },
    ];
    let service = "pool".parse().unwrap();
    for case in cases {
        let mut balancer = balancer(1);
        (case.change)(&mut balancer);
        let found =
            balancer.pick(&request(&service, &[]), case.rule, first_rank, time::Tick(1_000));
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

// All daemons together must not send much more than its declared rate to a cold endpoint, in any
// second.
#[test]
fn cold_endpoint_is_rate_limited_across_daemons() {
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
        let rule = balance::SlowStart { rate: load.declared, ..SLOW_START };
        let cold = time::Millis(60_000);
        let mut daemons: Vec<_> = (0..load.daemons).map(|_| balancer(1)).collect();
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
                let choice = daemon.pick(&request(&service, &[]), rule, |_| rank, now);
                if choice != balance::Choice::Full {
                    daemon.begin(&id, balance::Work::default(), rule, rank, now);
                    daemon.end(&id, balance::Work::default(), now);
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
fn unreachable_endpoint_is_cold_after_it_is_reached_again() {
    let mut balancer = balancer(1);
    let (service, id) = ("pool".parse().unwrap(), "e0".parse().unwrap());
    let now = time::Tick(1_000);
    balancer.begin(&id, balance::Work::default(), SLOW_START, 0, now);
    balancer.end(&id, balance::Work::default(), now);
    balancer.record_attempt(&id, outlier::Attempt::Unreachable, None, SLOW_START, (now, now));
    let soon = time::Tick(1_010);
    let choice = balancer.pick(&request(&service, &[]), SLOW_START, first_rank, soon);
    assert_eq!(choice, balance::Choice::Full);
    balancer.record_attempt(&id, outlier::Attempt::Good, None, SLOW_START, (soon, soon));
    let choice = balancer.pick(&request(&service, &[]), SLOW_START, first_rank, time::Tick(1_020));
    assert_eq!(choice, balance::Choice::Full, "it may have restarted");
    let later = time::Tick(soon.0 + SLOW_START.duration.0 + 1);
    let choice = balancer.pick(&request(&service, &[]), SLOW_START, first_rank, later);
    assert_eq!(choice, balance::Choice::Send(id));
}

// A burst of long prompts arrives while all engines look idle.
#[test]
fn burst_spreads_by_prefill_cost() {
    let mut balancer = balancer(4);
    let service = "pool".parse().unwrap();
    let mut counts: BTreeMap<id::EndpointId, u32> = BTreeMap::new();
    for seed in 0..16 {
        let prefill = 12.0;
        let request = balance::Request { prefill, seed, ..request(&service, &[]) };
        let choice = balancer.pick(&request, SLOW_START, first_rank, time::Tick(1_000));
        let balance::Choice::Send(id) = choice else { panic!("no room for request {seed}") };
        let work = balance::Work { tokens: 12_000, prefill, ..balance::Work::default() };
        balancer.begin(&id, work, SLOW_START, 0, time::Tick(1_000));
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 4), "{counts:?}");
}

// Requests of many prefixes come repeatedly, from daemons that know the same loads.
#[test]
fn shared_prefix_stays_at_one_endpoint_with_capacity() {
    let balancer = balancer(8);
    let service = "pool".parse().unwrap();
    let mut chosen = std::collections::BTreeSet::new();
    for seed in 0..400 {
        let prefix = seed % 40;
        let request =
            balance::Request { prefix: Some((prefix, 5_000)), seed, ..request(&service, &[]) };
        let choice = balancer.pick(&request, SLOW_START, first_rank, time::Tick(1_000));
        chosen.insert((prefix, format!("{choice:?}")));
    }
    assert_eq!(chosen.len(), 40);
}

// All callers send the same prefix at once.
#[test]
fn shared_prefix_spreads_once_its_endpoint_is_busy() {
    let mut balancer = balancer(8);
    let service = "pool".parse().unwrap();
    let mut counts: BTreeMap<id::EndpointId, u32> = BTreeMap::new();
    for seed in 0..u64::from(8 * SLOTS) {
        let request =
            balance::Request { prefix: Some((77, 5_000)), seed, ..request(&service, &[]) };
        let choice = balancer.pick(&request, SLOW_START, first_rank, time::Tick(1_000));
        let balance::Choice::Send(id) = choice else { panic!("no room for request {seed}") };
        balancer.begin(&id, balance::Work::default(), SLOW_START, 0, time::Tick(1_000));
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == SLOTS), "{counts:?}");
}

#[test]
fn models_use_separate_engines_with_capacity() {
    let balancer = balancer(10);
    let service = "pool".parse().unwrap();
    let chosen = |tier| {
        let pick = |seed| {
            let request = balance::Request { tier, seed, ..request(&service, &[]) };
            format!("{:?}", balancer.pick(&request, SLOW_START, first_rank, time::Tick(1_000)))
        };
        (0..64).map(pick).collect::<std::collections::BTreeSet<_>>()
    };
    let (small, large) = (chosen(balance::Tier::Small), chosen(balance::Tier::Large));
    assert!(small.is_disjoint(&large), "{small:?} {large:?}");
    assert_eq!(small.len(), 2);
}

#[test]
fn request_leaves_zone_once_it_is_loaded() {
    let mut balancer = balance::Balancer::new("own".parse().unwrap(), "a".parse().unwrap());
    balancer.register(entry("near", "a"), time::Tick(0));
    balancer.register(entry("far", "b"), time::Tick(0));
    let service = "pool".parse().unwrap();
    let near: id::EndpointId = "near".parse().unwrap();
    let choose = |balancer: &balance::Balancer| {
        balancer.pick(&request(&service, &[]), SLOW_START, first_rank, time::Tick(1_000))
    };
    assert_eq!(choose(&balancer), balance::Choice::Send(near.clone()));
    for _ in 0..4 {
        balancer.begin(&near, balance::Work::default(), SLOW_START, 0, time::Tick(1_000));
    }
    assert_eq!(choose(&balancer), balance::Choice::Send("far".parse().unwrap()));
}

#[test]
fn peer_report_counts_until_replaced_or_expired() {
    struct Case {
        name: &'static str,
        // Reports of the peer: time, and requests in flight at e0.
        reports: &'static [(u64, u8)],
        now: u64,
        is_busy: bool,
    }
    let slots = SLOTS as u8;
    let cases = [
        Case { name: "none", reports: &[], now: 1_000, is_busy: false },
        Case { name: "full", reports: &[(900, 12)], now: 1_000, is_busy: true },
        Case { name: "free again", reports: &[(800, 12), (900, 0)], now: 1_000, is_busy: false },
        Case { name: "repeated", reports: &[(800, 12), (900, 12)], now: 1_000, is_busy: true },
        Case { name: "expired", reports: &[(900, 12)], now: 2_501, is_busy: false },
    ];
    let service = "pool".parse().unwrap();
    for case in cases {
        let mut balancer = balancer(1);
        // The peer's report has the form of this daemon's own.
        let work = balance::Work::default();
        balancer.begin(&"e0".parse().unwrap(), work, SLOW_START, 0, time::Tick(1));
        let own = balancer.in_flight()[0];
        assert_eq!(own.running, 1);
        for (at, running) in case.reports {
            let in_flight = balance::reports::InFlight { running: *running, ..own };
            let (vm, ttl) = ("vm".parse().unwrap(), time::Millis(1_600));
            balancer.reports().record(&vm, vec![in_flight], ttl, time::Tick(*at));
        }
        assert!(case.reports.iter().all(|(_, running)| *running <= slots));
        balancer.reports().expire(time::Tick(case.now));
        let found =
            balancer.pick(&request(&service, &[]), SLOW_START, first_rank, time::Tick(case.now));
        assert_eq!(found == balance::Choice::Full, case.is_busy, "{}", case.name);
    }
}

// The old version's endpoints are busy in a burst, and few requests go to the new version.
#[test]
fn canary_endpoints_carry_same_load_as_stable_ones() {
    struct Case {
        name: &'static str,
        // Requests at each endpoint of the old version.
        old: u32,
        // Requests to the new version, and the number of endpoints that get them.
        new: u32,
        used: usize,
    }
    let cases = [
        Case { name: "calm", old: 2, new: 8, used: 4 },
        Case { name: "busy", old: 9, new: 8, used: 1 },
        Case { name: "busy, with more canary requests", old: 9, new: 18, used: 2 },
    ];
    let (service, v2) = ("pool".parse().unwrap(), "v2".parse().unwrap());
    for case in cases {
        let (mut balancer, now) = (balancer(4), time::Tick(10));
        for at in 0..4 {
            let id = format!("e{at}").parse().unwrap();
            for _ in 0..case.old {
                balancer.begin(&id, balance::Work::default(), SLOW_START, 0, now);
            }
            let version = "v2".parse().unwrap();
            balancer
                .register(fleet::Registration { version, ..entry(&format!("n{at}"), "a") }, now);
        }
        let mut used = BTreeMap::new();
        for seed in 0..case.new {
            let versions = balance::Versions::Only(&v2);
            let seed = u64::from(seed);
            let request =
                balance::Request { versions, uses_subset: true, seed, ..request(&service, &[]) };
            let balance::Choice::Send(id) = balancer.pick(&request, SLOW_START, first_rank, now)
            else {
                panic!("{}: no endpoint", case.name);
            };
            balancer.begin(&id, balance::Work::default(), SLOW_START, 0, now);
            *used.entry(id).or_insert(0) += 1;
        }
        assert_eq!(used.len(), case.used, "{}: {used:?}", case.name);
    }
}

// Daemons send canary requests at the same moment, before they receive each other's reports.
#[test]
fn canary_requests_of_many_daemons_do_not_overload_one_endpoint() {
    let (service, v2) = ("pool".parse().unwrap(), "v2".parse().unwrap());
    for daemons in [6_u64, 8, 83, 910] {
        let order = fleet::Rollout {
            service: "pool".parse().unwrap(),
            to: "v2".parse().unwrap(),
            duration: time::Millis(24_000),
        };
        let canary = canary::Canary::new(order, &crate::bounds(), time::Tick(0));
        let (mut balancer, now) = (balancer(4), time::Tick(10));
        for at in 0..4 {
            for _ in 0..9 {
                let id = format!("e{at}").parse().unwrap();
                balancer.begin(&id, balance::Work::default(), SLOW_START, 0, now);
            }
        }
        for at in 0..daemons {
            let version = "v2".parse().unwrap();
            balancer
                .register(fleet::Registration { version, ..entry(&format!("n{at}"), "a") }, now);
        }
        let mut used: BTreeMap<id::EndpointId, u32> = BTreeMap::new();
        for seed in 0..daemons {
            let versions = balance::Versions::Only(&v2);
            let uses_subset = canary.uses_subset(daemons as usize);
            let request =
                balance::Request { versions, uses_subset, seed, ..request(&service, &[]) };
            let balance::Choice::Send(id) = balancer.pick(&request, SLOW_START, first_rank, now)
            else {
                panic!("{daemons} daemons: no endpoint");
            };
            *used.entry(id).or_insert(0) += 1;
        }
        let most = used.values().max().copied().unwrap_or_default();
        assert!(most <= SLOTS, "{daemons} daemons: {most} at one endpoint");
    }
}

#[test]
fn cold_time_that_daemons_pass_on_does_not_grow() {
    let mut daemons = vec![balancer(1); 3];
    let id: id::EndpointId = "e0".parse().unwrap();
    let remaining = time::Millis(4_000);
    let at = |ms| (time::Tick(ms), time::Tick(ms));
    assert!(daemons[0].record_health(&id, remaining, at(1_000)));
    assert!(!daemons[0].record_health(&id, remaining, at(1_100)));
    for now in (1_050..9_000).step_by(50) {
        for sender in 0..daemons.len() {
            let told = daemons[sender].told_cold(16, false, time::Tick(now));
            let own = daemons[sender].key(&id).unwrap();
            for receiver in &mut daemons {
                // A message takes 20 ms.
                for (key, remaining) in &told {
                    assert_eq!(*key, own);
                    receiver.hear_cold(&id, *remaining, time::Tick(now + 20));
                }
            }
        }
        for (at, daemon) in daemons.iter().enumerate() {
            let is_cold = daemon.is_cold(&id, time::Tick(now + 20));
            assert!(!is_cold || now < 1_000 + remaining.0 + 500, "daemon {at} at {now}");
            assert!(is_cold || now >= 1_000 + remaining.0 - 500, "daemon {at} at {now}");
        }
    }
}

#[test]
fn endpoints_out_of_reach_are_left_to_peers_and_keep_no_blame() {
    let mut balancer = balancer(2);
    let pool: id::ServiceId = "pool".parse().unwrap();
    let (peer, start): (id::VmId, _) = ("vm2".parse().unwrap(), time::Tick(10_000));
    let ids: [id::EndpointId; 2] = ["e0".parse().unwrap(), "e1".parse().unwrap()];
    for id in &ids {
        let key = balancer.key(id).unwrap();
        let unreachable = outlier::Attempt::Unreachable;
        balancer.record_attempt(id, unreachable, None, SLOW_START, (start, start));
        balancer.contacts().record_failure(key, start);
        let later = start + time::Millis(100);
        balancer.contacts().record_evidence(&peer, &[(key, time::Millis(0))], later);
    }
    let later = start + time::Millis(110);
    assert!(balancer.judge_contacts(later));
    let choice = balancer.pick(&request(&pool, &[]), SLOW_START, first_rank, later);
    assert_eq!(choice, balance::Choice::OutOfReach);
    assert!(balancer.is_service_out(&pool));
    for id in &ids {
        let key = balancer.key(id).unwrap();
        balancer.contacts().record_answer(key, later);
        assert!(
            balancer.is_cold(id, later),
            "it may have started again before peers were answered"
        );
        balancer.record_health(id, time::Millis(0), (later, later));
        assert!(!balancer.is_cold(id, later));
    }
    let choice = balancer.pick(&request(&pool, &[]), SLOW_START, first_rank, later);
    assert!(matches!(choice, balance::Choice::Send(_)));
}

// Until the next report, peers would take an engine that has just begun a long prompt for free.
#[test]
fn reading_that_a_peer_tells_of_at_once_counts_beside_its_report() {
    let (now, ttl) = (time::Tick(1_000), time::Millis(1_600));
    let work = |endpoint, reading| balance::reports::InFlight { endpoint, running: 1, reading };
    let peer = "vm".parse().unwrap();
    let mut reports = balance::reports::Reports::default();
    reports.record(&peer, vec![work(1, 0), work(2, 8)], ttl, now);
    reports.update(&peer, work(1, 40), ttl, now);
    assert_eq!(reports.total(1, now), (1.0, 10.0));
    assert_eq!(reports.total(2, now), (1.0, 2.0), "the rest of the report stands");
    reports.update(&peer, work(1, 0), ttl, now);
    assert_eq!(reports.total(1, now), (1.0, 0.0), "the prompt was read");
    reports.update(&peer, work(1, 40), time::Millis(4_000), now);
    let lost = now + time::Millis(3_000);
    assert_eq!(reports.total(1, lost), (1.0, 0.0), "the end was not heard");
    reports.record(&peer, vec![work(2, 0)], ttl, now);
    assert_eq!(reports.total(1, now), (0.0, 0.0), "a report replaces all before");
    reports.expire(now + time::Millis(4_001));
    assert_eq!(reports.total(2, now), (0.0, 0.0));
}

#[test]
fn requests_stay_in_the_zone_of_a_large_deployment_while_it_has_room() {
    let mut balancer = balance::Balancer::new("own".parse().unwrap(), "a".parse().unwrap());
    for at in 0..120 {
        let zone = ["a", "b", "c", "d", "e", "f"][at % 6];
        balancer.register(entry(&format!("e{at}"), zone), time::Tick(0));
    }
    let service = "pool".parse().unwrap();
    for prefill in [0.0, 12.0] {
        let mut near = 0;
        for seed in 0..200 {
            let request = balance::Request { seed, prefill, ..request(&service, &[]) };
            let choice = balancer.pick(&request, SLOW_START, first_rank, time::Tick(0));
            let balance::Choice::Send(id) = choice else { panic!("{choice:?}") };
            near += usize::from(balancer.entry(&id).unwrap().zone.as_str() == "a");
        }
        assert!(near >= 195, "{prefill}: {near} of 200 in the zone");
    }
}
