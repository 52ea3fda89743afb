//! Start and shutdown of a relay.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use ibishill_adapter::settings;
use ibishill_core::{clock as wall, event, fleet, time};
use ibishill_decide::peers;
use tokio::net::TcpListener;
use tokio::signal::unix;
use tokio::task::LocalSet;
use tokio::time as clock;

use crate::context::{self, Shared};
use crate::error::RelayError;
use crate::state::{State, Table};
use crate::{
    chunks, cold_check, control, datagrams, earlier_rows, early_end, feed, gossip, isolation,
    load_reports, log_writer, metrics, quarantine_rows, rollout, serve, starts,
};

/// Interval of the checks for expired state and for suspensions.
const TICK_INTERVAL: time::Millis = time::Millis(200);

/// Suspension from which on the state counts as stale.
const SUSPENSION_MIN: time::Millis = time::Millis(400);

/// Time after a suspension for which the state counts as stale, unless the store confirms it
/// earlier.
const STALE_MAX: time::Millis = time::Millis(3_000);

/// Interval of checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Time after SIGTERM during which new connections and requests are still accepted: callers are
/// routed elsewhere after two failed readiness checks, one second apart.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_500);

/// Time after SIGTERM from which on nothing is sent to an endpoint: requests that were read slowly or waited
/// for a slot are refused as not run.
const SEND_AFTER_STOP: time::Millis = time::Millis(3_000);

/// Time before the exit at which requests that still run are answered, rather than cut off.
const ANSWER_MARGIN: time::Millis = time::Millis(300);

/// Time before the end of the grace period at which the process exits by itself.
const EXIT_MARGIN: time::Millis = time::Millis(400);

/// Runs a relay until SIGTERM or SIGINT, with the settings file that the environment names.
///
/// # Errors
///
/// Fails if the settings are not valid, an address can't be bound, or a component can't be set up.
pub fn run() -> Result<(), RelayError> {
    let path = std::env::var(settings::PATH_VARIABLE).map_err(|_| RelayError::Settings {
        path: settings::PATH_VARIABLE.into(),
        detail: "environment variable is not set".into(),
    })?;
    let settings = read_settings(Path::new(&path))?;
    log_writer::start()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| setup("runtime", error))?;
    LocalSet::new().block_on(&runtime, run_until_stopped(settings, path))
}

fn setup<E>(what: &'static str, error: E) -> RelayError
where
    E: ToString,
{
    RelayError::Setup { what, detail: error.to_string() }
}

fn read_settings(path: &Path) -> Result<fleet::Settings, RelayError> {
    let fail = |detail: String| RelayError::Settings { path: path.display().to_string(), detail };
    let text = std::fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
    let port = match std::env::var(settings::METRICS_VARIABLE) {
        Ok(port) => port.parse().map_err(|error| RelayError::Settings {
            path: settings::METRICS_VARIABLE.into(),
            detail: format!("{port:?} is not a valid port: {error}"),
        })?,
        Err(_) => settings::METRICS_PORT,
    };
    settings::decode(&text, port).map_err(|error| fail(error.to_string()))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RelayError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| RelayError::Listen { address, source })
}

async fn run_until_stopped(settings: fleet::Settings, path: String) -> Result<(), RelayError> {
    let front = listen(settings.front).await?;
    let ready = listen(settings.ready).await?;
    let peer = listen(settings.peer).await?;
    let metrics_listener = listen(settings.metrics).await?;
    let datagrams = tokio::net::UdpSocket::bind(settings.peer).await;
    let datagrams =
        datagrams.map_err(|source| RelayError::Listen { address: settings.peer, source })?;
    let mut term = unix::signal(unix::SignalKind::terminate()).map_err(|e| setup("SIGTERM", e))?;
    let mut int = unix::signal(unix::SignalKind::interrupt()).map_err(|e| setup("SIGINT", e))?;
    let hangup = unix::signal(unix::SignalKind::hangup()).map_err(|e| setup("SIGHUP", e))?;
    let start = wall::wall_now().0;
    let member = peers::Member {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        address: settings.advertised,
        start,
        beat: 0,
        is_ready: false,
        link: settings.link,
    };
    event::emit_json(
        event::Event::RelayStarted,
        &[
            event::field("vm", &settings.vm),
            event::field("zone", &settings.zone),
            event::field("front", &settings.front),
            event::field("store", &settings.store),
        ],
    );
    let context =
        context::Context::new(State::new(settings, member), metrics::Metrics::new()?, start);
    for table in Table::ALL {
        tokio::task::spawn_local(feed::run(context.clone(), table));
    }
    tokio::task::spawn_local(control::serve(context.clone(), peer));
    tokio::task::spawn_local(gossip::run(context.clone()));
    tokio::task::spawn_local(chunks::run(context.clone()));
    let datagrams = Rc::new(datagrams);
    tokio::task::spawn_local(datagrams::run(context.clone(), datagrams.clone()));
    tokio::task::spawn_local(load_reports::run(context.clone(), datagrams.clone()));
    tokio::task::spawn_local(starts::run(context.clone(), datagrams.clone()));
    tokio::task::spawn_local(isolation::run(context.clone(), datagrams));
    tokio::task::spawn_local(cold_check::run(context.clone()));
    tokio::task::spawn_local(rollout::watch(context.clone()));
    tokio::task::spawn_local(rollout::report(context.clone()));
    tokio::task::spawn_local(earlier_rows::write(context.clone()));
    tokio::task::spawn_local(earlier_rows::read(context.clone()));
    tokio::task::spawn_local(early_end::check_survivals(context.clone()));
    tokio::task::spawn_local(quarantine_rows::write(context.clone()));
    tokio::task::spawn_local(quarantine_rows::read(context.clone()));
    tokio::task::spawn_local(metrics::serve(context.clone(), metrics_listener));
    tokio::task::spawn_local(serve::readiness(context.clone(), ready));
    tokio::task::spawn_local(serve::callers(context.clone(), front));
    tokio::task::spawn_local(watch(context.clone()));
    tokio::task::spawn_local(reload(context.clone(), hangup, path));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    stop(&context).await;
    Ok(())
}

