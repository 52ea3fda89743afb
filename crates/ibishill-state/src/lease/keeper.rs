//! Keeps one daemon's lease and, with the other members, its zone's view.
//!
//! Time is given as a closure that reads the boot clock, because a lease counts from
//! the moment before its renewal was sent.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ibishill_core::{id, time, view as core_view};
use ibishill_platform::{failure, table, vm};

use crate::lease::standing;
use crate::{lease, view};

/// Reads the boot clock.
pub type Clock = Arc<dyn Fn() -> time::Tick + Send + Sync>;

/// Where a keeper reads and writes, and as whom.
#[derive(Clone)]
pub struct Place {
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
    place: Place,
    /// What the daemon may admit.
    pub standing: standing::Standing,
    /// The views of all zones.
    pub views: core_view::Views,
    number: u64,
    attempts: Vec<Attempt>,
    watched: BTreeMap<id::VmId, Watch>,
    left: bool,
}

type Leases = BTreeMap<id::VmId, lease::Seen<lease::Lease>>;

impl Keeper {
    /// Makes the keeper of a daemon that is no member yet.
    pub fn new(place: Place) -> Self {
        let standing = standing::Standing::new(place.member.vm.clone(), place.lease);
        Self {
            place,
            standing,
            views: core_view::Views::default(),
            number: 0,
            attempts: Vec::new(),
            watched: BTreeMap::new(),
            left: false,
        }
    }

    fn now(&self) -> time::Tick {
        (self.place.clock)()
    }

    fn own(&self) -> &id::VmId {
        &self.place.member.vm
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
        let zone = self.place.zone.clone();
        let (own, row) = self.place.rows.own(&zone, self.own()).await?;
        self.adopt(&row);
        self.renew(&own, &row).await?;
        self.read_views().await?;
        if self.standing.joined() && self.has_duty() {
            let leases: Leases = self.place.rows.leases(&zone).await?.into_iter().collect();
            self.settle(&leases, &row).await?;
            self.move_view(&leases, &row).await?;
        }
        Ok(())
    }

