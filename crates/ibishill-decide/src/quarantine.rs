//! Quarantine of what ends each endpoint that begins to run it: prompt segments, and whole requests to
//! plain services. Both are known by a key.
//!
//! Designed for prompts that share segments with sound ones, for copies of a request that come again
//! at any daemon, for daemons that each see only a few of the ends, and for waves of crashes with other
//! causes. All requests in flight share an endpoint's end, so an end counts only against the keys of
//! requests that had just begun there, and an answer that goes on clears its keys. What remains after
//! ends of several endpoints is refused.

pub mod evidence;
pub mod stored;

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{call, time};

use crate::endpoint_key;

/// Rules by which the ends that a key was in are judged.
struct Rules {
    /// Ends after which a request gets one attempt only, unless answers have cleared it before.
    contained: usize,
    /// Ends of distinct endpoints after which a key that no answer has cleared is refused.
    refused: usize,
    /// Time for which it is refused at first.
    hold: time::Millis,
    /// Factor by which this time grows with each relapse.
    growth: u64,
    /// Whether an end that another key in quarantine explains does not count.
    is_excused: bool,
}

/// Many prompts share a segment, and all that wait in an engine share its end.
const SEGMENT_RULES: Rules = Rules {
    contained: 2,
    refused: 4,
    hold: time::Millis::from_secs(120),
    growth: 2,
    is_excused: true,
};

/// Copies of one request are few, so one that comes again after an end is a suspect. The first trial
/// comes early, as identical sound requests may all be in flight in a wave of crashes. Each end counts:
/// several poison requests may share their ends, and a sound one is rarely in three.
const REQUEST_RULES: Rules = Rules {
    contained: 1,
    refused: 3,
    hold: time::Millis::from_secs(1),
    growth: 8,
    is_excused: false,
};

/// Many prompts wait in an engine, and most of those that share its end are sound, so their answers may
/// be sought elsewhere once.
const PROMPT_RULES: Rules = Rules { contained: 2, ..REQUEST_RULES };

const fn rules(key: call::SuspectKey) -> &'static Rules {
    match key {
        call::SuspectKey::Segment(_) => &SEGMENT_RULES,
        call::SuspectKey::Request(_) => &REQUEST_RULES,
        call::SuspectKey::Prompt(_) => &PROMPT_RULES,
    }
}

/// The number of ends for a key whose answers have gone on before: those of a popular one are in flight
/// at every crash.
const ENDS_MAX_TRUSTED: usize = 8;

/// Time since the first end, within which answers that clear the key become known.
const DELIBERATION: time::Millis = time::Millis(1_000);

/// Time after an end from which on an answer of that endpoint shows that it has not ended; earlier ones may
/// have been on their way.
const VOID_MARGIN: time::Millis = time::Millis(200);

/// Time after which an end no longer counts.
const END_TTL: time::Millis = time::Millis::from_secs(600);

/// Longest time for which a key is refused.
const HOLD_MAX: time::Millis = time::Millis::from_secs(3_600);

/// Time by which a daemon's trial comes after that of the daemon ranked before it.
const TRIAL_STAGGER: time::Millis = time::Millis::from_secs(5);

/// Maximum number of keys with an end; the one with the fewest ends makes room.
const KEYS_MAX: usize = 512;

/// Maximum number of ends kept for a key, the newest.
const ENDS_KEPT: usize = 16;

