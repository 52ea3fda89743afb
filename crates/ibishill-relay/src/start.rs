//! Starts a relay and stops it.

use std::net::SocketAddr;
use std::path::Path;
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
use crate::state::{Kind, State};
use crate::{duty, feed, gossip, journal, loads, metrics, serve};

/// Time between two looks at what changes by time alone.
const TICK: time::Millis = time::Millis(200);

/// Standstill from which on beliefs count as too old.
const STANDSTILL: time::Millis = time::Millis(400);

/// Longest time for which beliefs count as too old if nobody confirms them.
const STALE: time::Millis = time::Millis(3_000);

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);

/// Time for which new requests on kept connections are still taken after SIGTERM: callers
/// are sent elsewhere after two failed questions about readiness, a second apart.
const LINGER: Duration = Duration::from_millis(2_500);

/// Time before the end of the grace at which the process ends by itself.
const MARGIN: time::Millis = time::Millis(400);

/// Runs a relay with the settings file that the environment names, until SIGTERM.
///
/// # Errors
///
/// Fails if the settings are not valid or an address can't be listened on.
pub fn run() -> Result<(), RelayError> {
    let path = std::env::var(settings::PATH_VARIABLE).map_err(|_| RelayError::Settings {
        path: settings::PATH_VARIABLE.into(),
        detail: "the variable is not set".into(),
    })?;
    let place = read(Path::new(&path))?;
    journal::start()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| setup("runtime", error))?;
    LocalSet::new().block_on(&runtime, relay(place, path))
}

fn setup<E>(what: &'static str, error: E) -> RelayError
where
    E: ToString,
{
    RelayError::Setup { what, detail: error.to_string() }
}

fn read(path: &Path) -> Result<fleet::Settings, RelayError> {
    let fail = |detail: String| RelayError::Settings { path: path.display().to_string(), detail };
    let text = std::fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
    let port = match std::env::var(settings::METRICS_VARIABLE) {
        Ok(port) => port.parse().map_err(|error| RelayError::Settings {
            path: settings::METRICS_VARIABLE.into(),
            detail: format!("{port:?} is no port: {error}"),
        })?,
        Err(_) => settings::METRICS_PORT,
    };
    settings::decode(&text, port).map_err(|error| fail(error.to_string()))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RelayError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| RelayError::Listen { address, source })
}

async fn relay(place: fleet::Settings, path: String) -> Result<(), RelayError> {
    let front = listen(place.front).await?;
    let ready = listen(place.ready).await?;
    let peer = listen(place.peer).await?;
    let asked = listen(place.metrics).await?;
    let loads = tokio::net::UdpSocket::bind(place.peer).await;
    let loads = loads.map_err(|source| RelayError::Listen { address: place.peer, source })?;
    let mut term = unix::signal(unix::SignalKind::terminate()).map_err(|e| setup("SIGTERM", e))?;
    let mut int = unix::signal(unix::SignalKind::interrupt()).map_err(|e| setup("SIGINT", e))?;
    let hangup = unix::signal(unix::SignalKind::hangup()).map_err(|e| setup("SIGHUP", e))?;
    let start = wall::wall_now().0;
    let own = peers::Member {
        vm: place.vm.clone(),
        zone: place.zone.clone(),
        address: place.peer,
        start,
        beat: 0,
        is_ready: false,
    };
    event::emit_json(
        event::Event::RelayStarted,
        &[
            event::field("vm", &place.vm),
            event::field("zone", &place.zone),
            event::field("front", &place.front),
            event::field("store", &place.store),
        ],
    );
    let context = context::Context::new(State::new(place, own), metrics::Metrics::new()?, start);
    for kind in Kind::ALL {
        tokio::task::spawn_local(feed::run(context.clone(), kind));
    }
    tokio::task::spawn_local(gossip::serve(context.clone(), peer));
    tokio::task::spawn_local(gossip::run(context.clone()));
    tokio::task::spawn_local(loads::run(context.clone(), loads));
    tokio::task::spawn_local(duty::watch(context.clone()));
    tokio::task::spawn_local(duty::report(context.clone()));
    tokio::task::spawn_local(metrics::serve(context.clone(), asked));
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
    let begun = context.now();
    let grace = {
        let mut state = context.state();
        state.is_stopping = true;
        state.place.bounds.grace.saturating_sub(MARGIN)
    };
    let open = context.state().open;
    event::emit_json(event::Event::RelayStopping, &[event::field("open", &open)]);
    clock::sleep(LINGER.min(grace.to_std())).await;
    context.stop.notify_waiters();
    while context.state().open > 0 && context.now().since(begun) < grace {
        clock::sleep(Duration::from_millis(20)).await;
    }
    let open = context.state().open;
    event::emit_json(event::Event::RelayStopped, &[event::field("open", &open)]);
    journal::settle().await;
}

// Looks after what changes by time alone.
async fn watch(context: Shared) {
    let mut suspension = context::Suspension::start();
    let mut was_ready = false;
    loop {
        clock::sleep(TICK.to_std()).await;
        let now = context.now();
        let still = suspension.look(TICK);
        let mut state = context.state();
        if still > STANDSTILL {
            state.stale_until = now + STALE;
        }
        state.expire(now);
        let is_ready = state.is_informed() && !state.is_stopping;
        let version = state.catalog.as_ref().map_or(0, |catalog| catalog.version);
        drop(state);
        if still > STANDSTILL {
            event::emit_json(event::Event::VmResumed, &[event::field("still", &still)]);
        }
        if is_ready && !was_ready {
            event::emit_json(event::Event::RelayReady, &[event::field("configuration", &version)]);
        }
        was_ready = is_ready;
    }
}

// Takes over settings that have changed, on SIGHUP or without a signal.
async fn reload(context: Shared, mut hangup: unix::Signal, path: String) {
    let mut modified = modified_at(&path);
    loop {
        let is_asked = tokio::select! {
            _ = hangup.recv() => true,
            () = clock::sleep(SETTINGS_LOOK) => false,
        };
        let at = modified_at(&path);
        if !is_asked && at == modified {
            continue;
        }
        modified = at;
        match read(Path::new(&path)) {
            Ok(place) => {
                let mut state = context.state();
                let is_changed = state.place != place;
                // Listening addresses stay; they change with the process only.
                state.place.seeds = place.seeds;
                state.place.store = place.store;
                state.place.bounds = place.bounds;
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
