use ibishill_core::time;
use ibishill_decide::readers;

/// Time between two reports, which carry confirmations, in milliseconds.
const REPORT: u64 = 500;

/// Time for a check whether to read and the read itself, in milliseconds.
const READ: u64 = 200;

struct Case {
    name: &'static str,
    count: usize,
    rank: usize,
    age: Option<u64>,
    silent: u32,
    expected: bool,
}

#[test]
fn few_daemons_read_while_confirmations_arrive() {
    let cases = [
        Case { name: "the first", count: 6, rank: 0, age: Some(0), silent: 0, expected: true },
        Case { name: "the second", count: 6, rank: 1, age: Some(0), silent: 0, expected: true },
        Case { name: "the third", count: 6, rank: 2, age: Some(900), silent: 0, expected: false },
        Case { name: "never confirmed", count: 6, rank: 5, age: None, silent: 0, expected: true },
        Case { name: "overdue", count: 6, rank: 5, age: Some(1_800), silent: 0, expected: true },
        Case { name: "partitioned", count: 6, rank: 5, age: Some(0), silent: 2, expected: true },
        Case {
            name: "not among first 28",
            count: 910,
            rank: 28,
            age: Some(0),
            silent: 0,
            expected: false,
        },
    ];
    for case in cases {
        let status = readers::Status {
            rank: case.rank,
            count: case.count,
            age: case.age.map(time::Millis),
            behind: None,
            silent_rounds: case.silent,
            apply: time::Millis(2_000),
            spread: 0.5,
        };
        assert_eq!(readers::should_read(status), case.expected, "{}", case.name);
    }
}

// The store stops answering both readers just after a confirmation, and a change follows.
#[test]
fn change_is_read_in_time_when_readers_get_no_answer() {
    for apply in [2_000, 3_000, 8_000] {
        let apply = time::Millis(apply);
        let status = |age| readers::Status {
            rank: 5,
            count: 6,
            age: Some(time::Millis(age)),
            behind: None,
            silent_rounds: 0,
            apply,
            spread: 0.5,
        };
        let began = (0..).step_by(10).find(|age| readers::should_read(status(*age))).unwrap();
        assert!(began + READ <= apply.0, "{apply}: reads after {began} ms");
        // Without failures, confirmations arrive often enough that only the readers read.
        let usual = readers::feed_timeout(apply).0 + REPORT;
        assert!(
            !readers::should_read(status(usual)),
            "{apply}: reads though confirmed {usual} ms ago"
        );
    }
}

// In an outage of the store every daemon is overdue and calls the store itself.
#[test]
fn outage_causes_few_calls_and_its_end_is_seen_quickly() {
    struct Outage {
        count: usize,
        lasts: u64,
    }
    let outages = [
        Outage { count: 6, lasts: 4_300 },
        Outage { count: 83, lasts: 4_300 },
        Outage { count: 910, lasts: 30_000 },
    ];
    for outage in outages {
        let mut calls = 0;
        let mut seen = u64::MAX;
        for rank in 0..outage.count {
            let status = readers::Status {
                rank,
                count: outage.count,
                age: None,
                behind: None,
                silent_rounds: 0,
                apply: time::Millis(2_000),
                spread: 0.5,
            };
            let (mut at, mut failures) = (0, 0);
            while at < outage.lasts {
                calls += 1;
                failures += 1;
                let spread = (rank * 7 + failures as usize * 3) % 10;
                at += readers::backoff(status, failures, spread as f64 / 10.0).0;
            }
            seen = seen.min(at - outage.lasts);
        }
        // One call per second of each daemon, and four of each reader.
        let readers = (outage.count / 32).max(2) as u64;
        let most = (outage.count as u64 + 4 * readers) * (outage.lasts / 1_000 + 1);
        assert!(calls <= most, "{}: {calls} calls, {most} expected", outage.count);
        assert!(seen <= 250, "{}: seen after {seen} ms", outage.count);
    }
}

#[test]
fn whole_table_is_read_when_the_feed_repeats_a_large_row_or_peers_do_not_deliver() {
    struct Reading {
        name: &'static str,
        superseded: usize,
        behind: Option<u64>,
        age: u64,
        reads: bool,
        is_whole: bool,
    }
    let base = Reading {
        name: "nothing is known to be missing",
        superseded: 0,
        behind: None,
        age: 1_800,
        reads: false,
        is_whole: false,
    };
    let readings = [
        Reading { name: "repeated small rows", superseded: 13_000, ..base },
        Reading { name: "repeated large row", superseded: 285_000, is_whole: true, ..base },
        Reading { name: "peers are delivering", behind: Some(600), ..base },
        Reading {
            name: "peers have not delivered",
            behind: Some(1_400),
            reads: true,
            is_whole: true,
            ..base
        },
        Reading { name: "already read", behind: Some(1_400), age: 100, ..base },
        base,
    ];
    for case in readings {
        let status = readers::Status {
            rank: 5,
            count: 83,
            age: Some(time::Millis(case.age)),
            behind: case.behind.map(time::Millis),
            silent_rounds: 0,
            apply: time::Millis(3_000),
            spread: 0.5,
        };
        assert_eq!(readers::should_read(status), case.reads, "{}", case.name);
        let is_whole = readers::should_read_whole(case.superseded, status);
        assert_eq!(is_whole, case.is_whole, "{}", case.name);
    }
}

// Calls for one table until everyone has read again, in an outage that begins just after a confirmation.
fn calls_in_outage(count: usize, lasts: u64) -> u64 {
    let mut calls = 0;
    for rank in 0..count {
        let status = |age| readers::Status {
            rank,
            count,
            age: Some(time::Millis(age)),
            behind: None,
            silent_rounds: 0,
            apply: time::Millis(4_000),
            spread: rank as f64 / count as f64,
        };
        let (mut at, mut failures) = (0, 0);
        while at < lasts {
            if !readers::should_read(status(at)) {
                at += 50;
                continue;
            }
            calls += 1;
            failures += 1;
            at += readers::backoff(status(at), failures, 0.5).0;
        }
    }
    calls
}

#[test]
fn outage_costs_hardly_more_calls_in_larger_deployments() {
    let small = calls_in_outage(195, 8_000);
    let large = calls_in_outage(910, 8_000);
    // Standbys and readers call all the while; the others once, those of the first four seconds.
    assert!(small <= 400, "195: {small} calls");
    assert!(large <= 1_000, "910: {large} calls");
}

#[test]
fn standbys_read_before_the_others_of_a_large_deployment() {
    for count in [65, 195, 910] {
        let overdue = |rank| {
            (0..20_000).step_by(10).find(|age| {
                readers::should_read(readers::Status {
                    rank,
                    count,
                    age: Some(time::Millis(*age)),
                    behind: None,
                    silent_rounds: 0,
                    apply: time::Millis(4_000),
                    spread: 0.0,
                })
            })
        };
        let standby = overdue((count / 64).max(2)).unwrap();
        let other = overdue(count - 1).unwrap();
        let usual = readers::feed_timeout(time::Millis(4_000)).0 + REPORT;
        assert!(standby > usual, "{count}: reads in calm, after {standby} ms");
        assert!(standby + 500 <= other && other <= 4_000, "{count}: {standby} {other}");
    }
}
