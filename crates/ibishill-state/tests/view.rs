//! Admission rights of a daemon after sequences of views, renewals and grants.

use ibishill_core::{id, time, view as core_view};
use ibishill_state::view;

const LEASE: time::Millis = time::Millis(10_000);

fn vm(name: &str) -> id::VmId {
    name.parse().unwrap()
}

fn view_of(number: u64, names: &[&str]) -> core_view::View {
    let peers = "127.0.0.1:1".parse().unwrap();
    let members = names.iter().map(|name| core_view::Member { vm: vm(name), peers });
    core_view::View { number: core_view::ViewNumber(number), members: members.collect() }
}

// The first member owns the endpoint; an empty view has no owner.
fn owns(view: &core_view::View) -> bool {
    view.members.first().is_none_or(|member| member.vm == vm("a"))
}

struct Case {
    name: &'static str,
    build: fn(&mut view::Guard),
    now: u64,
    admits: bool,
}

fn joined(guard: &mut view::Guard, before: &core_view::View, next: &core_view::View) {
    guard.adopt(next, before, LEASE, time::Tick(100));
    guard.renew(time::Tick(100), LEASE);
}

const CASES: &[Case] = &[
    Case { name: "no lease", build: |_| {}, now: 200, admits: false },
    Case {
        name: "first view of a zone",
        build: |guard| joined(guard, &view_of(0, &[]), &view_of(1, &["a", "b"])),
        now: 200,
        admits: true,
    },
    Case {
        name: "the lease has expired",
        build: |guard| joined(guard, &view_of(0, &[]), &view_of(1, &["a", "b"])),
        now: 10_100,
        admits: false,
    },
    Case {
        name: "grants of all other members replace the lease",
        build: |guard| {
            joined(guard, &view_of(0, &[]), &view_of(1, &["a", "b"]));
            guard.record_grant(vm("b"), time::Tick(9_000), LEASE);
        },
        now: 10_100,
        admits: true,
    },
    Case {
        name: "one grant is missing",
        build: |guard| {
            joined(guard, &view_of(0, &[]), &view_of(1, &["a", "b", "c"]));
            guard.record_grant(vm("b"), time::Tick(9_000), LEASE);
        },
        now: 10_100,
        admits: false,
    },
    Case {
        name: "a sole member admits without a time limit",
        build: |guard| joined(guard, &view_of(0, &[]), &view_of(1, &["a"])),
        now: 1_000_000,
        admits: true,
    },
    // A view change whose answer was lost had taken effect, so that an endpoint had two owners.
    Case {
        name: "a sole member with an unresolved view change",
        build: |guard| {
            joined(guard, &view_of(0, &[]), &view_of(1, &["a"]));
            guard.set_changing(true);
        },
        now: 1_000_000,
        admits: false,
    },
    Case {
        name: "grants during an unresolved view change",
        build: |guard| {
            joined(guard, &view_of(0, &[]), &view_of(1, &["a", "b"]));
            guard.record_grant(vm("b"), time::Tick(9_000), LEASE);
            guard.set_changing(true);
        },
        now: 10_100,
        admits: false,
    },
    Case {
        name: "the former owner may still admit",
        build: |guard| joined(guard, &view_of(4, &["b", "a"]), &view_of(5, &["a", "b"])),
        now: 200,
        admits: false,
    },
    Case {
        name: "the former owner follows the new view",
        build: |guard| {
            joined(guard, &view_of(4, &["b", "a"]), &view_of(5, &["a", "b"]));
            guard.settle();
        },
        now: 200,
        admits: true,
    },
    Case {
        name: "the former owner's lease has expired",
        build: |guard| {
            joined(guard, &view_of(4, &["b", "a"]), &view_of(5, &["a", "b"]));
            guard.renew(time::Tick(11_000), LEASE);
        },
        now: 11_100,
        admits: true,
    },
    Case {
        name: "a view in between was never read",
        build: |guard| {
            joined(guard, &view_of(0, &[]), &view_of(1, &["a"]));
            guard.adopt(&view_of(4, &["a"]), &view_of(3, &["a"]), LEASE, time::Tick(150));
        },
        now: 200,
        admits: false,
    },
    Case {
        name: "removed from the view",
        build: |guard| {
            joined(guard, &view_of(0, &[]), &view_of(1, &["a", "b"]));
            guard.adopt(&view_of(2, &["b"]), &view_of(1, &["a", "b"]), LEASE, time::Tick(150));
        },
        now: 200,
        admits: false,
    },
];

#[test]
fn guard_admits_only_while_no_other_daemon_may() {
    for case in CASES {
        let mut guard = view::Guard::default();
        (case.build)(&mut guard);
        let admits = guard.admits(&vm("a"), time::Tick(case.now), owns);
        assert_eq!(admits, case.admits, "{}", case.name);
    }
}

#[test]
fn older_view_is_not_adopted() {
    let mut guard = view::Guard::default();
    assert!(guard.adopt(&view_of(3, &["a"]), &view_of(2, &["a"]), LEASE, time::Tick(1)));
    assert!(!guard.adopt(&view_of(2, &["b"]), &view_of(1, &["a"]), LEASE, time::Tick(2)));
    assert_eq!(guard.view().number.0, 3);
}

#[test]
fn silent_peer_is_suspected_until_heard_again() {
    let mut detector = view::Detector::default();
    let cases = [(0, false), (2_999, false), (3_000, true)];
    for (now, suspected) in cases {
        assert_eq!(detector.suspects(&vm("b"), time::Tick(now)), suspected, "{now}");
    }
    detector.hear(vm("b"), time::Tick(3_100));
    assert!(!detector.suspects(&vm("b"), time::Tick(3_200)));
}