    /// Reads the views of all zones.
    ///
    /// # Errors
    ///
    /// Fails if the platform does.
    pub async fn read_views(&mut self) -> Result<(), failure::Failure> {
        for (zone, row) in self.place.rows.views().await? {
            if zone == self.place.zone {
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

    fn adopt(&mut self, row: &lease::Seen<lease::ZoneRow>) {
        let Some(row) = &row.value else { return };
        let now = self.now();
        if self.standing.adopt(&row.view, &row.before, now) {
            self.views.zones.insert(self.place.zone.clone(), row.view.clone());
        }
    }

    async fn renew(
        &mut self,
        own: &lease::Seen<lease::Lease>,
        row: &lease::Seen<lease::ZoneRow>,
    ) -> Result<(), failure::Failure> {
        match &own.value {
            Some(lease) if lease.process == self.place.process => {
                self.read_back(lease.number);
                self.number = self.number.max(lease.number);
            }
            // Another process of this name may still hold its lease.
            Some(_) if !self.unchanged(&self.own().clone(), own.revision) => return Ok(()),
            // Others have fenced this daemon: it waits until its own lease has lapsed.
            None if self.standing.joined() && self.now() < self.standing.leased() => return Ok(()),
            _ => {}
        }
        self.number += 1;
        let start = self.now();
        let lease = lease::Lease {
            member: self.place.member.clone(),
            process: self.place.process,
            number: self.number,
            view: self.standing.view().number,
        };
        // Checking the view keeps a daemon that has not seen a newer one from renewing.
        let transaction = table::Transaction::default()
            .check(lease::lease_row(&self.place.zone, self.own()), own.revision)
            .check(lease::view_row(&self.place.zone), row.revision)
            .put(lease::lease_row(&self.place.zone, self.own()), lease::encode(&lease));
        let done = self.place.rows.commit(transaction).await;
        match &done {
            Ok(()) => self.standing.renew(start),
            Err(failure::Failure::Unknown { .. }) => {
                self.attempts.push(Attempt { number: self.number, start });
            }
            Err(_) => {}
        }
        done
    }

    // A renewal whose answer was lost counts once its number is read.
    fn read_back(&mut self, number: u64) {
        let found = self.attempts.iter().find(|attempt| attempt.number == number);
        if let Some(start) = found.map(|attempt| attempt.start) {
            self.standing.renew(start);
        }
        self.attempts.retain(|attempt| attempt.number > number);
    }

    /// Whether the daemon is not in the view yet, or waits for owners of earlier views.
    pub fn transient(&self) -> bool {
        let member = self.standing.view().member(self.own()).is_some();
        !member || !self.standing.awaited(self.now()).is_empty()
    }

    fn has_duty(&self) -> bool {
        let now = self.now();
        let own = self.own().clone();
        if self.transient() {
            return true;
        }
        let view = self.standing.view();
        let mut names = view.members.iter().map(|member| &member.vm);
        let first = names.find(|vm| **vm == own || !self.standing.suspects(vm, now));
        first == Some(&own)
    }

    // Whether a row has kept its revision for longer than any lease on it can last.
    fn unchanged(&mut self, vm: &id::VmId, revision: u64) -> bool {
        let now = self.now();
        let watch = self.watched.entry(vm.clone()).or_insert(Watch { revision, since: now });
        if watch.revision != revision {
            *watch = Watch { revision, since: now };
        }
        now.since(watch.since) > time::Millis(self.place.lease.0 + view::MARGIN.0)
    }

    // Settles earlier views once all their members follow this one; the commit without
    // a write proves that the rows read are not stale.
    async fn settle(
        &self,
        leases: &Leases,
        row: &lease::Seen<lease::ZoneRow>,
    ) -> Result<(), failure::Failure> {
        let awaited = self.standing.awaited(self.now());
        let number = self.standing.view().number;
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
            proof = proof.check(lease::lease_row(&self.place.zone, vm), revision);
        }
        self.place.rows.commit(proof).await?;
        self.standing.settle(number);
        Ok(())
    }

    async fn move_view(
        &mut self,
        leases: &Leases,
        row: &lease::Seen<lease::ZoneRow>,
    ) -> Result<(), failure::Failure> {
        let old = row.value.clone().unwrap_or_default().view;
        // The row may be older than what another read has shown since.
        if old.number < self.standing.view().number {
            return Ok(());
        }
        let member = old.member(self.own()).is_some();
        if !member && !old.members.is_empty() && !self.orphaned(&old, leases).await? {
            return Ok(());
        }
        let gone = self.lapsed(&old, leases);
        let mut next = self.members(leases, &gone);
        next.sort_by(|one, other| one.vm.cmp(&other.vm));
        if next == old.members {
            return Ok(());
        }
        let mut transaction =
            table::Transaction::default().check(lease::view_row(&self.place.zone), row.revision);
        for left in old.members.iter().filter(|member| !next.contains(member)) {
            let name = lease::lease_row(&self.place.zone, &left.vm);
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
        let transaction = transaction.put(lease::view_row(&self.place.zone), lease::encode(&row));
        if !self.standing.begin_move(self.now()) {
            return Ok(());
        }
        let done = self.place.rows.commit(transaction).await;
        match &done {
            Ok(()) => self.adopt(&lease::Seen { revision: 0, value: Some(row) }),
            Err(failure::Failure::Unknown { .. }) => self.standing.doubt_move(),
            Err(_) => self.standing.end_move(),
        }
        done
    }

    fn members(&self, leases: &Leases, gone: &BTreeSet<id::VmId>) -> Vec<core_view::Member> {
        let live = leases.iter().filter(|(vm, _)| !gone.contains(*vm));
        live.filter_map(|(_, seen)| Some(seen.value.as_ref()?.member.clone())).collect()
    }

    fn lapsed(&mut self, old: &core_view::View, leases: &Leases) -> BTreeSet<id::VmId> {
        let own = self.own().clone();
        let mut gone = BTreeSet::new();
        for (vm, seen) in leases.iter().filter(|(vm, _)| **vm != own) {
            if self.unchanged(vm, seen.revision) {
                gone.insert(vm.clone());
            }
        }
        gone.retain(|vm| old.member(vm).is_some() || leases.contains_key(vm));
        gone
    }

    // Whether nobody in `old` can hold a lease or a grant any more: the platform lists
    // this daemon's VM, hence is new enough, and none of theirs.
    async fn orphaned(
        &mut self,
        old: &core_view::View,
        leases: &Leases,
    ) -> Result<bool, failure::Failure> {
        let mut lapsed = true;
        for member in &old.members {
            let revision = leases.get(&member.vm).map_or(0, |seen| seen.revision);
            lapsed &= self.unchanged(&member.vm, revision);
        }
        if !lapsed {
            return Ok(false);
        }
        let listed = self.place.vms.list().await?;
        let names = |vm: &id::VmId| listed.iter().any(|listed| listed.vm == *vm);
        Ok(names(self.own()) && !old.members.iter().any(|member| names(&member.vm)))
    }

    /// Leaves: admits nothing more, and gives the lease and the place in the view back.
    ///
    /// # Errors
    ///
    /// Fails if the platform does; the lease then lapses by itself.
    pub async fn leave(&mut self) -> Result<(), failure::Failure> {
        self.standing.leave();
        self.left = true;
        let zone = self.place.zone.clone();
        let (own, row) = self.place.rows.own(&zone, self.own()).await?;
        let old = row.value.unwrap_or_default().view;
        let mine = own.value.is_some_and(|lease| lease.process == self.place.process);
        if !mine {
            return Ok(());
        }
        let name = lease::lease_row(&zone, self.own());
        let transaction =
            table::Transaction::default().check(name.clone(), own.revision).remove(name);
        if old.member(self.own()).is_none() {
            return self.place.rows.commit(transaction).await;
        }
        let mut members = old.members.clone();
        members.retain(|member| member.vm != *self.own());
        let transaction = transaction.check(lease::view_row(&zone), row.revision);
        self.commit_view(old, members, transaction).await
    }
}
