//! What all duties of a daemon share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use ibishill_config::{in_force, security, settings};
use ibishill_core::{id, view};
use ibishill_decide::{plan, session};
use ibishill_endpoint::client;
use ibishill_peer::link;

use ibishill_state::{lease::membership, log};

use crate::{
    claims, config_sync, heartbeat, lease_clock, ledger, metrics, ratings, rollouts, router,
};

/// The views in force; they are replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct ViewCell {
    inner: Arc<RwLock<Arc<view::Views>>>,
}

impl ViewCell {
    /// The views now.
    pub fn get(&self) -> Arc<view::Views> {
        Arc::clone(&self.inner.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the views; returns whether they differ.
    pub fn set(&self, views: view::Views) -> bool {
        let mut guard = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        let changed = **guard != views;
        *guard = Arc::new(views);
        changed
    }
}

/// The keys of session tokens; a reload replaces them as a whole.
#[derive(Debug, Clone)]
pub struct SessionCell {
    inner: Arc<RwLock<Arc<session::Keys>>>,
}

impl SessionCell {
    /// Makes the place with the keys of `security`.
    pub fn new(security: &settings::Security) -> Self {
        let keys = session::Keys::new(security.session_keys.clone());
        Self { inner: Arc::new(RwLock::new(Arc::new(keys))) }
    }

    /// The keys now.
    pub fn get(&self) -> Arc<session::Keys> {
        Arc::clone(&self.inner.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the keys by those of `security`.
    pub fn set(&self, security: &settings::Security) {
        let keys = session::Keys::new(security.session_keys.clone());
        *self.inner.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(keys);
    }
}

/// How far a daemon's life has come.
#[derive(Debug, Clone, Default)]
pub struct Lifecycle {
    inner: Arc<LifeFlags>,
}

#[derive(Debug, Default)]
struct LifeFlags {
    configured: AtomicBool,
    member: AtomicBool,
    stopping: AtomicBool,
    closed: AtomicBool,
    running: AtomicUsize,
    working: AtomicUsize,
}

/// Counts work at an endpoint of this daemon, also for other daemons, until it is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    life: Lifecycle,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.life.inner.working.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts one running request until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    life: Lifecycle,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.life.inner.running.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Lifecycle {
    /// Notes that a configuration is in force.
    pub fn set_configured(&self) {
        self.inner.configured.store(true, Ordering::Release);
    }

    /// Notes whether the daemon is a member of its zone's view with a valid lease;
    /// returns whether that is new.
    pub fn set_member(&self, member: bool) -> bool {
        self.inner.member.swap(member, Ordering::AcqRel) != member
    }

    /// Begins the shutdown: readiness fails.
    pub fn stop(&self) {
        self.inner.stopping.store(true, Ordering::Release);
    }

    /// Ends the drain: new requests are refused.
    pub fn close(&self) {
        self.inner.closed.store(true, Ordering::Release);
    }

    /// Whether the daemon may be sent requests.
    pub fn is_ready(&self) -> bool {
        let flags = &self.inner;
        flags.configured.load(Ordering::Acquire)
            && flags.member.load(Ordering::Acquire)
            && !self.is_stopping()
    }

    /// Whether the shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.inner.stopping.load(Ordering::Acquire)
    }

    /// Whether new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.inner.closed.load(Ordering::Acquire)
    }

    /// Requests that run now.
    pub fn running(&self) -> usize {
        self.inner.running.load(Ordering::Acquire)
    }

    /// Work at endpoints of this daemon, also for other daemons.
    pub fn working(&self) -> usize {
        self.inner.working.load(Ordering::Acquire)
    }

    /// Counts one more work at an endpoint.
    pub fn start_work(&self) -> WorkGuard {
        self.inner.working.fetch_add(1, Ordering::AcqRel);
        WorkGuard { life: self.clone() }
    }

    /// Counts one more running request unless there are `most` already.
    pub fn start_request(&self, most: usize) -> Option<RequestGuard> {
        let before = self.inner.running.fetch_add(1, Ordering::AcqRel);
        let running = RequestGuard { life: self.clone() };
        (before < most).then_some(running)
    }
}

/// What all duties of a daemon share.
pub struct Context {
    /// The daemon's settings.
    pub settings: settings::Settings,
    /// Where the daemon stands.
    pub location: plan::Location,
    /// The configuration in force.
    pub config: in_force::Cell,
    /// The views in force.
    pub views: ViewCell,
    /// What the daemon may admit.
    pub membership: membership::Membership,
    /// When its lease lapses.
    pub lease: lease_clock::LeaseClock,
    /// The configuration log.
    pub log: log::Log,
    /// Wakes the duty that reads the log.
    pub refresh: config_sync::Refresh,
    /// What is known of other daemons.
    pub peers: heartbeat::Peers,
    /// How far the daemon's life has come.
    pub lifecycle: Lifecycle,
    /// The router thread.
    pub router: router::Handle,
    /// Claims of calls that may not be repeated.
    pub claims: claims::Handle,
    /// Billing and refusals.
    pub ledger: ledger::Handle,
    /// Client of endpoints.
    pub endpoints: client::Client,
    /// Connections to other daemons.
    pub link: link::Link,
    /// Ratings and what they have shown.
    pub ratings: ratings::Handle,
    /// Counts of versions under a roll-out.
    pub rollouts: rollouts::Counters,
    /// Keys of session tokens.
    pub sessions: SessionCell,
    /// The credentials in force.
    pub security: security::Cell,
    /// Metrics.
    pub metrics: metrics::Metrics,
}

impl Context {
    /// Makes the id of a new request.
    pub fn new_request(&self) -> id::RequestId {
        let random: u128 = rand::random();
        format!("req-{random:032x}").parse().expect("hexadecimal digits make a valid name")
    }
}
