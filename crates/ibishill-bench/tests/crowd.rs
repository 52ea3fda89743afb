//! What shares, promises, speeds and exposures cost each relay while all of them are at work, played at the sizes of
//! deployments. The largest is played by `ibishill-bench crowd`, as it takes minutes in a debug build.

use std::sync::LazyLock;

use ibishill_bench::experiment::crowd;

static OUTCOMES: LazyLock<Vec<crowd::Outcome>> = LazyLock::new(|| {
    let outcomes = crowd::SIZES[..3].iter().map(|size| crowd::play(*size, 1).0);
    outcomes.inspect(|outcome| println!("{:?} {outcome:?}", outcome.totals())).collect()
});

// Checks the bytes per second that `sent` returns at all sizes.
fn check<F>(sent: F)
where
    F: Fn(&crowd::Outcome) -> f64,
{
    let sent: Vec<f64> = OUTCOMES.iter().map(sent).collect();
    assert!(sent.iter().all(|bytes| *bytes <= crowd::BYTES_MAX), "bytes per second: {sent:?}");
}

/// Guards against parts that exceed the bound together, although each holds its own allowance.
#[test]
fn parts_stay_within_what_a_relay_may_send() {
    check(|outcome| outcome.totals().0);
}

/// Guards against parts that fit alone, but not beside the rest of the messages that carry them.
#[test]
fn all_messages_stay_within_what_a_relay_may_send() {
    check(|outcome| outcome.totals().1);
}

/// Guards against an order of maps or a clock that has a part in the outcome.
#[test]
fn same_seed_gives_the_same_outcome() {
    let play = |seed: u64| crowd::play(crowd::SIZES[0], seed).0;
    assert_eq!(play(1), OUTCOMES[0]);
    assert_ne!(play(2), OUTCOMES[0]);
}
