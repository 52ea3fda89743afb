//! A daemon's rate budget towards the platform, one token bucket per kind of call.
//!
//! A call over the budget is refused here and did not happen, so that one daemon in
//! trouble can't use up what all of them share.

use std::sync::{Arc, Mutex, PoisonError};

use futures::FutureExt;
use ibishill_core::time;

use crate::{Platform, failure, object, rating, table, vm, weight};

/// A rate with its burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Calls per second.
    pub per_second: u32,
    /// Calls at once after a pause.
    pub burst: u32,
}

/// The rates of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rates {
    /// Reads of tables, objects and lists.
    pub reads: Rate,
    /// Commits and objects created.
    pub writes: Rate,
    /// Answers to rate.
    pub ratings: Rate,
}

impl Default for Rates {
    fn default() -> Self {
        let rate = Rate { per_second: 50, burst: 200 };
        Self { reads: rate, writes: rate, ratings: Rate { per_second: 500, burst: 1_000 } }
    }
}

/// A token bucket over given time.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Rate,
    millitokens: u64,
    filled: time::Tick,
}

impl Bucket {
    /// Makes a full bucket.
    pub fn new(rate: Rate, now: time::Tick) -> Self {
        Self { rate, millitokens: u64::from(rate.burst) * 1_000, filled: now }
    }

    /// Takes one call's token, if there is one.
    pub fn try_take(&mut self, now: time::Tick) -> bool {
        // One call per second is one thousandth of a token per millisecond.
        let gained = now.since(self.filled).0.saturating_mul(u64::from(self.rate.per_second));
        let full = u64::from(self.rate.burst) * 1_000;
        self.millitokens = self.millitokens.saturating_add(gained).min(full);
        self.filled = self.filled.max(now);
        let taken = self.millitokens >= 1_000;
        if taken {
            self.millitokens -= 1_000;
        }
        taken
    }
}

#[derive(Clone)]
struct Limiter {
    bucket: Arc<Mutex<Bucket>>,
    clock: fn() -> time::Tick,
}

impl Limiter {
    fn new(rate: Rate, clock: fn() -> time::Tick) -> Self {
        Self { bucket: Arc::new(Mutex::new(Bucket::new(rate, clock()))), clock }
    }

    fn acquire(&self) -> Result<(), failure::Failure> {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        if bucket.try_take((self.clock)()) {
            return Ok(());
        }
        Err(failure::Failure::NotApplied { detail: "over the daemon's rate budget".into() })
    }
}

/// Puts a daemon's budget before a platform's tables, objects, VM list and rating service.
pub fn limit(platform: &Platform, rates: Rates, clock: fn() -> time::Tick) -> Platform {
    let (reads, writes) = (Limiter::new(rates.reads, clock), Limiter::new(rates.writes, clock));
    Platform {
        table: tables(&platform.table, &reads, &writes),
        objects: objects(&platform.objects, &reads, &writes),
        vms: vms(&platform.vms, &reads),
        ratings: ratings(&platform.ratings, &Limiter::new(rates.ratings, clock)),
        weights: weights(&platform.weights, &reads),
    }
}

fn tables(inner: &table::Table, reads: &Limiter, writes: &Limiter) -> table::Table {
    let (commits, queries) = (inner.clone(), inner.clone());
    let (reads, writes) = (reads.clone(), writes.clone());
    table::Table::new(
        move |transaction| {
            let (table, gate) = (commits.clone(), writes.clone());
            async move {
                gate.acquire()?;
                table.commit(transaction).await
            }
            .boxed()
        },
        move |query| {
            let (table, gate) = (queries.clone(), reads.clone());
            async move {
                gate.acquire()?;
                table.read(query).await
            }
            .boxed()
        },
    )
}

fn objects(inner: &object::Objects, reads: &Limiter, writes: &Limiter) -> object::Objects {
    let (creating, getting, listing) = (inner.clone(), inner.clone(), inner.clone());
    let (writes, gets, lists) = (writes.clone(), reads.clone(), reads.clone());
    object::Objects::new(
        move |object| {
            let (objects, gate) = (creating.clone(), writes.clone());
            async move {
                gate.acquire()?;
                objects.create(object).await
            }
            .boxed()
        },
        move |name| {
            let (objects, gate) = (getting.clone(), gets.clone());
            async move {
                gate.acquire()?;
                objects.get(name).await
            }
            .boxed()
        },
        move |prefix| {
            let (objects, gate) = (listing.clone(), lists.clone());
            async move {
                gate.acquire()?;
                objects.list(prefix).await
            }
            .boxed()
        },
    )
}

fn vms(inner: &vm::Vms, reads: &Limiter) -> vm::Vms {
    let (inner, gate) = (inner.clone(), reads.clone());
    vm::Vms::new(move || {
        let (vms, gate) = (inner.clone(), gate.clone());
        async move {
            gate.acquire()?;
            vms.list().await
        }
        .boxed()
    })
}

fn ratings(inner: &rating::Ratings, gate: &Limiter) -> rating::Ratings {
    let (inner, gate) = (inner.clone(), gate.clone());
    rating::Ratings::new(move |question| {
        let (ratings, gate) = (inner.clone(), gate.clone());
        async move {
            gate.acquire()?;
            ratings.rate(question).await
        }
        .boxed()
    })
}

fn weights(inner: &weight::Weights, reads: &Limiter) -> weight::Weights {
    let (inner, gate) = (inner.clone(), reads.clone());
    weight::Weights::new(move |ask| {
        let (weights, gate) = (inner.clone(), gate.clone());
        async move {
            gate.acquire()?;
            weights.reserve(ask).await
        }
        .boxed()
    })
}
