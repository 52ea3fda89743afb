//! What a daemon may admit, as a pure function of its lease, the views that it has
//! seen and the given boot-clock time.
//!
//! A successor in a new view waits for the owners of the views before it; see
//! docs/design/membership.md for the argument.

use std::collections::BTreeMap;

use ibishill_core::{id, time, view};

/// Allowance for clocks that run at different rates, in milliseconds.
pub const CLOCK_MARGIN: time::Millis = time::Millis(1_000);

/// Silence after which a member is suspected, in milliseconds.
pub const SUSPECT_AFTER: time::Millis = time::Millis(3_000);

const FOREVER: time::Tick = time::Tick(u64::MAX);

/// A view whose owners may still admit work.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Pending {
    /// The view; none if it was never seen.
    view: Option<view::View>,
    /// When its last lease has lapsed.
    expires: time::Tick,
}

/// What one daemon holds: its lease, its grants and the views before its own.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Guard {
    view: view::View,
    lease_expiry: time::Tick,
    grants: BTreeMap<id::VmId, time::Tick>,
    pending: Vec<Pending>,
    is_changing: bool,
}

impl Guard {
    /// The view in force at this daemon.
    pub fn view(&self) -> &view::View {
        &self.view
    }

    /// Adopts a newer view; `before` is the one that it replaced.
    ///
    /// Returns whether it was newer.
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
        let lapses = now + lease + CLOCK_MARGIN;
        let known = self.view.number.0;
        if known > 0 {
            self.pending.push(Pending { view: Some(self.view.clone()), expires: lapses });
        }
        if known > 0 && before.number.0 > known + 1 {
            self.pending.push(Pending { view: None, expires: lapses });
        }
        if before.number.0 > known {
            self.pending.push(Pending { view: Some(before.clone()), expires: lapses });
        }
        self.view = next.clone();
        self.grants.clear();
        self.is_changing = false;
        true
    }

    /// Notes whether a move of the view by this daemon may be under way: without its
    /// answer the view in force may be an old one, and only the lease counts.
    pub fn set_changing(&mut self, moving: bool) {
        self.is_changing = moving;
        self.grants.clear();
    }

    /// Whether a move of the view by this daemon may be under way.
    pub fn is_changing(&self) -> bool {
        self.is_changing
    }

    /// Notes a renewal of the lease whose call began at `start`.
    pub fn renew(&mut self, start: time::Tick, lease: time::Millis) {
        self.lease_expiry = self.lease_expiry.max(start + lease);
    }

    /// Notes that `peer` keeps this view for a lease from `start`, when it was asked.
    pub fn record_grant(&mut self, peer: id::VmId, start: time::Tick, lease: time::Millis) {
        self.grants.insert(peer, start + lease);
    }

    /// Gives up the lease and all grants.
    pub fn release(&mut self) {
        self.lease_expiry = time::Tick::default();
        self.grants.clear();
    }

    /// When the lease lapses that the platform has recorded.
    pub fn lease_expiry(&self) -> time::Tick {
        self.lease_expiry
    }

    /// When the right to admit lapses: the lease, or else the grants of all other members.
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
            // Nobody moves the view of a lone member while its VM is listed.
            None if self.lease_expiry > time::Tick::default() => FOREVER,
            None => time::Tick::default(),
        };
        self.lease_expiry.max(granted)
    }

    /// Whether this daemon alone may admit to an endpoint; `owns` tells whether it owns
    /// the endpoint in a view, or nobody does.
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

    /// Members of earlier views whose word is awaited.
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

    /// Notes that every awaited member follows a view at least as new as this one.
    pub fn settle(&mut self) {
        self.pending.clear();
    }
}

/// When each peer was heard last.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    heard: BTreeMap<id::VmId, time::Tick>,
}

impl Detector {
    /// Notes a sign of life; one that is older than the last changes nothing.
    pub fn hear(&mut self, peer: id::VmId, at: time::Tick) {
        let heard = self.heard.entry(peer).or_insert(at);
        *heard = at.max(*heard);
    }

    /// Whether `peer` has been silent for too long; a new peer begins as heard.
    pub fn suspects(&mut self, peer: &id::VmId, now: time::Tick) -> bool {
        let heard = self.heard.entry(peer.clone()).or_insert(now);
        now.since(*heard) >= SUSPECT_AFTER
    }
}
