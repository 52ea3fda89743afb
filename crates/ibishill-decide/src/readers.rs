//! Selection of the daemons that read the platform's store, and the timing of their calls.
//!
//! Calls are billed, so a few daemons read for all. Designed for a store that stops answering
//! just those that read, without an error; the others must still learn of a change in time.

use ibishill_core::time;

/// Timeout of a feed call, in percent of the time until a configuration is in force.
const FEED_TIMEOUT_PERCENT: u64 = 45;

/// Time before a configuration must be in force at which a daemon without a recent confirmation
/// reads itself: a read takes some milliseconds.
const READ_MARGIN: time::Millis = time::Millis(300);

/// Daemons per reader; there are at least two readers.
const DAEMONS_PER_READER: usize = 32;

/// Size of superseded rows in a feed's answer from which on the next read is of the whole table:
/// the feed returns every version of a row that changes faster than it can be read.
const SUPERSEDED_MAX: usize = 64 * 1_024;

/// Consecutive rounds without an answer from any peer after which a daemon reads itself.
const SILENT_ROUNDS_MAX: u32 = 2;

/// Backoff of a reader after a failed call: what it reads when the store is back reaches all
/// others within a second.
const READER_BACKOFF: time::Millis = time::Millis(250);

/// Backoff of the other daemons after their first failed call.
const BACKOFF_MIN: time::Millis = time::Millis(500);

/// Longest backoff of the other daemons: in an outage each of them is overdue, and hundreds that
/// call four times a second would all hit the store when it is back.
const BACKOFF_MAX: time::Millis = time::Millis(2_000);

/// State of one daemon that decides whether it reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Its rank among the live daemons, those with the widest links first, from 0.
    pub rank: usize,
    /// Number of live daemons.
    pub count: usize,
    /// Time since the store last confirmed the table to any daemon; `None` if it never has.
    pub age: Option<time::Millis>,
    /// Time since a configuration that this daemon lacks was first in force anywhere; `None` if it
    /// knows of none.
    pub behind: Option<time::Millis>,
    /// Consecutive rounds in which no peer has answered.
    pub silent_rounds: u32,
    /// Time within which a configuration must be in force.
    pub apply: time::Millis,
}

/// Timeout of a feed call, which waits for a change.
pub const fn feed_timeout(apply: time::Millis) -> time::Millis {
    time::Millis(apply.0 * FEED_TIMEOUT_PERCENT / 100)
}

/// Whether a daemon reads: readers always do, others if confirmations, peers or a configuration that
/// peers have are missing.
pub fn should_read(status: Status) -> bool {
    let age_max = status.apply.saturating_sub(READ_MARGIN);
    let is_overdue = status.age.is_none_or(|age| age > age_max);
    let is_cut_off = status.silent_rounds >= SILENT_ROUNDS_MAX;
    is_overdue || is_missing(status) || is_cut_off || is_reader(status)
}

// Whether peers have had a configuration for long enough that they won't deliver it in time. The
// store has confirmed nothing since, as it would have delivered the configuration, too.
fn is_missing(status: Status) -> bool {
    let limit = feed_timeout(status.apply);
    status.behind.is_some_and(|behind| behind >= limit) && status.age.is_none_or(|age| age >= limit)
}

/// Whether to read the whole table instead of the feed, after an answer in which `superseded` bytes
/// were of rows that the same answer replaced, or if the daemon lacks a configuration.
pub fn should_read_whole(superseded: usize, status: Status) -> bool {
    superseded >= SUPERSEDED_MAX || is_missing(status)
}

/// Whether a daemon is one of the readers, which read for all.
pub const fn is_reader(status: Status) -> bool {
    let readers = status.count / DAEMONS_PER_READER;
    status.rank < if readers < 2 { 2 } else { readers }
}

/// Backoff after `failures` failed calls in a row, with jitter from `spread`, uniform in 0 to 1.
pub fn backoff(status: Status, failures: u32, spread: f64) -> time::Millis {
    if is_reader(status) {
        return READER_BACKOFF;
    }
    let doubled = BACKOFF_MIN.0.saturating_mul(1 << failures.saturating_sub(1).min(8));
    let max = doubled.min(BACKOFF_MAX.0) as f64;
    // Half of it is fixed, so that the mean grows with each failure, too.
    time::Millis((max * (0.5 + spread / 2.0)) as u64).max(READER_BACKOFF)
}
