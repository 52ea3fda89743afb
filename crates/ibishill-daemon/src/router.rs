//! The router thread: it alone owns the state of planning and admission.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use crossbeam_channel as ring;
use ibishill_config::in_force;
use ibishill_core::prefix::PrefixKey;
use ibishill_core::{clock, event, id, outcome, time, view};
use ibishill_decide::{admit, dispatch, limiter, outlier, plan, prefix, queue, retry, spill};
use tokio::sync::oneshot;

use crate::{context, lease_clock};

pub use permit::Permit;

pub mod demand;
pub mod in_flight;
mod permit;

const ASK_SLOTS: usize = 1_024;

/// Most requests admitted or waiting at once at one daemon.
const HELD_MAX: usize = 16_384;

/// Longest wait for a message while requests are queued, so that a changed
/// configuration, view or lease is seen.
const TURN_PERIOD: Duration = Duration::from_millis(50);

const IDLE_PERIOD: Duration = Duration::from_secs(1);

/// What the router thread knows of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimiterStatus {
    /// The endpoint.
    pub endpoint: id::EndpointId,
    /// Requests that run there.
    pub running: u32,
    /// Requests that may run there.
    pub limit: u32,
    /// How warm it is.
    pub state: limiter::State,
    /// Whether an earlier owner's work may still run there.
    pub unsettled: bool,
}

/// A decided request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// What runs.
    pub target: id::Target,
    /// The owners to ask, in order.
    pub attempts: Vec<spill::Attempt>,
}

enum Ask {
    Plan(plan::Request, oneshot::Sender<Result<Planned, outcome::Refusal>>),
    Heard(id::VmId, id::Target, spill::Feedback),
    Retry(id::WorkspaceId, id::ZoneId, oneshot::Sender<bool>),
    Admit(admit::Job, Reply),
    Report(id::EndpointId, limiter::Report),
    Cached(id::EndpointId, PrefixKey, prefix::Event),
    Status(oneshot::Sender<Vec<LimiterStatus>>),
    Loaded(id::EndpointId, BTreeSet<id::VersionRef>),
    Demand(oneshot::Sender<demand::Demand>),
    Active(oneshot::Sender<demand::Active>),
}

type Reply = oneshot::Sender<Result<Permit, outcome::Refusal>>;

/// The way to the router thread.
#[derive(Clone)]
pub struct Handle {
    asks: ring::Sender<Ask>,
}

fn ring_full() -> outcome::Refusal {
    event::emit(event::Event::RingFull, &[event::field("ring", &"router")]);
    outcome::Refusal::not_run(outcome::Reason::Overloaded, "the router has no room")
        .retry_after(time::Millis::from_secs(1))
}

fn stopped() -> outcome::Refusal {
    outcome::Refusal::not_run(outcome::Reason::Stopping, "the daemon is stopping")
}

impl Handle {
    /// Plans a request.
    ///
    /// # Errors
    ///
    /// A refusal of a request that has not run.
    pub async fn plan(&self, ask: plan::Request) -> Result<Planned, outcome::Refusal> {
        let (sender, receiver) = oneshot::channel();
        self.asks.try_send(Ask::Plan(ask, sender)).map_err(|_| ring_full())?;
        receiver.await.map_err(|_| stopped())?
    }

    /// Admits a request to an endpoint of this daemon once its turn has come.
    ///
    /// # Errors
    ///
    /// A refusal of a request that has not run, as soon as it is certain.
    pub async fn admit(&self, job: admit::Job) -> Result<Permit, outcome::Refusal> {
        let (sender, receiver) = oneshot::channel();
        self.asks.try_send(Ask::Admit(job, sender)).map_err(|_| ring_full())?;
        receiver.await.map_err(|_| stopped())?
    }

    /// Passes on what an answer told of its owner; a full ring drops it.
    pub fn record_feedback(&self, vm: id::VmId, target: id::Target, news: spill::Feedback) {
        let _dropped = self.asks.try_send(Ask::Heard(vm, target, news));
    }

    /// Whether the budgets allow a further attempt after one in `zone`.
    pub async fn try_acquire_retry(&self, space: id::WorkspaceId, zone: id::ZoneId) -> bool {
        let (sender, receiver) = oneshot::channel();
        if self.asks.try_send(Ask::Retry(space, zone, sender)).is_err() {
            return false;
        }
        receiver.await.unwrap_or(false)
    }

    /// Passes on what an endpoint says of itself; a full ring drops it and counts.
    pub fn record_report(&self, endpoint: id::EndpointId, report: limiter::Report) {
        if self.asks.try_send(Ask::Report(endpoint, report)).is_err() {
            event::emit(event::Event::RingFull, &[event::field("ring", &"router")]);
        }
    }

