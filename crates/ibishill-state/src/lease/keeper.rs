//! Keeps one daemon's lease and, with the other members, its zone's view.
//!
//! Time is given as a closure that reads the boot clock, because a lease counts from
//! the moment before its renewal was sent.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ibishill_core::{id, time, view as core_view};
use ibishill_platform::{failure, table, vm};

use crate::lease::membership;
use crate::{lease, view};

/// Reads the boot clock.
pub type Clock = Arc<dyn Fn() -> time::Tick + Send + Sync>;

/// Where a keeper reads and writes, and as whom.
#[derive(Clone)]
pub struct Config {
    /// The rows.
    pub rows: lease::Rows,
    /// The platform's list of VMs.
    pub vms: vm::Vms,
    /// The daemon's zone.
    pub zone: id::ZoneId,
    /// How others reach the daemon.
    pub member: core_view::Member,
    /// Random number of the process.
    pub process: u64,
    /// Validity of a lease.
    pub lease: time::Millis,
    /// The boot clock.
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

/// One daemon's share in membership.
pub struct Keeper {
    config: Config,
    /// What the daemon may admit.
    pub membership: membership::Membership,
    /// The views of all zones.
    pub views: core_view::Views,
    number: u64,
    attempts: Vec<Attempt>,
    watched: BTreeMap<id::VmId, Watch>,
    left: bool,
}

type Leases = BTreeMap<id::VmId, lease::Versioned<lease::Lease>>;

impl Keeper {
    /// Makes the keeper of a daemon that is no member yet.
    pub fn new(place: Config) -> Self {
        let standing = membership::Membership::new(place.member.vm.clone(), place.lease);
        Self {
            config: place,
            membership: standing,
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

    /// Renews the lease, reads the views and moves the own zone's view if need be.
    ///
    /// # Errors
    ///
    /// Fails if the platform does; the next step begins anew.
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
    /// Fails if the platform does.
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
            // Another process of this name may still hold its lease.
            Some(_) if !self.is_expired(&self.own().clone(), own.revision) => return Ok(()),
            // Others have fenced this daemon: it waits until its own lease has lapsed.
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
        // Checking the view keeps a daemon that has not seen a newer one from renewing.
        let transaction = table::Transaction::default()
            .check(lease::lease_row(&self.config.zone, self.own()), own.revision)
            .check(lease::view_row(&self.config.zone), row.revision)
            .put(lease::lease_row(&self.config.zone, self.own()), lease::encode(&lease));
        let done = self.config.rows.commit(transaction).await;
        match &done {
            Ok(()) => self.membership.renew(start),
            Err(failure::Failure::Unknown { .. }) => {
                self.attempts.push(Attempt { number: self.number, start });
            }
            Err(_) => {}
        }
        done
    }

    // A renewal whose answer was lost counts once its number is read.
    fn confirm_renewal(&mut self, number: u64) {
        let found = self.attempts.iter().find(|attempt| attempt.number == number);
        if let Some(start) = found.map(|attempt| attempt.start) {
            self.membership.renew(start);
        }
        self.attempts.retain(|attempt| attempt.number > number);
    }

    /// Whether the daemon is not in the view yet, or waits for owners of earlier views.
    pub fn in_transition(&self) -> bool {
        let member = self.membership.view().member(self.own()).is_some();
        !member || !self.membership.awaited_members(self.now()).is_empty()
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

    // Whether a row has kept its revision for longer than any lease on it can last.
    fn is_expired(&mut self, vm: &id::VmId, revision: u64) -> bool {
        let now = self.now();
        let watch = self.watched.entry(vm.clone()).or_insert(Watch { revision, since: now });
        if watch.revision != revision {
            *watch = Watch { revision, since: now };
        }
        now.since(watch.since) > time::Millis(self.config.lease.0 + view::CLOCK_MARGIN.0)
    }

    // Settles earlier views once all their members follow this one; the commit without
    // a write proves that the rows read are not stale.
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
            let lease = leases.get(vm).and_then(|seen| seen.value.as_ref());
            lease.is_none_or(|lease| lease.view >= number)
        };
        if !awaited.iter().all(follows) {
            return Ok(());
        }
        let mut proof = table::Transaction::default();
        for vm in &awaited {
            let revision = leases.get(vm).map_or(0, |seen| seen.revision);
            proof = proof.check(lease::lease_row(&self.config.zone, vm), revision);
        }
        self.config.rows.commit(proof).await?;
        self.membership.settle(number);
        Ok(())
    }

