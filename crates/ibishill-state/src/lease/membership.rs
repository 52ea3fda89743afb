//! A daemon's standing in its zone, shared by its duties; no lock is held over a call.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ibishill_core::{id, time, view as core_view};

use crate::view;

#[derive(Default)]
struct Inner {
    guard: view::Guard,
    detector: view::Detector,
    granted_until: time::Tick,
    is_unresolved: bool,
    left: bool,
}

/// What a daemon may admit and what it has promised to peers; clones share it.
#[derive(Clone)]
pub struct Membership {
    own: id::VmId,
    lease: time::Millis,
    inner: Arc<Mutex<Inner>>,
}

impl Membership {
    /// Makes the standing of a daemon that is no member yet.
    pub fn new(own: id::VmId, lease: time::Millis) -> Self {
        Self { own, lease, inner: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The view in force at this daemon.
    pub fn view(&self) -> core_view::View {
        self.lock().guard.view().clone()
    }

    /// When the lease lapses that the platform has recorded.
    pub fn lease_expiry(&self) -> time::Tick {
        self.lock().guard.lease_expiry()
    }

    /// Whether this process has held a lease and has not left.
    pub fn is_joined(&self) -> bool {
        self.lease_expiry() > time::Tick::default()
    }

    /// When the right to admit lapses, by lease or by grants.
    pub fn admits_until(&self) -> time::Tick {
        self.lock().guard.admits_until(&self.own)
    }

    /// Whether this daemon alone may admit to an endpoint; `owns` tells whether it owns
    /// the endpoint in a view, or nobody does.
    pub fn admits<O>(&self, now: time::Tick, owns: O) -> bool
    where
        O: Fn(&core_view::View) -> bool,
    {
        self.lock().guard.admits(&self.own, now, owns)
    }

    /// Notes a sign of life of a peer.
    pub fn hear(&self, peer: id::VmId, now: time::Tick) {
        self.lock().detector.hear(peer, now);
    }

    /// Whether a peer has been silent for too long.
    pub fn suspects(&self, peer: &id::VmId, now: time::Tick) -> bool {
        self.lock().detector.suspects(peer, now)
    }

    /// Whether this daemon should ask its peers for grants: half of its lease has gone.
    pub fn needs_grants(&self, now: time::Tick) -> bool {
        self.is_joined() && now + time::Millis(self.lease.0 / 2) > self.lease_expiry()
    }

    /// Notes the grant of a peer that was asked at `start` about view `number`.
    pub fn record_grant(&self, peer: id::VmId, number: core_view::ViewNumber, start: time::Tick) {
        let mut inner = self.lock();
        if inner.guard.view().number == number && !inner.guard.is_changing() {
            inner.guard.record_grant(peer, start, self.lease);
        }
    }

    /// Promises a peer that can't renew not to move view `number` for a lease; returns
    /// whether it may rely on that.
    pub fn issue_grant(&self, number: core_view::ViewNumber, now: time::Tick) -> bool {
        let mut inner = self.lock();
        let view = inner.guard.view();
        let member = view.number == number && view.member(&self.own).is_some();
        let joined = inner.guard.lease_expiry() > time::Tick::default();
        if !member || !joined || inner.guard.is_changing() || inner.left {
            return false;
        }
        let until = now + time::Millis(self.lease.0 + view::CLOCK_MARGIN.0);
        inner.granted_until = inner.granted_until.max(until);
        true
    }

    /// Begins to move the view: from now on nothing is promised or relied on about it.
    ///
    /// Returns false while a promise stands.
    pub(crate) fn begin_view_change(&self, now: time::Tick) -> bool {
        let mut inner = self.lock();
        if now < inner.granted_until {
            return false;
        }
        inner.guard.set_changing(true);
        true
    }

    /// Notes that the move has no answer: it may take effect at any time.
    pub(crate) fn keep_unresolved(&self) {
        self.lock().is_unresolved = true;
    }

    /// Notes that the move has not taken effect.
    pub(crate) fn abort_view_change(&self) {
        let mut inner = self.lock();
        let doubt = inner.is_unresolved;
        inner.guard.set_changing(doubt);
    }

    pub(crate) fn adopt(
        &self,
        next: &core_view::View,
        before: &core_view::View,
        now: time::Tick,
    ) -> bool {
        let mut inner = self.lock();
        if !inner.guard.adopt(next, before, self.lease, now) {
            return false;
        }
        inner.is_unresolved = false;
        true
    }

    pub(crate) fn renew(&self, start: time::Tick) {
        let mut inner = self.lock();
        if !inner.left {
            inner.guard.renew(start, self.lease);
        }
    }

    pub(crate) fn awaited_members(&self, now: time::Tick) -> Vec<id::VmId> {
        self.lock().guard.awaited_members(&self.own, now)
    }

    pub(crate) fn settle(&self, number: core_view::ViewNumber) {
        let mut inner = self.lock();
        if inner.guard.view().number == number {
            inner.guard.settle();
        }
    }

    pub(crate) fn leave(&self) {
        let mut inner = self.lock();
        inner.guard.release();
        inner.left = true;
    }
}
