//! The bound on requests that a router thread holds, and with it on its progress ring.
//!
//! Each held request may send a fixed number of messages, and counts as held until the
//! last one was taken; so a ring with room for all of them is never full.

/// Messages that one permit sends at most: the first token and the end.
const MESSAGES_MAX: usize = 2;

/// Counts the requests that were admitted and whose end was not seen yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limit {
    most: usize,
    admitted: usize,
}

impl Limit {
    /// Makes the count of a router that holds at most `most` requests.
    pub fn new(most: usize) -> Self {
        Self { most, admitted: 0 }
    }

    /// Slots that the progress ring needs.
    pub fn ring_slots(&self) -> usize {
        self.most * MESSAGES_MAX
    }

    /// Whether one more request may be held besides those that wait.
    pub fn has_capacity(&self, waiting: usize) -> bool {
        self.admitted + waiting < self.most
    }

    /// Counts a permit.
    pub fn admit(&mut self) {
        self.admitted += 1;
    }

    /// Counts the end of a permit.
    pub fn release(&mut self) {
        self.admitted -= 1;
    }

    /// Permits whose end was not seen yet.
    pub fn admitted(&self) -> usize {
        self.admitted
    }
}

/// Which messages a permit has sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sent {
    first: bool,
}

impl Sent {
    /// Notes the first token; returns whether it has to be told.
    pub fn record_first_token(&mut self) -> bool {
        !std::mem::replace(&mut self.first, true)
    }
}
