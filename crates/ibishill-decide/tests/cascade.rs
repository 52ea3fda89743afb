//! The cascade's choice under known, shifted, lost and missing ratings.

use ibishill_config::declared;
use ibishill_core::{cost, id, time};
use ibishill_decide::cascade::{self, evidence};

const TARGET: f64 = 0.9;
const NOW: time::Tick = time::Tick(600_000);

fn space() -> id::WorkspaceId {
    "demo".parse().unwrap()
}

fn candidate(name: &str, price: u64, quality: f64) -> cascade::Candidate {
    cascade::Candidate { version: name.parse().unwrap(), price: cost::Micros(price), quality }
}

fn candidates() -> Vec<cascade::Candidate> {
    vec![candidate("m@costly", 1_000, 0.97), candidate("m@cheap", 100, 0.7)]
}

fn rate(known: &mut evidence::Estimates, version: &str, accepted: u32, rated: u32) {
    for number in 0..rated {
        let cell = evidence::Key {
            workspace: space(),
            class: cascade::Class(0),
            version: version.parse().unwrap(),
            escalated: false,
        };
        // Accepted ratings are spread evenly among the others.
        let good = (number + 1) * accepted / rated > number * accepted / rated;
        known.record_rating(cell, good, NOW);
    }
}

fn choose(known: &evidence::Estimates, whole: bool, left: u64, draw: u64) -> Vec<String> {
    let candidates = candidates();
    let space = space();
    let input = cascade::Request {
        workspace: &space,
        class: cascade::Class(0),
        candidates: &candidates,
        target: TARGET,
        buffered: whole,
        remaining: time::Millis(left),
        draw,
    };
    let tuning = cascade::Tuning::of(declared::Policy::Cost);
    let chain = cascade::choose(known, tuning, &input, NOW).unwrap();
    chain.versions.iter().map(|version| version.version.to_string()).collect()
}

struct Case {
    name: &'static str,
    // Accepted of 400 ratings of the cheap version.
    accepted: u32,
    whole: bool,
    left: u64,
    away: bool,
    behind: bool,
    chosen: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case { name: "escalates", accepted: 280, chosen: &["cheap", "costly"], ..BASE },
    Case { name: "cheap alone meets the target", accepted: 392, chosen: &["cheap"], ..BASE },
    Case { name: "a cascade would cost more", accepted: 0, chosen: &["costly"], ..BASE },
    Case { name: "a stream can't be taken back", whole: false, chosen: &["costly"], ..BASE },
    Case { name: "no time for two runs", left: 3_000, chosen: &["costly"], ..BASE },
    Case { name: "the rating service is away", away: true, chosen: &["costly"], ..BASE },
    Case { name: "behind", accepted: 392, behind: true, chosen: &["cheap", "costly"], ..BASE },
];

const BASE: Case = Case {
    name: "",
    accepted: 280,
    whole: true,
    left: 60_000,
    away: false,
    behind: false,
    chosen: &[],
};

#[test]
fn the_cheapest_chain_that_meets_the_target_is_chosen() {
    for case in CASES {
        let mut known = evidence::Estimates::default();
        rate(&mut known, "m@cheap", case.accepted, 400);
        for _ in 0..200 {
            known.record_query((!case.away).then_some(time::Millis(100)));
        }
        for number in 0..100 {
            known.record_delivery(&space(), !case.behind || number % 2 == 0, NOW);
        }
        let chosen = choose(&known, case.whole, case.left, u64::MAX);
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

#[test]
fn late_ratings_move_the_choice_and_old_ones_fade() {
    let mut known = evidence::Estimates::default();
    rate(&mut known, "m@cheap", 400, 400);
    assert_eq!(choose(&known, false, 60_000, u64::MAX), ["cheap"]);
    rate(&mut known, "m@cheap", 80, 400);
    assert_eq!(choose(&known, false, 60_000, u64::MAX), ["costly"]);

    let cheap = "m@cheap".parse().unwrap();
    let weight = |now| known.rating_weight(&space(), cascade::Class(0), &cheap, now);
    let later = NOW + time::Millis::from_secs(24 * 3_600);
    assert!(weight(later) < 0.001 * weight(NOW));
}

#[test]
fn exploration_is_safe_and_stops_with_the_rating_service() {
    let mut known = evidence::Estimates::default();
    rate(&mut known, "m@cheap", 0, 400);
    // The cheap version would not be chosen, but a draw of 0 tries it ahead of the safe one.
    rate(&mut known, "m@costly", 400, 400);
    assert_eq!(choose(&known, true, 60_000, 0), ["cheap", "costly"]);
    assert_eq!(choose(&known, false, 60_000, 0), ["costly"]);
    for _ in 0..200 {
        known.record_query(None);
    }
    assert_eq!(choose(&known, true, 60_000, 0), ["costly"]);
}

#[test]
fn classes_follow_the_length_of_the_prompt() {
    let lengths = [0, 1_024, 1_025, 4_097, 16_385, 65_537, usize::MAX];
    let classes = lengths.map(|bytes| cascade::Class::of(bytes).0);
    assert_eq!(classes, [0, 0, 1, 2, 3, 4, 4]);
}
