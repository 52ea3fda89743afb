//! Retries: safety, budgets, outlier ejection and hedging.

use ibishill_core::{id, outcome, repeat, time};
use ibishill_decide::{hedge, outlier, retry};

const NOW: time::Tick = time::Tick(100_000);

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

fn target(version: &str) -> id::Target {
    id::Target::Version(name(version))
}

#[test]
fn retry_is_safe_only_if_not_run_or_idempotent() {
    use outcome::Outcome::{NotRun, Ran, Unknown};
    use repeat::Repeat::{Never, Safe};
    let cases = [
        (NotRun, Safe, true),
        (NotRun, Never, true),
        (Unknown, Safe, true),
        (Unknown, Never, false),
        (Ran, Safe, false),
        (Ran, Never, false),
    ];
    for (outcome, repeat, safe) in cases {
        assert_eq!(retry::is_safe(outcome, repeat), safe, "{outcome} {repeat:?}");
    }
}

#[test]
fn budgets_bound_retries_of_workspace_and_zone() {
    let mut budgets = retry::Budgets::default();
    let (loud, calm, zone) = (name("loud"), name("calm"), name("a"));
    assert!(!budgets.try_acquire(&loud, &zone));
    (0..100).for_each(|_| budgets.record_request(&loud, &zone));
    (0..100).for_each(|_| budgets.record_request(&calm, &zone));
    let count = |budgets: &mut retry::Budgets, space| {
        (0..100).filter(|_| budgets.try_acquire(space, &zone)).count()
    };
    assert_eq!(count(&mut budgets, &loud), 10);
    assert_eq!(count(&mut budgets, &calm), 10);
    // The accumulated budget is bounded.
    (0..10_000).for_each(|_| budgets.record_request(&loud, &zone));
    assert_eq!(count(&mut budgets, &loud), 20);
}

#[test]
fn failing_version_is_ejected_while_endpoint_serves_others() {
    let mut outliers = outlier::Outliers::default();
    let names: Vec<id::EndpointId> = vec![name("e1"), name("e2")];
    let (bad, good) = (target("m@v2"), target("m@v1"));
    let fail = |outliers: &mut outlier::Outliers, now| {
        outliers.begin(&names[0], &bad, now);
        outliers.end(&names[0], &bad, outlier::Attempt::Failed, now)
    };
    let ejected: Vec<_> = (0..2).map(|_| fail(&mut outliers, NOW)).collect();
    assert_eq!(ejected, [false, true]);
    let usable = |outliers: &outlier::Outliers, target, now| {
        outliers.usable(&names, target, false, now).contains(&names[0])
    };
    assert!(!usable(&outliers, &bad, NOW));
    assert!(usable(&outliers, &good, NOW));
    // Half-open: one probe is allowed, and a failed probe doubles the ejection time.
    let probe = NOW + time::Millis(500);
    assert!(usable(&outliers, &bad, probe));
    outliers.begin(&names[0], &bad, probe);
    assert!(!usable(&outliers, &bad, probe));
    outliers.end(&names[0], &bad, outlier::Attempt::Failed, probe);
    assert!(!usable(&outliers, &bad, probe + time::Millis(999)));
    let again = probe + time::Millis(1_000);
    outliers.begin(&names[0], &bad, again);
    assert!(outliers.end(&names[0], &bad, outlier::Attempt::Good, again));
    assert!(usable(&outliers, &bad, again));
}

// Guards against an endpoint that stays ejected for the longest time after a single failure of its process, as
// all that was in flight there has failed with it.
#[test]
fn failures_of_attempts_begun_before_the_ejection_are_no_probes() {
    struct Case {
        name: &'static str,
        /// Failures right after the ejection.
        early: usize,
        /// Probes that have failed, each with so many more failures.
        probes: usize,
        /// Time after the last probe, or the ejection, at which the next one is due.
        due: u64,
    }
    let cases = [
        Case { name: "the ejection alone", early: 0, probes: 0, due: 500 },
        Case { name: "all else that was in flight", early: 16, probes: 0, due: 500 },
        Case { name: "a probe", early: 0, probes: 1, due: 1_000 },
        Case { name: "a probe and the rest", early: 16, probes: 1, due: 1_000 },
        Case { name: "two probes and the rest", early: 16, probes: 2, due: 2_000 },
    ];
    for Case { name, early, probes, due } in cases {
        let mut breaker = outlier::Breaker::default();
        let mut now = NOW;
        breaker.begin(now);
        breaker.end(outlier::Attempt::Unreachable, now);
        let fail = |breaker: &mut outlier::Breaker, now| {
            (0..early).for_each(|_| breaker.end(outlier::Attempt::Failed, now));
        };
        fail(&mut breaker, now);
        for _ in 0..probes {
            while !breaker.allows(now) {
                now = now + time::Millis(1);
            }
            breaker.begin(now);
            breaker.end(outlier::Attempt::Failed, now);
            fail(&mut breaker, now);
        }
        assert!(!breaker.allows(now + time::Millis(due - 1)), "{name}: too soon");
        assert!(breaker.allows(now + time::Millis(due)), "{name}: too late");
    }
}

#[test]
fn request_without_alternative_sees_at_most_half_of_endpoints_ejected() {
    for count in 1..=9_usize {
        let names: Vec<id::EndpointId> = (0..count).map(|n| name(&format!("e{n}"))).collect();
        let mut outliers = outlier::Outliers::default();
        for (at, endpoint) in names.iter().enumerate() {
            let now = NOW + time::Millis(at as u64);
            outliers.end(endpoint, &target("m@v1"), outlier::Attempt::Unreachable, now);
        }
        let usable = |no_alternative| outliers.usable(&names, &target("m@v2"), no_alternative, NOW);
        assert!(usable(false).is_empty());
        assert_eq!(usable(true).len(), count.div_ceil(2));
        assert!(usable(true).contains(&names[0]), "the endpoint whose probe is due first");
    }
}

#[test]
fn hedge_waits_for_usual_first_token_and_skips_non_idempotent_calls() {
    let mut hedge = hedge::Latencies::default();
    let target = target("m@v1");
    (1..=31).for_each(|ms| hedge.record(&target, time::Millis(ms)));
    assert_eq!(hedge.delay(&target, repeat::Repeat::Safe), None);
    (32..=101).for_each(|ms| hedge.record(&target, time::Millis(ms)));
    assert_eq!(hedge.delay(&target, repeat::Repeat::Safe), Some(time::Millis(96)));
    assert_eq!(hedge.delay(&target, repeat::Repeat::Never), None);
}
