use ibishill_core::{call, route, time};
use ibishill_decide::escalation;

fn large() -> route::Model {
    route::Model { name: "large".parse().unwrap(), cost: 0.24 }
}

const REPORT: call::Tokens =
    call::Tokens { input: 12_000, max_output: 1_000, expected_output: 390 };
const TAG: call::Tokens = call::Tokens { input: 2_400, max_output: 90, expected_output: 25 };

// Guards against a weak answer that is dropped for one that begins after its caller has left.
#[test]
fn a_larger_model_runs_only_if_it_begins_in_time() {
    for (expected, left, is_in_time) in [
        (None, 0, true),
        (Some(4_000), 20_000, true),
        (Some(5_000), 5_000, true),
        (Some(5_001), 5_000, false),
    ] {
        let found = escalation::begins_in_time(expected.map(time::Millis), time::Millis(left));
        assert_eq!(found, is_in_time, "{expected:?} of {left}");
    }
}

#[test]
fn more_valuable_answer_has_higher_threshold() {
    let report = escalation::threshold(&large(), 0, REPORT, 0.0);
    let tag = escalation::threshold(&large(), 2, TAG, 0.0);
    assert!(report > tag, "{report} {tag}");
    assert!((0.5..0.8).contains(&report), "{report}");
}

#[test]
fn first_answer_is_kept_under_pressure() {
    for (priority, tokens) in [(0, REPORT), (2, TAG)] {
        let idle = escalation::threshold(&large(), priority, tokens, 0.0);
        let loaded = escalation::threshold(&large(), priority, tokens, 1.0);
        assert!(loaded < idle - 0.1, "{idle} {loaded}");
        assert!(loaded < 0.05, "{loaded}");
    }
}

// Guards against requests that get the small model's answer only because they may run once.
#[test]
fn request_that_runs_once_begins_at_the_larger_model_while_there_is_room() {
    struct Case {
        name: &'static str,
        tokens: call::Tokens,
        cost: f64,
        pressure: f64,
        is_large: bool,
    }
    let cases = [
        Case { name: "report, idle", tokens: REPORT, cost: 0.24, pressure: 0.0, is_large: true },
        Case { name: "tag, idle", tokens: TAG, cost: 0.24, pressure: 0.0, is_large: true },
        Case { name: "report, loaded", tokens: REPORT, cost: 0.24, pressure: 1.0, is_large: false },
        Case { name: "costly model", tokens: TAG, cost: 2.4, pressure: 0.0, is_large: false },
    ];
    for case in cases {
        let large = route::Model { cost: case.cost, ..large() };
        let threshold = escalation::threshold(&large, 1, case.tokens, case.pressure);
        assert_eq!(
            escalation::begins_large(threshold),
            case.is_large,
            "{}: {threshold}",
            case.name
        );
    }
}

#[test]
fn pressure_follows_time_to_first_event() {
    struct Case {
        name: &'static str,
        took: u64,
        utilization: f64,
        expected: std::ops::RangeInclusive<f64>,
    }
    let cases = [
        Case { name: "idle", took: 200, utilization: 0.2, expected: 0.0..=0.0 },
        Case { name: "loaded", took: 1_200, utilization: 0.2, expected: 0.2..=0.9 },
        Case { name: "overloaded", took: 6_000, utilization: 0.2, expected: 1.0..=1.0 },
        Case {
            name: "quick, with all slots in use",
            took: 200,
            utilization: 0.9,
            expected: 1.0..=1.0,
        },
    ];
    for case in cases {
        let mut pressure = escalation::Pressure::default();
        for at in 0..50 {
            let now = time::Tick(at * 50);
            pressure.record(time::Millis(case.took), time::Millis(3_000), now);
        }
        let level = pressure.level(case.utilization, time::Tick(2_500));
        assert!(case.expected.contains(&level), "{}: {level}", case.name);
        assert!(pressure.level(0.0, time::Tick(20_000)) < 0.01, "{}", case.name);
    }
}
