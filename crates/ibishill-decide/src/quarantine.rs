//! Quarantine of poison prompt segments: those that end each endpoint which begins an answer.
//!
//! Designed for prompts that share segments with sound ones, for daemons that each see only a few of
//! the ends, and for waves of crashes with other causes. All requests in flight share an endpoint's
//! end, so an end counts only against the segments of answers that had just begun there, and an
//! answer that goes on clears its segments. What remains after ends of several endpoints is refused.

pub mod evidence;
pub mod stored;

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{call, time};

use crate::endpoint_key;

/// Ends of distinct endpoints after which a segment that no answer has cleared is refused.
const ENDS_MAX: usize = 4;

/// The same for a segment whose answers have gone on before: those of a popular segment are among the
/// newest at every crash.
const ENDS_MAX_TRUSTED: usize = 8;

/// Ends after which a request gets one attempt only, unless answers have cleared its segments before.
const ENDS_CONTAINED: usize = 2;

/// Time since the first end, within which answers that clear the segment become known.
const DELIBERATION: time::Millis = time::Millis(1_000);

/// Time after which an end no longer counts.
const END_TTL: time::Millis = time::Millis::from_secs(600);

/// Time for which a segment is refused at first; it doubles with each relapse.
const HOLD_MIN: time::Millis = time::Millis::from_secs(120);

/// Longest time for which a segment is refused.
const HOLD_MAX: time::Millis = time::Millis::from_secs(3_600);

/// Time by which a daemon's trial comes after that of the daemon ranked before it.
const TRIAL_STAGGER: time::Millis = time::Millis::from_secs(5);

/// Time after which a trial without a result no longer holds up the next one.
const TRIAL_TIMEOUT: time::Millis = time::Millis::from_secs(30);

/// Maximum number of segments with an end; the one with the oldest end makes room.
const SEGMENTS_MAX: usize = 512;

/// Maximum number of ends kept for a segment, the newest.
const ENDS_KEPT: usize = 16;

/// Number of segments with a survival at which older ones are dropped.
const SURVIVALS_MAX: usize = 2_048;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct End {
    endpoint: endpoint_key::EndpointKey,
    at: time::Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Hold {
    since: time::Tick,
    // Trials that ended an endpoint.
    relapses: u8,
}

impl Hold {
    fn due(&self) -> time::Tick {
        let factor = 1_u64.checked_shl(u32::from(self.relapses)).unwrap_or(u64::MAX);
        self.since + time::Millis(HOLD_MIN.0.saturating_mul(factor)).min(HOLD_MAX)
    }

    // Whether it has not ended so long ago that the segment is forgotten.
    fn is_current(&self, now: time::Tick) -> bool {
        now.since(self.due()) < END_TTL
    }
}

#[derive(Debug, Clone)]
struct Record {
    // Position in the prompt, from 0.
    depth: u8,
    ends: Vec<End>,
    hold: Option<Hold>,
    // Number of changes of the hold, by which daemons tell the newer state.
    epoch: u32,
    // When this daemon began its last trial.
    trial: Option<time::Tick>,
    // Last change that peers may not know.
    changed: time::Tick,
    // Whether the store may lack the hold's last change.
    is_unstored: bool,
}

impl Record {
    fn last_end(&self) -> time::Tick {
        self.ends.iter().map(|end| end.at).max().unwrap_or_default()
    }

    fn endpoints(&self) -> impl Iterator<Item = endpoint_key::EndpointKey> {
        self.ends.iter().map(|end| end.endpoint)
    }

    fn set_hold(&mut self, hold: Option<Hold>, epoch: u32, now: time::Tick) {
        self.hold = hold;
        self.epoch = epoch;
        self.trial = None;
        self.changed = now;
        self.is_unstored = true;
    }

    fn add_end(&mut self, end: End) -> bool {
        if self.ends.iter().any(|known| known.endpoint == end.endpoint) {
            return false;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|end| end.at);
        if self.ends.len() > ENDS_KEPT {
            self.ends.remove(0);
        }
        true
    }
}

// The beginning of the last answer with a segment that has gone on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Survival {
    began: time::Tick,
    // Whether this daemon has seen it itself. Only such ones are told to peers: an age that is passed
    // on again and again seems newer each time.
    is_own: bool,
}

// The survivals of the segments seen most recently.
#[derive(Debug, Clone, Default)]
struct Survivals {
    recent: BTreeMap<call::SegmentId, Survival>,
    older: BTreeMap<call::SegmentId, Survival>,
}

