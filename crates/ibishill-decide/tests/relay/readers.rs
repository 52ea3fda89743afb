use ibishill_core::time;
use ibishill_decide::readers;

/// Time between two reports, by which confirmations travel.
const REPORT: u64 = 500;

/// Time that a read takes, and a look at whether to read.
const READ: u64 = 200;

struct Case {
    name: &'static str,
    count: usize,
    rank: usize,
    age: Option<u64>,
    alone: u32,
    expected: bool,
}

#[test]
fn few_daemons_read_unless_confirmations_stay_away() {
    let cases = [
        Case { name: "the first", count: 6, rank: 0, age: Some(0), alone: 0, expected: true },
        Case { name: "the second", count: 6, rank: 1, age: Some(0), alone: 0, expected: true },
        Case { name: "the third", count: 6, rank: 2, age: Some(900), alone: 0, expected: false },
        Case { name: "no news at all", count: 6, rank: 5, age: None, alone: 0, expected: true },
        Case { name: "old news", count: 6, rank: 5, age: Some(1_800), alone: 0, expected: true },
        Case { name: "cut off", count: 6, rank: 5, age: Some(0), alone: 2, expected: true },
        Case { name: "one of many", count: 910, rank: 28, age: Some(0), alone: 0, expected: false },
    ];
    for case in cases {
        let stand = readers::Status {
            rank: case.rank,
            count: case.count,
            age: case.age.map(time::Millis),
            silent_rounds: case.alone,
            apply: time::Millis(2_000),
        };
        assert_eq!(readers::should_read(stand), case.expected, "{}", case.name);
    }
}

// The store falls silent for both readers just after it has confirmed, and a change follows.
#[test]
fn a_change_is_known_in_time_though_every_reader_hears_nothing() {
    for apply in [2_000, 3_000, 8_000] {
        let apply = time::Millis(apply);
        let stand = |age| readers::Status {
            rank: 5,
            count: 6,
            age: Some(time::Millis(age)),
            silent_rounds: 0,
            apply,
        };
        let began = (0..).step_by(10).find(|age| readers::should_read(stand(*age))).unwrap();
        assert!(began + READ <= apply.0, "{apply}: read after {began}");
        // In calm times confirmations come often enough that only the readers read.
        let usual = readers::feed_timeout(apply).0 + REPORT;
        assert!(!readers::should_read(stand(usual)), "{apply}: read though confirmed {usual} ago");
    }
}

// The store answers nobody for a while; every daemon is overdue and calls on its own.
#[test]
fn an_outage_is_met_by_few_calls_and_its_end_is_seen_at_once() {
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
            let stand = readers::Status {
                rank,
                count: outage.count,
                age: None,
                silent_rounds: 0,
                apply: time::Millis(2_000),
            };
            let (mut at, mut failures) = (0, 0);
            while at < outage.lasts {
                calls += 1;
                failures += 1;
                let spread = (rank * 7 + failures as usize * 3) % 10;
                at += readers::backoff(stand, failures, spread as f64 / 10.0).0;
            }
            seen = seen.min(at - outage.lasts);
        }
        // A call a second of each daemon, and four of those that read for all.
        let readers = (outage.count / 32).max(2) as u64;
        let most = (outage.count as u64 + 4 * readers) * (outage.lasts / 1_000 + 1);
        assert!(calls <= most, "{}: {calls} calls, {most} expected", outage.count);
        assert!(seen <= 250, "{}: seen after {seen} ms", outage.count);
    }
}
