//! Renews a daemon's lease and, together with the other members, maintains the view of its
//! zone.
//!
//! Time comes from a closure that reads the boot clock, because a lease starts at the time
//! just before its renewal is sent.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ibishill_core::{id, time, view as core_view};
use ibishill_platform::{failure, table, vm};

use crate::lease::membership;
use crate::{lease, view};

/// Returns the time of the boot clock.
pub type Clock = Arc<dyn Fn() -> time::Tick + Send + Sync>;

/// Identity, settings and clients of a keeper.
#[derive(Clone)]
pub struct Config {
    /// Client of the lease and view rows.
    pub rows: lease::Rows,
    /// Client of the platform's VM list.
    pub vms: vm::Vms,
    /// Zone of the daemon.
    pub zone: id::ZoneId,
    /// Name of the daemon's VM and its address for peers.
    pub member: core_view::Member,
    /// Random number of the process, which distinguishes it from one started before.
    pub process: u64,
    /// Duration of a lease and of a grant.
    pub lease: time::Millis,
    /// Clock by which leases are measured.
    pub clock: Clock,
}

struct Attempt {
    number: u64,
    start: time::Tick,
}

struct Watch {
    revision: u64,
    since: time::Tick,
}

/// Keeps the lease of one daemon and takes part in the view changes of its zone.
pub struct Keeper {
    config: Config,
    /// The daemon's membership, shared with its other tasks.
    pub membership: membership::Membership,
    /// Newest view read of each zone.
    pub views: core_view::Views,
    number: u64,
    attempts: Vec<Attempt>,
    watched: BTreeMap<id::VmId, Watch>,
    left: bool,
}

type Leases = BTreeMap<id::VmId, lease::Versioned<lease::Lease>>;

impl Keeper {
    /// Creates the keeper of a daemon that is not a member yet.
    pub fn new(config: Config) -> Self {
        let membership = membership::Membership::new(config.member.vm.clone(), config.lease);
        Self {
            config,
            membership,
            views: core_view::Views::default(),
            number: 0,
            attempts: Vec::new(),
            watched: BTreeMap::new(),
            left: false,
        }
    }

    fn now(&self) -> time::Tick {
        (self.config.clock)()
    }

    fn own(&self) -> &id::VmId {
        &self.config.member.vm
    }

    /// Renews the lease, reads the views and changes the view of the own zone if needed.
    ///
    /// # Errors
    ///
    /// Fails if the platform does; the next step starts over.
    pub async fn step(&mut self) -> Result<(), failure::Failure> {
        if self.left {
            return self.read_views().await;
        }
        let zone = self.config.zone.clone();
        let (own, row) = self.config.rows.own(&zone, self.own()).await?;
        self.adopt(&row);
        self.renew(&own, &row).await?;
        self.read_views().await?;
        if self.membership.is_joined() && self.maintains_view() {
            let leases: Leases = self.config.rows.leases(&zone).await?.into_iter().collect();
            self.settle(&leases, &row).await?;
            self.change_view(&leases, &row).await?;
        }
        Ok(())
    }

    /// Reads the views of all zones.
    ///
    /// # Errors
    ///
    /// Fails if the platform does or a row can't be decoded.
    pub async fn read_views(&mut self) -> Result<(), failure::Failure> {
        for (zone, row) in self.config.rows.views().await? {
            if zone == self.config.zone {
                self.adopt(&row);
                continue;
            }
            let Some(row) = row.value else { continue };
            let known = self.views.zones.entry(zone).or_default();
            if row.view.number > known.number {
                *known = row.view;
            }
        }
        Ok(())
    }

    fn adopt(&mut self, row: &lease::Versioned<lease::ZoneRow>) {
        let Some(row) = &row.value else { return };
        let now = self.now();
        if self.membership.adopt(&row.view, &row.before, now) {
            self.views.zones.insert(self.config.zone.clone(), row.view.clone());
        }
    }

