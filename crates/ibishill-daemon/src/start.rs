//! Start and graceful shutdown of a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc as std_mpsc;
use std::thread;
use std::time::Duration;

use ibishill_config::{in_force, security, settings};
use ibishill_core::{clock, event, time, view};
use ibishill_decide::{admit, plan};
use ibishill_endpoint::client;
use ibishill_peer::{frame, link, server, tls};
use ibishill_platform::{Platform, budget};
use ibishill_state::lease::{self, keeper};
use ibishill_state::{claim, log};
use snafu::ResultExt;
use tokio::sync::mpsc;

use crate::error::{self, StartError};
use crate::ledger::replication;
use crate::{
    claims, config_sync, context, heartbeat, http, lease_clock, ledger, membership, metrics,
    operators, orders, ratings, reports, rollouts, router, run,
};

const STOP_POLL: Duration = Duration::from_millis(20);
const LINGER: Duration = Duration::from_millis(200);

/// Longest wait of a stop for billing records and refusal counts.
const FLUSH_LIMIT: time::Millis = time::Millis::from_secs(10);

/// Longest wait of a stop for endings of claims.
const SETTLE_LIMIT: time::Millis = time::Millis::from_secs(10);

/// A running daemon.
pub struct Daemon {
    /// What its duties share.
    pub context: Arc<context::Context>,
    callers: rocket::Shutdown,
    socket: quinn::Endpoint,
    membership: thread::JoinHandle<()>,
}

/// Checks that no side is open without credentials to others than this VM.
///
/// # Errors
///
/// Names what is missing.
pub fn check_security(settings: &settings::Settings) -> Result<(), StartError> {
    let security = &settings.security;
    if !security.insecure {
        if security.tokens.is_empty() {
            return Err(StartError::NoCredential);
        }
        return Ok(());
    }
    let addresses = [settings.callers, settings.operators, settings.peers];
    match addresses.into_iter().find(|address| !address.ip().is_loopback()) {
        Some(address) => Err(StartError::InsecureAddress { address }),
        None => Ok(()),
    }
}

/// Starts a daemon; returns once all its sides are open.
///
/// # Errors
///
/// Fails if an address can't be opened, a credential is missing or a thread can't start.
pub fn start(
    settings: settings::Settings,
    platform: &Platform,
    identity: &tls::Identity,
) -> Result<Daemon, StartError> {
    check_security(&settings)?;
    let platform = &budget::limit(platform, budget::Rates::default(), clock::boot_now);
    let fields = [event::field("vm", &settings.vm), event::field("zone", &settings.zone)];
    event::emit(event::Event::DaemonStarted, &fields);
    let place = plan::Location { vm: settings.vm.clone(), zone: settings.zone.clone() };
    let cell = in_force::Cell::default();
    let views = context::ViewCell::default();
    let life = context::Lifecycle::default();
    let lease = lease_clock::LeaseClock::default();
    let router = router::spawn(router::Sources {
        location: place.clone(),
        config: cell.clone(),
        views: views.clone(),
        lease: lease.clone(),
        periods: admit::Periods {
            lease: settings.periods.lease,
            run_max: settings.limits.deadline,
        },
    })
    .context(error::ThreadSnafu)?;
    let (ledger, notes) = ledger::spawn(&settings.vm, &platform.objects, settings.periods.billing)
        .context(error::ThreadSnafu)?;
    let claims = claim::Claims::new(platform.table.clone(), claim::Timeouts::default());
    let claims = claims::spawn(claims).context(error::ThreadSnafu)?;
    let endpoints =
        client::Client::new().map_err(|error| StartError::Client { detail: error.to_string() })?;
    let peers = duty_runtime("peers", 2).context(error::ThreadSnafu)?;
    let (socket, link) = {
        let _guard = peers.enter();
        let caller = frame::Caller { vm: place.vm.clone(), zone: place.zone.clone() };
        tls::check(identity, &caller).context(error::LinkSnafu)?;
        let socket = server::bind(settings.peers, identity).context(error::LinkSnafu)?;
        let link = link::Link::new(socket.clone(), identity, caller).context(error::LinkSnafu)?;
        (socket, link)
    };
    let keeper = keeper(&settings, platform);
    let metrics = metrics::Metrics::new().map_err(|detail| StartError::Client { detail })?;
    let counters = rollouts::Counters::new(cell.clone());
    let ratings =
        ratings::spawn(platform.ratings.clone(), counters.clone()).context(error::ThreadSnafu)?;
    let context = Arc::new(context::Context {
        settings: settings.clone(),
        location: place,
        config: cell.clone(),
        views: views.clone(),
        membership: keeper.membership.clone(),
        lease: lease.clone(),
        log: log::Log::new(platform),
        refresh: config_sync::Refresh::default(),
        peers: heartbeat::Peers::default(),
        lifecycle: life.clone(),
        router,
        claims,
        ledger,
        endpoints,
        link,
        ratings,
        rollouts: counters.clone(),
        sessions: context::SessionCell::new(&settings.security),
        security: security::Cell::new(settings.security.clone()),
        metrics,
    });
    reports::spawn(Arc::clone(&context)).context(error::ThreadSnafu)?;
    orders::spawn(Arc::clone(&context), platform.weights.clone()).context(error::ThreadSnafu)?;
    spawn_peers(peers, socket.clone(), &context, notes).context(error::ThreadSnafu)?;
    let refresh = context.refresh.clone();
    let poll = settings.periods.poll;
    config_sync::spawn(context.log.clone(), cell, life.clone(), poll, refresh.clone())
        .context(error::ThreadSnafu)?;
    let membership = membership::spawn(membership::Task {
        keeper,
        views,
        clock: lease,
        wake: Arc::clone(&context.peers.wake),
        lifecycle: life,
        periods: settings.periods.clone(),
    })
    .context(error::ThreadSnafu)?;
    rollouts::spawn(rollouts::Task {
        counters,
        table: platform.table.clone(),
        log: context.log.clone(),
        config: context.config.clone(),
        views: context.views.clone(),
        location: context.location.clone(),
        lifecycle: context.lifecycle.clone(),
        refresh: refresh.clone(),
        period: settings.periods.rollout,
    })
    .context(error::ThreadSnafu)?;
    spawn_operators(settings.operators, operators::service(&context, platform, refresh))?;
    let callers = spawn_callers(&context)?;
    Ok(Daemon { context, callers, socket, membership })
}

