use ibishill_core::{fleet, id, time};
use ibishill_decide::canary;

use crate::bounds;

const DURATION: u64 = 24_000;

fn order() -> fleet::Rollout {
    fleet::Rollout {
        service: "pool".parse().unwrap(),
        to: "v2".parse().unwrap(),
        duration: time::Millis(DURATION),
    }
}

fn start() -> canary::Canary {
    canary::Canary::new(order(), &bounds(), time::Tick(0))
}

struct Case {
    name: &'static str,
    // Percent of answers that fail: old version, new version.
    fails: (u64, u64),
    // Milliseconds to the first event: old version, new version.
    times: (u64, u64),
    expected: fleet::Progress,
}

// Plays requests at a steady rate until the deadline, judged as they come.
fn play(case: &Case) -> (fleet::Progress, u64, u64) {
    let own: id::VmId = "vm".parse().unwrap();
    let mut canary = start();
    let (mut all, mut exposed) = (0_u64, 0_u64);
    for now in (0..DURATION).step_by(16) {
        let at = time::Tick(now);
        all += 1;
        // Sessions of two requests each, in no order of their hashes.
        let side = canary.side((all / 2) * 7_919, at);
        let is_new = side == canary::Side::Candidate;
        exposed += u64::from(is_new);
        let (percent, first) =
            if is_new { (case.fails.1, case.times.1) } else { (case.fails.0, case.times.0) };
        let tally = canary.tally(&own, 1);
        let counts = if is_new { &mut tally.candidate } else { &mut tally.stable };
        if (all * 37) % 100 < percent {
            counts.failed();
        } else {
            counts.answered(time::Millis(first));
        }
        canary.settle(canary.verdict(true, at));
    }
    (canary.progress(), all, exposed)
}

#[test]
fn a_rollout_ends_by_how_the_new_version_answers() {
    let cases = [
        Case {
            name: "as good as the old one",
            fails: (1, 1),
            times: (200, 200),
            expected: fleet::Progress::Completed,
        },
        Case {
            name: "both fail alike, as their network does",
            fails: (6, 6),
            times: (200, 200),
            expected: fleet::Progress::Completed,
        },
        Case {
            name: "somewhat slower, as its prompts are not read yet",
            fails: (0, 0),
            times: (100, 280),
            expected: fleet::Progress::Completed,
        },
        Case {
            name: "half of its answers fail",
            fails: (0, 50),
            times: (200, 200),
            expected: fleet::Progress::RolledBack,
        },
        Case {
            name: "one of three routes fails",
            fails: (1, 30),
            times: (200, 200),
            expected: fleet::Progress::RolledBack,
        },
        Case {
            name: "eight times as slow",
            fails: (0, 0),
            times: (200, 1_600),
            expected: fleet::Progress::RolledBack,
        },
    ];
    for case in cases {
        let (progress, all, exposed) = play(&case);
        assert_eq!(progress, case.expected, "{}", case.name);
        if progress == fleet::Progress::RolledBack {
            let most = all as f64 * bounds().expose_share + 30.0;
            assert!((exposed as f64) < most, "{}: {exposed} of {all}", case.name);
        }
    }
}

#[test]
fn a_session_that_began_on_the_old_version_stays_there_in_the_first_half() {
    let mut canary = start();
    let sessions: Vec<u64> = (0..2_000).collect();
    for session in &sessions {
        canary.pin(*session);
    }
    for session in &sessions {
        let side = canary.side(*session, time::Tick(5_000));
        assert_eq!(side, canary::Side::Stable, "session {session}");
    }
}

#[test]
fn a_session_never_returns_to_the_old_version_of_a_good_rollout() {
    let mut canary = start();
    for session in 0..500 {
        let mut was_new = false;
        for now in (2_000..DURATION).step_by(200) {
            let is_new = canary.side(session, time::Tick(now)) == canary::Side::Candidate;
            assert!(is_new || !was_new, "session {session} at {now}");
            was_new = is_new;
        }
    }
}

#[test]
fn peers_tell_which_sessions_are_held_and_how_old_the_order_is() {
    let (one, two): (id::VmId, id::VmId) = ("one".parse().unwrap(), "two".parse().unwrap());
    let mut first = start();
    let mut second = canary::Canary::new(order(), &bounds(), time::Tick(500));
    for session in 0..500 {
        let _side = first.side(session, time::Tick(600));
    }
    second.hear(first.news(&one, true, time::Tick(600)), &two, time::Tick(600));
    assert_eq!(second.age(time::Tick(600)), time::Millis(600));
    for session in 0..500 {
        assert_eq!(second.side(session, time::Tick(4_000)), canary::Side::Stable);
    }
}

#[test]
fn a_halt_goes_before_a_completion_until_the_operator_was_told() {
    struct Heard {
        told: &'static [fleet::Progress],
        expected: fleet::Progress,
    }
    let cases = [
        Heard {
            told: &[fleet::Progress::RolledBack, fleet::Progress::Completed],
            expected: fleet::Progress::RolledBack,
        },
        Heard {
            told: &[fleet::Progress::Completed, fleet::Progress::RolledBack],
            expected: fleet::Progress::RolledBack,
        },
        Heard {
            told: &[fleet::Progress::Completed, fleet::Progress::Running],
            expected: fleet::Progress::Completed,
        },
    ];
    for case in cases {
        let mut canary = start();
        for progress in case.told {
            canary.settle(*progress);
        }
        assert_eq!(canary.progress(), case.expected, "{:?}", case.told);
    }
}
