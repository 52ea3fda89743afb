//! Engines, an owner and a weight store in steps of one second.

use std::collections::BTreeMap;

use ibishill_config::{declared, yaml};
use ibishill_core::{id, time, view};
use ibishill_decide::place::{self, home, order, target};

use ibishill_platform::weight;
use ibishill_standin::weight as store;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{STAGE_S, Slots, Versions, names, stage};

const ENGINES: usize = 24;
const SLOTS: u32 = 16;
const MEMORY: u32 = 2;

/// Time to load a version.
const LOAD_S: u64 = 40;

/// Time within which a version loaded again counts as thrash.
const THRASH_S: u64 = 900;

/// Lease of an earlier owner, within which its last orders may arrive, in seconds.
const LEASE_S: u64 = 13;

const LOST: f64 = 0.2;
const UNREACHED: f64 = 0.05;

/// Chance that an engine gets an old order in a second after the takeover.
const LATE: f64 = 0.2;

/// When the owner changes.
const TAKEOVER_S: u64 = 2 * STAGE_S - 2;

const SECOND_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy)]
pub(super) enum Way {
    Rules(place::Rules),
    Static,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    fencing: bool,
    highest: u64,
    // Versions by the second at which they are ready.
    versions: BTreeMap<id::VersionRef, u64>,
    unloaded: BTreeMap<id::VersionRef, u64>,
}

impl Engine {
    fn ready(&self, at: u64) -> Versions {
        let ready = self.versions.iter().filter(|(_, ready)| **ready <= at);
        ready.map(|(version, _)| version.clone()).collect()
    }
}

#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) slots: Vec<f64>,
    pub(super) orders: u64,
    pub(super) reloads: u64,
    pub(super) asked: f64,
    pub(super) refused: f64,
    pub(super) kept: f64,
    pub(super) lost: u64,
    pub(super) fenced: u64,
    pub(super) stale: u64,
    pub(super) together: u64,
    pub(super) bare: u64,
}

pub(super) struct Sim {
    pub(super) rollout: bool,
    pub(super) faulty: bool,
    pub(super) settle: bool,
    way: Way,
    asked: fn(u64) -> [f64; 4],
    declared: declared::Declared,
    engines: BTreeMap<id::EndpointId, Engine>,
    tracks: BTreeMap<id::EndpointId, order::Tracker>,
    demand: target::Demand,
    store: store::Store,
    fence: u64,
    rng: ChaCha8Rng,
    result: Outcome,
}

fn tick(at: u64) -> time::Tick {
    time::Tick(at * SECOND_MS)
}

fn name(index: usize) -> id::VersionRef {
    names()[index].parse().expect("a name of the experiment is valid")
}

fn declare() -> declared::Declared {
    let mut text = String::from("zones: {z: {region: r}}\nversions:\n");
    for version in names() {
        let state = if version == "a@v2" { "candidate" } else { "serving" };
        text += &format!(
            "  {version}: {{prompt-price: 1, output-price: 1, quality: 0.9, state: {state}}}\n"
        );
    }
    text += "rollouts:\n  r: {from: a@v1, to: a@v2, stages: [5, 20, 50, 100], dwell: 600000}\n";
    text += "endpoints:\n";
    for n in 0..ENGINES {
        text += &format!(
            "  e{n:02}: {{zone: z, address: '127.0.0.1:{}', versions: [{}], slots: {SLOTS}, \
             memory: {MEMORY}, fencing: {}}}\n",
            n + 1,
            names().join(", "),
            !n.is_multiple_of(3),
        );
    }
    yaml::read("place", &text).expect("the declarations of the experiment are valid")
}

