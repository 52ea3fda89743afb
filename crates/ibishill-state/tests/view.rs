//! What a daemon may admit: tables over the pure guard.

use ibishill_core::{id, time, view as core_view};
use ibishill_state::view;

const LEASE: time::Millis = time::Millis(10_000);

fn vm(name: &str) -> id::VmId {
    name.parse().unwrap()
}

fn of(number: u64, names: &[&str]) -> core_view::View {
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
        name: "first of a new zone",
        build: |guard| joined(guard, &of(0, &[]), &of(1, &["a", "b"])),
        now: 200,
        admits: true,
    },
    Case {
        name: "the lease lapses",
        build: |guard| joined(guard, &of(0, &[]), &of(1, &["a", "b"])),
        now: 10_100,
        admits: false,
    },
    Case {
        name: "grants of all others count like a lease",
        build: |guard| {
            joined(guard, &of(0, &[]), &of(1, &["a", "b"]));
            guard.record_grant(vm("b"), time::Tick(9_000), LEASE);
        },
        now: 10_100,
        admits: true,
    },
    Case {
        name: "one grant is missing",
        build: |guard| {
            joined(guard, &of(0, &[]), &of(1, &["a", "b", "c"]));
            guard.record_grant(vm("b"), time::Tick(9_000), LEASE);
        },
        now: 10_100,
        admits: false,
    },
    Case {
        name: "a lone member goes on",
        build: |guard| joined(guard, &of(0, &[]), &of(1, &["a"])),
        now: 1_000_000,
        admits: true,
    },
    // Found by histories, seed 354: a move without an answer had taken effect.
    Case {
        name: "a lone member whose move may be under way",
        build: |guard| {
            joined(guard, &of(0, &[]), &of(1, &["a"]));
            guard.set_changing(true);
        },
        now: 1_000_000,
        admits: false,
    },
    Case {
        name: "grants while a move may be under way",
        build: |guard| {
            joined(guard, &of(0, &[]), &of(1, &["a", "b"]));
            guard.record_grant(vm("b"), time::Tick(9_000), LEASE);
            guard.set_changing(true);
        },
        now: 10_100,
        admits: false,
    },
    Case {
        name: "the former owner may still admit",
        build: |guard| joined(guard, &of(4, &["b", "a"]), &of(5, &["a", "b"])),
        now: 200,
        admits: false,
    },
    Case {
        name: "the former owner has settled",
        build: |guard| {
            joined(guard, &of(4, &["b", "a"]), &of(5, &["a", "b"]));
            guard.settle();
        },
        now: 200,
        admits: true,
    },
    Case {
        name: "the former owner's lease has lapsed",
        build: |guard| {
            joined(guard, &of(4, &["b", "a"]), &of(5, &["a", "b"]));
            guard.renew(time::Tick(11_000), LEASE);
        },
        now: 11_100,
        admits: true,
    },
    Case {
        name: "an unseen view lies between",
        build: |guard| {
            joined(guard, &of(0, &[]), &of(1, &["a"]));
            guard.adopt(&of(4, &["a"]), &of(3, &["a"]), LEASE, time::Tick(150));
        },
        now: 200,
        admits: false,
    },
    Case {
        name: "excluded",
        build: |guard| {
            joined(guard, &of(0, &[]), &of(1, &["a", "b"]));
            guard.adopt(&of(2, &["b"]), &of(1, &["a", "b"]), LEASE, time::Tick(150));
        },
        now: 200,
        admits: false,
    },
];

#[test]
fn a_guard_admits_only_what_nobody_else_may() {
    for case in CASES {
        let mut guard = view::Guard::default();
        (case.build)(&mut guard);
        let admits = guard.admits(&vm("a"), time::Tick(case.now), owns);
        assert_eq!(admits, case.admits, "{}", case.name);
    }
}

#[test]
fn an_older_view_is_never_adopted() {
    let mut guard = view::Guard::default();
    assert!(guard.adopt(&of(3, &["a"]), &of(2, &["a"]), LEASE, time::Tick(1)));
    assert!(!guard.adopt(&of(2, &["b"]), &of(1, &["a"]), LEASE, time::Tick(2)));
    assert_eq!(guard.view().number.0, 3);
}

#[test]
fn a_silent_peer_is_suspected_and_heard_again() {
    let mut detector = view::Detector::default();
    let cases = [(0, false), (2_999, false), (3_000, true)];
    for (now, suspected) in cases {
        assert_eq!(detector.suspects(&vm("b"), time::Tick(now)), suspected, "{now}");
    }
    detector.hear(vm("b"), time::Tick(3_100));
    assert!(!detector.suspects(&vm("b"), time::Tick(3_200)));
}
