//! How many engines should hold each version.

use std::collections::BTreeMap;

use ibishill_config::declared;
use ibishill_core::{id, time};

use crate::place;

/// Demand below which no engine is loaded, in slots.
const SLOTS_MIN: f64 = 0.05;

/// Requests for a version in one period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests refused for want of a slot.
    pub refused: u32,
    /// Requests turned away because no engine here held the version; others were asked too.
    pub missed: u32,
}

impl Count {
    /// Slots that the requests take or would take here, where `owners` share a zone.
    pub fn slots(self, owners: usize) -> f64 {
        let missed = f64::from(self.missed) / owners.max(1) as f64;
        f64::from(self.running) + f64::from(self.queued) + f64::from(self.refused) + missed
    }
}

#[derive(Debug, Clone, Copy)]
struct Pair {
    count: Kept,
    least: Kept,
}

#[derive(Debug, Clone, Copy)]
struct Kept {
    count: u32,
    // Since when, and up to where, targets have been lower.
    lower: Option<(time::Tick, u32)>,
}

/// Demand as it was, and the targets that follow from it.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    slots: BTreeMap<id::VersionRef, f64>,
    seen: Option<time::Tick>,
    kept: BTreeMap<id::VersionRef, Pair>,
}

impl Demand {
    /// Takes in the counts of one period; a rise counts at once, a fall by half-lives.
    pub fn record(
        &mut self,
        counts: &BTreeMap<id::VersionRef, Count>,
        owners: usize,
        half: time::Millis,
        now: time::Tick,
    ) {
        let passed = self.seen.map_or(time::Millis(0), |seen| now.since(seen));
        self.seen = Some(now);
        let halves = passed.0 as f64 / half.0.max(1) as f64;
        let left = 0.5_f64.powf(halves);
        self.slots.values_mut().for_each(|slots| *slots *= left);
        for (version, count) in counts {
            let slots = self.slots.entry(version.clone()).or_default();
            *slots = slots.max(count.slots(owners));
        }
    }

    /// Slots that a version needs.
    pub fn slots(&self, version: &id::VersionRef) -> f64 {
        self.slots.get(version).copied().unwrap_or(0.0)
    }

    /// What each declared version needs, with roll-outs taken into account.
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

    /// How many engines should hold each version; a fall takes effect after `hold`.
    pub fn targets(
        &mut self,
        engines: &BTreeMap<id::EndpointId, place::Engine>,
        needs: &BTreeMap<id::VersionRef, place::Need>,
        rules: &place::Rules,
        now: time::Tick,
    ) -> BTreeMap<id::VersionRef, place::Target> {
        let wanted = share_out(engines, needs, rules.headroom);
        let least = share_out(engines, needs, 1.0);
        self.kept.retain(|version, _| needs.contains_key(version));
        for (version, count) in &wanted {
            // An owner without history takes what it finds as wanted, for one hold.
            let found = || Pair::found(engines, version);
            let kept = self.kept.entry(version.clone()).or_insert_with(found);
            kept.count.follow(*count, rules.hold, now);
            kept.least.follow(least.get(version).copied().unwrap_or(0), rules.hold, now);
        }
        let target = |(version, kept): (&id::VersionRef, &Pair)| {
            let target = place::Target { count: kept.count.count, required: kept.least.count };
            (version.clone(), target)
        };
        self.kept.iter().map(target).collect()
    }
}

impl Pair {
    fn found(engines: &BTreeMap<id::EndpointId, place::Engine>, version: &id::VersionRef) -> Self {
        let holds = engines.values().filter(|engine| engine.loaded.contains(version)).count();
        let kept = Kept { count: holds as u32, lower: None };
        Self { count: kept, least: kept }
    }
}

impl Kept {
    fn follow(&mut self, count: u32, hold: time::Millis, now: time::Tick) {
        if count >= self.count {
            *self = Self { count, lower: None };
            return;
        }
        let (since, most) = self.lower.unwrap_or((now, count));
        let most = most.max(count);
        self.lower = Some((since, most));
        if now.since(since) >= hold {
            *self = Self { count: most, lower: None };
        }
    }
}

fn percent(rollout: &declared::Rollout, ahead: bool) -> u8 {
    let now = rollout.percent();
    if !ahead || rollout.state != declared::RolloutState::Running {
        return now;
    }
    rollout.stages.get(rollout.stage + 1).copied().unwrap_or(now).max(now)
}

struct Share {
    version: id::VersionRef,
    need: f64,
    // Engines that may load it, and the slots that one of them gives it.
    able: u32,
    each: f64,
    adapter: bool,
    count: u32,
}

impl Share {
    fn lack(&self) -> f64 {
        self.need / (f64::from(self.count.max(1)) * self.each)
    }

    fn wants(&self) -> bool {
        let full = f64::from(self.count) * self.each >= self.need;
        self.count < self.able && !full
    }
}

// Floors come first; then each place goes to the version that lacks most.
fn share_out(
    engines: &BTreeMap<id::EndpointId, place::Engine>,
    needs: &BTreeMap<id::VersionRef, place::Need>,
    headroom: f64,
) -> BTreeMap<id::VersionRef, u32> {
    let mut places: u32 = engines.values().map(|engine| engine.memory).sum();
    let mut adapters: u32 = engines.values().map(|engine| engine.adapters).sum();
    let mut shares: Vec<_> =
        needs.iter().filter_map(|(name, need)| share(engines, name, need, headroom)).collect();
    for share in &mut shares {
        let room = if share.adapter { &mut adapters } else { &mut places };
        if needs[&share.version].floor && *room > 0 {
            share.count = 1;
            *room -= 1;
        }
    }
    loop {
        let open = |share: &&mut Share| {
            let room = if share.adapter { adapters } else { places };
            room > 0 && share.wants()
        };
        let next = shares.iter_mut().filter(open).max_by(|a, b| {
            // A version without any engine comes before all that have one.
            (a.count == 0).cmp(&(b.count == 0)).then(a.lack().total_cmp(&b.lack()))
        });
        let Some(share) = next else { break };
        share.count += 1;
        let room = if share.adapter { &mut adapters } else { &mut places };
        *room -= 1;
    }
    shares.into_iter().map(|share| (share.version, share.count)).collect()
}

fn share(
    engines: &BTreeMap<id::EndpointId, place::Engine>,
    name: &id::VersionRef,
    need: &place::Need,
    headroom: f64,
) -> Option<Share> {
    let able: Vec<_> = engines.values().filter(|engine| engine.loadable.contains(name)).collect();
    if able.is_empty() {
        return None;
    }
    let slots: u32 = able.iter().map(|engine| engine.slots / engine.memory.max(1)).sum();
    Some(Share {
        version: name.clone(),
        // Demand that has all but decayed needs no engine.
        need: if need.slots < SLOTS_MIN { 0.0 } else { need.slots * headroom },
        able: able.len() as u32,
        each: (f64::from(slots) / able.len() as f64).max(1.0),
        adapter: need.base.is_some(),
        count: 0,
    })
}
