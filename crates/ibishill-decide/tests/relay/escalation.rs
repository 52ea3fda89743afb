use ibishill_core::{call, route, time};
use ibishill_decide::escalation;

fn large() -> route::Model {
    route::Model { name: "large".parse().unwrap(), cost: 0.24 }
}

const REPORT: call::Tokens =
    call::Tokens { input: 12_000, max_output: 1_000, expected_output: 390 };
const TAG: call::Tokens = call::Tokens { input: 2_400, max_output: 90, expected_output: 25 };

#[test]
fn weak_answers_that_are_worth_more_are_asked_for_again_sooner() {
    let report = escalation::threshold(&large(), 0, REPORT, 0.0);
    let tag = escalation::threshold(&large(), 2, TAG, 0.0);
    assert!(report > tag, "{report} {tag}");
    assert!((0.5..0.8).contains(&report), "{report}");
}

#[test]
fn strained_engines_keep_the_first_answer() {
    for (priority, tokens) in [(0, REPORT), (2, TAG)] {
        let calm = escalation::threshold(&large(), priority, tokens, 0.0);
        let strained = escalation::threshold(&large(), priority, tokens, 1.0);
        assert!(strained < calm - 0.1, "{calm} {strained}");
        assert!(strained < 0.05, "{strained}");
    }
}

#[test]
fn strain_follows_the_time_to_first_events() {
    struct Case {
        name: &'static str,
        took: u64,
        taken: f64,
        expected: std::ops::RangeInclusive<f64>,
    }
    let cases = [
        Case { name: "calm", took: 200, taken: 0.2, expected: 0.0..=0.0 },
        Case { name: "loaded", took: 1_200, taken: 0.2, expected: 0.2..=0.9 },
        Case { name: "overloaded", took: 6_000, taken: 0.2, expected: 1.0..=1.0 },
        Case { name: "quick, and all places taken", took: 200, taken: 0.9, expected: 1.0..=1.0 },
    ];
    for case in cases {
        let mut strain = escalation::Pressure::default();
        for at in 0..50 {
            let now = time::Tick(at * 50);
            strain.record(time::Millis(case.took), time::Millis(3_000), now);
        }
        let level = strain.level(case.taken, time::Tick(2_500));
        assert!(case.expected.contains(&level), "{}: {level}", case.name);
        assert!(strain.level(0.0, time::Tick(20_000)) < 0.01, "{}", case.name);
    }
}
