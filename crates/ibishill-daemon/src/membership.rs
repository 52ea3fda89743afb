//! Keeps this daemon's lease and the zone views.

use std::sync::Arc;
use std::thread;

use ibishill_core::{clock, event, time};
use ibishill_state::lease::{keeper, membership};
use tokio::sync::Notify;

use crate::{context, lease_clock};

const LEAVE_TRIES: u32 = 3;
const JOIN_PERIOD: time::Millis = time::Millis(500);

/// Where the duty reads and writes.
pub struct Task {
    /// The daemon's share in membership.
    pub keeper: keeper::Keeper,
    /// The views in force.
    pub views: context::ViewCell,
    /// When the lease lapses.
    pub clock: lease_clock::LeaseClock,
    /// Wakes the duty when a peer knows a newer view.
    pub wake: Arc<Notify>,
    /// How far the daemon's life has come.
    pub lifecycle: context::Lifecycle,
    /// The daemon's periods.
    pub periods: ibishill_config::settings::Periods,
}

/// Starts the thread.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(duty: Task) -> std::io::Result<thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("membership".into()).spawn(move || runtime.block_on(duty.run()))
}

impl Task {
    async fn run(mut self) {
        while !self.lifecycle.is_stopping() {
            self.step().await;
            self.wait().await;
        }
        for _ in 0..LEAVE_TRIES {
            let left = self.keeper.leave().await;
            self.publish();
            if left.is_ok() {
                break;
            }
        }
        while !self.lifecycle.is_closed() || self.lifecycle.running() > 0 {
            self.step().await;
            self.wait().await;
        }
    }

    async fn wait(&self) {
        // A daemon that is no member yet, or leaves, is in a hurry.
        let settled = self.keeper.membership.is_joined() && !self.keeper.in_transition();
        let period = if settled { self.periods.renew } else { self.periods.renew.min(JOIN_PERIOD) };
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

/// Shows the daemon's standing to admission and to the readiness page.
pub fn publish(
    standing: &membership::Membership,
    lease: &lease_clock::LeaseClock,
    life: &context::Lifecycle,
) {
    let until = standing.admits_until();
    lease.set(until);
    let valid = clock::boot_now() < until;
    if life.set_member(valid) && !valid && !life.is_stopping() {
        event::emit(event::Event::LeaseLost, &[event::field("view", &standing.view().number)]);
    }
}
