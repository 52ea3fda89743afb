//! Orders the engines of this daemon to load and unload versions.
//!
//! Only the owner of an engine sends orders, with the number of the zone's view as fencing
//! token. A version is removed from admission before it is unloaded, and a load needs a
//! reservation at the weight store. Whatever the answer to an order, its effect is read back.

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

/// Time limit of one query or order.
const TIMEOUT: time::Millis = time::Millis(2_000);

const PERIOD: Duration = Duration::from_secs(1);

type Trackers = BTreeMap<id::EndpointId, order::Tracker>;
type Loaded = BTreeMap<id::EndpointId, BTreeSet<id::VersionRef>>;

/// Starts the thread.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(context: Arc<context::Context>, weights: weight::Weights) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let task = Task::new(context, weights);
    thread::Builder::new().name("orders".into()).spawn(move || runtime.block_on(task.run()))?;
    Ok(())
}

/// Placement loop of a daemon.
pub struct Task {
    context: Arc<context::Context>,
    weights: weight::Weights,
    demand: target::Demand,
    trackers: Trackers,
    loaded: Loaded,
    unplaced: BTreeSet<id::VersionRef>,
}

// Inputs of one iteration.
struct Round {
    config: Arc<in_force::InForce>,
    view: view::View,
    rules: place::Rules,
    now: time::Tick,
}

impl Task {
    /// Creates the task of a daemon that has sent no order yet.
    pub fn new(context: Arc<context::Context>, weights: weight::Weights) -> Self {
        Self {
            context,
            weights,
            demand: target::Demand::default(),
            trackers: Trackers::new(),
            loaded: Loaded::new(),
            unplaced: BTreeSet::new(),
        }
    }

    async fn run(mut self) {
        while !self.context.lifecycle.is_stopping() {
            self.step().await;
            tokio::time::sleep(PERIOD).await;
        }
    }

    /// Reads the engines back, plans changes, and sends the orders that may be sent now.
    pub async fn step(&mut self) {
        let limiters = self.context.router.status().await;
        let config = self.context.config.get();
        let is_managed = |limiter: &&router::LimiterStatus| {
            let endpoint = config.declared.endpoints.get(&limiter.endpoint);
            endpoint.is_some_and(|endpoint| endpoint.memory.is_some())
        };
        let managed: Vec<_> =
            limiters.iter().filter(is_managed).map(|limiter| limiter.endpoint.clone()).collect();
        if managed.is_empty() {
            self.trackers.clear();
            self.loaded.clear();
            return;
        }
        self.sync_trackers(&managed);
        self.read_loaded(&config.declared, &managed).await;
        let Some(demand) = self.context.router.demand().await else { return };
        let round = self.round(config, demand);
        self.plan(&round);
        let published = self.publish_loaded();
        let sendable = self.sendable(&published).await;
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

    fn sync_trackers(&mut self, managed: &[id::EndpointId]) {
        let now = clock::boot_now();
        self.trackers.retain(|name, _| managed.contains(name));
        self.loaded.retain(|name, _| managed.contains(name));
        for name in managed {
            self.trackers.entry(name.clone()).or_insert_with(|| order::Tracker::new(now));
        }
    }

    fn client(&self, endpoint: &declared::Endpoint) -> engine::Engine {
        engine::Engine::new(&self.context.endpoints, endpoint.address, TIMEOUT)
    }

    async fn read_loaded(&mut self, declared: &declared::Declared, managed: &[id::EndpointId]) {
        let start = clock::boot_now();
        let reads = managed.iter().filter_map(|name| {
            let engine = self.client(declared.endpoints.get(name)?);
            Some(async move { (name, engine.loaded().await) })
        });
        for (name, answer) in future::join_all(reads).await {
            let Ok(loaded) = answer else { continue };
            let versions: BTreeSet<_> = loaded.versions.into_iter().collect();
            if let Some(tracker) = self.trackers.get_mut(name) {
                tracker.observe(&versions, start);
            }
            self.loaded.insert(name.clone(), versions);
        }
    }

    fn engines(&self, round: &Round) -> BTreeMap<id::EndpointId, place::Engine> {
        let lease = time::Millis(self.context.settings.periods.lease.0 + TIMEOUT.0);
        let number = round.view.number;
        let engine = |(name, tracker): (&id::EndpointId, &order::Tracker)| {
            let endpoint = round.config.declared.endpoints.get(name)?;
            let fencing = endpoint.fencing;
            let may_order = tracker.can_order(fencing, lease, round.rules.dwell, number, round.now);
            let engine = place::Engine {
                loadable: endpoint.versions.clone(),
                memory: endpoint.memory.unwrap_or(0),
                adapters: endpoint.adapters,
                slots: endpoint.slots,
                loaded: self.loaded.get(name).cloned().unwrap_or_default(),
                ready: may_order && endpoint.state == declared::AdminState::In,
                fencing,
                pending: tracker.is_pending(),
                loading: tracker.loading().cloned(),
            };
            Some((name.clone(), engine))
        };
        self.trackers.iter().filter_map(engine).collect()
    }

    fn plan(&mut self, round: &Round) {
        let declared = &round.config.declared;
        let homes = home::homes(declared, &self.context.location.zone);
        self.report_unplaced(declared, &homes);
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
            if let Some(tracker) = self.trackers.get_mut(&step.endpoint) {
                tracker.plan(step.change);
            }
        }
    }

