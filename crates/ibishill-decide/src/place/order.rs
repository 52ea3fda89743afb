//! The state of an engine's current order, and when the next one may be given.

use std::collections::BTreeSet;

use ibishill_core::{id, time, view};

use crate::place;

/// Delay of the next order after an engine was unreachable or rejected one.
const RETRY_DELAY: time::Millis = time::Millis::from_secs(5);

/// Time after which an order with unknown outcome and no visible effect is considered lost.
const LOST_AFTER: time::Millis = time::Millis::from_secs(30);

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The engine accepted the order.
    Accepted,
    /// The engine was not reached, so the order had no effect.
    Unreachable,
    /// The order may have taken effect.
    Unknown,
    /// The engine rejected the order, as it has seen this newer view number.
    Fenced(view::ViewNumber),
}

#[derive(Debug, Clone)]
struct Order {
    change: place::Change,
    // When it was sent, or none while it is only planned.
    sent: Option<time::Tick>,
    // Time to wait for the effect after sending.
    timeout: time::Millis,
}

/// Tracks the orders to one engine; at most one is outstanding.
#[derive(Debug, Clone)]
pub struct Tracker {
    owned_since: time::Tick,
    last_load: Option<time::Tick>,
    current: Option<Order>,
    not_before: time::Tick,
    min_view: view::ViewNumber,
    last_read: Option<time::Tick>,
}

impl Tracker {
    /// Tracks an engine that this daemon owns since `now` and has not read yet.
    pub fn new(now: time::Tick) -> Self {
        Self {
            owned_since: now,
            last_load: None,
            current: None,
            not_before: time::Tick(0),
            min_view: view::ViewNumber(0),
            last_read: None,
        }
    }

    /// Whether an order may be given at `now` under view `number`.
    ///
    /// An engine that ignores fencing numbers gets none until the lease of any earlier owner has
    /// ended; `lease` includes the time for which that owner's last order may be under way.
    pub fn can_order(
        &self,
        fencing: bool,
        lease: time::Millis,
        dwell: time::Millis,
        number: view::ViewNumber,
        now: time::Tick,
    ) -> bool {
        let lease_over = fencing || now.since(self.owned_since) >= lease;
        let dwelled = self.last_load.is_none_or(|loaded| now.since(loaded) >= dwell);
        let idle = self.current.is_none() && self.last_read.is_some();
        lease_over && dwelled && idle && now >= self.not_before && number >= self.min_view
    }

    /// Plans an order, to be sent once its preconditions hold.
    pub fn plan(&mut self, change: place::Change) {
        self.current = Some(Order { change, sent: None, timeout: place::ORDER_TIMEOUT });
    }

    /// The order that is planned and not yet sent.
    pub fn planned(&self) -> Option<&place::Change> {
        let order = self.current.as_ref().filter(|order| order.sent.is_none())?;
        Some(&order.change)
    }

    /// Cancels an order that has not been sent.
    pub fn cancel_planned(&mut self) {
        if self.planned().is_some() {
            self.current = None;
        }
    }

    /// Records that the planned order is sent now.
    pub fn mark_sent(&mut self, now: time::Tick) {
        if let Some(order) = &mut self.current {
            order.sent = Some(now);
        }
    }

    /// The version that the current order unloads, which may already be unloaded.
    pub fn unloading(&self) -> Option<&id::VersionRef> {
        match &self.current.as_ref()?.change {
            place::Change::Load(_) => None,
            place::Change::Unload(version) => Some(version),
        }
    }

    /// Records the answer to the order.
    ///
    /// After an accepted or unknown one, the engine has to be read again before another order.
    pub fn record_answer(&mut self, answer: Answer, now: time::Tick) {
        match answer {
            Answer::Accepted => self.last_read = None,
            Answer::Unknown => {
                self.last_read = None;
                if let Some(order) = &mut self.current {
                    order.timeout = LOST_AFTER;
                }
            }
            Answer::Unreachable => {
                self.current = None;
                self.not_before = now + RETRY_DELAY;
            }
            Answer::Fenced(highest) => {
                self.current = None;
                self.min_view = highest;
                self.not_before = now + RETRY_DELAY;
            }
        }
    }

    /// Records the versions that the engine holds, as read by a request sent at `asked`.
    pub fn observe(&mut self, loaded: &BTreeSet<id::VersionRef>, asked: time::Tick) {
        self.last_read = Some(asked);
        let Some(order) = &self.current else { return };
        // A reading requested before the order was sent does not show its effect.
        let Some(sent) = order.sent.filter(|sent| *sent <= asked) else { return };
        let applied = match &order.change {
            place::Change::Load(version) => loaded.contains(version),
            place::Change::Unload(version) => !loaded.contains(version),
        };
        if applied {
            // Only a load starts the dwell time, as the load that an unload makes room for may
            // follow at once.
            let is_load = matches!(order.change, place::Change::Load(_));
            if is_load {
                self.last_load = Some(asked);
            }
            self.current = None;
        } else if asked.since(sent) >= order.timeout {
            self.current = None;
        }
    }

    /// The version that the current order loads, until the engine reports it.
    pub fn loading(&self) -> Option<&id::VersionRef> {
        match &self.current.as_ref()?.change {
            place::Change::Load(version) => Some(version),
            place::Change::Unload(_) => None,
        }
    }

    /// Whether an order is planned or its effect is outstanding.
    pub fn is_pending(&self) -> bool {
        self.current.is_some()
    }
}
