//! Orders the engines of this daemon to load and unload versions.
//!
//! Orders leave under the number of the zone's view, by the owner alone. A version is
//! taken from admission before it is unloaded, and no load starts without the weight
//! store's leave. Whatever an order's answer was, its effect is read back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use futures::future;
use ibishill_config::{declared, in_force};
use ibishill_core::{clock, event, id, time, view};
use ibishill_decide::place::{self, home, order, target};
use ibishill_endpoint::{engine, failure, wire};
use ibishill_platform::weight;

use crate::context;
use crate::router::{self, demand};

/// Time for one question or order.
const TIMEOUT: time::Millis = time::Millis(2_000);

const PERIOD: Duration = Duration::from_secs(1);

type Tracks = BTreeMap<id::EndpointId, order::Tracker>;
type Held = BTreeMap<id::EndpointId, BTreeSet<id::VersionRef>>;

/// Starts the thread.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(context: Arc<context::Context>, weights: weight::Weights) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let duty = Task::new(context, weights);
    thread::Builder::new().name("orders".into()).spawn(move || runtime.block_on(duty.run()))?;
    Ok(())
}

/// The duty's state.
pub struct Task {
    context: Arc<context::Context>,
    weights: weight::Weights,
    demand: target::Demand,
    tracks: Tracks,
    held: Held,
    short: BTreeSet<id::VersionRef>,
}

// One round's facts.
struct Round {
    config: Arc<in_force::InForce>,
    view: view::View,
    rules: place::Rules,
    now: time::Tick,
}

impl Task {
    /// Makes the duty of a daemon that has given no order yet.
    pub fn new(context: Arc<context::Context>, weights: weight::Weights) -> Self {
        Self {
            context,
            weights,
            demand: target::Demand::default(),
            tracks: Tracks::new(),
            held: Held::new(),
            short: BTreeSet::new(),
        }
    }

    async fn run(mut self) {
        while !self.context.lifecycle.is_stopping() {
            self.step().await;
            tokio::time::sleep(PERIOD).await;
        }
    }

    /// Reads the engines back, decides, and sends what may be sent.
    pub async fn step(&mut self) {
        let gates = self.context.router.status().await;
        let config = self.context.config.get();
        let managed = |gate: &&router::LimiterStatus| {
            let endpoint = config.declared.endpoints.get(&gate.endpoint);
            endpoint.is_some_and(|endpoint| endpoint.memory.is_some())
        };
        let mine: Vec<_> = gates.iter().filter(managed).map(|gate| gate.endpoint.clone()).collect();
        if mine.is_empty() {
            self.tracks.clear();
            self.held.clear();
            return;
        }
        self.follow(&mine);
        self.read(&config.declared, &mine).await;
        let Some(demand) = self.context.router.demand().await else { return };
        let round = self.round(config, demand);
        self.plan(&round);
        let shown = self.show();
        let sendable = self.sendable(&shown).await;
        self.send(&round, sendable).await;
    }

    fn round(&mut self, config: Arc<in_force::InForce>, demand: demand::Demand) -> Round {
        let now = clock::boot_now();
        let rules = place::Rules::of(config.declared.policy);
        let view = self.context.views.get().zones.get(&self.context.location.zone).cloned();
        let view = view.unwrap_or_default();
        self.demand.record(&demand.counts, view.members.len(), rules.half_life, now);
        Round { config, view, rules, now }
    }

    fn follow(&mut self, mine: &[id::EndpointId]) {
        let now = clock::boot_now();
        self.tracks.retain(|name, _| mine.contains(name));
        self.held.retain(|name, _| mine.contains(name));
        for name in mine {
            self.tracks.entry(name.clone()).or_insert_with(|| order::Tracker::new(now));
        }
    }

    fn client(&self, endpoint: &declared::Endpoint) -> engine::Engine {
        engine::Engine::new(&self.context.endpoints, endpoint.address, TIMEOUT)
    }

    async fn read(&mut self, declared: &declared::Declared, mine: &[id::EndpointId]) {
        let asked = clock::boot_now();
        let reads = mine.iter().filter_map(|name| {
            let engine = self.client(declared.endpoints.get(name)?);
            Some(async move { (name, engine.loaded().await) })
        });
        for (name, answer) in future::join_all(reads).await {
            let Ok(loaded) = answer else { continue };
            let versions: BTreeSet<_> = loaded.versions.into_iter().collect();
            if let Some(track) = self.tracks.get_mut(name) {
                track.observe(&versions, asked);
            }
            self.held.insert(name.clone(), versions);
        }
    }

    fn engines(&self, round: &Round) -> BTreeMap<id::EndpointId, place::Engine> {
        let lease = time::Millis(self.context.settings.periods.lease.0 + TIMEOUT.0);
        let number = round.view.number;
        let engine = |(name, track): (&id::EndpointId, &order::Tracker)| {
            let endpoint = round.config.declared.endpoints.get(name)?;
            let fencing = endpoint.fencing;
            let open = track.can_order(fencing, lease, round.rules.dwell, number, round.now);
            let engine = place::Engine {
                loadable: endpoint.versions.clone(),
                memory: endpoint.memory.unwrap_or(0),
                adapters: endpoint.adapters,
                slots: endpoint.slots,
                loaded: self.held.get(name).cloned().unwrap_or_default(),
                ready: open && endpoint.state == declared::AdminState::In,
                fencing,
                pending: track.is_pending(),
                loading: track.loading().cloned(),
            };
            Some((name.clone(), engine))
        };
        self.tracks.iter().filter_map(engine).collect()
    }