impl Sim {
    pub(super) fn new(seed: u64, way: Way, asked: fn(u64) -> [f64; 4]) -> Self {
        let mut declared = declare();
        // Without a roll-out the candidate is never asked for.
        declared.rollouts.values_mut().for_each(|rollout| {
            rollout.state = declared::RolloutState::Halted;
        });
        let engine = |(n, (name, endpoint)): (usize, (&id::EndpointId, &declared::Endpoint))| {
            // Half of the memory holds the main version, as the day before has left it.
            let versions = [(self::name(0), 0), (self::name(2 + n % 2), 0)].into();
            let fencing = endpoint.fencing;
            (name.clone(), Engine { fencing, versions, ..Engine::default() })
        };
        let engines: BTreeMap<_, _> = declared.endpoints.iter().enumerate().map(engine).collect();
        let track = |name: &id::EndpointId| (name.clone(), order::Tracker::new(tick(0)));
        Self {
            rollout: false,
            faulty: false,
            settle: true,
            way,
            asked,
            tracks: engines.keys().map(track).collect(),
            declared,
            engines,
            demand: target::Demand::default(),
            store: store::Store::new(time::Millis(2_000), time::Millis(60_000)),
            fence: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            result: Outcome::default(),
        }
    }

    pub(super) fn run(mut self, length: u64) -> Outcome {
        for at in 0..length {
            if self.rollout {
                let rollout = self.declared.rollouts.values_mut();
                rollout.for_each(|rollout| {
                    rollout.state = declared::RolloutState::Running;
                    rollout.stage = stage(at);
                });
            }
            let counts = self.serve(at);
            if let Way::Rules(rules) = self.way {
                self.read(at);
                self.decide(at, &rules, &counts);
            }
            if self.faulty {
                self.take_over(at);
            }
        }
        self.result
    }

    // Each engine gives its slots to what it holds, by demand.
    fn serve(&mut self, at: u64) -> BTreeMap<id::VersionRef, target::Count> {
        let asked = (self.asked)(at);
        let mut asked: Slots = (0..asked.len())
            .map(|n| (name(n), asked[n] * self.rng.random_range(0.9..1.1)))
            .collect();
        let wanted = asked.clone();
        let room = self.room(at);
        let mut counts = BTreeMap::new();
        for (version, slots) in &mut asked {
            let free = room.get(version).copied().unwrap_or(0.0);
            let running = slots.min(free);
            let count = target::Count {
                running: running.round() as u32,
                refused: (*slots - running).round() as u32,
                ..target::Count::default()
            };
            counts.insert(version.clone(), count);
            self.result.asked += *slots;
            self.result.refused += *slots - running;
            if matches!(self.way, Way::Static) {
                self.result.kept += free - running;
            }
        }
        let served = wanted.iter().filter(|(version, _)| home::is_served(&self.declared, version));
        let bare = served.filter(|(version, _)| !room.contains_key(*version)).count();
        // The first seconds are those of the first load.
        if at > STAGE_S / 2 && bare > 0 {
            self.result.bare += 1;
        }
        self.result.slots.push(room.get(&name(1)).copied().unwrap_or(0.0));
        counts
    }

    fn room(&self, at: u64) -> Slots {
        let mut room = Slots::new();
        for engine in self.engines.values() {
            for version in engine.ready(at) {
                *room.entry(version).or_default() += f64::from(SLOTS / MEMORY);
            }
        }
        room
    }

    fn read(&mut self, at: u64) {
        for (name, engine) in &self.engines {
            if let Some(track) = self.tracks.get_mut(name) {
                track.observe(&engine.ready(at), tick(at));
            }
        }
    }

    fn decide(
        &mut self,
        at: u64,
        rules: &place::Rules,
        counts: &BTreeMap<id::VersionRef, target::Count>,
    ) {
        self.demand.record(counts, 1, rules.half_life, tick(at));
        let engines = self.seen(at, rules);
        let mut needs = self.demand.needs(&self.declared, rules);
        let homes = home::homes(&self.declared, &"z".parse().expect("a valid zone"));
        needs.iter_mut().for_each(|(version, need)| need.floor = homes.contains_key(version));
        let targets = self.demand.targets(&engines, &needs, rules, tick(at));
        let kept: u32 = targets.values().map(|target| target.count).sum();
        let wanted: f64 = (self.asked)(at).iter().sum();
        self.result.kept += f64::from(kept * SLOTS / MEMORY) - wanted;
        for step in place::steps(&engines, &needs, &targets, &Versions::new()) {
            if let Some(track) = self.tracks.get_mut(&step.endpoint) {
                track.plan(step.change);
            }
        }
        let planned = self
            .tracks
            .iter()
            .filter_map(|(name, track)| Some((name.clone(), track.planned()?.clone())));
        for (name, change) in planned.collect::<Vec<_>>() {
            if self.granted(&name, &change, at) {
                self.order(&name, &change, at);
            }
        }
        let busy = |(name, track): &(&id::EndpointId, &order::Tracker)| {
            track.is_pending() && !self.engines[*name].fencing
        };
        let together = self.tracks.iter().filter(busy).count() as u64;
        self.result.together = self.result.together.max(together);
    }

