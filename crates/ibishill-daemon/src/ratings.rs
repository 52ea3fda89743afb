//! Asks the rating service, within a time and a budget, and keeps what it has shown.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use futures::StreamExt;
use ibishill_core::{clock, event, time};
use ibishill_decide::cascade::evidence;
use ibishill_platform::rating;
use tokio::sync::{Semaphore, mpsc};

use crate::rollouts;

const TIMEOUT: time::Millis = time::Millis(2_000);
const CALLS_MAX: usize = 64;
const LATE_CALLS_MAX: usize = 8;
const LATE_SLOTS: usize = 256;

/// An answer to rate.
#[derive(Debug, Clone)]
pub struct Job {
    /// What the service is asked.
    pub request: rating::Request,
    /// What the rating counts under.
    pub key: evidence::Key,
    /// Whether the caller has got the answer.
    pub delivered: bool,
}

/// Access to ratings for all that answer requests.
#[derive(Clone)]
pub struct Handle {
    known: Arc<Mutex<evidence::Estimates>>,
    counters: rollouts::Counters,
    service: rating::Ratings,
    calls: Arc<Semaphore>,
    late: mpsc::Sender<Job>,
}

impl Handle {
    /// Reads or changes what is known.
    pub fn with_estimates<F, T>(&self, act: F) -> T
    where
        F: FnOnce(&mut evidence::Estimates) -> T,
    {
        act(&mut self.known.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Rates an answer now; none if the service gave no rating within `left` or the budget
    /// is spent.
    pub async fn rate(&self, job: &Job, left: time::Millis) -> Option<bool> {
        let Ok(_permit) = self.calls.try_acquire() else { return None };
        self.ask(job, left).await
    }

    /// Rates an answer later; a full ring drops it and says so.
    pub fn rate_later(&self, job: Job) {
        if self.late.try_send(job).is_err() {
            event::emit(event::Event::RingFull, &[event::field("ring", &"ratings")]);
        }
    }

    /// Counts an answer that the caller gets with this rating.
    pub fn record_delivery(&self, job: &Job, accepted: bool) {
        let now = clock::boot_now();
        self.with_estimates(|known| known.record_delivery(&job.key.workspace, accepted, now));
    }

    async fn ask(&self, job: &Job, left: time::Millis) -> Option<bool> {
        let began = clock::boot_now();
        let asked = self.service.rate(job.request.clone());
        let answered = tokio::time::timeout(left.min(TIMEOUT).to_std(), asked).await;
        let rating = answered.ok().and_then(Result::ok);
        let now = clock::boot_now();
        self.with_estimates(|known| known.record_query(rating.as_ref().map(|_| now.since(began))));
        let Some(rating) = rating else {
            event::emit(event::Event::RatingMissing, &[event::field("version", &job.key.version)]);
            return None;
        };
        self.with_estimates(|known| known.record_rating(job.key.clone(), rating.accepted, now));
        // An escalated request is harder than the others, so it would count against its version.
        if !job.key.escalated {
            self.counters.record_rating(&job.key.version, rating.accepted);
        }
        if job.delivered {
            self.record_delivery(job, rating.accepted);
        }
        Some(rating.accepted)
    }
}

/// Starts the thread that rates answers after they were given.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(service: rating::Ratings, counters: rollouts::Counters) -> std::io::Result<Handle> {
    let (late, mut inbox) = mpsc::channel(LATE_SLOTS);
    let calls = Arc::new(Semaphore::new(CALLS_MAX));
    let known = Arc::default();
    let handle = Handle { known, counters, service, calls, late };
    // The thread holds no sender of its own ring, so that it ends with the last handle.
    let (unused, _) = mpsc::channel(1);
    let asking = Handle { late: unused, ..handle.clone() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("ratings".into()).spawn(move || {
        let asking = &asking;
        let jobs = futures::stream::poll_fn(move |waker| inbox.poll_recv(waker));
        let rating = jobs.for_each_concurrent(LATE_CALLS_MAX, |job| async move {
            let _rated = asking.ask(&job, TIMEOUT).await;
        });
        runtime.block_on(rating);
    })?;
    Ok(handle)
}
