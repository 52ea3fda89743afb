//! What became of the order given to an engine, and when the next one may be given.

use std::collections::BTreeSet;

use ibishill_core::{id, time, view};

use crate::place;

/// Pause after an engine could not be reached.
const RETRY: time::Millis = time::Millis::from_secs(5);

/// Time after which an order without an answer, whose effect does not show, counts as lost.
const DOUBT: time::Millis = time::Millis::from_secs(30);

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The engine took it.
    Accepted,
    /// Nothing was done: the engine was not reached.
    Unreachable,
    /// It may have taken effect.
    Unknown,
    /// The engine has seen a newer view and did nothing.
    Fenced(view::ViewNumber),
}

#[derive(Debug, Clone)]
struct Given {
    change: place::Change,
    // When it was sent, once it was.
    sent: Option<time::Tick>,
    wait: time::Millis,
}

/// The orders of one engine.
#[derive(Debug, Clone)]
pub struct Tracker {
    owned: time::Tick,
    changed: Option<time::Tick>,
    given: Option<Given>,
    not_before: time::Tick,
    least: view::ViewNumber,
    read: Option<time::Tick>,
}

impl Tracker {
    /// An engine that this daemon owns since `now` and has not read yet.
    pub fn new(now: time::Tick) -> Self {
        Self {
            owned: now,
            changed: None,
            given: None,
            not_before: time::Tick(0),
            least: view::ViewNumber(0),
            read: None,
        }
    }

    /// Whether an order may be given at `now` under view `number`.
    ///
    /// An engine that ignores fencing numbers waits until the lease of any earlier owner
    /// is over, with the orders that it may have sent last.
    pub fn can_order(
        &self,
        fencing: bool,
        lease: time::Millis,
        dwell: time::Millis,
        number: view::ViewNumber,
        now: time::Tick,
    ) -> bool {
        let settled = fencing || now.since(self.owned) >= lease;
        let rested = self.changed.is_none_or(|changed| now.since(changed) >= dwell);
        let free = self.given.is_none() && self.read.is_some();
        settled && rested && free && now >= self.not_before && number >= self.least
    }

    /// Plans an order; it is sent once its conditions hold.
    pub fn plan(&mut self, change: place::Change) {
        self.given = Some(Given { change, sent: None, wait: place::ORDER_TIMEOUT });
    }

    /// The order that was planned and not sent.
    pub fn planned(&self) -> Option<&place::Change> {
        let given = self.given.as_ref().filter(|given| given.sent.is_none())?;
        Some(&given.change)
    }

    /// Gives up an order that was not sent.
    pub fn cancel_planned(&mut self) {
        if self.planned().is_some() {
            self.given = None;
        }
    }

    /// Notes that the order leaves now.
    pub fn mark_sent(&mut self, now: time::Tick) {
        if let Some(given) = &mut self.given {
            given.sent = Some(now);
        }
    }

    /// The version that is about to be unloaded, or is perhaps unloaded already.
    pub fn unloading(&self) -> Option<&id::VersionRef> {
        match &self.given.as_ref()?.change {
            place::Change::Load(_) => None,
            place::Change::Unload(version) => Some(version),
        }
    }

    /// Notes the answer; an unknown one is read back before anything is repeated.
    pub fn record_answer(&mut self, answer: Answer, now: time::Tick) {
        match answer {
            Answer::Accepted => self.read = None,
            Answer::Unknown => {
                self.read = None;
                if let Some(given) = &mut self.given {
                    given.wait = DOUBT;
                }
            }
            Answer::Unreachable => {
                self.given = None;
                self.not_before = now + RETRY;
            }
            Answer::Fenced(highest) => {
                self.given = None;
                self.least = highest;
                self.not_before = now + RETRY;
            }
        }
    }

    /// Takes in what the engine holds; the answer was asked for at `asked`.
    pub fn observe(&mut self, loaded: &BTreeSet<id::VersionRef>, asked: time::Tick) {
        self.read = Some(asked);
        let Some(given) = &self.given else { return };
        // What was asked before the order left says nothing of its effect.
        let Some(sent) = given.sent.filter(|sent| *sent <= asked) else { return };
        let shows = match &given.change {
            place::Change::Load(version) => loaded.contains(version),
            place::Change::Unload(version) => !loaded.contains(version),
        };
        if shows {
            // A load may follow an unloading at once.
            let is_load = matches!(given.change, place::Change::Load(_));
            if is_load {
                self.changed = Some(asked);
            }
            self.given = None;
        } else if asked.since(sent) >= given.wait {
            self.given = None;
        }
    }

    /// The load that was ordered and has not shown.
    pub fn loading(&self) -> Option<&id::VersionRef> {
        match &self.given.as_ref()?.change {
            place::Change::Load(version) => Some(version),
            place::Change::Unload(_) => None,
        }
    }

    /// Whether an order waits for its effect.
    pub fn is_pending(&self) -> bool {
        self.given.is_some()
    }
}
