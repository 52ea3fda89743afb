//! Zones that leave and return, and the order in which owners are asked.

use ibishill_config::{change, declared, in_force, yaml};
use ibishill_core::{capacity, id, time, view};
use ibishill_decide::{plan, spill, zone};

const NOW: time::Tick = time::Tick(100_000);

fn config(version: u64, state: &str, policy: &str) -> in_force::InForce {
    let text =
        format!("policy: {policy}\nzones: {{a: {{region: r}}, b: {{region: r, state: {state}}}}}");
    let declared: declared::Declared = yaml::read("test", &text).unwrap();
    in_force::InForce { version: change::ConfigVersion(version), declared }
}

fn requests() -> impl Iterator<Item = id::RequestId> {
    (0..1_000).map(|n| format!("req-{n}").parse().unwrap())
}

#[test]
fn polls_stay_within_the_time_that_a_zone_may_still_get_work() {
    let period = time::Millis(2_000);
    for (unit, wait) in [(0.0, 1_500), (0.5, 2_000), (1.0, 2_500)] {
        assert_eq!(zone::poll_delay(period, unit), time::Millis(wait));
    }
}

#[test]
fn a_zone_that_is_back_gets_its_share_in_steps() {
    let zone: id::ZoneId = "b".parse().unwrap();
    let mut zones = zone::Zones::default();
    zones.observe(&config(1, "in", "latency"), NOW);
    assert!((zones.share(&zone, NOW) - 1.0).abs() < 1e-9);
    zones.observe(&config(2, "out", "latency"), NOW);
    zones.observe(&config(3, "in", "latency"), NOW);
    let half = time::Millis(zone::RAMP.0 / 2);
    for (at, share) in [(NOW, 0.1), (NOW + half, 0.55), (NOW + zone::RAMP, 1.0)] {
        assert!((zones.share(&zone, at) - share).abs() < 1e-9, "{at:?}");
        let kept = requests().filter(|request| !zones.holds_back(&zone, request, at)).count();
        assert!((kept as f64 / 1_000.0 - share).abs() < 0.05, "{at:?}: {kept}");
    }
}

struct Case {
    name: &'static str,
    policy: &'static str,
    heard: &'static [(&'static str, spill::Feedback)],
    after: u64,
    // Owners to ask; a star marks one where the request waits.
    tries: &'static [&'static str],
}

const fn room(free: u32) -> spill::Feedback {
    spill::Feedback::Room(capacity::Capacity { free, limit: 10 })
}

const CASES: [Case; 8] = [
    Case {
        name: "nothing known",
        policy: "latency",
        heard: &[],
        after: 0,
        tries: &["own", "near", "far", "own*", "near*"],
    },
    Case {
        name: "a loaded owner, latency",
        policy: "latency",
        heard: &[("own", room(1))],
        after: 0,
        tries: &["near", "far", "own", "near*", "far*"],
    },
    Case {
        name: "a loaded owner, cost",
        policy: "cost",
        heard: &[("own", room(1))],
        after: 0,
        tries: &["own", "near", "far", "own*", "near*"],
    },
    Case {
        name: "a full owner",
        policy: "cost",
        heard: &[("own", room(0))],
        after: 0,
        tries: &["near", "far", "near*", "far*", "own*"],
    },
    Case {
        name: "refused for want of room",
        policy: "cost",
        heard: &[("own", spill::Feedback::Full(time::Millis(5_000)))],
        after: 0,
        tries: &["near", "far", "near*", "far*", "own*"],
    },
    Case {
        name: "old news",
        policy: "cost",
        heard: &[("own", room(0))],
        after: 1_000,
        tries: &["own", "near", "far", "own*", "near*"],
    },
    Case {
        name: "out of reach",
        policy: "cost",
        heard: &[("own", spill::Feedback::Unreachable)],
        after: 1_999,
        tries: &["near", "far", "near*", "far*", "own*"],
    },
    Case {
        name: "out of reach for long",
        policy: "cost",
        heard: &[("near", spill::Feedback::Unreachable), ("near", spill::Feedback::Unreachable)],
        after: 2_001,
        tries: &["own", "far", "own*", "far*", "near*"],
    },
];

fn route(vm: &str, zone: &str) -> plan::Route {
    let owner = view::Member { vm: vm.parse().unwrap(), peers: ([127, 0, 0, 1], 1).into() };
    plan::Route { zone: zone.parse().unwrap(), owner }
}

#[test]
fn owners_are_asked_in_order_of_price_and_room() {
    let target = id::Target::Version("m@v1".parse().unwrap());
    let routes = vec![route("far", "b"), route("near", "a"), route("own", "a")];
    let plan = plan::Plan { target: target.clone(), routes };
    let place = plan::Location { vm: "own".parse().unwrap(), zone: "a".parse().unwrap() };
    for case in CASES {
        let mut spill = spill::Spill::default();
        for (vm, news) in case.heard {
            spill.record(&vm.parse().unwrap(), &target, *news, NOW);
        }
        let config = config(1, "in", case.policy);
        let facts =
            spill::Facts { config: &config, place: &place, now: NOW + time::Millis(case.after) };
        let tries = spill.attempts(&facts, &plan, &"req".parse().unwrap());
        let named = |one: &spill::Attempt| {
            format!("{}{}", one.route.owner.vm, if one.waits { "*" } else { "" })
        };
        let named: Vec<_> = tries.iter().map(named).collect();
        assert_eq!(named, case.tries, "{}", case.name);
    }
}