    /// Passes on an event of an endpoint's prefix cache; a full ring drops it.
    pub fn record_cache_event(
        &self,
        endpoint: id::EndpointId,
        key: PrefixKey,
        event: prefix::Event,
    ) {
        let _dropped = self.asks.try_send(Ask::Cached(endpoint, key, event));
    }

    /// Passes on which versions an engine holds; returns whether there was room.
    pub fn set_loaded(&self, endpoint: id::EndpointId, versions: BTreeSet<id::VersionRef>) -> bool {
        let sent = self.asks.try_send(Ask::Loaded(endpoint, versions)).is_ok();
        if !sent {
            event::emit(event::Event::RingFull, &[event::field("ring", &"router")]);
        }
        sent
    }

    /// Requests by version; those refused are counted since the last call.
    pub async fn demand(&self) -> Option<demand::Demand> {
        let (sender, receiver) = oneshot::channel();
        self.asks.try_send(Ask::Demand(sender)).ok()?;
        receiver.await.ok()
    }

    /// Requests that run at each endpoint, by version.
    pub async fn active(&self) -> Option<demand::Active> {
        let (sender, receiver) = oneshot::channel();
        self.asks.try_send(Ask::Active(sender)).ok()?;
        receiver.await.ok()
    }

    /// What is known of the endpoints of this daemon.
    pub async fn status(&self) -> Vec<LimiterStatus> {
        let (sender, receiver) = oneshot::channel();
        if self.asks.try_send(Ask::Status(sender)).is_err() {
            return Vec::new();
        }
        receiver.await.unwrap_or_default()
    }
}

/// What the thread reads besides its rings.
pub struct Sources {
    /// Where the daemon stands.
    pub location: plan::Location,
    /// The configuration in force.
    pub config: in_force::Cell,
    /// The views in force.
    pub views: context::ViewCell,
    /// The daemon's lease.
    pub lease: lease_clock::LeaseClock,
    /// Longest effects of an earlier owner.
    pub periods: admit::Periods,
}

/// Starts the thread; it ends when the last handle is dropped.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(sources: Sources) -> std::io::Result<Handle> {
    let (asks, inbox) = ring::bounded(ASK_SLOTS);
    let in_flight = in_flight::Limit::new(HELD_MAX);
    let (sender, progress) = ring::bounded(in_flight.ring_slots());
    let dispatcher = dispatch::Dispatcher::new(admit::Owner::new(sources.periods));
    let router = Router {
        sources,
        dispatcher,
        spill: spill::Spill::default(),
        budgets: retry::Budgets::default(),
        waiting: BTreeMap::new(),
        in_flight,
        sender,
        tally: demand::Tally::default(),
    };
    thread::Builder::new().name("router".into()).spawn(move || router.run(&inbox, &progress))?;
    Ok(Handle { asks })
}

struct Waiting {
    target: id::Target,
    reply: Reply,
}

struct Router {
    sources: Sources,
    dispatcher: dispatch::Dispatcher,
    spill: spill::Spill,
    budgets: retry::Budgets,
    waiting: BTreeMap<queue::Ticket, Waiting>,
    in_flight: in_flight::Limit,
    sender: ring::Sender<permit::Progress>,
    tally: demand::Tally,
}

impl Router {
    fn run(mut self, inbox: &ring::Receiver<Ask>, progress: &ring::Receiver<permit::Progress>) {
        loop {
            ring::select! {
                recv(progress) -> message => if let Ok(message) = message {
                    self.progress(message);
                },
                recv(inbox) -> ask => match ask {
                    Ok(ask) => {
                        // Progress comes first, so that room that is free is seen.
                        progress.try_iter().for_each(|message| self.progress(message));
                        self.answer(ask);
                    }
                    Err(ring::RecvError) => return,
                },
                default(self.pause()) => {}
            }
            if !self.waiting.is_empty() {
                self.turn();
            }
        }
    }

    fn pause(&self) -> Duration {
        if self.waiting.is_empty() {
            return IDLE_PERIOD;
        }
        let next = self.dispatcher.next_expiry();
        next.map_or(TURN_PERIOD, |at| at.since(clock::boot_now()).to_std().min(TURN_PERIOD))
    }

    fn progress(&mut self, message: permit::Progress) {
        let now = clock::boot_now();
        match message {
            permit::Progress::First(admission) => {
                self.dispatcher.owner.record_first_token(&admission, now)
            }
            permit::Progress::End(target, admission, answer, attempt) => {
                self.in_flight.release();
                if let Some(attempt) = attempt {
                    self.attempted(&target, &admission, attempt, now);
                }
                self.tally.end(&target, &admission.endpoint);
                self.dispatcher.finish(&target, &admission, answer, now);
            }
        }
    }

