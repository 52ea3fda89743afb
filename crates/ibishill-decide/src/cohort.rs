//! Selects the sessions that are on the new version of a roll-out, by a stable hash.

use ibishill_config::declared;
use ibishill_core::id;
use xxhash_rust::xxh3;

const SLOTS: u64 = 10_000;
const SLOTS_PER_PERCENT: u64 = 100;

/// Whether the session, or single request, with the id `key` is on the new version now.
///
/// The hash depends only on the roll-out's name and the key, so a key that has entered the cohort
/// stays in it while the percentage rises.
pub fn contains(name: &id::RolloutId, rollout: &declared::Rollout, key: &str) -> bool {
    let seed = xxh3::xxh3_64(name.as_str().as_bytes());
    let slot = xxh3::xxh3_64_with_seed(key.as_bytes(), seed) % SLOTS;
    slot < u64::from(rollout.percent()) * SLOTS_PER_PERCENT
}
