//! Startup and graceful shutdown of a daemon.

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
    claims, config_sync, context, heartbeat, http, lease_clock, ledger, membership, memory,
    metrics, operators, orders, ratings, reports, rollouts, router, run,
};

const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);
const CLOSE_DELAY: Duration = Duration::from_millis(200);

/// Longest wait at shutdown for billing records and refusal counts to be written.
const FLUSH_TIMEOUT: time::Millis = time::Millis::from_secs(10);

/// Longest wait at shutdown for the endings of claims to be recorded.
const CLAIM_TIMEOUT: time::Millis = time::Millis::from_secs(10);

/// A running daemon.
pub struct Daemon {
    /// State shared by the daemon's tasks.
    pub context: Arc<context::Context>,
    callers: rocket::Shutdown,
    socket: quinn::Endpoint,
    membership: thread::JoinHandle<()>,
}

/// Checks that listeners without credentials are bound to loopback only.
///
/// # Errors
///
/// Fails if no token is configured, or an insecure address is not loopback.
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

/// Starts a daemon; returns once all its listeners are open.
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
    let location = plan::Location { vm: settings.vm.clone(), zone: settings.zone.clone() };
    let config = in_force::Cell::default();
    let views = context::ViewCell::default();
    let lifecycle = context::Lifecycle::default();
    let lease = lease_clock::LeaseClock::default();
    let router = router::spawn(router::Sources {
        location: location.clone(),
        config: config.clone(),
        views: views.clone(),
        lease: lease.clone(),
        periods: admit::Periods {
            lease: settings.periods.lease,
            run_max: settings.limits.deadline,
        },
    })
    .context(error::ThreadSnafu)?;
    let (ledger, messages) =
        ledger::spawn(&settings.vm, &platform.objects, settings.periods.billing)
            .context(error::ThreadSnafu)?;
    let claims = claim::Claims::new(platform.table.clone(), claim::Timeouts::default());
    let claims = claims::spawn(claims).context(error::ThreadSnafu)?;
    let endpoints =
        client::Client::new().map_err(|error| StartError::Client { detail: error.to_string() })?;
    let peers = build_runtime("peers", 2).context(error::ThreadSnafu)?;
    let (socket, link) = {
        let _guard = peers.enter();
        let caller = frame::Caller { vm: location.vm.clone(), zone: location.zone.clone() };
        tls::check(identity, &caller).context(error::LinkSnafu)?;
        let socket = server::bind(settings.peers, identity).context(error::LinkSnafu)?;
        let link = link::Link::new(socket.clone(), identity, caller).context(error::LinkSnafu)?;
        (socket, link)
    };
    let keeper = keeper(&settings, platform);
    let metrics = metrics::Metrics::new().map_err(|detail| StartError::Client { detail })?;
    let counters = rollouts::Counters::new(config.clone());
    let ratings =
        ratings::spawn(platform.ratings.clone(), counters.clone()).context(error::ThreadSnafu)?;
    let context = Arc::new(context::Context {
        settings: settings.clone(),
        location,
        config: config.clone(),
        views: views.clone(),
        membership: keeper.membership.clone(),
        lease: lease.clone(),
        log: log::Log::new(platform),
        refresh: config_sync::Refresh::default(),
        peers: heartbeat::Peers::default(),
        lifecycle: lifecycle.clone(),
        router,
        claims,
        ledger,
        endpoints,
        link,
        ratings,
        rollouts: counters.clone(),
        session_keys: context::SessionKeysCell::new(&settings.security),
        security: security::Cell::new(settings.security.clone()),
        memory: memory::Memory::new(settings.limits.memory),
        metrics,
    });
    reports::spawn(Arc::clone(&context)).context(error::ThreadSnafu)?;
    orders::spawn(Arc::clone(&context), platform.weights.clone()).context(error::ThreadSnafu)?;
    spawn_peers(peers, socket.clone(), &context, messages).context(error::ThreadSnafu)?;
    let refresh = context.refresh.clone();
    let poll = settings.periods.poll;
    config_sync::spawn(context.log.clone(), config, lifecycle.clone(), poll, refresh.clone())
        .context(error::ThreadSnafu)?;
    let membership = membership::spawn(membership::Task {
        keeper,
        views,
        clock: lease,
        wake: Arc::clone(&context.peers.wake),
        lifecycle,
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

fn build_runtime(name: &str, threads: usize) -> std::io::Result<tokio::runtime::Runtime> {
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
    messages: mpsc::Receiver<replication::Message>,
) -> std::io::Result<()> {
    let context = Arc::clone(context);
    thread::Builder::new().name("peers".into()).spawn(move || {
        let shared = Arc::clone(&context);
        runtime.spawn(heartbeat::run(Arc::clone(&context)));
        runtime.spawn(replication::run(Arc::clone(&context), messages));
        let accepting = server::accept(
            socket,
            move |caller, work| run::run_for(&context, work, Some(caller)),
            move |caller, ask| heartbeat::reply(&shared, &caller, ask),
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
    let runtime = build_runtime("operators", 1).context(error::ThreadSnafu)?;
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
    let runtime = build_runtime("callers", 2).context(error::ThreadSnafu)?;
    let address = context.settings.callers;
    let server = http::server(Arc::clone(context));
    let (sender, receiver) = std_mpsc::sync_channel(1);
    let launching = http::on_open(server, move |shutdown| {
        let _sent = sender.try_send(shutdown);
    });
    let (failed, failure) = std_mpsc::sync_channel(1);
    thread::Builder::new()
        .name("callers".into())
        .spawn(move || {
            if let Err(error) = runtime.block_on(launching.launch()) {
                let _sent = failed.try_send(error.to_string());
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
    /// Shuts down without cutting off requests.
    ///
    /// The readiness check fails first; after the drain period new requests are refused;
    /// those in flight finish; records are written; then the listeners close.
    pub async fn stop(self) {
        let lifecycle = &self.context.lifecycle;
        event::emit(
            event::Event::DaemonStopping,
            &[event::field("running", &lifecycle.caller_requests())],
        );
        lifecycle.stop();
        tokio::time::sleep(self.context.settings.periods.drain.to_std()).await;
        lifecycle.close();
        while lifecycle.caller_requests() + lifecycle.endpoint_requests() > 0 {
            tokio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
        if !self.context.claims.drained(CLAIM_TIMEOUT).await {
            event::emit(event::Event::ClaimDelayed, &[event::field("error", &"stopping")]);
        }
        if !self.context.ledger.drain(FLUSH_TIMEOUT).await {
            event::emit(event::Event::BillingDelayed, &[event::field("error", &"stopping")]);
        }
        // Lets the last frames for other daemons arrive before the socket closes.
        tokio::time::sleep(CLOSE_DELAY).await;
        self.callers.notify();
        self.socket.close(quinn::VarInt::from_u32(0), b"stopping");
        let _joined = tokio::task::spawn_blocking(move || self.membership.join()).await;
        event::emit(event::Event::DaemonStopped, &[]);
    }
}