    async fn change_view(
        &mut self,
        leases: &Leases,
        row: &lease::Versioned<lease::ZoneRow>,
    ) -> Result<(), failure::Failure> {
        let old = row.value.clone().unwrap_or_default().view;
        // The row may be older than what another read has shown since.
        if old.number < self.membership.view().number {
            return Ok(());
        }
        let member = old.member(self.own()).is_some();
        if !member && !old.members.is_empty() && !self.is_abandoned(&old, leases).await? {
            return Ok(());
        }
        let gone = self.expired_members(&old, leases);
        let mut next = self.live_members(leases, &gone);
        next.sort_by(|one, other| one.vm.cmp(&other.vm));
        if next == old.members {
            return Ok(());
        }
        let mut transaction =
            table::Transaction::default().check(lease::view_row(&self.config.zone), row.revision);
        for left in old.members.iter().filter(|member| !next.contains(member)) {
            let name = lease::lease_row(&self.config.zone, &left.vm);
            let revision = leases.get(&left.vm).map_or(0, |seen| seen.revision);
            transaction = transaction.check(name.clone(), revision);
            if gone.contains(&left.vm) {
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
        let done = self.config.rows.commit(transaction).await;
        match &done {
            Ok(()) => self.adopt(&lease::Versioned { revision: 0, value: Some(row) }),
            Err(failure::Failure::Unknown { .. }) => self.membership.keep_unresolved(),
            Err(_) => self.membership.abort_view_change(),
        }
        done
    }

    fn live_members(&self, leases: &Leases, gone: &BTreeSet<id::VmId>) -> Vec<core_view::Member> {
        let live = leases.iter().filter(|(vm, _)| !gone.contains(*vm));
        live.filter_map(|(_, seen)| Some(seen.value.as_ref()?.member.clone())).collect()
    }

    fn expired_members(&mut self, old: &core_view::View, leases: &Leases) -> BTreeSet<id::VmId> {
        let own = self.own().clone();
        let mut gone = BTreeSet::new();
        for (vm, seen) in leases.iter().filter(|(vm, _)| **vm != own) {
            if self.is_expired(vm, seen.revision) {
                gone.insert(vm.clone());
            }
        }
        gone.retain(|vm| old.member(vm).is_some() || leases.contains_key(vm));
        gone
    }

    // Whether nobody in `old` can hold a lease or a grant any more: the platform lists
    // this daemon's VM, hence is new enough, and none of theirs.
    async fn is_abandoned(
        &mut self,
        old: &core_view::View,
        leases: &Leases,
    ) -> Result<bool, failure::Failure> {
        let mut lapsed = true;
        for member in &old.members {
            let revision = leases.get(&member.vm).map_or(0, |seen| seen.revision);
            lapsed &= self.is_expired(&member.vm, revision);
        }
        if !lapsed {
            return Ok(false);
        }
        let listed = self.config.vms.list().await?;
        let names = |vm: &id::VmId| listed.iter().any(|listed| listed.vm == *vm);
        Ok(names(self.own()) && !old.members.iter().any(|member| names(&member.vm)))
    }

    /// Leaves: admits nothing more, and gives the lease and the place in the view back.
    ///
    /// # Errors
    ///
    /// Fails if the platform does; the lease then lapses by itself.
    pub async fn leave(&mut self) -> Result<(), failure::Failure> {
        self.membership.leave();
        self.left = true;
        let zone = self.config.zone.clone();
        let (own, row) = self.config.rows.own(&zone, self.own()).await?;
        let old = row.value.unwrap_or_default().view;
        let mine = own.value.is_some_and(|lease| lease.process == self.config.process);
        if !mine {
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
