//! Picks the engines to change, and their changes.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::id;

use crate::place::{Change, Engine, Need, Step, Target};

pub(super) struct Picker<'a> {
    engines: &'a BTreeMap<id::EndpointId, Engine>,
    needs: &'a BTreeMap<id::VersionRef, Need>,
    targets: &'a BTreeMap<id::VersionRef, Target>,
    withdrawn: &'a BTreeSet<id::VersionRef>,
    // Engines that hold or load each version, less those that unload it in this round.
    holders: BTreeMap<id::VersionRef, u32>,
    // Engines that unload a version already, and so will have room for one below its target.
    unloading: u32,
    changed: BTreeSet<id::EndpointId>,
    // Whether an engine that does not check fencing numbers has an outstanding or new order.
    unfenced_pending: bool,
    steps: Vec<Step>,
}

impl<'a> Picker<'a> {
    pub(super) fn new(
        engines: &'a BTreeMap<id::EndpointId, Engine>,
        needs: &'a BTreeMap<id::VersionRef, Need>,
        targets: &'a BTreeMap<id::VersionRef, Target>,
        withdrawn: &'a BTreeSet<id::VersionRef>,
    ) -> Self {
        let mut holders: BTreeMap<_, u32> = BTreeMap::new();
        for version in engines.values().flat_map(Engine::held) {
            *holders.entry(version.clone()).or_default() += 1;
        }
        let unfenced_pending = engines.values().any(|engine| !engine.fencing && engine.pending);
        let unloads = |engine: &&Engine| engine.pending && engine.loading.is_none();
        let unloading = engines.values().filter(unloads).count() as u32;
        Self {
            unloading,
            engines,
            needs,
            targets,
            withdrawn,
            holders,
            changed: BTreeSet::new(),
            unfenced_pending,
            steps: Vec::new(),
        }
    }

    pub(super) fn run(mut self) -> Vec<Step> {
        let mut versions: Vec<_> = self.targets.keys().collect();
        // Versions on no engine first, then by slots needed per engine.
        versions.sort_by(|a, b| self.shortage(b).total_cmp(&self.shortage(a)));
        for version in versions {
            let missing = self.target(version).saturating_sub(self.count(version));
            for placed in 0..missing {
                if !self.place_once(version, self.count(version) + placed) {
                    break;
                }
            }
        }
        self.steps
    }

    fn shortage(&self, version: &id::VersionRef) -> f64 {
        let need = self.needs.get(version).map_or(0.0, |need| need.slots);
        let count = self.count(version);
        let on_none = self.target(version) > 0 && count == 0;
        if on_none { f64::MAX } else { need / f64::from(count.max(1)) }
    }

    fn target(&self, version: &id::VersionRef) -> u32 {
        self.targets.get(version).map_or(0, |target| target.count)
    }

    fn required(&self, version: &id::VersionRef) -> u32 {
        self.targets.get(version).map_or(0, |target| target.required)
    }

    fn count(&self, version: &id::VersionRef) -> u32 {
        self.holders.get(version).copied().unwrap_or(0)
    }

    fn is_adapter(&self, version: &id::VersionRef) -> bool {
        self.needs.get(version).is_some_and(|need| need.base.is_some())
    }

    // An engine takes one change at a time. Of the engines that do not check fencing numbers,
    // only one at a time takes a change.
    fn can_change(&self, name: &id::EndpointId, engine: &Engine) -> bool {
        engine.ready && !self.changed.contains(name) && (engine.fencing || !self.unfenced_pending)
    }

    // Adds a step that brings `version` to one more engine; `held` engines hold it or will.
    // Returns false if no engine can take it.
    fn place_once(&mut self, version: &id::VersionRef, held: u32) -> bool {
        let engines = self.engines;
        let candidates = |(name, engine): &(&id::EndpointId, &Engine)| {
            self.can_change(name, engine)
                && engine.loadable.contains(version)
                && !engine.loaded.contains(version)
                && self.has_base(engine, version)
        };
        let candidates: Vec<_> = engines.iter().filter(candidates).collect();
        let free = candidates.iter().find(|(_, engine)| self.has_room(engine, version));
        if let Some((name, _)) = free {
            self.add_step(name, Change::Load(version.clone()));
            return true;
        }
        if self.unloading > 0 {
            self.unloading -= 1;
            return true;
        }
        let victims = candidates.iter().filter_map(|(name, engine)| {
            let (rank, victim) = self.victim(engine, version, held)?;
            Some((rank, *name, victim))
        });
        let Some((_, name, victim)) = victims.min() else { return false };
        let count = self.holders.entry(victim.clone()).or_default();
        *count = count.saturating_sub(1);
        self.add_step(name, Change::Unload(victim));
        true
    }

    fn add_step(&mut self, name: &id::EndpointId, change: Change) {
        self.unfenced_pending |= !self.engines[name].fencing;
        self.changed.insert(name.clone());
        self.steps.push(Step { endpoint: name.clone(), change });
    }

    fn has_base(&self, engine: &Engine, version: &id::VersionRef) -> bool {
        let base = self.needs.get(version).and_then(|need| need.base.as_ref());
        base.is_none_or(|base| engine.loaded.contains(base))
    }

    fn has_room(&self, engine: &Engine, version: &id::VersionRef) -> bool {
        let adapter = self.is_adapter(version);
        let same_kind = engine.held().filter(|held| self.is_adapter(held) == adapter).count();
        let room = if adapter { engine.adapters } else { engine.memory };
        same_kind < room as usize
    }

    // The version to unload to make room for `version`, with its eviction rank.
    fn victim(
        &self,
        engine: &Engine,
        version: &id::VersionRef,
        count: u32,
    ) -> Option<(u8, id::VersionRef)> {
        let adapter = self.is_adapter(version);
        let same_kind = engine.loaded.iter().filter(|held| self.is_adapter(held) == adapter);
        let unused = same_kind.filter(|held| !self.is_base_in_use(engine, held));
        unused
            .filter_map(|held| Some((self.eviction_rank(held, version, count)?, held.clone())))
            .min()
    }

    fn is_base_in_use(&self, engine: &Engine, base: &id::VersionRef) -> bool {
        engine.held().any(|held| {
            let need = self.needs.get(held);
            need.is_some_and(|need| need.base.as_ref() == Some(base) && self.target(held) > 0)
        })
    }

    fn eviction_rank(
        &self,
        held: &id::VersionRef,
        version: &id::VersionRef,
        held_by: u32,
    ) -> Option<u8> {
        let (count, target) = (self.count(held), self.target(held));
        if self.withdrawn.contains(held) || !self.needs.contains_key(held) {
            return Some(0);
        }
        if count > target {
            return Some(1);
        }
        // The headroom of one version gives way to the required engines of another.
        if held_by < self.required(version) && count > self.required(held).max(1) {
            return Some(2);
        }
        // A version on no engine takes one from a version that is on several.
        (held_by == 0 && count > 1).then_some(3)
    }
}

impl Engine {
    /// Versions that the engine holds, or will hold once its outstanding load is done.
    fn held(&self) -> impl Iterator<Item = &id::VersionRef> {
        let loading = self.loading.iter().filter(|version| !self.loaded.contains(*version));
        self.loaded.iter().chain(loading)
    }
}
