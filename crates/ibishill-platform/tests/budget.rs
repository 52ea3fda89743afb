//! Rate limits on platform calls, under a time that the test sets.

use ibishill_core::time;
use ibishill_platform::budget;

struct Case {
    name: &'static str,
    /// Times of calls in milliseconds, and whether each is allowed.
    calls: &'static [(u64, bool)],
}

const CASES: &[Case] = &[
    Case { name: "burst", calls: &[(0, true), (0, true), (0, false)] },
    Case { name: "refill", calls: &[(0, true), (0, true), (99, false), (100, true), (100, false)] },
    Case {
        name: "idle time refills no more than the burst",
        calls: &[(9_000, true), (9_000, true), (9_000, false)],
    },
    Case {
        name: "time going backwards adds no tokens",
        calls: &[(50, true), (0, true), (40, false)],
    },
];

#[test]
fn calls_over_the_rate_limit_are_refused() {
    for case in CASES {
        let rate = budget::Rate { per_second: 10, burst: 2 };
        let mut bucket = budget::Bucket::new(rate, time::Tick(0));
        for (at, allowed) in case.calls {
            assert_eq!(bucket.try_take(time::Tick(*at)), *allowed, "{} at {at}", case.name);
        }
    }
}
