//! Keeps the configuration in force up to date with the log.

use std::sync::Arc;
use std::thread;

use ibishill_config::{change, in_force};
use ibishill_core::{event, time};
use ibishill_decide::zone;
use ibishill_state::{error::StateError, log};
use tokio::sync::{Notify, watch};

use crate::context;

/// Longest wait for a version that another daemon has.
const BEHIND_TIMEOUT: time::Millis = time::Millis(1_000);

/// Wakes the duty, so that it reads the log at once, and tells of new versions.
#[derive(Debug, Clone, Default)]
pub struct Refresh {
    wake: Arc<Notify>,
    applied: Arc<watch::Sender<change::ConfigVersion>>,
}

impl Refresh {
    /// Asks for a read.
    pub fn request(&self) {
        self.wake.notify_one();
    }

    /// Puts `next` in force if its version is higher; returns whether it was.
    pub fn update_if_newer(&self, cell: &in_force::Cell, next: in_force::InForce) -> bool {
        let version = next.version;
        let raised = cell.update_if_newer(next);
        if raised {
            // Two raises may tell in the other order.
            self.applied.send_if_modified(|known| {
                let newer = version > *known;
                *known = version.max(*known);
                newer
            });
        }
        raised
    }

    /// Waits for `version`, at most for `left` and the timeout of this call; returns
    /// whether it is in force.
    pub async fn wait_for(&self, version: change::ConfigVersion, left: time::Millis) -> bool {
        let mut applied = self.applied.subscribe();
        let waiting = applied.wait_for(|known| *known >= version);
        let waited = tokio::time::timeout(left.min(BEHIND_TIMEOUT).to_std(), waiting).await;
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
    cell: in_force::Cell,
    life: context::Lifecycle,
    period: time::Millis,
    refresh: Refresh,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("config".into()).spawn(move || {
        runtime.block_on(async move {
            while !life.is_closed() || life.running() > 0 {
                read(&log, &cell, &life, &refresh).await;
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

async fn read(log: &log::Log, cell: &in_force::Cell, life: &context::Lifecycle, refresh: &Refresh) {
    match log.poll(&cell.get()).await {
        Ok(next) => {
            if let Some(next) = next {
                raise(cell, next, refresh);
            }
            life.set_configured();
        }
        Err(error @ StateError::Malformed { .. }) => {
            event::emit(event::Event::ConfigInvalid, &[event::field("error", &error)]);
        }
        Err(error) => {
            event::emit(event::Event::ConfigUnreachable, &[event::field("error", &error)]);
        }
    }
}

fn raise(cell: &in_force::Cell, next: in_force::InForce, refresh: &Refresh) {
    let version = next.version;
    if refresh.update_if_newer(cell, next) {
        event::emit(event::Event::ConfigApplied, &[event::field("version", &version)]);
    }
}
