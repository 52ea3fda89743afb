use ibishill_core::time;
use ibishill_decide::rollout::pace;

struct Case {
    name: &'static str,
    // Number of events so far, and the time in milliseconds.
    progress: &'static [(u64, u64)],
    // Measured paces in milliseconds.
    expected: &'static [u64],
}

#[test]
fn pace_is_known_soon_after_the_first_event() {
    let cases = [
        Case { name: "no event", progress: &[(0, 100), (0, 5_000)], expected: &[] },
        Case { name: "one event", progress: &[(1, 100)], expected: &[] },
        Case {
            name: "steady but for one pause",
            progress: &[
                (1, 100),
                (2, 130),
                (3, 160),
                (4, 190),
                (5, 400),
                (6, 430),
                (7, 460),
                (8, 490),
                (9, 520),
            ],
            expected: &[30],
        },
        Case {
            name: "several events at once",
            progress: &[(2, 100), (10, 580), (11, 590)],
            expected: &[60],
        },
        Case {
            name: "slow",
            progress: &[(1, 100), (2, 500), (2, 600), (3, 900)],
            expected: &[400],
        },
        Case {
            name: "stalled after the first event",
            progress: &[(1, 100), (1, 600), (5, 700)],
            expected: &[500],
        },
        Case {
            name: "resumed from another endpoint",
            progress: &[(31, 100), (39, 580)],
            expected: &[60],
        },
    ];
    for case in cases {
        let mut pace = pace::Pace::default();
        let mut measured = Vec::new();
        for (events, at) in case.progress {
            let now = time::Tick(*at);
            measured.extend(pace.record(*events, now).map(|took| took.0));
            let is_overdue = pace.due().is_some_and(|due| due <= now);
            assert!(!is_overdue, "{}: at {at} ms", case.name);
        }
        assert_eq!(measured, case.expected, "{}", case.name);
    }
}