    fn plan(&mut self, round: &Round) {
        let declared = &round.config.declared;
        let homes = home::homes(declared, &self.context.location.zone);
        self.tell_short(declared, &homes);
        let engines = self.engines(round);
        let mut needs = self.demand.needs(declared, &round.rules);
        for (version, need) in &mut needs {
            need.floor = homes.get(version).is_some_and(|home| engines.contains_key(home));
        }
        let targets = self.demand.targets(&engines, &needs, &round.rules, round.now);
        let withdrawn = declared.versions.iter();
        let withdrawn = withdrawn.filter(|(_, v)| v.state == declared::VersionState::Withdrawn);
        let withdrawn = withdrawn.map(|(name, _)| name.clone()).collect();
        for step in place::steps(&engines, &needs, &targets, &withdrawn) {
            if let Some(track) = self.tracks.get_mut(&step.endpoint) {
                track.plan(step.change);
            }
        }
    }

    fn tell_short(
        &mut self,
        declared: &declared::Declared,
        homes: &BTreeMap<id::VersionRef, id::EndpointId>,
    ) {
        let zone = &self.context.location.zone;
        let served = declared.versions.keys().filter(|name| {
            let mut here = declared.endpoints.values().filter(|engine| engine.zone == *zone);
            let only_managed = here.all(|engine| engine.memory.is_some());
            only_managed && home::is_served(declared, name) && !homes.contains_key(*name)
        });
        let short: BTreeSet<_> = served.cloned().collect();
        for version in short.difference(&self.short) {
            event::emit(event::Event::PlacementShort, &[event::field("version", version)]);
        }
        self.short = short;
    }

    // Admission sees what is held, less what is about to go.
    //
    // Returns the endpoints of which the router was told.
    fn show(&self) -> BTreeSet<id::EndpointId> {
        let mut shown = BTreeSet::new();
        for (name, versions) in &self.held {
            let leaving = self.tracks.get(name).and_then(order::Tracker::unloading);
            let kept = versions.iter().filter(|version| Some(*version) != leaving);
            if self.context.router.set_loaded(name.clone(), kept.cloned().collect()) {
                shown.insert(name.clone());
            }
        }
        shown
    }

    async fn sendable(
        &self,
        shown: &BTreeSet<id::EndpointId>,
    ) -> Vec<(id::EndpointId, place::Change)> {
        let planned = |(name, track): (&id::EndpointId, &order::Tracker)| {
            Some((name.clone(), track.planned()?.clone()))
        };
        let planned: Vec<_> = self.tracks.iter().filter_map(planned).collect();
        let mut sendable = Vec::new();
        for (name, change) in planned {
            let ready = match &change {
                place::Change::Load(version) => self.reserve(&name, version).await,
                place::Change::Unload(version) => {
                    shown.contains(&name) && self.drained(&name, version).await
                }
            };
            if ready {
                sendable.push((name, change));
            }
        }
        sendable
    }

    async fn reserve(&self, name: &id::EndpointId, version: &id::VersionRef) -> bool {
        let zone = self.context.location.zone.clone();
        let ask = weight::Reservation { zone, endpoint: name.clone(), version: version.clone() };
        self.weights.reserve(ask).await.is_ok_and(|grant| grant.wait() == time::Millis(0))
    }

    // Asked after admission was told, through the same ring, so that nothing slips between.
    async fn drained(&self, name: &id::EndpointId, version: &id::VersionRef) -> bool {
        let place = (name.clone(), version.clone());
        let active = self.context.router.active().await;
        active.is_some_and(|active| !active.contains_key(&place))
    }

    async fn send(&mut self, round: &Round, sendable: Vec<(id::EndpointId, place::Change)>) {
        let mut sent = Vec::new();
        for (name, change) in sendable {
            let now = clock::boot_now();
            // The lease has to outlast the order, and the view must not have moved.
            let valid = now + TIMEOUT < self.context.lease.expiry();
            let views = self.context.views.get();
            let known = views.zones.get(&self.context.location.zone);
            let same = known.is_some_and(|view| view.number == round.view.number);
            let endpoint = round.config.declared.endpoints.get(&name);
            let (Some(track), Some(endpoint)) = (self.tracks.get_mut(&name), endpoint) else {
                continue;
            };
            if !valid || !same {
                track.cancel_planned();
                continue;
            }
            track.mark_sent(now);
            let engine = self.client(endpoint);
            let order = wire::Order { fence: round.view.number, action: action(change) };
            sent.push(async move { (name, engine.order(&order).await) });
        }
        for (name, answer) in future::join_all(sent).await {
            let answer = told(&name, &answer);
            if let Some(track) = self.tracks.get_mut(&name) {
                track.record_answer(answer, clock::boot_now());
            }
        }
    }
}

fn action(change: place::Change) -> wire::Action {
    match change {
        place::Change::Load(version) => wire::Action::Load(version),
        place::Change::Unload(version) => wire::Action::Unload(version),
    }
}

fn told(name: &id::EndpointId, answer: &Result<(), failure::Failure>) -> order::Answer {
    let field = event::field("endpoint", name);
    match answer {
        Ok(()) => {
            event::emit(event::Event::OrderTaken, &[field]);
            order::Answer::Accepted
        }
        Err(failure::Failure::Fenced { highest }) => {
            event::emit(event::Event::OrderFenced, &[field, event::field("highest", highest)]);
            order::Answer::Fenced(*highest)
        }
        Err(failure::Failure::Unreachable { .. }) => order::Answer::Unreachable,
        Err(error) => {
            event::emit(event::Event::OrderUnknown, &[field, event::field("error", error)]);
            order::Answer::Unknown
        }
    }
}
