//! Decides what a daemon may admit, as a pure function of its lease, its grants, the views
//! that it has seen and a boot-clock time passed in.
//!
//! A new owner waits for the owners in earlier views; docs/design/membership.md explains
//! why this is safe.

use std::collections::BTreeMap;

use ibishill_core::{id, time, view};

/// Margin for clocks that run at different rates, added to the lease of another daemon.
pub const CLOCK_MARGIN: time::Millis = time::Millis(1_000);

/// Time without a heartbeat after which a member is suspected.
pub const SUSPECT_AFTER: time::Millis = time::Millis(3_000);

const FOREVER: time::Tick = time::Tick(u64::MAX);

/// An earlier view whose owners may still admit requests.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Pending {
    /// The view; `None` if this daemon never read it.
    view: Option<view::View>,
    /// When its last lease has expired.
    expires: time::Tick,
}

/// State from which a daemon derives its right to admit: its lease, its grants, the current
/// view and earlier views that are still pending.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Guard {
    view: view::View,
    lease_expiry: time::Tick,
    grants: BTreeMap<id::VmId, time::Tick>,
    pending: Vec<Pending>,
    is_changing: bool,
}

impl Guard {
    /// Returns the view that this daemon follows.
    pub fn view(&self) -> &view::View {
        &self.view
    }

    /// Adopts a newer view; `before` is the view that it replaced.
    ///
    /// Returns false, and changes nothing, if the view is not newer.
    pub fn adopt(
        &mut self,
        next: &view::View,
        before: &view::View,
        lease: time::Millis,
        now: time::Tick,
    ) -> bool {
        if next.number <= self.view.number {
            return false;
        }
        self.pending.retain(|pending| pending.expires > now);
        let expires = now + lease + CLOCK_MARGIN;
        let known = self.view.number.0;
        if known > 0 {
            self.pending.push(Pending { view: Some(self.view.clone()), expires });
        }
        if known > 0 && before.number.0 > known + 1 {
            self.pending.push(Pending { view: None, expires });
        }
        if before.number.0 > known {
            self.pending.push(Pending { view: Some(before.clone()), expires });
        }
        self.view = next.clone();
        self.grants.clear();
        self.is_changing = false;
        true
    }

    /// Records whether a view change by this daemon may be in progress. Until its result is
    /// known, the current view may already be replaced, so that only the lease is valid.
    /// Drops all grants in either case.
    pub fn set_changing(&mut self, is_changing: bool) {
        self.is_changing = is_changing;
        self.grants.clear();
    }

    /// Whether a view change by this daemon may be in progress.
    pub fn is_changing(&self) -> bool {
        self.is_changing
    }

    /// Records a renewal of the lease that was sent at `start`.
    pub fn renew(&mut self, start: time::Tick, lease: time::Millis) {
        self.lease_expiry = self.lease_expiry.max(start + lease);
    }

    /// Records that `peer` doesn't change this view for a lease from `start`, the time of the
    /// request.
    pub fn record_grant(&mut self, peer: id::VmId, start: time::Tick, lease: time::Millis) {
        self.grants.insert(peer, start + lease);
    }

    /// Releases the lease and all grants.
    pub fn release(&mut self) {
        self.lease_expiry = time::Tick::default();
        self.grants.clear();
    }

    /// Returns when the lease recorded by the platform expires; zero without a lease.
    pub fn lease_expiry(&self) -> time::Tick {
        self.lease_expiry
    }

    /// Returns when the right to admit ends: when the lease expires, or, if later, the
    /// earliest of the grants of all other members. Zero if `own` is not a member.
    pub fn admits_until(&self, own: &id::VmId) -> time::Tick {
        if self.view.member(own).is_none() {
            return time::Tick::default();
        }
        if self.is_changing {
            return self.lease_expiry;
        }
        let others = self.view.members.iter().filter(|member| member.vm != *own);
        let grants = others.map(|member| self.grants.get(&member.vm).copied());
        let granted = match grants.min() {
            Some(earliest) => earliest.unwrap_or_default(),
            // A sole member needs no grants, and nobody else changes its view while the platform
            // lists its VM, so its right to admit has no end.
            None if self.lease_expiry > time::Tick::default() => FOREVER,
            None => time::Tick::default(),
        };
        self.lease_expiry.max(granted)
    }

    /// Whether this daemon may admit requests to an endpoint and no other daemon may. `owns`
    /// returns whether this daemon owns the endpoint in a view, or no daemon does.
    pub fn admits<O>(&self, own: &id::VmId, now: time::Tick, owns: O) -> bool
    where
        O: Fn(&view::View) -> bool,
    {
        now < self.admits_until(own)
            && owns(&self.view)
            && self
                .pending
                .iter()
                .all(|pending| pending.expires <= now || pending.view.as_ref().is_some_and(&owns))
    }

    /// Returns the other members of pending views, which have to follow the current view
    /// before the pending views are settled.
    pub fn awaited_members(&self, own: &id::VmId, now: time::Tick) -> Vec<id::VmId> {
        let live = self.pending.iter().filter(|pending| pending.expires > now);
        let members = live.filter_map(|pending| pending.view.as_ref());
        let mut names: Vec<_> = members
            .flat_map(|view| view.members.iter().map(|member| member.vm.clone()))
            .filter(|vm| vm != own)
            .collect();
        names.sort();
        names.dedup();
        names
    }

    /// Drops the pending views, once every awaited member follows a view at least as new as
    /// the current one.
    pub fn settle(&mut self) {
        self.pending.clear();
    }
}

/// Failure detector: the time at which each peer was last heard.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    heard: BTreeMap<id::VmId, time::Tick>,
}

impl Detector {
    /// Records that `peer` was alive at `at`; a time before the last one is ignored.
    pub fn hear(&mut self, peer: id::VmId, at: time::Tick) {
        let heard = self.heard.entry(peer).or_insert(at);
        *heard = at.max(*heard);
    }

    /// Whether `peer` has not been heard for [`SUSPECT_AFTER`]; an unknown peer counts as
    /// heard at `now`.
    pub fn suspects(&mut self, peer: &id::VmId, now: time::Tick) -> bool {
        let heard = self.heard.entry(peer.clone()).or_insert(now);
        now.since(*heard) >= SUSPECT_AFTER
    }
}
