//! The right to run one request, given back when it is dropped.

use crossbeam_channel as ring;
use ibishill_core::id;
use ibishill_decide::{admit, cold};

use super::held;

pub(super) enum Progress {
    First(admit::Admission),
    End(id::Target, admit::Admission, cold::Answer),
}

/// The right to run one request at an endpoint; dropping it gives the right back.
#[derive(Debug)]
pub struct Permit {
    target: id::Target,
    admission: admit::Admission,
    answer: cold::Answer,
    sent: held::Sent,
    progress: ring::Sender<Progress>,
}

impl Permit {
    pub(super) fn new(
        target: id::Target,
        admission: admit::Admission,
        progress: ring::Sender<Progress>,
    ) -> Self {
        Self {
            target,
            admission,
            answer: cold::Answer::Left,
            sent: held::Sent::default(),
            progress,
        }
    }

    /// Where the request runs.
    pub fn admission(&self) -> &admit::Admission {
        &self.admission
    }

    /// Notes the first token of the answer.
    pub fn first(&mut self) {
        if self.sent.first() {
            let _stopped = self.progress.try_send(Progress::First(self.admission.clone()));
        }
    }

    /// Notes how the answer ended; without it, the caller has left.
    pub fn ended(&mut self, answer: cold::Answer) {
        self.answer = answer;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let end = Progress::End(self.target.clone(), self.admission.clone(), self.answer);
        // The ring has room for every message of every permit, so it is never full.
        let _stopped = self.progress.try_send(end);
    }
}
