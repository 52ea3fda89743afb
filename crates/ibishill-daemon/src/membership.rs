//! Keeps this daemon's lease and reads the zone views.

use std::thread;

use ibishill_core::{clock, event, view};
use ibishill_state::lease;

use crate::{context, lease_clock};

/// Where the duty reads and writes.
pub struct Duty {
    /// The lease rows.
    pub leases: lease::Leases,
    /// How others reach this daemon.
    pub member: view::Member,
    /// Its zone.
    pub zone: ibishill_core::id::ZoneId,
    /// The lease as admissions see it.
    pub lease: lease_clock::LeaseClock,
    /// The views in force.
    pub views: context::ViewCell,
    /// How far the daemon's life has come.
    pub life: context::Life,
    /// The daemon's periods.
    pub periods: ibishill_config::settings::Periods,
}

/// Starts the thread.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(duty: Duty) -> std::io::Result<thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("membership".into()).spawn(move || runtime.block_on(duty.run()))
}

impl Duty {
    async fn run(self) {
        while !self.life.stopping() {
            let began = clock::boot_now();
            if self.renew().await && self.read().await {
                self.lease.extend(began + self.periods.lease);
            }
            tokio::time::sleep(self.periods.renew.to_std()).await;
        }
        self.lease.end();
        let _lapses = self.leases.release(&self.zone, &self.member.vm).await;
        while !self.life.closed() || self.life.running() > 0 {
            self.read().await;
            tokio::time::sleep(self.periods.renew.to_std()).await;
        }
    }

    async fn renew(&self) -> bool {
        let lease = lease::Lease {
            zone: self.zone.clone(),
            member: self.member.clone(),
            expires: clock::wall_now() + self.periods.lease,
        };
        let renewed = self.leases.renew(&lease).await;
        if let Err(error) = &renewed {
            event::emit(event::Event::LeaseRenewFailed, &[event::field("error", error)]);
        }
        renewed.is_ok()
    }

    async fn read(&self) -> bool {
        // While the platform is away, the last views stay in force.
        let Ok(views) = self.leases.views(clock::wall_now()).await else { return false };
        let own = views.zones.get(&self.zone);
        let member = own.is_some_and(|view| view.member(&self.member.vm).is_some());
        self.life.set_member(member);
        if self.views.set(views) {
            event::emit(event::Event::ViewChanged, &[event::field("zone", &self.zone)]);
        }
        true
    }
}
