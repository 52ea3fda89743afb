//! The cascade's choice of versions with sufficient, changed, expired and missing ratings.

use ibishill_config::declared;
use ibishill_core::{cost, id, time};
use ibishill_decide::cascade::{self, evidence};

const TARGET: f64 = 0.9;
const NOW: time::Tick = time::Tick(600_000);

fn workspace() -> id::WorkspaceId {
    "demo".parse().unwrap()
}

fn candidate(name: &str, price: u64, quality: f64) -> cascade::Candidate {
    cascade::Candidate { version: name.parse().unwrap(), price: cost::Micros(price), quality }
}

fn candidates() -> Vec<cascade::Candidate> {
    vec![candidate("m@costly", 1_000, 0.97), candidate("m@cheap", 100, 0.7)]
}

fn add_ratings(estimates: &mut evidence::Estimates, version: &str, accepted: u32, rated: u32) {
    for number in 0..rated {
        let key = evidence::Key {
            workspace: workspace(),
            class: cascade::Class(0),
            version: version.parse().unwrap(),
            escalated: false,
        };
        // Distributes accepted ratings evenly among the others.
        let good = (number + 1) * accepted / rated > number * accepted / rated;
        estimates.record_rating(key, good, NOW);
    }
}

fn choose(
    estimates: &evidence::Estimates,
    buffered: bool,
    remaining: u64,
    draw: u64,
) -> Vec<String> {
    let candidates = candidates();
    let workspace = workspace();
    let request = cascade::Request {
        workspace: &workspace,
        class: cascade::Class(0),
        candidates: &candidates,
        target: TARGET,
        buffered,
        remaining: time::Millis(remaining),
        draw,
    };
    let tuning = cascade::Tuning::of(declared::Policy::Cost);
    let chain = cascade::choose(estimates, tuning, &request, NOW).unwrap();
    chain.versions.iter().map(|version| version.version.to_string()).collect()
}

struct Case {
    name: &'static str,
    // Number of accepted answers among 400 rated ones of the cheap version.
    accepted: u32,
    buffered: bool,
    remaining: u64,
    unreachable: bool,
    behind: bool,
    chosen: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case { name: "escalates", accepted: 280, chosen: &["cheap", "costly"], ..BASE },
    Case { name: "cheap alone meets the target", accepted: 392, chosen: &["cheap"], ..BASE },
    Case { name: "a cascade would cost more", accepted: 0, chosen: &["costly"], ..BASE },
    Case { name: "a stream can't be taken back", buffered: false, chosen: &["costly"], ..BASE },
    Case { name: "no time for two runs", remaining: 3_000, chosen: &["costly"], ..BASE },
    Case {
        name: "the rating service is unreachable",
        unreachable: true,
        chosen: &["costly"],
        ..BASE
    },
    Case { name: "behind", accepted: 392, behind: true, chosen: &["cheap", "costly"], ..BASE },
];

const BASE: Case = Case {
    name: "",
    accepted: 280,
    buffered: true,
    remaining: 60_000,
    unreachable: false,
    behind: false,
    chosen: &[],
};

#[test]
fn cheapest_chain_that_meets_target_is_chosen() {
    for case in CASES {
        let mut estimates = evidence::Estimates::default();
        add_ratings(&mut estimates, "m@cheap", case.accepted, 400);
        for _ in 0..200 {
            estimates.record_query((!case.unreachable).then_some(time::Millis(100)));
        }
        for number in 0..100 {
            estimates.record_delivery(&workspace(), !case.behind || number % 2 == 0, NOW);
        }
        let chosen = choose(&estimates, case.buffered, case.remaining, u64::MAX);
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

#[test]
fn late_ratings_change_choice_and_old_ones_decay() {
    let mut estimates = evidence::Estimates::default();
    add_ratings(&mut estimates, "m@cheap", 400, 400);
    assert_eq!(choose(&estimates, false, 60_000, u64::MAX), ["cheap"]);
    add_ratings(&mut estimates, "m@cheap", 80, 400);
    assert_eq!(choose(&estimates, false, 60_000, u64::MAX), ["costly"]);

    let cheap = "m@cheap".parse().unwrap();
    let weight = |now| estimates.rating_weight(&workspace(), cascade::Class(0), &cheap, now);
    let later = NOW + time::Millis::from_secs(24 * 3_600);
    assert!(weight(later) < 0.001 * weight(NOW));
}

#[test]
fn exploration_has_good_fallback_and_stops_without_ratings() {
    let mut estimates = evidence::Estimates::default();
    add_ratings(&mut estimates, "m@cheap", 0, 400);
    // The cheap version would not be chosen, but a draw of 0 explores it before the good one.
    add_ratings(&mut estimates, "m@costly", 400, 400);
    assert_eq!(choose(&estimates, true, 60_000, 0), ["cheap", "costly"]);
    assert_eq!(choose(&estimates, false, 60_000, 0), ["costly"]);
    for _ in 0..200 {
        estimates.record_query(None);
    }
    assert_eq!(choose(&estimates, true, 60_000, 0), ["costly"]);
}

#[test]
fn class_grows_with_prompt_length() {
    let lengths = [0, 1_024, 1_025, 4_097, 16_385, 65_537, usize::MAX];
    let classes = lengths.map(|bytes| cascade::Class::of(bytes).0);
    assert_eq!(classes, [0, 0, 1, 2, 3, 4, 4]);
}
