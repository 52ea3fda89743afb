//! What callers get for what relays know of each other, played at the sizes of deployments.

use ibishill_bench::experiment::knowledge::{self, Way};

/// Share of long prompts that may be read late where relays tell of them, above that under perfect
/// knowledge: one in a hundred.
const LATE_MAX: f64 = 0.01;

/// What a relay may send for control, in bytes a second.
const BYTES_MAX: f64 = 12_000.0;

#[test]
fn long_prompts_wait_hardly_longer_than_under_perfect_knowledge() {
    for size in &knowledge::SIZES[..3] {
        let [before, ours, perfect] =
            [Way::SameOrder, Way::InTurn, Way::Perfect].map(|way| knowledge::play(*size, way, 1));
        println!("{size:?}\n{before:?}\n{ours:?}\n{perfect:?}");
        assert!(ours.late <= perfect.late + LATE_MAX, "{size:?}: {ours:?} {perfect:?}");
        assert!(ours.error < before.error, "{size:?}: {ours:?} {before:?}");
    }
}

#[test]
fn what_relays_tell_does_not_grow_with_their_number() {
    let sent = |at: usize| knowledge::play(knowledge::SIZES[at], Way::InTurn, 1).bytes;
    assert!(sent(2) <= BYTES_MAX, "195: {}", sent(2));
}
