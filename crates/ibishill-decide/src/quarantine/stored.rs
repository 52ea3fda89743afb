//! Refused keys as the store keeps them: for daemons that all restart at once, and for those that
//! reach the store but no peer.

use ibishill_core::{call, fleet, time};

use super::{Hold, Quarantine};

impl Quarantine {
    /// States that the store may lack, of keys for which `is_writer` holds; `wall` is the present
    /// time in milliseconds since the Unix epoch.
    pub fn unstored<F>(
        &self,
        is_writer: F,
        wall: u64,
        now: time::Tick,
    ) -> Vec<fleet::QuarantineHold>
    where
        F: Fn(call::SuspectKey) -> bool,
    {
        let unstored = self.records.iter().filter(|(_, record)| record.is_unstored);
        let unstored = unstored.filter(|(key, _)| is_writer(**key));
        let stored = unstored.map(|(key, record)| {
            let since = record.hold.map_or(record.changed, |hold| hold.since);
            fleet::QuarantineHold {
                key: *key,
                epoch: record.epoch,
                is_refused: record.hold.is_some(),
                relapses: record.hold.map_or(0, |hold| hold.relapses),
                since: wall.saturating_sub(now.since(since).0),
            }
        });
        stored.collect()
    }

    /// Records that the store has a state, or a newer one.
    pub fn mark_stored(&mut self, key: call::SuspectKey, epoch: u32) {
        if let Some(record) = self.records.get_mut(&key) {
            record.is_unstored &= record.epoch > epoch;
        }
    }

    /// Has all refused keys written again, as the store may have lost them.
    pub fn mark_unstored(&mut self) {
        for record in self.records.values_mut() {
            record.is_unstored |= record.hold.is_some();
        }
    }

    /// Merges a state that the store has.
    pub fn merge_stored(&mut self, stored: &fleet::QuarantineHold, wall: u64, now: time::Tick) {
        let age = wall.saturating_sub(stored.since);
        let hold = Hold { since: time::Tick(now.0.saturating_sub(age)), relapses: stored.relapses };
        let is_known = self.records.contains_key(&stored.key);
        if is_known || (stored.is_refused && hold.is_current(stored.key, now)) {
            self.record(stored.key, 0, now);
            let hold = stored.is_refused.then_some(hold);
            self.merge_hold(stored.key, hold, stored.epoch, now);
            self.mark_stored(stored.key, stored.epoch);
        }
    }
}