fn keeper(settings: &settings::Settings, platform: &Platform) -> keeper::Keeper {
    keeper::Keeper::new(keeper::Config {
        rows: lease::Rows::new(platform.table.clone()),
        vms: platform.vms.clone(),
        zone: settings.zone.clone(),
        member: view::Member { vm: settings.vm.clone(), peers: settings.peers },
        process: rand::random(),
        lease: settings.periods.lease,
        clock: Arc::new(clock::boot_now),
    })
}

fn duty_runtime(name: &str, threads: usize) -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
}

fn spawn_peers(
    runtime: tokio::runtime::Runtime,
    socket: quinn::Endpoint,
    context: &Arc<context::Context>,
    notes: mpsc::Receiver<replication::Message>,
) -> std::io::Result<()> {
    let context = Arc::clone(context);
    thread::Builder::new().name("peers".into()).spawn(move || {
        let asked = Arc::clone(&context);
        runtime.spawn(heartbeat::run(Arc::clone(&context)));
        runtime.spawn(replication::run(Arc::clone(&context), notes));
        let accepting = server::accept(
            socket,
            move |caller, work| run::run_for(&context, work, Some(caller)),
            move |caller, ask| heartbeat::reply(&asked, &caller, ask),
        );
        runtime.block_on(accepting);
    })?;
    Ok(())
}

fn spawn_operators(
    address: SocketAddr,
    service: ibishill_operator::service::Service,
) -> Result<(), StartError> {
    let server = operators::server(&service.security.get())?;
    let runtime = duty_runtime("operators", 1).context(error::ThreadSnafu)?;
    let listener = listen(address)
        .map_err(|error| StartError::Listen { address, detail: error.to_string() })?;
    thread::Builder::new()
        .name("operators".into())
        .spawn(move || {
            let serving = operators::serve(listener, server, service);
            let _ended = runtime.block_on(serving);
        })
        .context(error::ThreadSnafu)?;
    Ok(())
}

fn listen(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn spawn_callers(context: &Arc<context::Context>) -> Result<rocket::Shutdown, StartError> {
    let runtime = duty_runtime("callers", 2).context(error::ThreadSnafu)?;
    let address = context.settings.callers;
    let server = http::server(Arc::clone(context));
    let (sender, receiver) = std_mpsc::sync_channel(1);
    let lifted = http::on_open(server, move |shutdown| {
        let _waiting = sender.try_send(shutdown);
    });
    let (failed, failure) = std_mpsc::sync_channel(1);
    thread::Builder::new()
        .name("callers".into())
        .spawn(move || {
            if let Err(error) = runtime.block_on(lifted.launch()) {
                let _waiting = failed.try_send(error.to_string());
            }
        })
        .context(error::ThreadSnafu)?;
    // Either the server opens, or its thread ends and drops the sender.
    receiver.recv().map_err(|_| StartError::Listen {
        address,
        detail: failure.recv().unwrap_or_else(|_| "the server ended".into()),
    })
}

impl Daemon {
    /// Shuts down without cutting a request.
    ///
    /// Readiness fails first; after the drain time new requests are refused; running
    /// ones finish; records are written; then the sides close.
    pub async fn stop(self) {
        let life = &self.context.lifecycle;
        event::emit(event::Event::DaemonStopping, &[event::field("running", &life.running())]);
        life.stop();
        tokio::time::sleep(self.context.settings.periods.drain.to_std()).await;
        life.close();
        while life.running() + life.working() > 0 {
            tokio::time::sleep(STOP_POLL).await;
        }
        if !self.context.claims.drained(SETTLE_LIMIT).await {
            event::emit(event::Event::ClaimDelayed, &[event::field("error", &"stopping")]);
        }
        if !self.context.ledger.drain(FLUSH_LIMIT).await {
            event::emit(event::Event::BillingDelayed, &[event::field("error", &"stopping")]);
        }
        // Last frames of work for other daemons are on their way.
        tokio::time::sleep(LINGER).await;
        self.callers.notify();
        self.socket.close(quinn::VarInt::from_u32(0), b"stopping");
        let _lapses = tokio::task::spawn_blocking(move || self.membership.join()).await;
        event::emit(event::Event::DaemonStopped, &[]);
    }
}
