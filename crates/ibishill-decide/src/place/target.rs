//! How many engines should hold each version.

use std::collections::BTreeMap;

use ibishill_config::declared;
use ibishill_core::{id, time};

use crate::place;

/// Demand in slots below which a version needs no engine, since a decaying estimate never
/// reaches zero.
const SLOTS_MIN: f64 = 0.05;

/// Requests for a version in one reporting period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests in flight.
    pub running: u32,
    /// Requests in the wait queue.
    pub queued: u32,
    /// Requests refused because no slot was free.
    pub refused: u32,
    /// Requests not admitted because no engine of this owner held the version. The
    /// zone's other owners are asked, too.
    pub missed: u32,
}

impl Count {
    /// Slots that the requests take or would take at this owner, one of `owners` in its zone.
    pub fn slots(self, owners: usize) -> f64 {
        let missed = f64::from(self.missed) / owners.max(1) as f64;
        f64::from(self.running) + f64::from(self.queued) + f64::from(self.refused) + missed
    }
}

#[derive(Debug, Clone, Copy)]
struct HeldTarget {
    count: HeldCount,
    required: HeldCount,
}

// A target that rises at once and falls only after it has been lower for the hold time.
#[derive(Debug, Clone, Copy)]
struct HeldCount {
    value: u32,
    // When the computed target fell below `value`, and its maximum since then.
    falling: Option<(time::Tick, u32)>,
}

/// Smoothed demand, and the targets derived from it.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    slots: BTreeMap<id::VersionRef, f64>,
    updated: Option<time::Tick>,
    held: BTreeMap<id::VersionRef, HeldTarget>,
}

impl Demand {
    /// Records the counts of one period; demand rises at once and decays with `half_life`.
    pub fn record(
        &mut self,
        counts: &BTreeMap<id::VersionRef, Count>,
        owners: usize,
        half_life: time::Millis,
        now: time::Tick,
    ) {
        let elapsed = self.updated.map_or(time::Millis(0), |updated| now.since(updated));
        self.updated = Some(now);
        let half_lives = elapsed.0 as f64 / half_life.0.max(1) as f64;
        let decay = 0.5_f64.powf(half_lives);
        self.slots.values_mut().for_each(|slots| *slots *= decay);
        for (version, count) in counts {
            let slots = self.slots.entry(version.clone()).or_default();
            *slots = slots.max(count.slots(owners));
        }
    }

    /// Smoothed demand for a version, in slots; 0 if it had no requests.
    pub fn slots(&self, version: &id::VersionRef) -> f64 {
        self.slots.get(version).copied().unwrap_or(0.0)
    }

    /// The need of each declared version that is not withdrawn.
    ///
    /// A roll-out's new version needs at least its stage's share of the demand for both versions.
    /// No need has its `floor` set.
    pub fn needs(
        &self,
        declared: &declared::Declared,
        rules: &place::Rules,
    ) -> BTreeMap<id::VersionRef, place::Need> {
        let mut needs: BTreeMap<_, _> = declared
            .versions
            .iter()
            .filter(|(_, version)| version.state != declared::VersionState::Withdrawn)
            .map(|(name, version)| {
                let base = version.base.clone();
                let slots = self.slots(name);
                (name.clone(), place::Need { slots, floor: false, base })
            })
            .collect();
        for rollout in declared.rollouts.values() {
            let total = self.slots(&rollout.from) + self.slots(&rollout.to);
            let share = f64::from(percent(rollout, rules.preload)) / 100.0;
            if let Some(need) = needs.get_mut(&rollout.to) {
                need.slots = need.slots.max(total * share);
            }
        }
        needs
    }

    /// How many engines should hold each version; a lower target takes effect after the hold time.
    pub fn targets(
        &mut self,
        engines: &BTreeMap<id::EndpointId, place::Engine>,
        needs: &BTreeMap<id::VersionRef, place::Need>,
        rules: &place::Rules,
        now: time::Tick,
    ) -> BTreeMap<id::VersionRef, place::Target> {
        let counts = allocate(engines, needs, rules.headroom);
        let required = allocate(engines, needs, 1.0);
        self.held.retain(|version, _| needs.contains_key(version));
        for (version, count) in &counts {
            // An owner without history keeps the engines that already hold a version for one hold
            // time.
            let loaded = || HeldTarget::loaded(engines, version);
            let held = self.held.entry(version.clone()).or_insert_with(loaded);
            held.count.update(*count, rules.hold, now);
            held.required.update(required.get(version).copied().unwrap_or(0), rules.hold, now);
        }
        let target = |(version, held): (&id::VersionRef, &HeldTarget)| {
            let target = place::Target { count: held.count.value, required: held.required.value };
            (version.clone(), target)
        };
        self.held.iter().map(target).collect()
    }
}

