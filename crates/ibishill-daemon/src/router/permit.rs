//! The right to run one request, given back when it is dropped.

use crossbeam_channel as ring;
use ibishill_core::{capacity, id};
use ibishill_decide::{admit, limiter, outlier};

use super::in_flight;

pub(super) enum Progress {
    First(admit::Admission),
    End(id::Target, admit::Admission, limiter::Outcome, Option<outlier::Attempt>),
}

/// The right to run one request at an endpoint; dropping it gives the right back.
#[derive(Debug)]
pub struct Permit {
    target: id::Target,
    admission: admit::Admission,
    answer: limiter::Outcome,
    sent: in_flight::Sent,
    attempt: Option<outlier::Attempt>,
    room: capacity::Capacity,
    progress: ring::Sender<Progress>,
}

impl Permit {
    pub(super) fn new(
        target: id::Target,
        admission: admit::Admission,
        room: capacity::Capacity,
        progress: ring::Sender<Progress>,
    ) -> Self {
        let (answer, attempt, sent) =
            (limiter::Outcome::Cancelled, None, in_flight::Sent::default());
        Self { target, admission, answer, sent, attempt, room, progress }
    }

    /// Where the request runs.
    pub fn admission(&self) -> &admit::Admission {
        &self.admission
    }

    /// What the owner could still run after the admission.
    pub fn capacity(&self) -> capacity::Capacity {
        self.room
    }

    /// Notes the first token of the answer.
    pub fn record_first_token(&mut self) {
        if self.sent.record_first_token() {
            let _stopped = self.progress.try_send(Progress::First(self.admission.clone()));
        }
    }

    /// Notes how the answer ended; without it, the caller has left.
    pub fn record_outcome(&mut self, answer: limiter::Outcome) {
        self.answer = answer;
        self.attempt = match answer {
            limiter::Outcome::Good => Some(outlier::Attempt::Good),
            limiter::Outcome::Failed | limiter::Outcome::Disconnected => {
                Some(outlier::Attempt::Failed)
            }
            limiter::Outcome::Cancelled => None,
        };
    }

    /// Notes that the endpoint took no connection.
    pub fn record_unreachable(&mut self) {
        self.answer = limiter::Outcome::Disconnected;
        self.attempt = Some(outlier::Attempt::Unreachable);
    }

    /// Notes a late answer; a short deadline says nothing about the endpoint.
    pub fn record_timeout(&mut self) {
        self.answer = limiter::Outcome::Failed;
        self.attempt = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (target, admission) = (self.target.clone(), self.admission.clone());
        let end = Progress::End(target, admission, self.answer, self.attempt);
        // The ring has room for every message of every permit, so it is never full.
        let _stopped = self.progress.try_send(end);
    }
}
