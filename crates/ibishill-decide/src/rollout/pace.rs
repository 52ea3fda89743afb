//! Pace of a stream: the median time between its first events.
//!
//! A version that works slowly on some requests may begin its answers in time: the first event
//! depends on the prompt and on the wait for a place, the pace on the work alone. The median leaves
//! out single pauses, in which an engine reads other prompts.

use ibishill_core::time;

/// Number of times between events that are measured.
const GAPS: usize = 8;

/// Longest time after the first event until the pace is taken from what has arrived. Otherwise the
/// slowest streams would be the last to count, when the version already has all traffic.
const MEASURE_MAX: time::Millis = time::Millis(500);

/// Measurement of one stream.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    /// When the first event arrived.
    first: Option<time::Tick>,
    /// When the last one arrived, and the number of events by then.
    last: (time::Tick, u64),
    gaps: Vec<time::Millis>,
    is_done: bool,
}

impl Pace {
    /// Time at which the pace is measured at the latest; none before the first event and once it
    /// has been measured.
    pub fn due(&self) -> Option<time::Tick> {
        self.first.filter(|_| !self.is_done).map(|first| first + MEASURE_MAX)
    }

    /// Records that `events` have arrived by `now`; returns the pace, once. The time since the last
    /// event counts as one more, so a stalled stream has a pace, too.
    pub fn record(&mut self, events: u64, now: time::Tick) -> Option<time::Millis> {
        let Some(first) = self.first else {
            self.first = (events > 0).then_some(now);
            self.last = (now, events);
            return None;
        };
        if self.is_done {
            return None;
        }
        let (at, before) = self.last;
        let arrived = events - before;
        // Events that arrive together share the time.
        if let Some(gap) = now.since(at).0.checked_div(arrived).map(time::Millis) {
            let count = GAPS.min(usize::try_from(arrived).unwrap_or(GAPS));
            self.gaps.extend(std::iter::repeat_n(gap, count));
            self.last = (now, events);
        }
        if self.gaps.len() < GAPS && now.since(first) < MEASURE_MAX {
            return None;
        }
        self.is_done = true;
        let open = now.since(self.last.0);
        self.gaps.extend((open.0 > 0).then_some(open));
        self.gaps.sort_unstable();
        self.gaps.get(self.gaps.len() / 2).copied()
    }
}
