//! A daemon's membership in its zone, shared by its tasks. No lock is held across an await.

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

/// A daemon's lease, view, grants and failure detector; clones share the state.
#[derive(Clone)]
pub struct Membership {
    own: id::VmId,
    lease: time::Millis,
    inner: Arc<Mutex<Inner>>,
}

impl Membership {
    /// Creates the membership of a daemon that is not a member yet; `lease` is the duration
    /// of leases and grants.
    pub fn new(own: id::VmId, lease: time::Millis) -> Self {
        Self { own, lease, inner: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the view that this daemon follows.
    pub fn view(&self) -> core_view::View {
        self.lock().guard.view().clone()
    }

    /// Returns when the lease recorded by the platform expires; zero without a lease.
    pub fn lease_expiry(&self) -> time::Tick {
        self.lock().guard.lease_expiry()
    }

    /// Whether this process has acquired a lease and has not left. Stays true after the
    /// lease expires.
    pub fn is_joined(&self) -> bool {
        self.lease_expiry() > time::Tick::default()
    }

    /// Returns when the right to admit requests ends, by lease or by grants.
    pub fn admits_until(&self) -> time::Tick {
        self.lock().guard.admits_until(&self.own)
    }

    /// Whether this daemon may admit requests to an endpoint and no other daemon may. `owns`
    /// returns whether this daemon owns the endpoint in a view, or no daemon does.
    pub fn admits<O>(&self, now: time::Tick, owns: O) -> bool
    where
        O: Fn(&core_view::View) -> bool,
    {
        self.lock().guard.admits(&self.own, now, owns)
    }

    /// Records that a peer was alive at `now`.
    pub fn record_heard(&self, peer: id::VmId, now: time::Tick) {
        self.lock().detector.hear(peer, now);
    }

    /// Whether a peer has not been heard for [`view::SUSPECT_AFTER`].
    pub fn suspects(&self, peer: &id::VmId, now: time::Tick) -> bool {
        self.lock().detector.suspects(peer, now)
    }

    /// Whether this daemon should request grants from its peers: less than half of its
    /// lease is left.
    pub fn needs_grants(&self, now: time::Tick) -> bool {
        self.is_joined() && now + time::Millis(self.lease.0 / 2) > self.lease_expiry()
    }

    /// Records a grant of view `number` by a peer, valid for a lease from the request at
    /// `start`. Ignored if the view has changed or a view change is in progress.
    pub fn record_grant(&self, peer: id::VmId, number: core_view::ViewNumber, start: time::Tick) {
        let mut inner = self.lock();
        if inner.guard.view().number == number && !inner.guard.is_changing() {
            inner.guard.record_grant(peer, start, self.lease);
        }
    }

    /// Grants view `number` to a peer that can't renew its lease: this daemon doesn't change
    /// the view for the duration of a lease. Returns whether the grant was issued.
    pub fn issue_grant(&self, number: core_view::ViewNumber, now: time::Tick) -> bool {
        let mut inner = self.lock();
        let view = inner.guard.view();
        let is_member = view.number == number && view.member(&self.own).is_some();
        let is_joined = inner.guard.lease_expiry() > time::Tick::default();
        if !is_member || !is_joined || inner.guard.is_changing() || inner.left {
            return false;
        }
        let until = now + time::Millis(self.lease.0 + view::CLOCK_MARGIN.0);
        inner.granted_until = inner.granted_until.max(until);
        true
    }

    /// Begins a view change, during which no grants are issued or used.
    ///
    /// Returns false while an issued grant is valid.
    pub(crate) fn begin_view_change(&self, now: time::Tick) -> bool {
        let mut inner = self.lock();
        if now < inner.granted_until {
            return false;
        }
        inner.guard.set_changing(true);
        true
    }

    /// Records that the view change got no answer, so that it may take effect at any time.
    pub(crate) fn mark_unresolved(&self) {
        self.lock().is_unresolved = true;
    }

    /// Ends a view change that did not take effect, unless an earlier one is unresolved.
    pub(crate) fn abort_view_change(&self) {
        let mut inner = self.lock();
        let is_unresolved = inner.is_unresolved;
        inner.guard.set_changing(is_unresolved);
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