    fn attempted(
        &mut self,
        target: &id::Target,
        admission: &admit::Admission,
        attempt: outlier::Attempt,
        now: time::Tick,
    ) {
        if self.dispatcher.owner.record_attempt(admission, target, attempt, now) {
            let in_service = attempt == outlier::Attempt::Good;
            let fields = [
                event::field("endpoint", &admission.endpoint),
                event::field("target", target),
                event::field("in-service", &in_service),
            ];
            event::emit(event::Event::EndpointEjected, &fields);
        }
    }

    fn plan(&mut self, ask: &plan::Request) -> Result<Planned, outcome::Refusal> {
        let Sources { config: cell, views, location: place, .. } = &self.sources;
        let config = cell.get();
        let plan = plan::plan(&config, &views.get(), place, ask)?;
        let now = clock::boot_now();
        let facts = spill::Facts { config: &config, place, now };
        let tries = self.spill.attempts(&facts, &plan, &ask.request);
        if let Some(first) = tries.first() {
            self.spill.sent(&first.route.owner.vm, &plan.target, now);
            self.budgets.record_request(&ask.workspace, &first.route.zone);
        }
        Ok(Planned { target: plan.target, attempts: tries })
    }

    fn answer(&mut self, ask: Ask) {
        match ask {
            Ask::Plan(ask, reply) => {
                let _left = reply.send(self.plan(&ask));
            }
            Ask::Heard(vm, target, news) => {
                self.spill.record(&vm, &target, news, clock::boot_now());
            }
            Ask::Retry(space, zone, reply) => {
                let _left = reply.send(self.budgets.try_acquire(&space, &zone));
            }
            Ask::Admit(job, reply) => self.offer(job, reply),
            Ask::Report(endpoint, report) => self.dispatcher.owner.record_report(&endpoint, report),
            Ask::Cached(endpoint, key, event) => {
                self.dispatcher.owner.record_cache_event(&endpoint, key, event, clock::boot_now());
            }
            Ask::Loaded(endpoint, versions) => {
                if self.dispatcher.owner.set_loaded(&endpoint, versions) {
                    self.with_facts(|dispatcher, facts| dispatcher.owner.refresh(facts));
                }
            }
            Ask::Active(reply) => {
                let _left = reply.send(self.tally.active().clone());
            }
            Ask::Demand(reply) => {
                let _left = reply.send(self.tally.take(self.dispatcher.queue_lengths()));
            }
            Ask::Status(reply) => {
                let _left = reply.send(self.status());
            }
        }
    }

    fn with_facts<R, F>(&mut self, decide: F) -> R
    where
        F: FnOnce(&mut dispatch::Dispatcher, &admit::Facts<'_>) -> R,
    {
        let config = self.sources.config.get();
        let views = self.sources.views.get();
        let empty = view::View::default();
        let facts = admit::Facts {
            config: &config,
            view: views.zones.get(&self.sources.location.zone).unwrap_or(&empty),
            location: &self.sources.location,
            lease: self.sources.lease.lease(),
            now: clock::boot_now(),
        };
        decide(&mut self.dispatcher, &facts)
    }

    fn offer(&mut self, job: admit::Job, reply: Reply) {
        if !self.in_flight.has_capacity(self.waiting.len()) {
            let _left = reply.send(Err(ring_full()));
            return;
        }
        let target = job.target.clone();
        let (ticket, decisions) =
            self.with_facts(|dispatcher, facts| dispatcher.enqueue(facts, job));
        self.waiting.insert(ticket, Waiting { target, reply });
        decisions.into_iter().for_each(|decision| self.decided(decision));
    }

    fn turn(&mut self) {
        let decisions = self.with_facts(dispatch::Dispatcher::dispatch);
        decisions.into_iter().for_each(|decision| self.decided(decision));
    }

    fn decided(&mut self, decision: dispatch::Decision) {
        let Some(waiting) = self.waiting.remove(&decision.ticket) else { return };
        self.tally.decided(&waiting.target, &decision.result);
        let permit = decision.result.map(|admission| {
            self.in_flight.admit();
            let room = self.dispatcher.capacity(&waiting.target, clock::boot_now());
            Permit::new(waiting.target, admission, room, self.sender.clone())
        });
        // A caller that has left drops the permit, which gives the right back.
        let _left = waiting.reply.send(permit);
    }

    fn status(&mut self) -> Vec<LimiterStatus> {
        self.with_facts(|dispatcher, facts| dispatcher.owner.refresh(facts));
        let gates = self.dispatcher.owner.limiters().iter();
        gates
            .map(|(endpoint, gate)| LimiterStatus {
                endpoint: endpoint.clone(),
                running: gate.running(),
                limit: gate.limit(),
                state: gate.state(),
                unsettled: gate.is_unsettled(),
            })
            .collect()
    }
}
