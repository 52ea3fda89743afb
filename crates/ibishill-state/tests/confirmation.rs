//! Confirmations of the store that daemons pass on with delays.

use ibishill_core::{store_version, time};
use ibishill_state::confirmation;

const DAEMONS: usize = 20;

/// Milliseconds between two messages of a daemon to all others.
const INTERVAL: u64 = 500;

/// Milliseconds that a message takes at most, waiting for a busy receiver included.
const DELAY_MAX: u64 = 120;

// Regression: each time an old confirmation was passed on, it seemed newer by the message's delay, so
// no daemon noticed in time that the store had stopped answering the readers.
#[test]
fn confirmation_passed_on_for_long_does_not_seem_newer() {
    let mut daemons = vec![confirmation::Confirmation::default(); DAEMONS];
    daemons[0].record(stamp((0, 1_000)), time::Tick(10_000));
    let mut state = 1_u64;
    for round in 0..20 {
        let sent = 10_000 + round * INTERVAL;
        for from in 0..DAEMONS {
            let told = daemons[from].tell(store_version::StoreVersion::default(), time::Tick(sent));
            for (to, daemon) in daemons.iter_mut().enumerate() {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let delay = (state >> 33) % DELAY_MAX;
                if to != from {
                    daemon.hear(&told, time::Tick(sent + delay));
                }
            }
        }
    }
    for (number, daemon) in daemons.iter().enumerate() {
        let at = daemon.at().expect("the confirmation has reached every daemon").0;
        // One or two hops, each with its delay.
        assert!(at <= 10_000 + 2 * DELAY_MAX, "{number}: seems to be of {at}");
    }
}

fn stamp((era, millis): (u64, u64)) -> confirmation::Stamp {
    confirmation::Stamp { era: store_version::Era(era), millis }
}

#[test]
fn newest_confirmation_counts() {
    struct Case {
        name: &'static str,
        // Eras and stamps, with times of the confirmation.
        heard: &'static [((u64, u64), u64)],
        expected: Option<u64>,
    }
    let cases = [
        Case { name: "none", heard: &[], expected: None },
        Case { name: "one", heard: &[((1, 5), 100)], expected: Some(100) },
        Case { name: "a newer one", heard: &[((1, 5), 100), ((1, 6), 900)], expected: Some(900) },
        Case {
            name: "an older one late",
            heard: &[((1, 6), 900), ((1, 5), 950)],
            expected: Some(900),
        },
        Case {
            name: "the same again",
            heard: &[((1, 6), 900), ((1, 6), 990)],
            expected: Some(900),
        },
        Case {
            name: "one of a later era, whose clock has gone back",
            heard: &[((1, 6), 900), ((2, 3), 990)],
            expected: Some(990),
        },
        Case {
            name: "one of an older era late",
            heard: &[((2, 3), 900), ((1, 9), 990)],
            expected: Some(900),
        },
    ];
    for case in cases {
        let mut found = confirmation::Confirmation::default();
        for (stamp, at) in case.heard {
            let age = Some(time::Millis(1_000 - at));
            let version = store_version::StoreVersion::default();
            let told = confirmation::Told { version, stamp: self::stamp(*stamp), age };
            found.hear(&told, time::Tick(1_000));
        }
        assert_eq!(found.at(), case.expected.map(time::Tick), "{}", case.name);
    }
}
