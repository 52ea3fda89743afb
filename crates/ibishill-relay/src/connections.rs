//! Limits the callers' connections that are open at the same time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use ibishill_core::{event, time};
use ibishill_decide::memory;

use crate::abort;
use crate::context::Shared;

/// Least time between two log lines, each of which tells of all refusals so far.
const LOG_INTERVAL: time::Millis = time::Millis(1_000);

/// Callers' connections, and what was refused.
#[derive(Default)]
pub(crate) struct Connections {
    open: RefCell<BTreeMap<u64, Entry>>,
    next: Cell<u64>,
    /// Connections that were refused.
    pub(crate) refused: Cell<u64>,
    /// Connections without a request that were closed for others.
    pub(crate) closed: Cell<u64>,
    logged: Cell<time::Tick>,
}

struct Entry {
    activity: Arc<Activity>,
    abort: abort::Abort,
}

/// Requests of a connection whose answers have not been written yet.
pub(crate) struct Activity {
    requests: AtomicUsize,
    /// When the last answer had been written, or the connection was accepted.
    since: Mutex<Instant>,
}

/// A request on a connection, which is not closed for others until this is dropped; clones name the same one.
#[derive(Clone)]
pub(crate) struct Active {
    _request: Arc<Request>,
}

struct Request(Arc<Activity>);

impl Drop for Request {
    fn drop(&mut self) {
        *self.0.since.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An open connection; it is counted until dropped.
pub(crate) struct Connection {
    context: Shared,
    number: u64,
    /// Closes the connection.
    pub(crate) abort: abort::Abort,
    /// Its requests.
    pub(crate) activity: Arc<Activity>,
}

impl Activity {
    /// Begins a request.
    pub(crate) fn begin(self: &Arc<Self>) -> Active {
        self.requests.fetch_add(1, Ordering::Relaxed);
        Active { _request: Arc::new(Request(self.clone())) }
    }

    /// Whether it has no request.
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0
    }
}

impl Connection {
    /// Counts a connection that was accepted; none if as many are open as may be. What makes no progress is closed
    /// for it: a connection without a request, or else a body that does not arrive.
    pub(crate) fn accept(context: &Shared) -> Option<Self> {
        let connections = &context.connections;
        let limit = context.memory.budget.connections;
        if connections.open.borrow().len() >= limit {
            let is_closed = connections.close_inactive(context);
            if !is_closed && context.memory.evict_stalled(0).is_none() {
                connections.refused.set(connections.refused.get() + 1);
                connections.log(context);
                return None;
            }
            connections.closed.set(connections.closed.get() + 1);
            connections.log(context);
        }
        let number = connections.next.replace(connections.next.get() + 1);
        let abort = abort::Abort::default();
        let activity =
            Arc::new(Activity { requests: AtomicUsize::new(0), since: Mutex::new(Instant::now()) });
        let entry = Entry { activity: activity.clone(), abort: abort.clone() };
        connections.open.borrow_mut().insert(number, entry);
        context.state().connections += 1;
        context.memory.callers.set(context.memory.callers.get() + 1);
        Some(Self { context: context.clone(), number, abort, activity })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.context.connections.open.borrow_mut().remove(&self.number);
        self.context.state().connections -= 1;
        self.context.memory.callers.set(self.context.memory.callers.get() - 1);
    }
}

impl Connections {
    // Closes the connection that has been without a request for the longest time; returns whether there was one.
    fn close_inactive(&self, context: &Shared) -> bool {
        let mut open = self.open.borrow_mut();
        let inactive = open.iter().filter_map(|(number, entry)| {
            let activity = &entry.activity;
            let since = *activity.since.lock().unwrap_or_else(PoisonError::into_inner);
            activity.is_idle().then(|| (*number, context.at(since)))
        });
        let found = memory::inactive(inactive, context.now());
        let Some(found) = found.and_then(|number| open.remove(&number)) else { return false };
        found.abort.request();
        true
    }

    fn log(&self, context: &Shared) {
        let now = context.now();
        if now.since(self.logged.get()) < LOG_INTERVAL {
            return;
        }
        self.logged.set(now);
        event::emit_json(
            event::Event::ConnectionsLimited,
            &[
                event::field("open", &self.open.borrow().len()),
                event::field("refused", &self.refused.get()),
                event::field("closed", &self.closed.get()),
            ],
        );
    }
}
