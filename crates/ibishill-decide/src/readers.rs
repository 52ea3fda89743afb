//! Selection of the daemons that read the platform's store, and the timing of their calls.
//!
//! Calls are billed, so a few daemons read for all. Designed for a store that stops answering
//! just those that read, without an error; the others must still learn of a change in time. In an outage
//! every daemon is overdue: a few stand by and call first, and the others spread their calls over a time that
//! grows with their number.

use ibishill_core::time;

/// Timeout of a feed call, in percent of the time until a configuration is in force.
const FEED_TIMEOUT_PERCENT: u64 = 45;

/// Time before a configuration must be in force at which a daemon without a recent confirmation
/// reads itself: a read takes some milliseconds.
const READ_MARGIN: time::Millis = time::Millis(300);

/// Daemons per reader; there are at least two readers.
const DAEMONS_PER_READER: usize = 64;

/// Size of superseded rows in a feed's answer from which on the next read is of the whole table:
/// the feed returns every version of a row that changes faster than it can be read.
const SUPERSEDED_MAX: usize = 64 * 1_024;

/// Consecutive rounds without an answer from any peer after which a daemon reads itself.
const SILENT_ROUNDS_MAX: u32 = 2;

/// Backoff of a reader after a failed call, if there are two: what it reads when the store is back reaches all
/// others within a second. More readers share the calls.
const READER_BACKOFF: time::Millis = time::Millis(250);

/// Longest backoff of a reader.
const READER_BACKOFF_MAX: time::Millis = time::Millis(1_000);

/// Backoff of the other daemons after their first failed call.
const BACKOFF_MIN: time::Millis = time::Millis(500);

/// Longest backoff of the other daemons.
const BACKOFF_MAX: time::Millis = time::Millis(2_000);

/// Backoff for each daemon of a large deployment, of those that neither read nor stand by and hear of peers: all
/// of them together don't call more often if there are more of them.
const BACKOFF_EACH: time::Millis = time::Millis(40);

/// Number of daemons from which on some stand by.
const STANDBY_DAEMONS_MIN: usize = 32;

/// Daemons that stand by: they read before the others are overdue.
const STANDBYS: usize = 8;

/// Time by which these are earlier; what they read is passed on meanwhile.
const STANDBY_LEAD: time::Millis = time::Millis(700);

/// Time beyond that of a feed call in which a confirmation reaches everyone.
const STANDBY_MARGIN: time::Millis = time::Millis(700);

/// Time for each daemon of the deployment over which the first calls of those that are overdue spread.
const SPREAD_EACH: time::Millis = time::Millis(20);

/// State of one daemon that decides whether it reads.
#[derive(Debug, Clone, Copy, PartialEq)]
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
    /// Where it stands in what daemons spread, uniform in 0 to 1.
    pub spread: f64,
}

/// Timeout of a feed call, which waits for a change.
pub const fn feed_timeout(apply: time::Millis) -> time::Millis {
    time::Millis(apply.0 * FEED_TIMEOUT_PERCENT / 100)
}

/// Whether a daemon reads: readers always do, others if confirmations, peers or a configuration that
/// peers have are missing.
pub fn should_read(status: Status) -> bool {
    let is_overdue = status.age.is_none_or(|age| age > age_max(status));
    let is_cut_off = status.silent_rounds >= SILENT_ROUNDS_MAX;
    is_overdue || is_missing(status) || is_cut_off || is_reader(status)
}

fn age_max(status: Status) -> time::Millis {
    let limit = status.apply.saturating_sub(READ_MARGIN);
    if status.count <= STANDBY_DAEMONS_MIN {
        return limit;
    }
    if is_standby(status) {
        let usual = time::Millis(feed_timeout(status.apply).0 + STANDBY_MARGIN.0);
        return limit.saturating_sub(STANDBY_LEAD).max(usual).min(limit);
    }
    let spread = status.count as f64 * SPREAD_EACH.0 as f64 * status.spread;
    time::Millis(limit.0 + spread as u64)
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
    status.rank < reader_count(status)
}

const fn is_standby(status: Status) -> bool {
    status.rank < reader_count(status) + STANDBYS
}

const fn reader_count(status: Status) -> usize {
    let readers = status.count / DAEMONS_PER_READER;
    if readers < 2 { 2 } else { readers }
}

/// Backoff after `failures` failed calls in a row, with jitter from `spread`, uniform in 0 to 1.
pub fn backoff(status: Status, failures: u32, spread: f64) -> time::Millis {
    let factor = 1 << failures.saturating_sub(1).min(8);
    if is_reader(status) {
        let shared = READER_BACKOFF.0 * reader_count(status) as u64 / 2;
        let max = (READER_BACKOFF.0 * factor).min(shared).min(READER_BACKOFF_MAX.0);
        let jittered = (max as f64 * (0.5 + spread / 2.0)) as u64;
        return time::Millis(jittered.max(READER_BACKOFF.0));
    }
    let is_served = status.silent_rounds < SILENT_ROUNDS_MAX && !is_standby(status);
    let is_large = status.count > STANDBY_DAEMONS_MIN;
    let of_many = if is_served && is_large { status.count as u64 * BACKOFF_EACH.0 } else { 0 };
    let doubled = BACKOFF_MIN.0.saturating_mul(factor);
    let max = doubled.min(BACKOFF_MAX.0).max(of_many) as f64;
    // Half of it is fixed, so that the mean grows with each failure, too.
    time::Millis((max * (0.5 + spread / 2.0)) as u64).max(READER_BACKOFF)
}
