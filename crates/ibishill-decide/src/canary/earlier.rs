//! Versions that earlier roll-outs of a service have left behind. The next order makes no old versions of them: one that
//! was rolled back goes on serving until its endpoints drain, and one that was replaced by a completed roll-out until
//! they are gone.
//!
//! Designed for orders that follow each other within seconds.

use std::collections::BTreeMap;

use ibishill_core::{fleet, id, store_version};

use super::{Canary, Snapshot, Variant};
use crate::balance;

/// Maximum number of versions that are remembered for a service; those of the earliest orders are forgotten first.
const VERSIONS_MAX: usize = 16;

const fn end_of(progress: fleet::Progress, is_unproven: bool) -> fleet::RolloutEnd {
    match progress {
        fleet::Progress::Running => fleet::RolloutEnd::Superseded,
        fleet::Progress::Completed => fleet::RolloutEnd::Completed,
        fleet::Progress::RolledBack if is_unproven => fleet::RolloutEnd::Unproven,
        fleet::Progress::RolledBack => fleet::RolloutEnd::RolledBack,
    }
}

/// Earlier roll-outs of a service, by the version that they moved it to.
#[derive(Debug, Clone, Default)]
pub(super) struct Earlier {
    ends: BTreeMap<id::VersionId, (store_version::StoreVersion, fleet::RolloutEnd)>,
    // Versions that are no old ones, as their roll-out was not completed, and those of them that were rolled back.
    excluded: Vec<id::VersionId>,
    withdrawn: Vec<id::VersionId>,
    // The version of the last roll-out that was completed.
    base: Option<id::VersionId>,
}

impl Earlier {
    /// Records how a roll-out ended, unless a later or graver end of that version is known; returns whether it was new.
    pub(super) fn record(&mut self, told: fleet::EarlierRollout) -> bool {
        let found = (told.row, told.end);
        if self.ends.get(&told.to).is_some_and(|known| *known >= found) {
            return false;
        }
        self.ends.insert(told.to.clone(), found);
        while self.ends.len() > VERSIONS_MAX {
            let first = self.ends.iter().min_by_key(|(_, found)| **found);
            let Some(first) = first.map(|(version, _)| version.clone()) else { break };
            self.ends.remove(&first);
        }
        self.update_filters();
        self.ends.contains_key(&told.to)
    }

    /// Forgets a version, as it is rolled out again.
    pub(super) fn forget(&mut self, version: &id::VersionId) {
        self.ends.remove(version);
        self.update_filters();
    }

    fn update_filters(&mut self) {
        let versions = |is_included: fn(fleet::RolloutEnd) -> bool| {
            let included = self.ends.iter().filter(|(_, (_, end))| is_included(*end));
            included.map(|(version, _)| version.clone()).collect()
        };
        self.excluded = versions(|end| end != fleet::RolloutEnd::Completed);
        self.withdrawn = versions(fleet::RolloutEnd::is_withdrawn);
        let completed =
            self.ends.iter().filter(|(_, (_, end))| *end == fleet::RolloutEnd::Completed);
        let last = completed.max_by_key(|(_, (row, _))| *row);
        self.base = last.map(|(version, _)| version.clone());
    }

    pub(super) fn is_withdrawn(&self, version: &id::VersionId) -> bool {
        self.withdrawn.contains(version)
    }

    pub(super) fn told(&self) -> Vec<fleet::EarlierRollout> {
        let told = |(to, (row, end)): (
            &id::VersionId,
            &(store_version::StoreVersion, fleet::RolloutEnd),
        )| fleet::EarlierRollout { to: to.clone(), row: *row, end: *end };
        self.ends.iter().map(told).collect()
    }
}

impl Canary {
    /// Takes over what is known of the roll-outs before this one, of which `last` was the last.
    pub fn succeed(&mut self, last: &Self) {
        self.earlier = last.earlier.clone();
        self.earlier.record(fleet::EarlierRollout {
            to: last.order.to.clone(),
            row: last.version.unwrap_or_default(),
            end: end_of(last.progress, last.is_unproven),
        });
        self.earlier.forget(&self.order.to);
    }