impl Survivals {
    fn last(&self, segment: call::SegmentId) -> Option<Survival> {
        self.recent.get(&segment).or_else(|| self.older.get(&segment)).copied()
    }

    fn record(&mut self, segment: call::SegmentId, survival: Survival) {
        let known = self.last(segment).filter(|known| known.began >= survival.began);
        if self.recent.len() >= SURVIVALS_MAX && !self.recent.contains_key(&segment) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(segment, known.unwrap_or(survival));
    }
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No restriction.
    Allowed,
    /// One attempt only: no retry, hedge, resume or larger model.
    Contained,
    /// None of its attempts may be sent; the time until the next trial.
    Refused(time::Millis),
}

/// Change of a segment's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The segment.
    pub segment: call::SegmentId,
    /// Whether it is refused from now on, or no longer.
    pub is_refused: bool,
    /// Ends of endpoints that count against it.
    pub ends: usize,
}

/// Segments under suspicion, those that are refused, and those that answers have cleared.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: BTreeMap<call::SegmentId, Record>,
    survivals: Survivals,
    changes: Vec<Change>,
}

impl Quarantine {
    /// What may be done with a request; `rank` is this daemon's rank among those that may try a
    /// segment again.
    pub fn verdict<R>(&self, segments: &[call::SegmentId], rank: R, now: time::Tick) -> Verdict
    where
        R: Fn(call::SegmentId) -> usize,
    {
        let mut verdict = Verdict::Allowed;
        for segment in segments {
            let Some(record) = self.records.get(segment) else { continue };
            match record.hold {
                Some(hold) if !may_try(record, &hold, rank(*segment), now) => {
                    return Verdict::Refused(hold.due().since(now));
                }
                Some(_) => verdict = Verdict::Contained,
                None if self.is_contained(*segment, record) => verdict = Verdict::Contained,
                None => {}
            }
        }
        verdict
    }

    /// Records that an attempt is sent; it is the trial of a segment in quarantine.
    pub fn record_send(&mut self, segments: &[call::SegmentId], now: time::Tick) {
        for segment in segments {
            if let Some(record) = self.records.get_mut(segment).filter(|r| r.hold.is_some()) {
                record.trial = Some(now);
            }
        }
    }

    /// Records an answer that began at `began` and has gone on, which clears its segments.
    pub fn record_survival(
        &mut self,
        segments: &[call::SegmentId],
        began: time::Tick,
        now: time::Tick,
    ) {
        let survival = Survival { began, is_own: true };
        for segment in segments {
            self.clear(*segment, survival, now);
        }
    }

    fn clear(&mut self, segment: call::SegmentId, survival: Survival, now: time::Tick) {
        self.survivals.record(segment, survival);
        let began = survival.began;
        let Some(record) = self.records.get_mut(&segment) else { return };
        if record.hold.is_some_and(|hold| began > hold.since) {
            let ends = record.ends.len();
            record.ends.clear();
            record.set_hold(None, record.epoch + 1, now);
            self.changes.push(Change { segment, is_refused: false, ends });
        }
        if record.ends.iter().any(|end| end.at <= began) {
            record.ends.retain(|end| end.at > began);
            record.changed = now;
        }
    }

    /// Records that an endpoint ended at `now`, just after it had begun an answer with these segments, in
    /// the order of the prompt; returns whether this was unknown.
    pub fn record_end(
        &mut self,
        segments: &[call::SegmentId],
        endpoint: endpoint_key::EndpointKey,
        now: time::Tick,
    ) -> bool {
        let mut is_new = false;
        for (depth, segment) in segments.iter().enumerate() {
            let record = self.record(*segment, depth, now);
            if !record.add_end(End { endpoint, at: now }) {
                continue;
            }
            is_new = true;
            record.changed = now;
            if let Some(hold) = record.hold.filter(|_| record.trial.is_some()) {
                let relapses = hold.relapses.saturating_add(1);
                record.set_hold(Some(Hold { since: now, relapses }), record.epoch + 1, now);
            }
        }
        is_new
    }

    fn record(&mut self, segment: call::SegmentId, depth: usize, now: time::Tick) -> &mut Record {
        if self.records.len() >= SEGMENTS_MAX && !self.records.contains_key(&segment) {
            let order = |record: &Record| (record.hold.is_some(), record.last_end());
            let oldest = self.records.iter().min_by_key(|(_, record)| order(record));
            if let Some(oldest) = oldest.map(|(segment, _)| *segment) {
                self.records.remove(&oldest);
            }
        }
        let depth = u8::try_from(depth).unwrap_or(u8::MAX);
        let new = Record {
            depth,
            ends: Vec::new(),
            hold: None,
            epoch: 0,
            trial: None,
            changed: now,
            is_unstored: false,
        };
        self.records.entry(segment).or_insert(new)
    }