    async fn renew(
        &mut self,
        own: &lease::Versioned<lease::Lease>,
        row: &lease::Versioned<lease::ZoneRow>,
    ) -> Result<(), failure::Failure> {
        match &own.value {
            Some(lease) if lease.process == self.config.process => {
                self.confirm_renewal(lease.number);
                self.number = self.number.max(lease.number);
            }
            // Another process with this VM name may still hold its lease.
            Some(_) if !self.is_expired(&self.own().clone(), own.revision) => return Ok(()),
            // Other members have fenced this daemon, so it waits until its own lease has expired.
            None if self.membership.is_joined() && self.now() < self.membership.lease_expiry() => {
                return Ok(());
            }
            _ => {}
        }
        self.number += 1;
        let start = self.now();
        let lease = lease::Lease {
            member: self.config.member.clone(),
            process: self.config.process,
            number: self.number,
            view: self.membership.view().number,
        };
        // The check of the view row fails the renewal if this daemon has not read a newer view.
        let transaction = table::Transaction::default()
            .check(lease::lease_row(&self.config.zone, self.own()), own.revision)
            .check(lease::view_row(&self.config.zone), row.revision)
            .put(lease::lease_row(&self.config.zone, self.own()), lease::encode(&lease));
        let result = self.config.rows.commit(transaction).await;
        match &result {
            Ok(()) => self.membership.renew(start),
            Err(failure::Failure::Unknown { .. }) => {
                self.attempts.push(Attempt { number: self.number, start });
            }
            Err(_) => {}
        }
        result
    }

    // A renewal whose answer was lost takes effect here once its number is read from the row.
    fn confirm_renewal(&mut self, number: u64) {
        let found = self.attempts.iter().find(|attempt| attempt.number == number);
        if let Some(start) = found.map(|attempt| attempt.start) {
            self.membership.renew(start);
        }
        self.attempts.retain(|attempt| attempt.number > number);
    }

    /// Whether the daemon is not in the view yet, or waits for members of earlier views.
    pub fn in_transition(&self) -> bool {
        let is_member = self.membership.view().member(self.own()).is_some();
        !is_member || !self.membership.awaited_members(self.now()).is_empty()
    }

    fn maintains_view(&self) -> bool {
        let now = self.now();
        let own = self.own().clone();
        if self.in_transition() {
            return true;
        }
        let view = self.membership.view();
        let mut names = view.members.iter().map(|member| &member.vm);
        let first = names.find(|vm| **vm == own || !self.membership.suspects(vm, now));
        first == Some(&own)
    }

    // Whether the row's revision has not changed for longer than a lease can last.
    fn is_expired(&mut self, vm: &id::VmId, revision: u64) -> bool {
        let now = self.now();
        let watch = self.watched.entry(vm.clone()).or_insert(Watch { revision, since: now });
        if watch.revision != revision {
            *watch = Watch { revision, since: now };
        }
        now.since(watch.since) > time::Millis(self.config.lease.0 + view::CLOCK_MARGIN.0)
    }

    // Settles earlier views once all their members follow the current one. The commit, which
    // has checks but no writes, verifies that the lease rows that were read are not stale.
    async fn settle(
        &self,
        leases: &Leases,
        row: &lease::Versioned<lease::ZoneRow>,
    ) -> Result<(), failure::Failure> {
        let awaited = self.membership.awaited_members(self.now());
        let number = self.membership.view().number;
        if awaited.is_empty() || row.value.as_ref().is_none_or(|row| row.view.number != number) {
            return Ok(());
        }
        let follows = |vm: &id::VmId| {
            let lease = leases.get(vm).and_then(|found| found.value.as_ref());
            lease.is_none_or(|lease| lease.view >= number)
        };
        if !awaited.iter().all(follows) {
            return Ok(());
        }
        let mut checks = table::Transaction::default();
        for vm in &awaited {
            let revision = leases.get(vm).map_or(0, |found| found.revision);
            checks = checks.check(lease::lease_row(&self.config.zone, vm), revision);
        }
        self.config.rows.commit(checks).await?;
        self.membership.settle(number);
        Ok(())
    }