    /// Records what operators were told of an earlier roll-out; returns whether it was new.
    pub fn record_earlier(
        &mut self,
        status: &fleet::Status,
        row: store_version::StoreVersion,
    ) -> bool {
        // A status that says `running` tells nothing of the end.
        let is_end = status.progress != fleet::Progress::Running;
        let is_before = self.version.is_some_and(|order| row < order);
        let end = end_of(status.progress, false);
        is_end
            && is_before
            && self.record_told(fleet::EarlierRollout { to: status.to.clone(), row, end })
    }

    /// Merges what a peer knows of earlier roll-outs; returns whether any of it was new.
    pub fn merge_earlier(&mut self, snapshot: &Snapshot) -> bool {
        let mut is_new = false;
        for told in &snapshot.earlier {
            is_new |= self.record_told(told.clone());
        }
        // The peer may not have heard of this order yet.
        if let Some((row, _)) = snapshot.order.zip(self.version).filter(|(told, own)| told < own) {
            let end = end_of(snapshot.progress, snapshot.is_unproven);
            is_new |= self.record_told(fleet::EarlierRollout { to: snapshot.to.clone(), row, end });
        }
        is_new
    }

    /// Records an earlier roll-out that another relay knows; returns whether it was new.
    pub fn record_told(&mut self, told: fleet::EarlierRollout) -> bool {
        // The version that is rolled out now is judged anew.
        told.to != self.order.to && self.earlier.record(told)
    }

    /// Whether a version may get a request now: it was rolled back neither by this roll-out nor by an earlier one.
    pub fn allows(&self, version: &id::VersionId) -> bool {
        if *version == self.order.to {
            self.progress != fleet::Progress::RolledBack
        } else {
            !self.earlier.is_withdrawn(version)
        }
    }

    /// Whether any version was rolled back, by this roll-out or an earlier one.
    pub fn has_withdrawn(&self) -> bool {
        self.progress == fleet::Progress::RolledBack || !self.earlier.withdrawn.is_empty()
    }

    /// Whether a version's endpoints may end at any time, as a roll-out was rolled back or another version has replaced
    /// it; `has_version` tells whether a version has endpoints in service.
    pub fn is_end_expected<F>(&self, version: &id::VersionId, has_version: F) -> bool
    where
        F: Fn(&id::VersionId) -> bool,
    {
        if !self.allows(version) {
            return true;
        }
        let is_done = self.progress == fleet::Progress::Completed;
        let replacing = if is_done { Some(&self.order.to) } else { self.earlier.base.as_ref() };
        *version != self.order.to
            && replacing.is_some_and(|replacing| version != replacing && has_version(replacing))
    }

    /// Versions that requests of a variant go to; `serves` tells whether any of the given versions has an endpoint in
    /// service. Old is the version of the last completed roll-out or, if it has none, all that were neither
    /// rolled back nor superseded before a verdict; the latter count if there is no other.
    pub fn versions<F>(&self, variant: Variant, serves: F) -> balance::Versions<'_>
    where
        F: Fn(balance::Versions<'_>) -> bool,
    {
        let to = &self.order.to;
        if variant == Variant::Candidate {
            return balance::Versions::Only(to);
        }
        let Earlier { excluded, withdrawn, base, .. } = &self.earlier;
        let base = base.as_ref().map(balance::Versions::Only);
        if let Some(base) = base.filter(|base| serves(*base)) {
            return base;
        }
        let others = balance::Versions::Except { to, others: excluded };
        let has_superseded = excluded.len() > withdrawn.len();
        if has_superseded && !serves(others) {
            return balance::Versions::Except { to, others: withdrawn };
        }
        others
    }

    /// Earlier roll-outs and how they ended, as they are stored and logged.
    pub fn earlier(&self) -> Vec<fleet::EarlierRollout> {
        self.earlier.told()
    }
}
