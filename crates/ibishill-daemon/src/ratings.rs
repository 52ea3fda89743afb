//! Queries the rating service within time and concurrency limits, and keeps the estimates
//! that follow from its ratings.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use futures::StreamExt;
use ibishill_core::{clock, event, time};
use ibishill_decide::cascade::evidence;
use ibishill_platform::rating;
use tokio::sync::{Semaphore, mpsc};

use crate::rollouts;

const TIMEOUT: time::Millis = time::Millis(2_000);
const MAX_CALLS: usize = 64;
const MAX_DEFERRED_CALLS: usize = 8;
const DEFERRED_SLOTS: usize = 256;

/// Answer to be rated.
#[derive(Debug, Clone)]
pub struct Job {
    /// Request to the rating service.
    pub request: rating::Request,
    /// Key of the estimate that the rating updates.
    pub key: evidence::Key,
    /// Whether the answer was delivered to the caller.
    pub delivered: bool,
}

/// Handle to the rating service and the estimates; clones share them.
#[derive(Clone)]
pub struct Handle {
    estimates: Arc<Mutex<evidence::Estimates>>,
    counters: rollouts::Counters,
    service: rating::Ratings,
    calls: Arc<Semaphore>,
    deferred: mpsc::Sender<Job>,
}

impl Handle {
    /// Runs `act` on the estimates, which are locked meanwhile.
    pub fn with_estimates<F, T>(&self, act: F) -> T
    where
        F: FnOnce(&mut evidence::Estimates) -> T,
    {
        act(&mut self.estimates.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Rates an answer now; none if the service gave no rating within `remaining` or too many
    /// calls are in flight.
    pub async fn rate(&self, job: &Job, remaining: time::Millis) -> Option<bool> {
        let Ok(_permit) = self.calls.try_acquire() else { return None };
        self.query(job, remaining).await
    }

    /// Queues an answer for rating; if the queue is full, it is dropped with a log event.
    pub fn rate_later(&self, job: Job) {
        if self.deferred.try_send(job).is_err() {
            event::emit(event::Event::RingFull, &[event::field("ring", &"ratings")]);
        }
    }

    /// Records that an answer with this rating was delivered to the caller.
    pub fn record_delivery(&self, job: &Job, accepted: bool) {
        let now = clock::boot_now();
        self.with_estimates(|estimates| {
            estimates.record_delivery(&job.key.workspace, accepted, now)
        });
    }

    async fn query(&self, job: &Job, remaining: time::Millis) -> Option<bool> {
        let start = clock::boot_now();
        let request = self.service.rate(job.request.clone());
        let response = tokio::time::timeout(remaining.min(TIMEOUT).to_std(), request).await;
        let rating = response.ok().and_then(Result::ok);
        let now = clock::boot_now();
        self.with_estimates(|estimates| {
            estimates.record_query(rating.as_ref().map(|_| now.since(start)))
        });
        let Some(rating) = rating else {
            event::emit(event::Event::RatingMissing, &[event::field("version", &job.key.version)]);
            return None;
        };
        self.with_estimates(|estimates| {
            estimates.record_rating(job.key.clone(), rating.accepted, now)
        });
        // Escalated requests are harder than average and would bias the version's ratings.
        if !job.key.escalated {
            self.counters.record_rating(&job.key.version, rating.accepted);
        }
        if job.delivered {
            self.record_delivery(job, rating.accepted);
        }
        Some(rating.accepted)
    }
}

/// Starts the thread that rates answers after their delivery.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(service: rating::Ratings, counters: rollouts::Counters) -> std::io::Result<Handle> {
    let (deferred, mut inbox) = mpsc::channel(DEFERRED_SLOTS);
    let calls = Arc::new(Semaphore::new(MAX_CALLS));
    let estimates = Arc::default();
    let handle = Handle { estimates, counters, service, calls, deferred };
    // The thread holds no sender of its own queue, so that it ends with the last handle.
    let (unused, _) = mpsc::channel(1);
    let worker = Handle { deferred: unused, ..handle.clone() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("ratings".into()).spawn(move || {
        let worker = &worker;
        let jobs = futures::stream::poll_fn(move |waker| inbox.poll_recv(waker));
        let rating = jobs.for_each_concurrent(MAX_DEFERRED_CALLS, |job| async move {
            let _rated = worker.query(&job, TIMEOUT).await;
        });
        runtime.block_on(rating);
    })?;
    Ok(handle)
}