    async fn change_view(
        &mut self,
        leases: &Leases,
        row: &lease::Versioned<lease::ZoneRow>,
    ) -> Result<(), failure::Failure> {
        let old = row.value.clone().unwrap_or_default().view;
        // The row may be stale: a later read may already have returned a newer view.
        if old.number < self.membership.view().number {
            return Ok(());
        }
        let is_member = old.member(self.own()).is_some();
        if !is_member && !old.members.is_empty() && !self.is_abandoned(&old, leases).await? {
            return Ok(());
        }
        let expired = self.expired_members(&old, leases);
        let mut next = self.live_members(leases, &expired);
        next.sort_by(|one, other| one.vm.cmp(&other.vm));
        if next == old.members {
            return Ok(());
        }
        let mut transaction =
            table::Transaction::default().check(lease::view_row(&self.config.zone), row.revision);
        for removed in old.members.iter().filter(|member| !next.contains(member)) {
            let name = lease::lease_row(&self.config.zone, &removed.vm);
            let revision = leases.get(&removed.vm).map_or(0, |found| found.revision);
            transaction = transaction.check(name.clone(), revision);
            if expired.contains(&removed.vm) {
                transaction = transaction.remove(name);
            }
        }
        self.commit_view(old, next, transaction).await
    }

    async fn commit_view(
        &mut self,
        old: core_view::View,
        members: Vec<core_view::Member>,
        transaction: table::Transaction,
    ) -> Result<(), failure::Failure> {
        let number = core_view::ViewNumber(old.number.0 + 1);
        let row = lease::ZoneRow { view: core_view::View { number, members }, before: old };
        let transaction = transaction.put(lease::view_row(&self.config.zone), lease::encode(&row));
        if !self.membership.begin_view_change(self.now()) {
            return Ok(());
        }
        let result = self.config.rows.commit(transaction).await;
        match &result {
            Ok(()) => self.adopt(&lease::Versioned { revision: 0, value: Some(row) }),
            Err(failure::Failure::Unknown { .. }) => self.membership.mark_unresolved(),
            Err(_) => self.membership.abort_view_change(),
        }
        result
    }

    fn live_members(
        &self,
        leases: &Leases,
        expired: &BTreeSet<id::VmId>,
    ) -> Vec<core_view::Member> {
        let live = leases.iter().filter(|(vm, _)| !expired.contains(*vm));
        live.filter_map(|(_, found)| Some(found.value.as_ref()?.member.clone())).collect()
    }

    fn expired_members(&mut self, old: &core_view::View, leases: &Leases) -> BTreeSet<id::VmId> {
        let own = self.own().clone();
        let mut expired = BTreeSet::new();
        for (vm, found) in leases.iter().filter(|(vm, _)| **vm != own) {
            if self.is_expired(vm, found.revision) {
                expired.insert(vm.clone());
            }
        }
        expired.retain(|vm| old.member(vm).is_some() || leases.contains_key(vm));
        expired
    }

    // Whether no member of `old` can still hold a lease or a grant: all their leases have
    // expired, and the platform's list contains none of their VMs although it is recent
    // enough to contain this daemon's.
    async fn is_abandoned(
        &mut self,
        old: &core_view::View,
        leases: &Leases,
    ) -> Result<bool, failure::Failure> {
        let mut all_expired = true;
        for member in &old.members {
            let revision = leases.get(&member.vm).map_or(0, |found| found.revision);
            all_expired &= self.is_expired(&member.vm, revision);
        }
        if !all_expired {
            return Ok(false);
        }
        let listed = self.config.vms.list().await?;
        let is_listed = |vm: &id::VmId| listed.iter().any(|listed| listed.vm == *vm);
        Ok(is_listed(self.own()) && !old.members.iter().any(|member| is_listed(&member.vm)))
    }

    /// Leaves the zone: stops admission, releases the lease and leaves the view.
    ///
    /// # Errors
    ///
    /// Fails if the platform does; the lease row then stays until others see it expire.
    pub async fn leave(&mut self) -> Result<(), failure::Failure> {
        self.membership.leave();
        self.left = true;
        let zone = self.config.zone.clone();
        let (own, row) = self.config.rows.own(&zone, self.own()).await?;
        let old = row.value.unwrap_or_default().view;
        let is_own = own.value.is_some_and(|lease| lease.process == self.config.process);
        if !is_own {
            return Ok(());
        }
        let name = lease::lease_row(&zone, self.own());
        let transaction =
            table::Transaction::default().check(name.clone(), own.revision).remove(name);
        if old.member(self.own()).is_none() {
            return self.config.rows.commit(transaction).await;
        }
        let mut members = old.members.clone();
        members.retain(|member| member.vm != *self.own());
        let transaction = transaction.check(lease::view_row(&zone), row.revision);
        self.commit_view(old, members, transaction).await
    }
}
