//! Zones taken out of service and put back, and the order in which owners are tried.

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

// The longest delay bounds how long a zone out of service still gets requests.
#[test]
fn poll_delay_stays_within_jitter() {
    let period = time::Millis(2_000);
    for (unit, wait) in [(0.0, 1_500), (0.5, 2_000), (1.0, 2_500)] {
        assert_eq!(zone::poll_delay(period, unit), time::Millis(wait));
    }
}

#[test]
fn restored_zone_ramps_up() {
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
    feedback: &'static [(&'static str, spill::Feedback)],
    after: u64,
    // Expected owners; a star marks one where the request may wait.
    attempts: &'static [&'static str],
}

const fn room(free: u32) -> spill::Feedback {
    spill::Feedback::Capacity(capacity::Capacity { free, limit: 10 })
}

const CASES: [Case; 8] = [
    Case {
        name: "nothing known",
        policy: "latency",
        feedback: &[],
        after: 0,
        attempts: &["own", "near", "far", "own*", "near*"],
    },
    Case {
        name: "a loaded owner, latency",
        policy: "latency",
        feedback: &[("own", room(1))],
        after: 0,
        attempts: &["near", "far", "own", "near*", "far*"],
    },
    Case {
        name: "a loaded owner, cost",
        policy: "cost",
        feedback: &[("own", room(1))],
        after: 0,
        attempts: &["own", "near", "far", "own*", "near*"],
    },
    Case {
        name: "a full owner",
        policy: "cost",
        feedback: &[("own", room(0))],
        after: 0,
        attempts: &["near", "far", "near*", "far*", "own*"],
    },
    Case {
        name: "refused for lack of capacity",
        policy: "cost",
        feedback: &[("own", spill::Feedback::Full(time::Millis(5_000)))],
        after: 0,
        attempts: &["near", "far", "near*", "far*", "own*"],
    },
    Case {
        name: "expired capacity",
        policy: "cost",
        feedback: &[("own", room(0))],
        after: 1_000,
        attempts: &["own", "near", "far", "own*", "near*"],
    },
    Case {
        name: "unreachable",
        policy: "cost",
        feedback: &[("own", spill::Feedback::Unreachable)],
        after: 1_999,
        attempts: &["near", "far", "near*", "far*", "own*"],
    },
    Case {
        name: "unreachable twice",
        policy: "cost",
        feedback: &[("near", spill::Feedback::Unreachable), ("near", spill::Feedback::Unreachable)],
        after: 2_001,
        attempts: &["own", "far", "own*", "far*", "near*"],
    },
];

fn route(vm: &str, zone: &str) -> plan::Route {
    let owner = view::Member { vm: vm.parse().unwrap(), peers: ([127, 0, 0, 1], 1).into() };
    plan::Route { zone: zone.parse().unwrap(), owner }
}

#[test]
fn owners_are_tried_by_cost_and_capacity() {
    let target = id::Target::Version("m@v1".parse().unwrap());
    let routes = vec![route("far", "b"), route("near", "a"), route("own", "a")];
    let plan = plan::Plan { target: target.clone(), routes };
    let place = plan::Location { vm: "own".parse().unwrap(), zone: "a".parse().unwrap() };
    for case in CASES {
        let mut spill = spill::Spill::default();
        for (vm, feedback) in case.feedback {
            spill.record(&vm.parse().unwrap(), &target, *feedback, NOW);
        }
        let config = config(1, "in", case.policy);
        let facts =
            spill::Facts { config: &config, place: &place, now: NOW + time::Millis(case.after) };
        let attempts = spill.attempts(&facts, &plan, &"req".parse().unwrap());
        let named = |attempt: &spill::Attempt| {
            format!("{}{}", attempt.route.owner.vm, if attempt.waits { "*" } else { "" })
        };
        let named: Vec<_> = attempts.iter().map(named).collect();
        assert_eq!(named, case.attempts, "{}", case.name);
    }
}
