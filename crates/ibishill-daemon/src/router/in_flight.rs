//! Limit on the requests in flight at a router thread, which also bounds its progress channel.
//!
//! Each permit sends at most a fixed number of messages and counts as in flight until the
//! last one is received, so a channel that has slots for all of them is never full.

/// Largest number of messages of one permit: the first token and the end.
const MESSAGES_PER_PERMIT: usize = 2;

/// Counts admitted requests whose end has not been received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limit {
    max: usize,
    admitted: usize,
}

impl Limit {
    /// Creates the limit of a router that admits and queues at most `max` requests.
    pub fn new(max: usize) -> Self {
        Self { max, admitted: 0 }
    }

    /// Number of slots that the progress channel needs.
    pub fn channel_slots(&self) -> usize {
        self.max * MESSAGES_PER_PERMIT
    }

    /// Whether one more request fits besides the `waiting` ones in the queue.
    pub fn has_capacity(&self, waiting: usize) -> bool {
        self.admitted + waiting < self.max
    }

    /// Counts a new permit.
    pub fn admit(&mut self) {
        self.admitted += 1;
    }

    /// Releases a permit whose end was received.
    pub fn release(&mut self) {
        self.admitted -= 1;
    }

    /// Number of permits whose end has not been received.
    pub fn admitted(&self) -> usize {
        self.admitted
    }
}

/// Messages that a permit has already sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sent {
    first_token: bool,
}

impl Sent {
    /// Records the first token; returns whether its message is still to be sent.
    pub fn record_first_token(&mut self) -> bool {
        !std::mem::replace(&mut self.first_token, true)
    }
}
