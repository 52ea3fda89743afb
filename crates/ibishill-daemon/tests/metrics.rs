//! Tests of the metrics in the Prometheus text format.

use ibishill_core::outcome;
use ibishill_daemon::metrics;

struct Case {
    seconds: f64,
    containing: &'static str,
    smaller: &'static str,
}

const CASES: [Case; 3] = [
    Case { seconds: 0.02, containing: "0.025", smaller: "0.01" },
    Case { seconds: 0.4, containing: "0.47", smaller: "0.3" },
    Case { seconds: 2.0, containing: "5", smaller: "1.5" },
];

fn bucket(text: &str, bound: &str) -> u64 {
    let label = format!("le=\"{bound}\"}}");
    let line = text.lines().find(|line| line.contains(&label)).expect("the bucket is exported");
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

#[test]
fn latency_buckets_resolve_times_below_a_second() {
    for case in CASES {
        let metrics = metrics::Metrics::new().unwrap();
        metrics.record_first_byte(case.seconds);
        let text = metrics.encode();
        assert_eq!(bucket(&text, case.containing), 1, "{}", case.seconds);
        assert_eq!(bucket(&text, case.smaller), 0, "{}", case.seconds);
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
