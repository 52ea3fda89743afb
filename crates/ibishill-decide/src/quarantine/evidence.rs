//! Evidence about requests and prompt segments, as daemons tell it each other. Merging is idempotent: an end is
//! identified by its endpoint, however many daemons have seen it.

use ibishill_core::{call, time};
use serde::{Deserialize, Serialize};

use super::{Change, End, Hold, Quarantine, Survival};
use crate::endpoint_key;

/// Time for which a change is told in every report.
const NEWS_TTL: time::Millis = time::Millis(2_000);

/// How long a key has been refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    age: time::Millis,
    relapses: u8,
}

/// What a daemon knows of one key; times are ages as of sending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    key: call::SuspectKey,
    depth: u8,
    ends: Vec<(endpoint_key::EndpointKey, time::Millis)>,
    // Since the last answer began that has gone on, if the sender has seen it itself.
    survival: Option<time::Millis>,
    // Number of changes of `held`.
    epoch: u32,
    held: Option<Held>,
}

impl Quarantine {
    /// Evidence for a peer about at most `count` keys, refused ones first: all of them, or only
    /// what has changed lately.
    pub fn evidence(&self, count: usize, is_complete: bool, now: time::Tick) -> Vec<Evidence> {
        let is_told = |changed: time::Tick| is_complete || now.since(changed) < NEWS_TTL;
        let mut told: Vec<_> =
            self.records.iter().filter(|(_, record)| is_told(record.changed)).collect();
        told.sort_by_key(|(_, record)| {
            std::cmp::Reverse((record.hold.is_some(), record.ends.len(), record.changed))
        });
        told.truncate(count);
        let evidence = told.into_iter().map(|(key, record)| Evidence {
            key: *key,
            depth: record.depth,
            ends: record.ends.iter().map(|end| (end.endpoint, now.since(end.at))).collect(),
            survival: self
                .survivals
                .last(*key)
                .filter(|survival| survival.is_own)
                .map(|survival| now.since(survival.began)),
            epoch: record.epoch,
            held: record
                .hold
                .map(|hold| Held { age: now.since(hold.since), relapses: hold.relapses }),
        });
        evidence.collect()
    }

    /// Merges a peer's evidence.
    pub fn merge(&mut self, evidence: Vec<Evidence>, now: time::Tick) {
        let at = |age: time::Millis| time::Tick(now.0.saturating_sub(age.0));
        for found in evidence {
            let Evidence { key, depth, epoch, .. } = found;
            // An endpoint may end long after its answer has begun: whether a refused segment is released tells the
            // state with its number of changes.
            let is_held = matches!(key, call::SuspectKey::Segment(_)) && self.is_refused(key);
            if let Some(age) = found.survival.filter(|_| !is_held) {
                self.clear(key, Survival { began: at(age), is_own: false }, now);
            }
            let survived = self.survivals.last(key).map(|survival| survival.began);
            let ends = found.ends.into_iter();
            let ends: Vec<End> = ends
                .map(|(endpoint, age)| End { endpoint, at: at(age) })
                .filter(|end| survived.is_none_or(|began| end.at > began))
                .collect();
            let hold = found.held.map(|held| Hold { since: at(held.age), relapses: held.relapses });
            if !ends.is_empty() || epoch > 0 {
                self.merge_ends(key, depth, &ends, now);
                self.merge_hold(key, hold, epoch, now);
            }
        }
    }

    fn merge_ends(&mut self, key: call::SuspectKey, depth: u8, ends: &[End], now: time::Tick) {
        let record = self.record(key, usize::from(depth), now);
        for end in ends {
            if record.add_end(*end) {
                record.changed = now;
            }
        }
    }

    // The state with more changes wins; of two with as many, the one that refuses.
    pub(super) fn merge_hold(
        &mut self,
        key: call::SuspectKey,
        hold: Option<Hold>,
        epoch: u32,
        now: time::Tick,
    ) {
        let Some(record) = self.records.get_mut(&key) else { return };
        let is_stricter = epoch == record.epoch && hold.is_some() && record.hold.is_none();
        if epoch < record.epoch || (epoch == record.epoch && !is_stricter) {
            return;
        }
        let was_refused = record.hold.is_some();
        record.set_hold(hold, epoch, now);
        if hold.is_none() {
            record.ends.clear();
        }
        if was_refused != hold.is_some() {
            let (is_refused, ends) = (hold.is_some(), record.ends.len());
            self.changes.push(Change { key, is_refused, ends });
        }
    }
}
