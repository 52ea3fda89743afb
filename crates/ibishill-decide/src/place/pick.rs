//! Picks the engines that change.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::id;

use crate::place::{Change, Engine, Need, Step, Target};

pub(super) struct Picker<'a> {
    engines: &'a BTreeMap<id::EndpointId, Engine>,
    needs: &'a BTreeMap<id::VersionRef, Need>,
    targets: &'a BTreeMap<id::VersionRef, Target>,
    withdrawn: &'a BTreeSet<id::VersionRef>,
    // Engines with each version now, less those it is taken from in this round.
    have: BTreeMap<id::VersionRef, u32>,
    // Engines that already make room for a version that is short.
    promised: u32,
    used: BTreeSet<id::EndpointId>,
    unfenced: bool,
    steps: Vec<Step>,
}

impl<'a> Picker<'a> {
    pub(super) fn new(
        engines: &'a BTreeMap<id::EndpointId, Engine>,
        needs: &'a BTreeMap<id::VersionRef, Need>,
        targets: &'a BTreeMap<id::VersionRef, Target>,
        withdrawn: &'a BTreeSet<id::VersionRef>,
    ) -> Self {
        let mut have: BTreeMap<_, u32> = BTreeMap::new();
        for version in engines.values().flat_map(Engine::held) {
            *have.entry(version.clone()).or_default() += 1;
        }
        // An order that has not shown yet keeps all other unfenced engines waiting.
        let unfenced = engines.values().any(|engine| !engine.fencing && engine.pending);
        let leaving = |engine: &&Engine| engine.pending && engine.loading.is_none();
        let promised = engines.values().filter(leaving).count() as u32;
        Self {
            promised,
            engines,
            needs,
            targets,
            withdrawn,
            have,
            used: BTreeSet::new(),
            unfenced,
            steps: Vec::new(),
        }
    }

    pub(super) fn run(mut self) -> Vec<Step> {
        let mut short: Vec<_> = self.targets.keys().collect();
        // No engine at all is worst; then the largest need for each engine.
        short.sort_by(|a, b| self.lack(b).total_cmp(&self.lack(a)));
        for version in short {
            let missing = self.target(version).saturating_sub(self.count(version));
            for coming in 0..missing {
                if !self.place(version, self.count(version) + coming) {
                    break;
                }
            }
        }
        self.steps
    }

    fn lack(&self, version: &id::VersionRef) -> f64 {
        let need = self.needs.get(version).map_or(0.0, |need| need.slots);
        let count = self.count(version);
        let floor = self.target(version) > 0 && count == 0;
        if floor { f64::MAX } else { need / f64::from(count.max(1)) }
    }

    fn target(&self, version: &id::VersionRef) -> u32 {
        self.targets.get(version).map_or(0, |target| target.count)
    }

    fn least(&self, version: &id::VersionRef) -> u32 {
        self.targets.get(version).map_or(0, |target| target.required)
    }

    fn count(&self, version: &id::VersionRef) -> u32 {
        self.have.get(version).copied().unwrap_or(0)
    }

    fn is_adapter(&self, version: &id::VersionRef) -> bool {
        self.needs.get(version).is_some_and(|need| need.base.is_some())
    }

    // An engine takes one change at a time, and unfenced ones take them one by one.
    fn open(&self, name: &id::EndpointId, engine: &Engine) -> bool {
        engine.ready && !self.used.contains(name) && (engine.fencing || !self.unfenced)
    }

    // `held` engines hold the version or will.
    fn place(&mut self, version: &id::VersionRef, held: u32) -> bool {
        let engines = self.engines;
        let able = |(name, engine): &(&id::EndpointId, &Engine)| {
            self.open(name, engine)
                && engine.loadable.contains(version)
                && !engine.loaded.contains(version)
                && self.has_base(engine, version)
        };
        let able: Vec<_> = engines.iter().filter(able).collect();
        let free = able.iter().find(|(_, engine)| self.has_room(engine, version));
        if let Some((name, _)) = free {
            self.push(name, Change::Load(version.clone()));
            return true;
        }
        if self.promised > 0 {
            self.promised -= 1;
            return true;
        }
        let victims = able.iter().filter_map(|(name, engine)| {
            let (rank, victim) = self.victim(engine, version, held)?;
            Some((rank, *name, victim))
        });
        let Some((_, name, victim)) = victims.min() else { return false };
        let count = self.have.entry(victim.clone()).or_default();
        *count = count.saturating_sub(1);
        self.push(name, Change::Unload(victim));
        true
    }

    fn push(&mut self, name: &id::EndpointId, change: Change) {
        self.unfenced |= !self.engines[name].fencing;
        self.used.insert(name.clone());
        self.steps.push(Step { endpoint: name.clone(), change });
    }

    fn has_base(&self, engine: &Engine, version: &id::VersionRef) -> bool {
        let base = self.needs.get(version).and_then(|need| need.base.as_ref());
        base.is_none_or(|base| engine.loaded.contains(base))
    }

    fn has_room(&self, engine: &Engine, version: &id::VersionRef) -> bool {
        let adapter = self.is_adapter(version);
        let alike = engine.held().filter(|held| self.is_adapter(held) == adapter).count();
        let room = if adapter { engine.adapters } else { engine.memory };
        alike < room as usize
    }

    // What makes room for `version`, and how little it is missed.
    fn victim(
        &self,
        engine: &Engine,
        version: &id::VersionRef,
        count: u32,
    ) -> Option<(u8, id::VersionRef)> {
        let adapter = self.is_adapter(version);
        let alike = engine.loaded.iter().filter(|held| self.is_adapter(held) == adapter);
        let bare = alike.filter(|held| !self.carries(engine, held));
        bare.filter_map(|held| Some((self.rank(held, version, count)?, held.clone()))).min()
    }

    fn carries(&self, engine: &Engine, base: &id::VersionRef) -> bool {
        engine.held().any(|held| {
            let need = self.needs.get(held);
            need.is_some_and(|need| need.base.as_ref() == Some(base) && self.target(held) > 0)
        })
    }

    fn rank(&self, held: &id::VersionRef, version: &id::VersionRef, has: u32) -> Option<u8> {
        let (count, target) = (self.count(held), self.target(held));
        if self.withdrawn.contains(held) || !self.needs.contains_key(held) {
            return Some(0);
        }
        if count > target {
            return Some(1);
        }
        // One version's headroom gives way to another's need.
        if has < self.least(version) && count > self.least(held).max(1) {
            return Some(2);
        }
        // A version without any engine takes one from a version that has several.
        (has == 0 && count > 1).then_some(3)
    }
}

impl Engine {
    /// What the engine holds or will hold.
    fn held(&self) -> impl Iterator<Item = &id::VersionRef> {
        let coming = self.loading.iter().filter(|version| !self.loaded.contains(*version));
        self.loaded.iter().chain(coming)
    }
}
