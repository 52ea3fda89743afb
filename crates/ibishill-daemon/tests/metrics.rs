//! Metrics in Prometheus text form.

use ibishill_core::outcome;
use ibishill_daemon::metrics;

struct Case {
    seconds: f64,
    within: &'static str,
    beyond: &'static str,
}

const CASES: [Case; 3] = [
    Case { seconds: 0.02, within: "0.025", beyond: "0.01" },
    Case { seconds: 0.4, within: "0.47", beyond: "0.3" },
    Case { seconds: 2.0, within: "5", beyond: "1.5" },
];

fn bucket(text: &str, end: &str) -> u64 {
    let label = format!("le=\"{end}\"}}");
    let line = text.lines().find(|line| line.contains(&label)).expect("the bucket is exported");
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

#[test]
fn buckets_tell_times_below_a_second_apart() {
    for case in CASES {
        let metrics = metrics::Metrics::new().unwrap();
        metrics.record_first_byte(case.seconds);
        let text = metrics.encode();
        assert_eq!(bucket(&text, case.within), 1, "{}", case.seconds);
        assert_eq!(bucket(&text, case.beyond), 0, "{}", case.seconds);
    }
}

#[test]
fn requests_are_counted_by_outcome_and_reason() {
    let metrics = metrics::Metrics::new().unwrap();
    metrics.record_end(outcome::Outcome::NotRun, Some(outcome::Reason::Overloaded));
    let text = metrics.encode();
    let line = text.lines().find(|line| line.contains("reason=\"overloaded\"")).unwrap();
    assert!(line.contains("outcome=\"not-run\"") && line.ends_with(" 1"), "{line}");
}