    fn report_unplaced(
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
        let unplaced: BTreeSet<_> = served.cloned().collect();
        for version in unplaced.difference(&self.unplaced) {
            event::emit(event::Event::PlacementShort, &[event::field("version", version)]);
        }
        self.unplaced = unplaced;
    }

    // Gives the router the loaded versions except those about to be unloaded.
    //
    // Returns the endpoints for which the router accepted the update.
    fn publish_loaded(&self) -> BTreeSet<id::EndpointId> {
        let mut published = BTreeSet::new();
        for (name, versions) in &self.loaded {
            let leaving = self.trackers.get(name).and_then(order::Tracker::unloading);
            let kept = versions.iter().filter(|version| Some(*version) != leaving);
            if self.context.router.set_loaded(name.clone(), kept.cloned().collect()) {
                published.insert(name.clone());
            }
        }
        published
    }

    async fn sendable(
        &self,
        published: &BTreeSet<id::EndpointId>,
    ) -> Vec<(id::EndpointId, place::Change)> {
        let planned = |(name, tracker): (&id::EndpointId, &order::Tracker)| {
            Some((name.clone(), tracker.planned()?.clone()))
        };
        let planned: Vec<_> = self.trackers.iter().filter_map(planned).collect();
        let mut sendable = Vec::new();
        for (name, change) in planned {
            let ready = match &change {
                place::Change::Load(version) => self.reserve(&name, version).await,
                place::Change::Unload(version) => {
                    published.contains(&name) && self.drained(&name, version).await
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
        let reservation =
            weight::Reservation { zone, endpoint: name.clone(), version: version.clone() };
        self.weights.reserve(reservation).await.is_ok_and(|grant| grant.wait() == time::Millis(0))
    }

    // Called after the router was updated, through the same channel, so that no request for
    // the version can be admitted in between.
    async fn drained(&self, name: &id::EndpointId, version: &id::VersionRef) -> bool {
        let key = (name.clone(), version.clone());
        let active = self.context.router.active().await;
        active.is_some_and(|active| !active.contains_key(&key))
    }

    async fn send(&mut self, round: &Round, sendable: Vec<(id::EndpointId, place::Change)>) {
        let mut sent = Vec::new();
        for (name, change) in sendable {
            let now = clock::boot_now();
            // The lease must outlast the order, and the view must not have changed.
            let is_leased = now + TIMEOUT < self.context.lease.expiry();
            let views = self.context.views.get();
            let known = views.zones.get(&self.context.location.zone);
            let is_current_view = known.is_some_and(|view| view.number == round.view.number);
            let endpoint = round.config.declared.endpoints.get(&name);
            let (Some(tracker), Some(endpoint)) = (self.trackers.get_mut(&name), endpoint) else {
                continue;
            };
            if !is_leased || !is_current_view {
                tracker.cancel_planned();
                continue;
            }
            tracker.mark_sent(now);
            let engine = self.client(endpoint);
            let order = wire::Order { fence: round.view.number, action: action(change) };
            sent.push(async move { (name, engine.order(&order).await) });
        }
        for (name, answer) in future::join_all(sent).await {
            let answer = order_answer(&name, &answer);
            if let Some(tracker) = self.trackers.get_mut(&name) {
                tracker.record_answer(answer, clock::boot_now());
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

fn order_answer(name: &id::EndpointId, answer: &Result<(), failure::Failure>) -> order::Answer {
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
