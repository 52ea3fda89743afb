//! The hand-over of permits between router and request threads, under shuttle.
//!
//! The router's rings are crossbeam's, which shuttle can't schedule. The model has the
//! same messages over shuttle's channels, and the router's own count of what is held.

use ibishill_daemon::router::in_flight;
use shuttle::scheduler::RandomScheduler;
use shuttle::sync::{Arc, Mutex, mpsc};
use shuttle::thread;

const MOST: usize = 2;
const CALLERS: usize = 4;
const ASKS: usize = 3;
const SCHEDULES: usize = 2_000;

enum Progress {
    First,
    End,
}

struct Permit {
    sent: in_flight::Sent,
    progress: mpsc::SyncSender<Progress>,
    full: Arc<Mutex<usize>>,
}

impl Permit {
    fn send(&self, message: Progress) {
        if let Err(mpsc::TrySendError::Full(_)) = self.progress.try_send(message) {
            *self.full.lock().unwrap() += 1;
        }
    }

    fn first(&mut self) {
        if self.sent.record_first_token() {
            self.send(Progress::First);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.send(Progress::End);
    }
}

type Ask = mpsc::SyncSender<Option<Permit>>;

fn take(held: &mut in_flight::Limit, progress: &mpsc::Receiver<Progress>) {
    while let Ok(message) = progress.try_recv() {
        if let Progress::End = message {
            held.release();
        }
    }
}

// Returns what is still held after the last caller, and the messages that were lost.
fn router(asks: &mpsc::Receiver<Ask>, slots: fn(&in_flight::Limit) -> usize) -> (usize, usize) {
    let mut held = in_flight::Limit::new(MOST);
    let (sender, progress) = mpsc::sync_channel(slots(&held));
    let full = Arc::new(Mutex::new(0));
    while let Ok(reply) = asks.recv() {
        take(&mut held, &progress);
        if !held.has_capacity(0) {
            let _left = reply.send(None);
            continue;
        }
        held.admit();
        assert!(held.admitted() <= MOST);
        let (progress, full) = (sender.clone(), Arc::clone(&full));
        // A caller that has left drops the permit here.
        let _left = reply.send(Some(Permit { sent: Default::default(), progress, full }));
    }
    // All permits have gone once this is the last sender.
    drop(sender);
    while let Ok(message) = progress.recv() {
        if let Progress::End = message {
            held.release();
        }
    }
    let lost = *full.lock().unwrap();
    (held.admitted(), lost)
}

fn call(asks: &mpsc::SyncSender<Ask>, caller: usize) {
    for number in 0..ASKS {
        let (reply, answer) = mpsc::sync_channel(1);
        asks.send(reply).unwrap();
        // Every other caller leaves now and then before its answer.
        if caller % 2 == 1 && number == 1 {
            continue;
        }
        let Ok(Some(mut permit)) = answer.recv() else { continue };
        for _ in 0..3 {
            permit.first();
        }
    }
}

fn run(slots: fn(&in_flight::Limit) -> usize) -> (usize, usize) {
    let (sender, asks) = mpsc::sync_channel(CALLERS);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let asks = sender.clone();
            thread::spawn(move || call(&asks, caller))
        })
        .collect();
    drop(sender);
    let left = router(&asks, slots);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    left
}

// Runs schedules of a fixed seed; returns how many of them lost a message or a count.
fn schedules(slots: fn(&in_flight::Limit) -> usize) -> usize {
    let bad = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = std::sync::Arc::clone(&bad);
    let scheduler = RandomScheduler::new_from_seed(7, SCHEDULES);
    shuttle::Runner::new(scheduler, Default::default()).run(move || {
        if run(slots) != (0, 0) {
            count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        }
    });
    bad.load(std::sync::atomic::Ordering::Relaxed)
}

#[test]
fn no_permit_is_lost_and_the_ring_is_never_full() {
    assert_eq!(schedules(in_flight::Limit::channel_slots), 0);
}

#[test]
fn a_ring_that_is_smaller_loses_permits() {
    assert!(schedules(|held| held.channel_slots() - 1) > 0);
}
