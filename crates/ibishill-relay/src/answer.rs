//! Buffers answers of endpoints within a limit that all of them share.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time as clock;

use crate::upstream::CallError;
use crate::{memory, unread};

/// Smallest buffer of an answer whose length is not known, in bytes.
const BUFFER_MIN: usize = 4 * 1_024;

/// What a request and the buffers of its connections hold beside while its answer is read, in bytes.
const READ_AHEAD: usize = 32 * 1_024;

/// Length from which on an answer waits for its turn to be read, in bytes.
const TURN_SIZE: usize = 64 * 1_024;

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
    reading: Rc<Cell<usize>>,
    /// Permits for large answers, one for each KiB: many that begin at the same time are read one after the other.
    turns: Rc<Semaphore>,
}

/// Memory of one answer, released when dropped.
pub(crate) struct Share {
    memory: Rc<memory::Memory>,
    size: usize,
}

/// Counts a whole answer that is being read until dropped.
struct Reading(Rc<Cell<usize>>);

impl Drop for Reading {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
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
        let turns = Rc::new(Semaphore::new(memory.budget.answers / 8 * 3 / 1_024));
        Self { memory: memory.clone(), reading: Rc::default(), turns }
    }

    /// Begins an answer, of which nothing has been read.
    pub(crate) fn share(&self) -> Share {
        Share { memory: self.memory.clone(), size: 0 }
    }

    // All that answers occupy that are being read, with the buffers of their connections.
    fn used(&self) -> usize {
        self.memory.answers.used() + self.reading.get() * READ_AHEAD
    }

    // Waits until an answer of this length may be read; at once while most of the memory is free.
    async fn turn(&self, length: usize) -> Option<SemaphorePermit<'_>> {
        if length < TURN_SIZE || self.used() + length <= self.memory.budget.answers / 4 {
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
        self.reading.set(self.reading.get() + 1);
        let _reading = Reading(self.reading.clone());
        let mut turn = self.turn(declared.unwrap_or_default()).await;
        let turn_end = clock::Instant::now() + TURN_TIME;
        let mut share = self.share();
        let mut content = Vec::new();
        loop {
            // What is being read will have to wait for callers, so it counts there already.
            unread.room(|| self.used()).await;
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
