//! Renews this daemon's lease and keeps the zone views up to date.

use std::sync::Arc;
use std::thread;

use ibishill_core::{clock, event, time};
use ibishill_state::lease::{keeper, membership};
use tokio::sync::Notify;

use crate::{context, lease_clock};

const LEAVE_ATTEMPTS: u32 = 3;
const JOIN_PERIOD: time::Millis = time::Millis(500);

/// Background task that keeps the lease and the views.
pub struct Task {
    /// Lease and membership of this daemon in its zone.
    pub keeper: keeper::Keeper,
    /// Zone views in force, which the task updates.
    pub views: context::ViewCell,
    /// Lease expiry, which the task updates.
    pub clock: lease_clock::LeaseClock,
    /// Wakes the task when a peer knows a newer view.
    pub wake: Arc<Notify>,
    /// Lifecycle of the daemon.
    pub lifecycle: context::Lifecycle,
    /// Periods from the settings.
    pub periods: ibishill_config::settings::Periods,
}

/// Starts the thread.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(task: Task) -> std::io::Result<thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("membership".into()).spawn(move || runtime.block_on(task.run()))
}

impl Task {
    async fn run(mut self) {
        while !self.lifecycle.is_stopping() {
            self.step().await;
            self.wait().await;
        }
        for _ in 0..LEAVE_ATTEMPTS {
            let left = self.keeper.leave().await;
            self.publish();
            if left.is_ok() {
                break;
            }
        }
        while !self.lifecycle.is_closed() || self.lifecycle.caller_requests() > 0 {
            self.step().await;
            self.wait().await;
        }
    }

    async fn wait(&self) {
        // Joining and leaving use a shorter period than renewal.
        let is_settled = self.keeper.membership.is_joined() && !self.keeper.in_transition();
        let period =
            if is_settled { self.periods.renew } else { self.periods.renew.min(JOIN_PERIOD) };
        tokio::select! {
            () = tokio::time::sleep(period.to_std()) => {}
            () = self.wake.notified() => {}
        }
    }

    async fn step(&mut self) {
        let joined = self.keeper.membership.is_joined();
        if let Err(error) = self.keeper.step().await {
            event::emit(event::Event::LeaseRenewFailed, &[event::field("error", &error)]);
        }
        if self.keeper.membership.is_joined() && !joined {
            event::emit(event::Event::LeaseAcquired, &[]);
        }
        self.publish();
    }

    fn publish(&self) {
        publish(&self.keeper.membership, &self.clock, &self.lifecycle);
        if self.views.set(self.keeper.views.clone()) {
            let number = self.keeper.membership.view().number;
            event::emit(event::Event::ViewChanged, &[event::field("view", &number)]);
        }
    }
}

/// Publishes the membership to admission and to the readiness check.
pub fn publish(
    membership: &membership::Membership,
    lease: &lease_clock::LeaseClock,
    lifecycle: &context::Lifecycle,
) {
    let expiry = membership.admits_until();
    lease.set(expiry);
    let valid = clock::boot_now() < expiry;
    if lifecycle.set_member(valid) && !valid && !lifecycle.is_stopping() {
        event::emit(event::Event::LeaseLost, &[event::field("view", &membership.view().number)]);
    }
}
