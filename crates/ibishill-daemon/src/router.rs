//! The router thread, sole owner of the planning and admission state.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use crossbeam_channel as channel;
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

const MESSAGE_SLOTS: usize = 1_024;

/// Largest number of requests admitted or queued at one daemon.
const MAX_IN_FLIGHT: usize = 16_384;

/// Longest wait for a message while requests are queued, so that a change of the
/// configuration, view or lease takes effect on them.
const DISPATCH_PERIOD: Duration = Duration::from_millis(50);

const IDLE_PERIOD: Duration = Duration::from_secs(1);

/// Snapshot of the admission limiter of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimiterStatus {
    /// Endpoint that the limiter guards.
    pub endpoint: id::EndpointId,
    /// Requests in flight at the endpoint.
    pub running: u32,
    /// Concurrency limit in requests.
    pub limit: u32,
    /// Slow-start state.
    pub state: limiter::State,
    /// Whether requests that a previous owner admitted may still run there.
    pub unsettled: bool,
}

/// Target of a request and the owners to try for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// Model version or service to run.
    pub target: id::Target,
    /// Owners to try, in order of preference.
    pub attempts: Vec<spill::Attempt>,
}

enum Message {
    Plan(plan::Request, oneshot::Sender<Result<Planned, outcome::Refusal>>),
    Feedback(id::VmId, id::Target, spill::Feedback),
    Retry(id::WorkspaceId, id::ZoneId, oneshot::Sender<bool>),
    Admit(admit::Job, Reply),
    Report(id::EndpointId, limiter::Report),
    CacheEvent(id::EndpointId, PrefixKey, prefix::Event),
    Status(oneshot::Sender<Vec<LimiterStatus>>),
    Loaded(id::EndpointId, BTreeSet<id::VersionRef>),
    Demand(oneshot::Sender<demand::Demand>),
    Active(oneshot::Sender<demand::Active>),
}

type Reply = oneshot::Sender<Result<Permit, outcome::Refusal>>;

/// Handle for sending messages to the router thread; clones share it.
#[derive(Clone)]
pub struct Handle {
    sender: channel::Sender<Message>,
}

fn overloaded() -> outcome::Refusal {
    event::emit(event::Event::RingFull, &[event::field("ring", &"router")]);
    outcome::Refusal::not_run(outcome::Reason::Overloaded, "the router queue is full")
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
    /// Returns the refusal; the request has not run.
    pub async fn plan(&self, request: plan::Request) -> Result<Planned, outcome::Refusal> {
        let (sender, receiver) = oneshot::channel();
        self.sender.try_send(Message::Plan(request, sender)).map_err(|_| overloaded())?;
        receiver.await.map_err(|_| stopped())?
    }

    /// Queues a request for an endpoint of this daemon and waits until it is admitted.
    ///
    /// # Errors
    ///
    /// Returns the refusal as soon as it is certain; the request has not run.
    pub async fn admit(&self, job: admit::Job) -> Result<Permit, outcome::Refusal> {
        let (sender, receiver) = oneshot::channel();
        self.sender.try_send(Message::Admit(job, sender)).map_err(|_| overloaded())?;
        receiver.await.map_err(|_| stopped())?
    }

    /// Records what an answer tells of its owner's capacity; dropped if the channel is full.
    pub fn record_feedback(&self, vm: id::VmId, target: id::Target, feedback: spill::Feedback) {
        let _dropped = self.sender.try_send(Message::Feedback(vm, target, feedback));
    }

    /// Takes a retry from the budgets after an attempt in `zone`; returns whether one was left.
    pub async fn try_acquire_retry(&self, workspace: id::WorkspaceId, zone: id::ZoneId) -> bool {
        let (sender, receiver) = oneshot::channel();
        if self.sender.try_send(Message::Retry(workspace, zone, sender)).is_err() {
            return false;
        }
        receiver.await.unwrap_or(false)
    }

    /// Records an endpoint's load report; if the channel is full, it is dropped with a log event.
    pub fn record_report(&self, endpoint: id::EndpointId, report: limiter::Report) {
        if self.sender.try_send(Message::Report(endpoint, report)).is_err() {
            event::emit(event::Event::RingFull, &[event::field("ring", &"router")]);
        }
    }

    /// Records an event of an endpoint's prefix cache; dropped if the channel is full.
    pub fn record_cache_event(
        &self,
        endpoint: id::EndpointId,
        key: PrefixKey,
        event: prefix::Event,
    ) {
        let _dropped = self.sender.try_send(Message::CacheEvent(endpoint, key, event));
    }

    /// Sets the versions that an engine has loaded; returns false if the channel is full.
    pub fn set_loaded(&self, endpoint: id::EndpointId, versions: BTreeSet<id::VersionRef>) -> bool {
        let sent = self.sender.try_send(Message::Loaded(endpoint, versions)).is_ok();
        if !sent {
            event::emit(event::Event::RingFull, &[event::field("ring", &"router")]);
        }
        sent
    }

    /// Demand by version; refusals are counted since the last call.
    ///
    /// None if the router thread is overloaded or has ended, as for `active`.
    pub async fn demand(&self) -> Option<demand::Demand> {
        let (sender, receiver) = oneshot::channel();
        self.sender.try_send(Message::Demand(sender)).ok()?;
        receiver.await.ok()
    }

    /// Requests in flight by endpoint and version.
    pub async fn active(&self) -> Option<demand::Active> {
        let (sender, receiver) = oneshot::channel();
        self.sender.try_send(Message::Active(sender)).ok()?;
        receiver.await.ok()
    }

    /// Limiters of the endpoints that this daemon owns, and of those given up while requests
    /// still run there; empty if the thread does not answer.
    pub async fn status(&self) -> Vec<LimiterStatus> {
        let (sender, receiver) = oneshot::channel();
        if self.sender.try_send(Message::Status(sender)).is_err() {
            return Vec::new();
        }
        receiver.await.unwrap_or_default()
    }
}

