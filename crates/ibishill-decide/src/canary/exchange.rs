//! What daemons tell each other of a roll-out, what the store says of it, and which of it prevails.

use std::collections::BTreeMap;

use ibishill_core::{fleet, id, store_version, time};
use serde::{Deserialize, Serialize};

use super::Canary;
use super::tally::{Answers, Routes, Source, Tally};

/// Processes of one VM whose counts are kept; it restarts a few times in a roll-out at most.
const PROCESSES_MAX: usize = 4;

/// State of a roll-out that a daemon gossips to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The service.
    pub service: id::ServiceId,
    /// The version that the service moves to.
    pub to: id::VersionId,
    /// Time since the order, as far as the sender knows.
    pub age: time::Millis,
    /// Progress as seen by the sender.
    pub progress: fleet::Progress,
    /// Counts by daemon: the sender's, if the roll-out is running and the receiver decides about it.
    pub tallies: BTreeMap<id::VmId, Tally>,
    /// Whether the sender's evidence stops the share from growing.
    pub is_doubted: bool,
    /// Whether any daemon that the sender heard of has seen proof that the version is sound.
    pub is_cleared: bool,
    /// Sessions of the initial share that began on the old version; empty in the second half.
    pub pinned: Vec<u64>,
    /// Version of the order's row; none if the sender's build does not tell.
    #[serde(skip)]
    pub order: Option<store_version::StoreVersion>,
    /// Whether the sender rolled back for want of proof, not for evidence of faults.
    #[serde(skip)]
    pub is_unproven: bool,
    /// Whether a verdict may have been reached before the sender heard of the order.
    #[serde(skip)]
    pub is_uninformed: bool,
    /// Earlier roll-outs of the service.
    #[serde(skip)]
    pub earlier: Vec<fleet::EarlierRollout>,
}

impl Canary {
    /// Merges a peer's snapshot; returns whether it changed the progress. Ignored if it is of another
    /// order.
    pub fn merge(&mut self, snapshot: Snapshot, own: &id::VmId, now: time::Tick) -> bool {
        if snapshot.to != self.order.to || self.is_other_order(snapshot.order) {
            return false;
        }
        self.is_informed |= !snapshot.is_uninformed;
        if snapshot.age > self.age(now) {
            self.ordered_at = time::Tick(now.0.saturating_sub(snapshot.age.0));
        }
        for (vm, tally) in snapshot.tallies {
            self.merge_tally(vm, tally, own, now);
        }
        for session in snapshot.pinned {
            self.pin(session);
        }
        if snapshot.is_doubted {
            self.peer_doubt = Some(now);
        }
        self.is_cleared |= snapshot.is_cleared;
        let before = self.progress;
        match snapshot.progress {
            // The completion was proved.
            fleet::Progress::RolledBack
                if snapshot.is_unproven && before == fleet::Progress::Completed => {}
            fleet::Progress::RolledBack => self.roll_back(snapshot.is_unproven),
            progress => self.merge_progress(progress),
        }
        self.progress != before
    }

    // Rows of a store that was restored have other numbers, so they don't tell orders apart.
    fn is_other_order(&self, told: Option<store_version::StoreVersion>) -> bool {
        let both = self.version.zip(told);
        both.is_some_and(|(own, told)| own.era == told.era && own.number != told.number)
    }

    fn merge_tally(&mut self, vm: id::VmId, tally: Tally, own: &id::VmId, now: time::Tick) {
        if vm == *own || !tally.is_plausible() {
            return;
        }
        let key = (vm, tally.start);
        if self.tallies.get(&key).is_some_and(|known| known.size() > tally.size()) {
            return;
        }
        self.heard.insert(key.clone(), now);
        let of_vm = (key.0.clone(), 0)..=(key.0.clone(), u64::MAX);
        self.tallies.insert(key, tally);
        let mut of_vm = self.tallies.range(of_vm).map(|(key, _)| key.clone());
        let (first, count) = (of_vm.next(), 1 + of_vm.count());
        if let Some(first) = first.filter(|_| count > PROCESSES_MAX) {
            self.tallies.remove(&first);
            self.heard.remove(&first);
        }
    }

    fn roll_back(&mut self, is_unproven: bool) {
        let was_rolled_back = self.progress == fleet::Progress::RolledBack;
        self.is_unproven = is_unproven && (self.is_unproven || !was_rolled_back);
        self.progress = fleet::Progress::RolledBack;
    }

    /// Merges another daemon's or this daemon's progress. A finished roll-out never runs again,
    /// and a rollback overrides a completion, unless it was for want of the proof that completed it.
    pub fn merge_progress(&mut self, progress: fleet::Progress) {
        let yields = self.progress == fleet::Progress::RolledBack && self.is_unproven;
        match progress {
            fleet::Progress::RolledBack => self.roll_back(self.is_unproven),
            fleet::Progress::Completed if yields => self.progress = progress,
            _ if self.progress == fleet::Progress::Running => self.progress = progress,
            _ => {}
        }
    }

    /// Merges the progress in the store, which operators have acted on; returns whether this daemon's
    /// has changed. Only a rollback for evidence overrides it.
    pub fn merge_stored(&mut self, stored: fleet::Progress) -> bool {
        let before = self.progress;
        self.is_informed = true;
        match stored {
            fleet::Progress::RolledBack => self.roll_back(false),
            fleet::Progress::Completed => self.merge_progress(stored),
            fleet::Progress::Running => {}
        }
        self.progress != before
    }

    /// The state to send to a peer: includes this daemon's counts if the peer is a decider, and the
    /// pinned sessions during the first half.
    pub fn snapshot(&self, own: &id::VmId, to_decider: bool, now: time::Tick) -> Snapshot {
        let is_running = self.progress == fleet::Progress::Running;
        let has_pins = is_running && self.pins_sessions(now);
        let of_own = self.tallies.range((own.clone(), 0)..=(own.clone(), u64::MAX));
        let tally = of_own.last().filter(|_| to_decider && is_running);
        let own_tally = tally.map(|(_, tally)| (own.clone(), tally.clone()));
        Snapshot {
            service: self.order.service.clone(),
            to: self.order.to.clone(),
            age: self.age(now),
            progress: self.progress,
            tallies: own_tally.into_iter().collect(),
            is_doubted: self.sees_doubt && is_running,
            is_cleared: self.is_cleared,
            pinned: if has_pins { self.pinned.iter().copied().collect() } else { Vec::new() },
            order: self.version,
            is_unproven: self.is_unproven,
            is_uninformed: !self.is_informed,
            earlier: self.earlier.told(),
        }
    }

    /// Whose answers of the new version are known, for the log.
    pub fn sources(&self, now: time::Tick) -> Vec<Source> {
        let source = |((vm, start), tally): (&(id::VmId, u64), &Tally)| {
            let mut answers = Answers::default();
            let pairs = tally.windows.values().flat_map(Routes::values);
            pairs.for_each(|pair| answers.add(&pair.candidate));
            let heard = self.heard.get(&(vm.clone(), *start));
            let age = heard.map_or(time::Millis(0), |at| now.since(*at));
            Source { vm: vm.clone(), answers, age }
        };
        self.tallies.iter().map(source).collect()
    }
}