async fn stop(context: &Shared) {
    let started = context.now();
    let grace = {
        let mut state = context.state();
        state.is_stopping = true;
        state.sends_until = Some(started + SEND_AFTER_STOP);
        state.settings.bounds.grace.saturating_sub(EXIT_MARGIN)
    };
    let open = context.state().connections;
    event::emit_json(event::Event::RelayStopping, &[event::field("open", &open)]);
    clock::sleep(ACCEPT_AFTER_STOP.min(grace.to_std())).await;
    context.shutdown.notify_waiters();
    let is_busy = || context.state().connections > 0 || context.forwarded.get() > 0;
    let answers_at = started + grace.saturating_sub(ANSWER_MARGIN);
    let mut is_answered = false;
    while is_busy() && context.now().since(started) < grace {
        if !is_answered && context.now() >= answers_at {
            is_answered = true;
            context.ending.notify_waiters();
        }
        clock::sleep(Duration::from_millis(20)).await;
    }
    let open = context.state().connections;
    event::emit_json(event::Event::RelayStopped, &[event::field("open", &open)]);
    log_writer::flush_pending().await;
}

// Expires state, and detects suspensions and the end of the start-up.
async fn watch(context: Shared) {
    let mut suspension = context::SuspensionDetector::start();
    let mut was_ready = false;
    loop {
        clock::sleep(TICK_INTERVAL.to_std()).await;
        let now = context.now();
        let suspended = suspension.poll(TICK_INTERVAL);
        let mut state = context.state();
        if suspended > SUSPENSION_MIN {
            state.stale_until = now + STALE_MAX;
            state.balancer.contacts().reset(now);
        }
        state.expire(now);
        context.peer_formats.borrow_mut().expire(now);
        let is_ready = state.is_ready(now);
        let version = state.catalog.as_ref().map_or(0, |catalog| catalog.version);
        drop(state);
        if suspended > SUSPENSION_MIN {
            event::emit_json(event::Event::VmResumed, &[event::field("still", &suspended)]);
        }
        if is_ready && !was_ready {
            event::emit_json(event::Event::RelayReady, &[event::field("configuration", &version)]);
        }
        was_ready = is_ready;
    }
}

// Reloads the settings on SIGHUP or when the file was modified.
async fn reload(context: Shared, mut hangup: unix::Signal, path: String) {
    let mut modified = modified_at(&path);
    loop {
        let is_signaled = tokio::select! {
            _ = hangup.recv() => true,
            () = clock::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        let at = modified_at(&path);
        if !is_signaled && at == modified {
            continue;
        }
        modified = at;
        match read_settings(Path::new(&path)) {
            Ok(settings) => {
                let mut state = context.state();
                let is_changed = state.settings != settings;
                // Listen addresses change only with a restart.
                state.settings.seeds = settings.seeds;
                state.settings.store = settings.store;
                state.settings.bounds = settings.bounds;
                drop(state);
                event::emit_json(
                    event::Event::SettingsReloaded,
                    &[event::field("is_changed", &is_changed)],
                );
            }
            Err(error) => {
                event::emit_json(event::Event::SettingsInvalid, &[event::field("error", &error)]);
            }
        }
    }
}

fn modified_at(path: &str) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|found| found.modified()).ok()
}