/// Shared state that the thread reads besides its channels.
pub struct Sources {
    /// VM and zone of this daemon.
    pub location: plan::Location,
    /// Configuration in force.
    pub config: in_force::Cell,
    /// Zone views in force.
    pub views: context::ViewCell,
    /// Expiry of this daemon's lease.
    pub lease: lease_clock::LeaseClock,
    /// Bounds on how long requests of a previous owner may run on.
    pub periods: admit::Periods,
}

/// Starts the thread; it ends when the last handle is dropped.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(sources: Sources) -> std::io::Result<Handle> {
    let (sender, inbox) = channel::bounded(MESSAGE_SLOTS);
    let in_flight = in_flight::Limit::new(MAX_IN_FLIGHT);
    let (progress_sender, progress) = channel::bounded(in_flight.channel_slots());
    let dispatcher = dispatch::Dispatcher::new(admit::Owner::new(sources.periods));
    let router = Router {
        sources,
        dispatcher,
        spill: spill::Spill::default(),
        budgets: retry::Budgets::default(),
        waiting: BTreeMap::new(),
        in_flight,
        progress: progress_sender,
        tally: demand::Tally::default(),
    };
    thread::Builder::new().name("router".into()).spawn(move || router.run(&inbox, &progress))?;
    Ok(Handle { sender })
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
    progress: channel::Sender<permit::Progress>,
    tally: demand::Tally,
}

impl Router {
    fn run(
        mut self,
        inbox: &channel::Receiver<Message>,
        progress: &channel::Receiver<permit::Progress>,
    ) {
        loop {
            channel::select! {
                recv(progress) -> message => if let Ok(message) = message {
                    self.record_progress(message);
                },
                recv(inbox) -> message => match message {
                    Ok(message) => {
                        // Progress first, so that slots that have become free are counted.
                        progress.try_iter().for_each(|message| self.record_progress(message));
                        self.handle(message);
                    }
                    Err(channel::RecvError) => return,
                },
                default(self.poll_timeout()) => {}
            }
            if !self.waiting.is_empty() {
                self.dispatch();
            }
        }
    }

    fn poll_timeout(&self) -> Duration {
        if self.waiting.is_empty() {
            return IDLE_PERIOD;
        }
        let next = self.dispatcher.next_expiry();
        next.map_or(DISPATCH_PERIOD, |at| at.since(clock::boot_now()).to_std().min(DISPATCH_PERIOD))
    }

