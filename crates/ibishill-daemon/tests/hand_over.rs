//! Handover of permits between the router and request threads, checked with shuttle.
//!
//! Shuttle can't schedule the router's crossbeam channels, so a model sends the same messages
//! over shuttle's channels; the in-flight limit is the router's own.

use ibishill_daemon::router::in_flight;
use shuttle::scheduler::RandomScheduler;
use shuttle::sync::{Arc, Mutex, mpsc};
use shuttle::thread;

const MAX_IN_FLIGHT: usize = 2;
const CALLERS: usize = 4;
const REQUESTS: usize = 3;
const SCHEDULES: usize = 2_000;

enum Progress {
    FirstToken,
    End,
}

struct Permit {
    sent: in_flight::Sent,
    progress: mpsc::SyncSender<Progress>,
    overflows: Arc<Mutex<usize>>,
}

impl Permit {
    fn send(&self, message: Progress) {
        if let Err(mpsc::TrySendError::Full(_)) = self.progress.try_send(message) {
            *self.overflows.lock().unwrap() += 1;
        }
    }

    fn first(&mut self) {
        if self.sent.record_first_token() {
            self.send(Progress::FirstToken);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.send(Progress::End);
    }
}

type Request = mpsc::SyncSender<Option<Permit>>;

fn receive_progress(limit: &mut in_flight::Limit, progress: &mpsc::Receiver<Progress>) {
    while let Ok(message) = progress.try_recv() {
        if let Progress::End = message {
            limit.release();
        }
    }
}

// Returns the permits unreleased after the last caller and the number of lost messages.
fn router(
    requests: &mpsc::Receiver<Request>,
    channel_slots: fn(&in_flight::Limit) -> usize,
) -> (usize, usize) {
    let mut limit = in_flight::Limit::new(MAX_IN_FLIGHT);
    let (sender, progress) = mpsc::sync_channel(channel_slots(&limit));
    let overflows = Arc::new(Mutex::new(0));
    while let Ok(reply) = requests.recv() {
        receive_progress(&mut limit, &progress);
        if !limit.has_capacity(0) {
            let _left = reply.send(None);
            continue;
        }
        limit.admit();
        assert!(limit.admitted() <= MAX_IN_FLIGHT);
        let (progress, overflows) = (sender.clone(), Arc::clone(&overflows));
        // If the caller has left, the permit is dropped here.
        let _left = reply.send(Some(Permit { sent: Default::default(), progress, overflows }));
    }
    // Once the last sender is dropped, all permits have been dropped.
    drop(sender);
    while let Ok(message) = progress.recv() {
        if let Progress::End = message {
            limit.release();
        }
    }
    let lost = *overflows.lock().unwrap();
    (limit.admitted(), lost)
}

fn call(requests: &mpsc::SyncSender<Request>, caller: usize) {
    for request in 0..REQUESTS {
        let (reply, answer) = mpsc::sync_channel(1);
        requests.send(reply).unwrap();
        // Every other caller leaves before the answer to its second request.
        if caller % 2 == 1 && request == 1 {
            continue;
        }
        let Ok(Some(mut permit)) = answer.recv() else { continue };
        for _ in 0..3 {
            permit.first();
        }
    }
}

fn run(channel_slots: fn(&in_flight::Limit) -> usize) -> (usize, usize) {
    let (sender, requests) = mpsc::sync_channel(CALLERS);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let requests = sender.clone();
            thread::spawn(move || call(&requests, caller))
        })
        .collect();
    drop(sender);
    let result = router(&requests, channel_slots);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    result
}

// Runs schedules of a fixed seed; returns how many lost a message or left a permit unreleased.
fn failed_schedules(channel_slots: fn(&in_flight::Limit) -> usize) -> usize {
    let failed = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = std::sync::Arc::clone(&failed);
    let scheduler = RandomScheduler::new_from_seed(7, SCHEDULES);
    shuttle::Runner::new(scheduler, Default::default()).run(move || {
        if run(channel_slots) != (0, 0) {
            count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        }
    });
    failed.load(std::sync::atomic::Ordering::Relaxed)
}

#[test]
fn channel_never_overflows_and_all_permits_are_released() {
    assert_eq!(failed_schedules(in_flight::Limit::channel_slots), 0);
}

#[test]
fn smaller_channel_loses_permits() {
    assert!(failed_schedules(|limit| limit.channel_slots() - 1) > 0);
}
