//! State shared by all tasks of a daemon.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use ibishill_config::{in_force, security, settings};
use ibishill_core::{id, view};
use ibishill_decide::{plan, session};
use ibishill_endpoint::client;
use ibishill_peer::link;

use ibishill_state::{lease::membership, log};

use crate::{
    claims, config_sync, heartbeat, lease_clock, ledger, memory, metrics, ratings, rollouts, router,
};

/// Zone views in force, replaced as a whole; clones share them.
#[derive(Debug, Clone, Default)]
pub struct ViewCell {
    inner: Arc<RwLock<Arc<view::Views>>>,
}

impl ViewCell {
    /// Current views.
    pub fn get(&self) -> Arc<view::Views> {
        Arc::clone(&self.inner.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the views; returns whether they differ.
    pub fn set(&self, views: view::Views) -> bool {
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        let changed = **inner != views;
        *inner = Arc::new(views);
        changed
    }
}

/// Keys of session tokens, replaced as a whole by a reload; clones share them.
#[derive(Debug, Clone)]
pub struct SessionKeysCell {
    inner: Arc<RwLock<Arc<session::Keys>>>,
}

impl SessionKeysCell {
    /// Creates the cell with the keys of `security`.
    pub fn new(security: &settings::Security) -> Self {
        let keys = session::Keys::new(security.session_keys.clone());
        Self { inner: Arc::new(RwLock::new(Arc::new(keys))) }
    }

    /// Current keys.
    pub fn get(&self) -> Arc<session::Keys> {
        Arc::clone(&self.inner.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the keys with those of `security`.
    pub fn set(&self, security: &settings::Security) {
        let keys = session::Keys::new(security.session_keys.clone());
        *self.inner.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(keys);
    }
}

/// Lifecycle of a daemon: readiness, shutdown and work in flight; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Lifecycle {
    inner: Arc<Flags>,
}

#[derive(Debug, Default)]
struct Flags {
    configured: AtomicBool,
    member: AtomicBool,
    stopping: AtomicBool,
    closed: AtomicBool,
    caller_requests: AtomicUsize,
    endpoint_requests: AtomicUsize,
}

/// Counts one request at an endpoint of this daemon, also for other daemons, until dropped.
#[derive(Debug)]
pub struct WorkGuard {
    lifecycle: Lifecycle,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.lifecycle.inner.endpoint_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts one running request of a caller until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    lifecycle: Lifecycle,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.lifecycle.inner.caller_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Lifecycle {
    /// Records that a configuration is in force.
    pub fn set_configured(&self) {
        self.inner.configured.store(true, Ordering::Release);
    }

    /// Records whether the daemon is a member of its zone's view with a valid lease;
    /// returns whether that changed.
    pub fn set_member(&self, member: bool) -> bool {
        self.inner.member.swap(member, Ordering::AcqRel) != member
    }

    /// Begins the shutdown: the readiness check fails from now on.
    pub fn stop(&self) {
        self.inner.stopping.store(true, Ordering::Release);
    }

    /// Ends the drain: new requests are refused from now on.
    pub fn close(&self) {
        self.inner.closed.store(true, Ordering::Release);
    }

    /// Whether the daemon accepts traffic.
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

    /// Number of callers' requests in flight.
    pub fn caller_requests(&self) -> usize {
        self.inner.caller_requests.load(Ordering::Acquire)
    }

    /// Number of requests at endpoints of this daemon, also for other daemons.
    pub fn endpoint_requests(&self) -> usize {
        self.inner.endpoint_requests.load(Ordering::Acquire)
    }

    /// Counts one more request at an endpoint.
    pub fn start_work(&self) -> WorkGuard {
        self.inner.endpoint_requests.fetch_add(1, Ordering::AcqRel);
        WorkGuard { lifecycle: self.clone() }
    }

    /// Counts one more request of a caller unless `max` are in flight already.
    pub fn start_request(&self, max: usize) -> Option<RequestGuard> {
        let before = self.inner.caller_requests.fetch_add(1, Ordering::AcqRel);
        let guard = RequestGuard { lifecycle: self.clone() };
        (before < max).then_some(guard)
    }
}

/// State shared by all tasks of a daemon.
pub struct Context {
    /// Settings of the daemon.
    pub settings: settings::Settings,
    /// VM and zone of the daemon.
    pub location: plan::Location,
    /// Configuration in force.
    pub config: in_force::Cell,
    /// Zone views in force.
    pub views: ViewCell,
    /// Membership of the daemon in its zone's view.
    pub membership: membership::Membership,
    /// Expiry of the daemon's lease.
    pub lease: lease_clock::LeaseClock,
    /// Configuration log.
    pub log: log::Log,
    /// Wakes the task that reads the log.
    pub refresh: config_sync::Refresh,
    /// Last known status of other daemons.
    pub peers: heartbeat::Peers,
    /// Readiness, shutdown and work in flight.
    pub lifecycle: Lifecycle,
    /// Handle to the router thread.
    pub router: router::Handle,
    /// Claims of calls that must not run twice.
    pub claims: claims::Handle,
    /// Billing records and refusal counts.
    pub ledger: ledger::Handle,
    /// HTTP client for endpoints.
    pub endpoints: client::Client,
    /// Connections to other daemons.
    pub link: link::Link,
    /// Rating service and the estimates from its ratings.
    pub ratings: ratings::Handle,
    /// Counts of versions under a roll-out.
    pub rollouts: rollouts::Counters,
    /// Keys of session tokens.
    pub session_keys: SessionKeysCell,
    /// Credentials in force.
    pub security: security::Cell,
    /// Memory for bodies of callers.
    pub(crate) memory: Arc<memory::Memory>,
    /// Metrics of the daemon.
    pub metrics: metrics::Metrics,
}

impl Context {
    /// Generates the id of a new request.
    pub fn new_request(&self) -> id::RequestId {
        let random: u128 = rand::random();
        format!("req-{random:032x}").parse().expect("hexadecimal digits make a valid name")
    }
}