    /// Refuses the segments that the ends leave to blame, and forgets old ends.
    pub fn judge(&mut self, now: time::Tick) -> Vec<Change> {
        self.expire(now);
        while let Some((segment, ends)) = self.most_blamed(now) {
            let Some(record) = self.records.get_mut(&segment) else { break };
            record.set_hold(Some(Hold { since: now, relapses: 0 }), record.epoch + 1, now);
            self.changes.push(Change { segment, is_refused: true, ends });
        }
        std::mem::take(&mut self.changes)
    }

    fn expire(&mut self, now: time::Tick) {
        for record in self.records.values_mut().filter(|record| record.hold.is_none()) {
            record.ends.retain(|end| now.since(end.at) < END_TTL);
        }
        // A segment that nobody has asked for since its hold has ended is forgotten.
        let is_current = |record: &Record| match record.hold {
            Some(hold) => hold.is_current(now),
            None if record.epoch > 0 => now.since(record.changed) < END_TTL,
            None => !record.ends.is_empty(),
        };
        self.records.retain(|_, record| is_current(record));
    }

    // The segment to refuse next, and the number of its ends. Segments that nothing has cleared come
    // first: those that sound prompts share are in flight at most ends, and so have more of them. Of
    // segments with as many ends the deepest is taken, as the fewest requests have it.
    fn most_blamed(&self, now: time::Tick) -> Option<(call::SegmentId, usize)> {
        let mut explained = self.explained();
        self.most_blamed_of(false, &explained, now).or_else(|| {
            let suspects = self.records.iter();
            let suspects =
                suspects.filter(|(segment, record)| self.is_contained(**segment, record));
            explained.extend(suspects.flat_map(|(_, record)| record.endpoints()));
            self.most_blamed_of(true, &explained, now)
        })
    }

    fn most_blamed_of(
        &self,
        is_trusted: bool,
        explained: &BTreeSet<endpoint_key::EndpointKey>,
        now: time::Tick,
    ) -> Option<(call::SegmentId, usize)> {
        let counted = self.records.iter().filter_map(|(segment, record)| {
            let is_candidate =
                record.hold.is_none() && self.survivals.last(*segment).is_some() == is_trusted;
            let open = |end: &&End| !explained.contains(&end.endpoint);
            let ends: Vec<&End> = record.ends.iter().filter(open).collect();
            let is_blamed = is_candidate && is_enough(&ends, is_trusted, now);
            is_blamed.then_some((ends.len(), record.depth, *segment))
        });
        counted.max().map(|(ends, _, segment)| (segment, ends))
    }

    // Endpoints that a segment in quarantine has ended.
    fn explained(&self) -> BTreeSet<endpoint_key::EndpointKey> {
        let held = self.records.values().filter(|record| record.hold.is_some());
        held.flat_map(Record::endpoints).collect()
    }

    fn is_contained(&self, segment: call::SegmentId, record: &Record) -> bool {
        if record.ends.len() < ENDS_CONTAINED || self.survivals.last(segment).is_some() {
            return false;
        }
        let explained = self.explained();
        let open = record.ends.iter().filter(|end| !explained.contains(&end.endpoint));
        open.count() >= ENDS_CONTAINED
    }

    /// Number of segments that are refused.
    pub fn refused_count(&self) -> usize {
        self.records.values().filter(|record| record.hold.is_some()).count()
    }
}

fn may_try(record: &Record, hold: &Hold, rank: usize, now: time::Tick) -> bool {
    let rank = u64::try_from(rank).unwrap_or(u64::MAX);
    let due = hold.due() + time::Millis(TRIAL_STAGGER.0.saturating_mul(rank));
    let is_trying = record.trial.is_some_and(|began| now.since(began) < TRIAL_TIMEOUT);
    now >= due && !is_trying
}

fn is_enough(ends: &[&End], is_trusted: bool, now: time::Tick) -> bool {
    let (Some(first), Some(last)) = (ends.first(), ends.last()) else { return false };
    if now.since(first.at) < DELIBERATION {
        return false;
    }
    if is_trusted {
        ends.len() >= ENDS_MAX_TRUSTED && last.at.since(first.at) >= DELIBERATION
    } else {
        ends.len() >= ENDS_MAX
    }
}
