//! Permits: an admitted request's slot at its endpoint.

use crossbeam_channel as channel;
use ibishill_core::{capacity, id};
use ibishill_decide::{admit, limiter, outlier};

use super::in_flight;

pub(super) enum Progress {
    FirstToken(admit::Admission),
    End(id::Target, admit::Admission, limiter::Outcome, Option<outlier::Attempt>),
}

/// Slot of one request at an endpoint, released on drop.
#[derive(Debug)]
pub struct Permit {
    target: id::Target,
    admission: admit::Admission,
    outcome: limiter::Outcome,
    sent: in_flight::Sent,
    attempt: Option<outlier::Attempt>,
    capacity: capacity::Capacity,
    progress: channel::Sender<Progress>,
}

impl Permit {
    pub(super) fn new(
        target: id::Target,
        admission: admit::Admission,
        capacity: capacity::Capacity,
        progress: channel::Sender<Progress>,
    ) -> Self {
        let (outcome, attempt, sent) =
            (limiter::Outcome::Cancelled, None, in_flight::Sent::default());
        Self { target, admission, outcome, sent, attempt, capacity, progress }
    }

    /// Endpoint and limiter ticket of the request.
    pub fn admission(&self) -> &admit::Admission {
        &self.admission
    }

    /// Remaining capacity of the owner right after the admission.
    pub fn capacity(&self) -> capacity::Capacity {
        self.capacity
    }

    /// Reports the first token of the answer to the limiter; repeated calls have no effect.
    pub fn record_first_token(&mut self) {
        if self.sent.record_first_token() {
            let _stopped = self.progress.try_send(Progress::FirstToken(self.admission.clone()));
        }
    }

    /// Sets how the answer ended; a permit dropped without an outcome counts as cancelled.
    pub fn record_outcome(&mut self, outcome: limiter::Outcome) {
        self.outcome = outcome;
        self.attempt = match outcome {
            limiter::Outcome::Good => Some(outlier::Attempt::Good),
            limiter::Outcome::Failed | limiter::Outcome::Disconnected => {
                Some(outlier::Attempt::Failed)
            }
            limiter::Outcome::Cancelled => None,
        };
    }

    /// Records that no connection to the endpoint could be made.
    pub fn record_unreachable(&mut self) {
        self.outcome = limiter::Outcome::Disconnected;
        self.attempt = Some(outlier::Attempt::Unreachable);
    }

    /// Records an answer that missed its deadline.
    ///
    /// It lowers the limit but is no failed attempt: a short deadline says nothing about
    /// the endpoint's health.
    pub fn record_timeout(&mut self) {
        self.outcome = limiter::Outcome::Failed;
        self.attempt = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (target, admission) = (self.target.clone(), self.admission.clone());
        let end = Progress::End(target, admission, self.outcome, self.attempt);
        // The channel has a slot for every message of every permit, so it is never full.
        let _stopped = self.progress.try_send(end);
    }
}