impl HeldTarget {
    fn loaded(engines: &BTreeMap<id::EndpointId, place::Engine>, version: &id::VersionRef) -> Self {
        let holders = engines.values().filter(|engine| engine.loaded.contains(version)).count();
        let held = HeldCount { value: holders as u32, falling: None };
        Self { count: held, required: held }
    }
}

impl HeldCount {
    fn update(&mut self, count: u32, hold: time::Millis, now: time::Tick) {
        if count >= self.value {
            *self = Self { value: count, falling: None };
            return;
        }
        let (since, max) = self.falling.unwrap_or((now, count));
        let max = max.max(count);
        self.falling = Some((since, max));
        if now.since(since) >= hold {
            *self = Self { value: max, falling: None };
        }
    }
}

// Percentage of the demand that a roll-out's new version needs engines for; with `preload`, that
// of the next stage.
fn percent(rollout: &declared::Rollout, preload: bool) -> u8 {
    let current = rollout.percent();
    if !preload || rollout.state != declared::RolloutState::Running {
        return current;
    }
    rollout.stages.get(rollout.stage + 1).copied().unwrap_or(current).max(current)
}

struct Allocation {
    version: id::VersionRef,
    need: f64,
    // Engines that may load it, and its slots on one of them.
    eligible: u32,
    slots_each: f64,
    adapter: bool,
    count: u32,
}

impl Allocation {
    // Ratio of the need to the slots allocated.
    fn load(&self) -> f64 {
        self.need / (f64::from(self.count.max(1)) * self.slots_each)
    }

    fn needs_more(&self) -> bool {
        let is_met = f64::from(self.count) * self.slots_each >= self.need;
        self.count < self.eligible && !is_met
    }
}

// Allocates the engines' places: one to each version with a floor, then one by one to versions
// on no engine, then to the version with the highest load.
fn allocate(
    engines: &BTreeMap<id::EndpointId, place::Engine>,
    needs: &BTreeMap<id::VersionRef, place::Need>,
    headroom: f64,
) -> BTreeMap<id::VersionRef, u32> {
    let mut places: u32 = engines.values().map(|engine| engine.memory).sum();
    let mut adapters: u32 = engines.values().map(|engine| engine.adapters).sum();
    let mut allocations: Vec<_> =
        needs.iter().filter_map(|(name, need)| allocation(engines, name, need, headroom)).collect();
    for allocation in &mut allocations {
        let room = if allocation.adapter { &mut adapters } else { &mut places };
        if needs[&allocation.version].floor && *room > 0 {
            allocation.count = 1;
            *room -= 1;
        }
    }
    loop {
        let eligible = |allocation: &&mut Allocation| {
            let room = if allocation.adapter { adapters } else { places };
            room > 0 && allocation.needs_more()
        };
        let next = allocations.iter_mut().filter(eligible).max_by(|a, b| {
            // A version on no engine comes before all others.
            (a.count == 0).cmp(&(b.count == 0)).then(a.load().total_cmp(&b.load()))
        });
        let Some(allocation) = next else { break };
        allocation.count += 1;
        let room = if allocation.adapter { &mut adapters } else { &mut places };
        *room -= 1;
    }
    allocations.into_iter().map(|allocation| (allocation.version, allocation.count)).collect()
}

fn allocation(
    engines: &BTreeMap<id::EndpointId, place::Engine>,
    name: &id::VersionRef,
    need: &place::Need,
    headroom: f64,
) -> Option<Allocation> {
    let eligible: Vec<_> =
        engines.values().filter(|engine| engine.loadable.contains(name)).collect();
    if eligible.is_empty() {
        return None;
    }
    // Loaded versions share the engine's slots evenly.
    let slots: u32 = eligible.iter().map(|engine| engine.slots / engine.memory.max(1)).sum();
    Some(Allocation {
        version: name.clone(),
        need: if need.slots < SLOTS_MIN { 0.0 } else { need.slots * headroom },
        eligible: eligible.len() as u32,
        slots_each: (f64::from(slots) / eligible.len() as f64).max(1.0),
        adapter: need.base.is_some(),
        count: 0,
    })
}