    fn seen(&self, at: u64, rules: &place::Rules) -> BTreeMap<id::EndpointId, place::Engine> {
        let lease = time::Millis(if self.settle { LEASE_S * SECOND_MS } else { 0 });
        let number = view::ViewNumber(self.fence);
        let seen = |(name, engine): (&id::EndpointId, &Engine)| {
            let track = &self.tracks[name];
            let seen = place::Engine {
                loadable: self.declared.endpoints[name].versions.clone(),
                memory: MEMORY,
                adapters: 0,
                slots: SLOTS,
                loaded: engine.ready(at),
                ready: track.can_order(engine.fencing, lease, rules.dwell, number, tick(at)),
                fencing: engine.fencing,
                pending: track.is_pending(),
                loading: track.loading().cloned(),
            };
            (name.clone(), seen)
        };
        self.engines.iter().map(seen).collect()
    }

    fn granted(&mut self, name: &id::EndpointId, change: &place::Change, at: u64) -> bool {
        let place::Change::Load(version) = change else { return true };
        let zone = self.declared.endpoints[name].zone.clone();
        let ask = weight::Reservation { zone, endpoint: name.clone(), version: version.clone() };
        self.store.reserve(ask, tick(at)).wait_ms == 0
    }

    fn order(&mut self, name: &id::EndpointId, change: &place::Change, at: u64) {
        let draw: f64 = if self.faulty { self.rng.random() } else { 1.0 };
        let Some(track) = self.tracks.get_mut(name) else { return };
        track.mark_sent(tick(at));
        self.result.orders += 1;
        if draw < UNREACHED {
            track.record_answer(order::Answer::Unreachable, tick(at));
            return;
        }
        // Half of the lost answers belong to orders that were lost as well.
        let lost = draw < UNREACHED + LOST;
        let answer = if lost { order::Answer::Unknown } else { order::Answer::Accepted };
        track.record_answer(answer, tick(at));
        self.result.lost += u64::from(lost);
        if lost && self.rng.random::<bool>() {
            return;
        }
        let fence = self.fence;
        if let Some(engine) = self.engines.get_mut(name) {
            engine.highest = engine.highest.max(fence);
            carry_out(engine, change, at, &mut self.result);
        }
    }

    // A new owner comes; the old one's last orders still arrive for the length of a lease.
    // They are counted only, so that both owners are measured by the same placement.
    fn take_over(&mut self, at: u64) {
        if at == TAKEOVER_S {
            self.fence += 1;
            self.tracks.values_mut().for_each(|track| *track = order::Tracker::new(tick(at)));
        }
        if !(TAKEOVER_S..TAKEOVER_S + LEASE_S).contains(&at) {
            return;
        }
        for engine in self.engines.values_mut() {
            if !self.rng.random_bool(LATE) {
                continue;
            }
            let newer = engine.highest >= self.fence;
            self.result.fenced += u64::from(newer && engine.fencing);
            self.result.stale += u64::from(newer && !engine.fencing);
        }
    }
}

fn carry_out(engine: &mut Engine, change: &place::Change, at: u64, result: &mut Outcome) {
    match change {
        place::Change::Load(version) => {
            if engine.versions.contains_key(version) {
                return;
            }
            let gone = engine.unloaded.get(version);
            result.reloads += u64::from(gone.is_some_and(|gone| at - gone < THRASH_S));
            engine.versions.insert(version.clone(), at + LOAD_S);
        }
        place::Change::Unload(version) => {
            if engine.versions.remove(version).is_some() {
                engine.unloaded.insert(version.clone(), at);
            }
        }
    }
}
