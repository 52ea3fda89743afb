//! Buffers answers of endpoints within a limit that all of them share.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ibishill_decide::memory as decision;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time as clock;

use crate::upstream::CallError;
use crate::{memory, unread};

/// Smallest buffer of an answer whose length is not known, in bytes.
const BUFFER_MIN: usize = 4 * 1_024;

/// Largest part of the turns that one answer takes, in bytes.
const TURN_MAX: usize = 256 * 1_024;

/// Time for which an answer holds its turn: an endpoint that stops amid its answer must not hold up others.
const TURN_TIME: Duration = Duration::from_secs(1);

/// Longest wait for a turn.
const TURN_TIMEOUT: Duration = Duration::from_secs(5);

/// Memory that answers occupy while they are read.
#[derive(Clone)]
pub(crate) struct Buffers {
    memory: Rc<memory::Memory>,
    /// Whole answers that are being read, or wait for their turn.
    count: Rc<Cell<usize>>,
    /// Declared lengths of the large ones that do not wait for their turn, in bytes.
    declared: Rc<Cell<usize>>,
    /// Permits for large answers, one for each KiB: many that begin at the same time are read one after the other.
    turns: Rc<Semaphore>,
}

/// Memory of one answer, released when dropped.
pub(crate) struct Share {
    memory: Rc<memory::Memory>,
    size: usize,
}

/// Adds an amount to a sum until dropped.
struct Added {
    sum: Rc<Cell<usize>>,
    amount: usize,
}

impl Added {
    fn to(sum: &Rc<Cell<usize>>, amount: usize) -> Self {
        sum.set(sum.get() + amount);
        Self { sum: sum.clone(), amount }
    }
}

impl Drop for Added {
    fn drop(&mut self) {
        self.sum.set(self.sum.get() - self.amount);
    }
}

impl Share {
    /// Changes the size in bytes, unless it grows beyond what the others leave free: an answer without end is
    /// given up while there is room for ordinary ones.
    pub(crate) fn resize(&mut self, size: usize) -> bool {
        let answers = &self.memory.answers;
        let used = answers.used() - self.size + size;
        if size > self.size && size > self.memory.budget.answers.saturating_sub(used) {
            return false;
        }
        answers.sub(self.size);
        answers.add(size);
        self.size = size;
        true
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.answers.sub(self.size);
    }
}

impl Buffers {
    /// Buffers within the relay's memory.
    pub(crate) fn new(memory: &Rc<memory::Memory>) -> Self {
        let turns = Rc::new(Semaphore::new(memory.budget.answers / 4 / 1_024));
        let (count, declared) = (Rc::default(), Rc::default());
        Self { memory: memory.clone(), count, declared, turns }
    }

    /// Begins an answer, of which nothing has been read.
    pub(crate) fn share(&self) -> Share {
        Share { memory: self.memory.clone(), size: 0 }
    }

    fn reading(&self) -> decision::Reading {
        let (count, declared) = (self.count.get(), self.declared.get());
        decision::Reading { count, buffered: self.memory.answers.used(), declared }
    }

    // Waits until an answer of this length may be read; at once while most of the memory is free.
    async fn turn(&self, length: usize) -> Option<SemaphorePermit<'_>> {
        if self.reading().is_free(&self.memory.budget, length) {
            return None;
        }
        let size = u32::try_from(length.min(TURN_MAX) / 1_024).unwrap_or(u32::MAX);
        let turn = clock::timeout(TURN_TIMEOUT, self.turns.acquire_many(size)).await;
        turn.ok().and_then(Result::ok)
    }

    /// Reads an endpoint's whole answer, as far as there is room for more that waits for callers.
    ///
    /// # Errors
    ///
    /// Fails if the answer is truncated or takes too much of the shared memory.
    pub(crate) async fn read(
        &self,
        mut body: Incoming,
        unread: &unread::Unread,
    ) -> Result<Bytes, CallError> {
        let declared = body.size_hint().exact().and_then(|size| usize::try_from(size).ok());
        let _counted = Added::to(&self.count, 1);
        // An endpoint may declare any length.
        let length = declared.unwrap_or_default().min(self.memory.budget.answers);
        let mut turn = self.turn(length).await;
        // Nothing of it is buffered yet, but those that begin next must know of it.
        let _declared = Added::to(&self.declared, length);
        let turn_end = clock::Instant::now() + TURN_TIME;
        let mut share = self.share();
        let mut content = Vec::new();
        loop {
            // What is being read will have to wait for callers, so it counts there already.
            unread.room(|| self.reading()).await;
            let frame = match clock::timeout_at(turn_end, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => {
                    drop(turn.take());
                    body.frame().await
                }
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| CallError::Unknown(error.to_string()))?;
            let data = frame.into_data().unwrap_or_default();
            let length = content.len() + data.len();
            if length > content.capacity() {
                // The buffer grows in steps, the last of which ends where the answer does.
                let capacity = length.max(content.capacity() * 2).max(BUFFER_MIN);
                let capacity = capacity.min(declared.unwrap_or(usize::MAX).max(length));
                if !share.resize(capacity) {
                    let detail =
                        format!("the answer exceeds the memory left, {} bytes", share.size);
                    return Err(CallError::Unknown(detail));
                }
                content.reserve_exact(capacity - content.len());
            }
            content.extend_from_slice(&data);
        }
        // The unused part of the buffer is freed.
        content.shrink_to_fit();
        Ok(Bytes::from(content))
    }
}