/// Number of keys of a kind with a survival at which older ones are dropped.
const SURVIVALS_MAX: usize = 2_048;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct End {
    endpoint: endpoint_key::EndpointKey,
    at: time::Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Hold {
    since: time::Tick,
    // Trials that no answer has cleared.
    relapses: u8,
}

impl Hold {
    fn due(&self, key: call::SuspectKey) -> time::Tick {
        let Rules { hold, growth, .. } = rules(key);
        let factor = growth.saturating_pow(u32::from(self.relapses));
        self.since + time::Millis(hold.0.saturating_mul(factor)).min(HOLD_MAX)
    }

    // Whether it has not ended so long ago that the key is forgotten.
    fn is_current(&self, key: call::SuspectKey, now: time::Tick) -> bool {
        now.since(self.due(key)) < END_TTL
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
    // State before this daemon's last trial, if nothing has changed since.
    trial: Option<Hold>,
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

// The beginning of the last answer with a key that has gone on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Survival {
    began: time::Tick,
    // Whether this daemon has seen it itself. Only such ones are told to peers: an age that is passed
    // on again and again seems newer each time.
    is_own: bool,
}

// The survivals of the keys seen most recently.
#[derive(Debug, Clone, Default)]
struct Recent {
    newer: BTreeMap<call::SuspectKey, Survival>,
    older: BTreeMap<call::SuspectKey, Survival>,
}

impl Recent {
    fn last(&self, key: call::SuspectKey) -> Option<Survival> {
        self.newer.get(&key).or_else(|| self.older.get(&key)).copied()
    }

    fn record(&mut self, key: call::SuspectKey, survival: Survival) {
        let known = self.last(key).filter(|known| known.began >= survival.began);
        if self.newer.len() >= SURVIVALS_MAX && !self.newer.contains_key(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, known.unwrap_or(survival));
    }
}

// Survivals by kind, since each request has a key of its own and would soon displace all segments.
#[derive(Debug, Clone, Default)]
struct Survivals {
    segments: Recent,
    requests: Recent,
}

impl Survivals {
    fn last(&self, key: call::SuspectKey) -> Option<Survival> {
        match key {
            call::SuspectKey::Segment(_) => self.segments.last(key),
            call::SuspectKey::Request(_) | call::SuspectKey::Prompt(_) => self.requests.last(key),
        }
    }

    fn record(&mut self, key: call::SuspectKey, survival: Survival) {
        match key {
            call::SuspectKey::Segment(_) => self.segments.record(key, survival),
            call::SuspectKey::Request(_) | call::SuspectKey::Prompt(_) => {
                self.requests.record(key, survival);
            }
        }
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

/// Change of a key's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: call::SuspectKey,
    /// Whether it is refused from now on, or no longer.
    pub is_refused: bool,
    /// Ends of endpoints that count against it.
    pub ends: usize,
}

/// Keys under suspicion, those that are refused, and those that answers have cleared.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: BTreeMap<call::SuspectKey, Record>,
    survivals: Survivals,
    changes: Vec<Change>,
}

impl Quarantine {
    /// What may be done with a request; `rank` is this daemon's rank among those that may try a
    /// key again.
    pub fn verdict<R>(&self, keys: &[call::SuspectKey], rank: R, now: time::Tick) -> Verdict
    where
        R: Fn(call::SuspectKey) -> usize,
    {
        let mut verdict = Verdict::Allowed;
        for key in keys {
            let Some(record) = self.records.get(key) else { continue };
            match record.hold {
                Some(hold) if !may_try(hold.due(*key), rank(*key), now) => {
                    return Verdict::Refused(hold.due(*key).since(now));
                }
                Some(_) => verdict = Verdict::Contained,
                None if self.is_contained(*key, record) => verdict = Verdict::Contained,
                None => {}
            }
        }
        verdict
    }

    /// Records that an attempt is sent; returns whether it is the trial of a key in quarantine.
    ///
    /// A trial counts as lost until an answer clears the key: its outcome may stay unknown, and the other
    /// daemons wait as if it had failed.
    pub fn record_send(&mut self, keys: &[call::SuspectKey], now: time::Tick) -> bool {
        let mut is_trial = false;
        for key in keys {
            let Some(record) = self.records.get_mut(key) else { continue };
            let Some(hold) = record.hold else { continue };
            let relapses = hold.relapses.saturating_add(1);
            record.set_hold(Some(Hold { since: now, relapses }), record.epoch + 1, now);
            record.trial = Some(hold);
            is_trial = true;
        }
        is_trial
    }

    /// Records that the attempt which is a trial was not sent after all.
    pub fn withdraw_trial(&mut self, keys: &[call::SuspectKey], now: time::Tick) {
        for key in keys {
            let Some(record) = self.records.get_mut(key) else { continue };
            if let Some(hold) = record.trial {
                record.set_hold(Some(hold), record.epoch + 1, now);
            }
        }
    }

    /// Records an answer that began at `began` and has gone on, which clears its keys.
    pub fn record_survival(
        &mut self,
        keys: &[call::SuspectKey],
        began: time::Tick,
        now: time::Tick,
    ) {
        let survival = Survival { began, is_own: true };
        for key in keys {
            self.clear(*key, survival, now);
        }
    }

    fn clear(&mut self, key: call::SuspectKey, survival: Survival, now: time::Tick) {
        self.survivals.record(key, survival);
        let began = survival.began;
        let Some(record) = self.records.get_mut(&key) else { return };
        if record.hold.is_some_and(|hold| began >= hold.since) {
            let ends = record.ends.len();
            record.ends.clear();
            record.set_hold(None, record.epoch + 1, now);
            self.changes.push(Change { key, is_refused: false, ends });
        }
        if record.ends.iter().any(|end| end.at <= began) {
            record.ends.retain(|end| end.at > began);
            record.changed = now;
        }
    }

    /// Records that an endpoint ended at `now`, just after it had begun to run a request with these keys, in
    /// the order of the prompt; returns whether this was unknown.
    pub fn record_end(
        &mut self,
        keys: &[call::SuspectKey],
        endpoint: endpoint_key::EndpointKey,
        now: time::Tick,
    ) -> bool {
        let mut is_new = false;
        for (depth, key) in keys.iter().enumerate() {
            let record = self.record(*key, depth, now);
            if !record.add_end(End { endpoint, at: now }) {
                continue;
            }
            is_new = true;
            record.changed = now;
            // The end of a trial's endpoint.
            if let Some(hold) = record.hold.filter(|_| record.trial.is_some()) {
                record.set_hold(Some(Hold { since: now, ..hold }), record.epoch + 1, now);
            }
        }
        is_new
    }

    /// Withdraws ends of endpoints that have not ended, as `has_answered` tells of an endpoint and a time;
    /// keys that fewer ends are left against than it takes are no longer refused.
    pub fn void_ends<F>(&mut self, has_answered: F, now: time::Tick)
    where
        F: Fn(endpoint_key::EndpointKey, time::Tick) -> bool,
    {
        for (key, record) in &mut self.records {
            let before = record.ends.len();
            record.ends.retain(|end| !has_answered(end.endpoint, end.at + VOID_MARGIN));
            if record.ends.len() == before {
                continue;
            }
            record.changed = now;
            if record.hold.is_some() && record.ends.len() < rules(*key).refused {
                record.set_hold(None, record.epoch + 1, now);
                self.changes.push(Change { key: *key, is_refused: false, ends: before });
            }
        }
    }

    fn record(&mut self, key: call::SuspectKey, depth: usize, now: time::Tick) -> &mut Record {
        if self.records.len() >= KEYS_MAX && !self.records.contains_key(&key) {
            let order =
                |record: &Record| (record.hold.is_some(), record.ends.len(), record.last_end());
            let oldest = self.records.iter().min_by_key(|(_, record)| order(record));
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
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
        self.records.entry(key).or_insert(new)
    }

    /// Refuses the keys that the ends leave to blame, and forgets old ends.
    pub fn judge(&mut self, now: time::Tick) -> Vec<Change> {
        self.expire(now);
        while let Some((key, ends)) = self.most_blamed(now) {
            let Some(record) = self.records.get_mut(&key) else { break };
            record.set_hold(Some(Hold { since: now, relapses: 0 }), record.epoch + 1, now);
            self.changes.push(Change { key, is_refused: true, ends });
        }
        std::mem::take(&mut self.changes)
    }

    fn expire(&mut self, now: time::Tick) {
        for record in self.records.values_mut().filter(|record| record.hold.is_none()) {
            record.ends.retain(|end| now.since(end.at) < END_TTL);
        }
        // A key that nobody has asked for since its hold has ended is forgotten.
        let is_current = |key: call::SuspectKey, record: &Record| match record.hold {
            Some(hold) => hold.is_current(key, now),
            None if record.epoch > 0 => now.since(record.changed) < END_TTL,
            None => !record.ends.is_empty(),
        };
        self.records.retain(|key, record| is_current(*key, record));
    }

    // The key to refuse next, and the number of its ends. Keys that nothing has cleared come
    // first: those that sound prompts share are in flight at most ends, and so have more of them. Of
    // keys with as many ends the deepest is taken, as the fewest requests have it.
    fn most_blamed(&self, now: time::Tick) -> Option<(call::SuspectKey, usize)> {
        let mut explained = self.explained();
        self.most_blamed_of(false, &explained, now).or_else(|| {
            let suspects = self.records.iter();
            let suspects = suspects.filter(|(key, record)| self.is_contained(**key, record));
            explained.extend(suspects.flat_map(|(_, record)| record.endpoints()));
            self.most_blamed_of(true, &explained, now)
        })
    }

    fn most_blamed_of(
        &self,
        is_trusted: bool,
        explained: &BTreeSet<endpoint_key::EndpointKey>,
        now: time::Tick,
    ) -> Option<(call::SuspectKey, usize)> {
        let counted = self.records.iter().filter_map(|(key, record)| {
            let is_candidate =
                record.hold.is_none() && self.survivals.last(*key).is_some() == is_trusted;
            let is_excused = is_trusted || rules(*key).is_excused;
            let open = |end: &&End| !is_excused || !explained.contains(&end.endpoint);
            let ends: Vec<&End> = record.ends.iter().filter(open).collect();
            let is_blamed = is_candidate && is_enough(*key, &ends, is_trusted, now);
            is_blamed.then_some((ends.len(), record.depth, *key))
        });
        counted.max().map(|(ends, _, key)| (key, ends))
    }

    // Endpoints that a segment in quarantine has ended.
    fn explained(&self) -> BTreeSet<endpoint_key::EndpointKey> {
        let is_held = |(key, record): &(&call::SuspectKey, &Record)| {
            record.hold.is_some() && matches!(key, call::SuspectKey::Segment(_))
        };
        let held = self.records.iter().filter(is_held);
        held.flat_map(|(_, record)| record.endpoints()).collect()
    }

    fn is_contained(&self, key: call::SuspectKey, record: &Record) -> bool {
        let Rules { contained, is_excused, .. } = rules(key);
        if record.ends.len() < *contained || self.survivals.last(key).is_some() {
            return false;
        }
        if !is_excused {
            return true;
        }
        let explained = self.explained();
        let open = record.ends.iter().filter(|end| !explained.contains(&end.endpoint));
        open.count() >= *contained
    }

    /// Whether a key is refused, or was until its trial is due.
    pub fn is_refused(&self, key: call::SuspectKey) -> bool {
        self.records.get(&key).is_some_and(|record| record.hold.is_some())
    }

    /// Refuses a key that is blamed for these ends.
    pub fn refuse(
        &mut self,
        key: call::SuspectKey,
        ends: &[(endpoint_key::EndpointKey, time::Tick)],
        now: time::Tick,
    ) {
        let record = self.record(key, 0, now);
        for (endpoint, at) in ends {
            record.add_end(End { endpoint: *endpoint, at: *at });
        }
        if record.hold.is_none() {
            record.set_hold(Some(Hold { since: now, relapses: 0 }), record.epoch + 1, now);
            self.changes.push(Change { key, is_refused: true, ends: ends.len() });
        }
    }

    /// Number of segments, and of whole requests, that are refused.
    pub fn refused_count(&self) -> (usize, usize) {
        let held = self.records.iter().filter(|(_, record)| record.hold.is_some());
        let is_segment =
            |(key, _): &(&call::SuspectKey, &Record)| matches!(key, call::SuspectKey::Segment(_));
        let (segments, requests): (Vec<_>, Vec<_>) = held.partition(is_segment);
        (segments.len(), requests.len())
    }
}

fn may_try(due: time::Tick, rank: usize, now: time::Tick) -> bool {
    let rank = u64::try_from(rank).unwrap_or(u64::MAX);
    now >= due + time::Millis(TRIAL_STAGGER.0.saturating_mul(rank))
}

fn is_enough(key: call::SuspectKey, ends: &[&End], is_trusted: bool, now: time::Tick) -> bool {
    let (Some(first), Some(last)) = (ends.first(), ends.last()) else { return false };
    if now.since(first.at) < DELIBERATION {
        return false;
    }
    if is_trusted {
        ends.len() >= ENDS_MAX_TRUSTED && last.at.since(first.at) >= DELIBERATION
    } else {
        ends.len() >= rules(key).refused
    }
}
