//! Keeps the configuration in force up to date with the log.

use std::sync::Arc;
use std::thread;

use ibishill_config::in_force;
use ibishill_core::{event, time};
use ibishill_decide::zone;
use ibishill_state::{error::StateError, log};
use tokio::sync::Notify;

use crate::context;

/// Wakes the duty, so that it reads the log at once.
#[derive(Debug, Clone, Default)]
pub struct Refresh {
    wake: Arc<Notify>,
}

impl Refresh {
    /// Asks for a read.
    pub fn ask(&self) {
        self.wake.notify_one();
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
    life: context::Life,
    period: time::Millis,
) -> std::io::Result<Refresh> {
    let refresh = Refresh::default();
    let wake = Arc::clone(&refresh.wake);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("config".into()).spawn(move || {
        runtime.block_on(async move {
            while !life.closed() || life.running() > 0 {
                read(&log, &cell, &life).await;
                let wait = zone::poll_wait(period, rand::random()).to_std();
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    () = wake.notified() => {}
                }
            }
        });
    })?;
    Ok(refresh)
}

async fn read(log: &log::Log, cell: &in_force::Cell, life: &context::Life) {
    match log.poll(&cell.get()).await {
        Ok(next) => {
            if let Some(next) = next {
                raise(cell, next);
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

fn raise(cell: &in_force::Cell, next: in_force::InForce) {
    let version = next.version;
    if cell.raise(next) {
        event::emit(event::Event::ConfigApplied, &[event::field("version", &version)]);
    }
}
