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

/// Pause of a reader after a failed call: what it reads at the store's return reaches all
/// others within a second.
const PAUSE: time::Millis = time::Millis(250);

/// Pause of the others after their first failed call.
const PAUSE_OTHERS: time::Millis = time::Millis(500);

/// Longest pause of the others; in an outage each of them is overdue, and hundreds that call
/// four times a second would be what the store meets on its return.
const PAUSE_MAX: time::Millis = time::Millis(2_000);

/// What one daemon knows when it decides whether to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Its place among the daemons that are alive.
    pub rank: usize,
    /// Daemons that are alive.
    pub count: usize,
    /// How long ago the store has confirmed the table to anybody, if it ever has.
    pub age: Option<time::Millis>,
    /// Rounds in a row in which no peer has answered.
    pub silent_rounds: u32,
    /// Time until a configuration is in force.
    pub apply: time::Millis,
}

/// Longest wait of a feed call.
pub const fn feed_timeout(apply: time::Millis) -> time::Millis {
    time::Millis(apply.0 * WAIT_PERCENT / 100)
}

/// Whether a daemon reads.
pub fn should_read(stand: Status) -> bool {
    let overdue = stand.apply.less(MARGIN);
    let is_overdue = stand.age.is_none_or(|age| age > overdue);
    is_overdue || stand.silent_rounds >= ALONE_ROUNDS || is_reader(stand)
}

/// Whether a daemon is one of those that read for all.
pub const fn is_reader(stand: Status) -> bool {
    let readers = stand.count / DAEMONS_PER_READER;
    stand.rank < if readers < 2 { 2 } else { readers }
}

/// Pause after `failures` failed calls in a row; `spread`, from 0 to 1, keeps daemons apart.
pub fn backoff(stand: Status, failures: u32, spread: f64) -> time::Millis {
    if is_reader(stand) {
        return PAUSE;
    }
    let doubled = PAUSE_OTHERS.0.saturating_mul(1 << failures.saturating_sub(1).min(8));
    let most = doubled.min(PAUSE_MAX.0) as f64;
    // From half of it on, so that the mean grows, too.
    time::Millis((most * (0.5 + spread / 2.0)) as u64).max(PAUSE)
}