    fn record_progress(&mut self, message: permit::Progress) {
        let now = clock::boot_now();
        match message {
            permit::Progress::FirstToken(admission) => {
                self.dispatcher.owner.record_first_token(&admission, now)
            }
            permit::Progress::End(target, admission, outcome, attempt) => {
                self.in_flight.release();
                if let Some(attempt) = attempt {
                    self.record_attempt(&target, &admission, attempt, now);
                }
                self.tally.record_end(&target, &admission.endpoint);
                self.dispatcher.finish(&target, &admission, outcome, now);
            }
        }
    }

    fn record_attempt(
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

    fn plan(&mut self, request: &plan::Request) -> Result<Planned, outcome::Refusal> {
        let Sources { config, views, location, .. } = &self.sources;
        let config = config.get();
        let plan = plan::plan(&config, &views.get(), location, request)?;
        let now = clock::boot_now();
        let facts = spill::Facts { config: &config, place: location, now };
        let attempts = self.spill.attempts(&facts, &plan, &request.request);
        if let Some(first) = attempts.first() {
            self.spill.sent(&first.route.owner.vm, &plan.target, now);
            self.budgets.record_request(&request.workspace, &first.route.zone);
        }
        Ok(Planned { target: plan.target, attempts })
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Plan(request, reply) => {
                let _left = reply.send(self.plan(&request));
            }
            Message::Feedback(vm, target, feedback) => {
                self.spill.record(&vm, &target, feedback, clock::boot_now());
            }
            Message::Retry(workspace, zone, reply) => {
                let _left = reply.send(self.budgets.try_acquire(&workspace, &zone));
            }
            Message::Admit(job, reply) => self.enqueue(job, reply),
            Message::Report(endpoint, report) => {
                self.dispatcher.owner.record_report(&endpoint, report)
            }
            Message::CacheEvent(endpoint, key, event) => {
                self.dispatcher.owner.record_cache_event(&endpoint, key, event, clock::boot_now());
            }
            Message::Loaded(endpoint, versions) => {
                if self.dispatcher.owner.set_loaded(&endpoint, versions) {
                    self.with_facts(|dispatcher, facts| dispatcher.owner.refresh(facts));
                }
            }
            Message::Active(reply) => {
                let _left = reply.send(self.tally.active().clone());
            }
            Message::Demand(reply) => {
                let _left = reply.send(self.tally.take(self.dispatcher.queue_lengths()));
            }
            Message::Status(reply) => {
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

    fn enqueue(&mut self, job: admit::Job, reply: Reply) {
        if !self.in_flight.has_capacity(self.waiting.len()) {
            let _left = reply.send(Err(overloaded()));
            return;
        }
        let target = job.target.clone();
        let (ticket, decisions) =
            self.with_facts(|dispatcher, facts| dispatcher.enqueue(facts, job));
        self.waiting.insert(ticket, Waiting { target, reply });
        decisions.into_iter().for_each(|decision| self.deliver(decision));
    }

    fn dispatch(&mut self) {
        let decisions = self.with_facts(dispatch::Dispatcher::dispatch);
        decisions.into_iter().for_each(|decision| self.deliver(decision));
    }

    fn deliver(&mut self, decision: dispatch::Decision) {
        let Some(waiting) = self.waiting.remove(&decision.ticket) else { return };
        self.tally.record_decision(&waiting.target, &decision.result);
        let permit = decision.result.map(|admission| {
            self.in_flight.admit();
            let capacity = self.dispatcher.capacity(&waiting.target, clock::boot_now());
            Permit::new(waiting.target, admission, capacity, self.progress.clone())
        });
        // If the caller has left, the permit is dropped here, which releases its slot.
        let _left = waiting.reply.send(permit);
    }

    fn status(&mut self) -> Vec<LimiterStatus> {
        self.with_facts(|dispatcher, facts| dispatcher.owner.refresh(facts));
        let limiters = self.dispatcher.owner.limiters().iter();
        limiters
            .map(|(endpoint, limiter)| LimiterStatus {
                endpoint: endpoint.clone(),
                running: limiter.running(),
                limit: limiter.limit(),
                state: limiter.state(),
                unsettled: limiter.is_unsettled(),
            })
            .collect()
    }
}
