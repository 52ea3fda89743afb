//! Client-side rate limits on platform calls, one token bucket per kind of call.
//!
//! A call over the limit is rejected before it is sent, so that one misbehaving daemon
//! can't exhaust the capacity that all daemons share.

use std::sync::{Arc, Mutex, PoisonError};

use futures::FutureExt;
use ibishill_core::time;

use crate::{Platform, failure, object, rating, table, vm, weight};

/// Rate and burst size of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Sustained calls per second.
    pub per_second: u32,
    /// Calls that may be made at once after an idle period.
    pub burst: u32,
}

/// Limits of one daemon, by kind of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rates {
    /// Reads of tables, objects and the VM list, and weight reservations.
    pub reads: Rate,
    /// Table commits and object creations.
    pub writes: Rate,
    /// Calls to the rating service.
    pub ratings: Rate,
}

impl Default for Rates {
    fn default() -> Self {
        let rate = Rate { per_second: 50, burst: 200 };
        Self { reads: rate, writes: rate, ratings: Rate { per_second: 500, burst: 1_000 } }
    }
}

/// A token bucket whose time is passed in by the caller.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Rate,
    millitokens: u64,
    refilled: time::Tick,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(rate: Rate, now: time::Tick) -> Self {
        Self { rate, millitokens: u64::from(rate.burst) * 1_000, refilled: now }
    }

    /// Takes the token of one call; returns false if the bucket is empty.
    pub fn try_take(&mut self, now: time::Tick) -> bool {
        // One call per second refills one millitoken per millisecond.
        let gained = now.since(self.refilled).0.saturating_mul(u64::from(self.rate.per_second));
        let full = u64::from(self.rate.burst) * 1_000;
        self.millitokens = self.millitokens.saturating_add(gained).min(full);
        self.refilled = self.refilled.max(now);
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
        Err(failure::Failure::NotApplied { detail: "rate limit of this daemon exceeded".into() })
    }
}

/// Wraps the clients of a platform in rate limits; `clock` gives the current time.
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
            let (table, limiter) = (commits.clone(), writes.clone());
            async move {
                limiter.acquire()?;
                table.commit(transaction).await
            }
            .boxed()
        },
        move |query| {
            let (table, limiter) = (queries.clone(), reads.clone());
            async move {
                limiter.acquire()?;
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
            let (objects, limiter) = (creating.clone(), writes.clone());
            async move {
                limiter.acquire()?;
                objects.create(object).await
            }
            .boxed()
        },
        move |name| {
            let (objects, limiter) = (getting.clone(), gets.clone());
            async move {
                limiter.acquire()?;
                objects.get(name).await
            }
            .boxed()
        },
        move |prefix| {
            let (objects, limiter) = (listing.clone(), lists.clone());
            async move {
                limiter.acquire()?;
                objects.list(prefix).await
            }
            .boxed()
        },
    )
}

fn vms(inner: &vm::Vms, reads: &Limiter) -> vm::Vms {
    let (inner, limiter) = (inner.clone(), reads.clone());
    vm::Vms::new(move || {
        let (vms, limiter) = (inner.clone(), limiter.clone());
        async move {
            limiter.acquire()?;
            vms.list().await
        }
        .boxed()
    })
}

fn ratings(inner: &rating::Ratings, limiter: &Limiter) -> rating::Ratings {
    let (inner, limiter) = (inner.clone(), limiter.clone());
    rating::Ratings::new(move |request| {
        let (ratings, limiter) = (inner.clone(), limiter.clone());
        async move {
            limiter.acquire()?;
            ratings.rate(request).await
        }
        .boxed()
    })
}

fn weights(inner: &weight::Weights, reads: &Limiter) -> weight::Weights {
    let (inner, limiter) = (inner.clone(), reads.clone());
    weight::Weights::new(move |reservation| {
        let (weights, limiter) = (inner.clone(), limiter.clone());
        async move {
            limiter.acquire()?;
            weights.reserve(reservation).await
        }
        .boxed()
    })
}
