//! Keeps the configuration in force up to date with the configuration log.

use std::sync::Arc;
use std::thread;

use ibishill_config::{change, in_force};
use ibishill_core::{event, time};
use ibishill_decide::zone;
use ibishill_state::{error::StateError, log};
use tokio::sync::{Notify, watch};

use crate::context;

/// Longest wait for a version that another daemon has.
const CATCH_UP_TIMEOUT: time::Millis = time::Millis(1_000);

/// Requests immediate reads of the log and announces new versions; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Refresh {
    wake: Arc<Notify>,
    applied: Arc<watch::Sender<change::ConfigVersion>>,
}

impl Refresh {
    /// Requests a read of the log.
    pub fn request(&self) {
        self.wake.notify_one();
    }

    /// Puts `next` in force if its version is higher; returns whether it was.
    pub fn update_if_newer(&self, config: &in_force::Cell, next: in_force::InForce) -> bool {
        let version = next.version;
        let updated = config.update_if_newer(next);
        if updated {
            // Concurrent updates may arrive here out of order.
            self.applied.send_if_modified(|current| {
                let newer = version > *current;
                *current = version.max(*current);
                newer
            });
        }
        updated
    }

    /// Waits until `version` or a newer one is in force, for `remaining`, but at most one
    /// second; returns whether it is.
    pub async fn wait_for(&self, version: change::ConfigVersion, remaining: time::Millis) -> bool {
        let mut applied = self.applied.subscribe();
        let waiting = applied.wait_for(|current| *current >= version);
        let waited = tokio::time::timeout(remaining.min(CATCH_UP_TIMEOUT).to_std(), waiting).await;
        matches!(waited, Ok(Ok(_)))
    }
}

/// Starts the thread.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(
    log: log::Log,
    config: in_force::Cell,
    lifecycle: context::Lifecycle,
    period: time::Millis,
    refresh: Refresh,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("config".into()).spawn(move || {
        runtime.block_on(async move {
            while !lifecycle.is_closed() || lifecycle.caller_requests() > 0 {
                read(&log, &config, &lifecycle, &refresh).await;
                let wait = zone::poll_delay(period, rand::random()).to_std();
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    () = refresh.wake.notified() => {}
                }
            }
        });
    })?;
    Ok(())
}

async fn read(
    log: &log::Log,
    config: &in_force::Cell,
    lifecycle: &context::Lifecycle,
    refresh: &Refresh,
) {
    match log.poll(&config.get()).await {
        Ok(next) => {
            if let Some(next) = next {
                apply(config, next, refresh);
            }
            lifecycle.set_configured();
        }
        Err(error @ StateError::Malformed { .. }) => {
            event::emit(event::Event::ConfigInvalid, &[event::field("error", &error)]);
        }
        Err(error) => {
            event::emit(event::Event::ConfigUnreachable, &[event::field("error", &error)]);
        }
    }
}

fn apply(config: &in_force::Cell, next: in_force::InForce, refresh: &Refresh) {
    let version = next.version;
    if refresh.update_if_newer(config, next) {
        event::emit(event::Event::ConfigApplied, &[event::field("version", &version)]);
    }
}
