//! Which daemons read the platform's store, and how long their calls may wait.
//!
//! Calls are priced, so a few daemons read for all. The load this is for: the store fails for
//! just those that read, without a word; the others must still know of a change in time.

use ibishill_core::time;

/// Longest wait of a feed call, in percent of the time until a configuration is in force.
const WAIT_PERCENT: u64 = 45;

/// Time before a configuration must be in force at which a daemon that has heard of no
/// confirmation reads itself: a read takes some milliseconds.
const MARGIN: time::Millis = time::Millis(300);

/// Daemons for each reader; two read at least.
const DAEMONS_PER_READER: usize = 32;

/// Rounds in which no peer has answered after which a daemon reads itself.
const ALONE_ROUNDS: u32 = 2;

/// What one daemon knows when it decides whether to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stand {
    /// Its place among the daemons that are alive.
    pub rank: usize,
    /// Daemons that are alive.
    pub count: usize,
    /// How long ago the store has confirmed the table to anybody, if it ever has.
    pub age: Option<time::Millis>,
    /// Rounds in a row in which no peer has answered.
    pub alone: u32,
    /// Time until a configuration is in force.
    pub apply: time::Millis,
}

/// Longest wait of a feed call.
pub const fn wait(apply: time::Millis) -> time::Millis {
    time::Millis(apply.0 * WAIT_PERCENT / 100)
}

/// Whether a daemon reads.
pub fn reads(stand: Stand) -> bool {
    let overdue = stand.apply.less(MARGIN);
    let readers = (stand.count / DAEMONS_PER_READER).max(2);
    let is_overdue = stand.age.is_none_or(|age| age > overdue);
    is_overdue || stand.alone >= ALONE_ROUNDS || stand.rank < readers
}
