use ibishill_core::{link, time};
use ibishill_decide::peers;

fn member(name: &str, start: u64, beat: u64) -> peers::Member {
    peers::Member {
        vm: name.parse().unwrap(),
        zone: "a".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        start,
        beat,
        is_ready: true,
        link: link::Bandwidth::default(),
    }
}

fn all(count: usize) -> Vec<peers::Peers> {
    let names: Vec<String> = (0..count).map(|at| format!("vm{at}")).collect();
    let view = |own: &String| {
        let mut view = peers::Peers::new(member(own, 1, 1));
        for name in &names {
            view.record(member(name, 1, 1), time::Tick(0));
        }
        view
    };
    names.iter().map(view).collect()
}

#[test]
fn daemons_with_same_peers_agree_on_duties() {
    for duty in ["read", "judge", "e0", "e1"] {
        let mut ranks: Vec<_> = all(9).iter().map(|view| view.rank(duty, time::Tick(0))).collect();
        ranks.sort_unstable();
        assert_eq!(ranks, (0..9).collect::<Vec<_>>(), "{duty}");
        for view in all(9) {
            let is_first = view.assigned(duty, 2, time::Tick(0)).contains(&view.own());
            assert_eq!(is_first, view.rank(duty, time::Tick(0)) < 2);
        }
    }
}

#[test]
fn daemon_without_heartbeats_is_replaced() {
    let later = time::Tick(peers::HEARTBEAT_TIMEOUT.0 + 1);
    for mut view in all(3) {
        for name in ["vm0", "vm1"] {
            view.record(member(name, 1, 2), later);
        }
        let alive: Vec<_> = view.alive(later).iter().map(|m| m.vm.to_string()).collect();
        let own = view.own().vm.to_string();
        assert_eq!(alive.contains(&"vm2".to_owned()), own == "vm2", "{own}");
        assert_eq!(view.known_rank("e0"), view.rank("e0", time::Tick(0)), "{own}");
    }
}

#[test]
fn heartbeat_of_older_process_is_ignored() {
    let mut view = peers::Peers::new(member("own", 1, 1));
    view.record(member("vm", 2, 1), time::Tick(0));
    view.record(member("vm", 1, 99), time::Tick(5_000));
    let later = time::Tick(peers::HEARTBEAT_TIMEOUT.0);
    assert_eq!(view.alive(later).len(), 1);
    view.record(member("vm", 2, 2), later);
    assert_eq!(view.alive(later).len(), 2);
}

#[test]
fn duty_that_moves_much_data_goes_to_wide_links() {
    let wide = ["vm3", "vm7"];
    let link = |name: &str| link::Bandwidth(if wide.contains(&name) { 200_000 } else { 10_000 });
    let names: Vec<String> = (0..9).map(|at| format!("vm{at}")).collect();
    let member = |name: &String| peers::Member { link: link(name), ..member(name, 1, 1) };
    let mut ranks = Vec::new();
    for own in &names {
        let mut view = peers::Peers::new(member(own));
        for name in &names {
            view.record(member(name), time::Tick(0));
        }
        let rank = view.rank_by_link("read", time::Tick(0));
        assert_eq!(rank < wide.len(), wide.contains(&own.as_str()), "{own}: rank {rank}");
        ranks.push(rank);
    }
    ranks.sort_unstable();
    assert_eq!(ranks, (0..names.len()).collect::<Vec<_>>());
}

struct Case {
    name: &'static str,
    /// Whether another daemon says at these times, in milliseconds, that it reaches no endpoint.
    told: &'static [(u64, bool)],
    /// The same of this daemon.
    own: &'static [(u64, bool)],
    at: u64,
    /// Whether each of the two has a part.
    expected: (bool, bool),
}

const CASES: &[Case] = &[
    Case { name: "all reach endpoints", told: &[], own: &[], at: 100, expected: (true, true) },
    Case {
        name: "the other is isolated",
        told: &[(100, true)],
        own: &[],
        at: 600,
        expected: (true, false),
    },
    Case {
        name: "the other is back",
        told: &[(100, true), (600, false)],
        own: &[],
        at: 700,
        expected: (true, true),
    },
    Case {
        name: "the other has been isolated and fell silent",
        told: &[(100, true)],
        own: &[],
        at: 1_800,
        expected: (true, true),
    },
    Case { name: "isolated", told: &[], own: &[(100, true)], at: 700, expected: (false, true) },
    Case {
        name: "just back",
        told: &[],
        own: &[(100, true), (700, false)],
        at: 1_000,
        expected: (false, true),
    },
    Case {
        name: "back for long enough that all know",
        told: &[],
        own: &[(100, true), (700, false)],
        at: 2_300,
        expected: (true, true),
    },
];

#[test]
fn daemon_that_reaches_no_endpoint_leaves_its_part_to_the_others_until_they_know_that_it_is_back() {
    for Case { name, told, own, at, expected } in CASES {
        let mut view = peers::Peers::new(member("own", 1, 1));
        view.record(member("other", 1, 1), time::Tick(0));
        let before = view.generation();
        let other = "other".parse().unwrap();
        for (at, is_isolated) in *told {
            view.record_isolation(&other, *is_isolated, time::Tick(*at));
        }
        for (at, is_isolated) in *own {
            view.set_isolated(*is_isolated, time::Tick(*at));
        }
        view.expire(time::Tick(*at));
        let senders = view.known_assigned("e0", 4);
        let has_part = |vm: &str| senders.iter().any(|sender| sender.as_str() == vm);
        assert_eq!((has_part("own"), has_part("other")), *expected, "{name}");
        let is_changed = !told.is_empty() || !own.is_empty();
        assert_eq!(view.generation() > before, is_changed, "{name}");
    }
}

// The start of a process is a time of day, which may be set back between two of them.
#[test]
fn relay_that_restarts_after_its_clock_was_set_back_is_alive_for_its_peers() {
    struct Case {
        name: &'static str,
        /// Time without a heartbeat, in milliseconds.
        silence: u64,
        /// Whether the relay hears what its peers know of it.
        hears: bool,
    }
    let cases = [
        Case { name: "quick restart", silence: 300, hears: true },
        Case { name: "after the peers took it for dead", silence: 7_000, hears: true },
        Case { name: "without what they know of it", silence: 7_000, hears: false },
    ];
    for case in cases {
        let mut peer = peers::Peers::new(member("peer", 1, 1));
        let known = member("vm", 4_000_000, 50);
        peer.record(known.clone(), time::Tick(0));
        let mut restarted = peers::Peers::new(member("vm", 1_000, 1));
        if case.hears {
            restarted.record(known, time::Tick(0));
        }
        restarted.heartbeat(true);
        let now = time::Tick(case.silence);
        peer.record(restarted.own().clone(), now);
        let later = now + time::Millis(peers::HEARTBEAT_TIMEOUT.0 - 500);
        let is_alive = peer.alive(later).iter().any(|found| found.vm.as_str() == "vm");
        assert!(is_alive, "{}", case.name);
        let start = peer.alive(later)[1].start;
        assert_eq!(start, restarted.own().start, "{}: not the process that lives", case.name);
    }
}
