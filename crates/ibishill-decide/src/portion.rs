//! Number of chunks to request at once from a peer, so that a request ends within its timeout on
//! any link.

/// Maximum number of chunks in a request: 64 KiB on average.
pub const CHUNKS_MAX: usize = 16;

/// Number of chunks to request at once: doubles with each success and halves with each failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Portion(usize);

impl Default for Portion {
    fn default() -> Self {
        Self(CHUNKS_MAX)
    }
}

impl Portion {
    /// Number of chunks, at least one.
    pub const fn chunks(self) -> usize {
        self.0
    }

    /// Records a request that ended in time.
    pub fn record_success(&mut self) {
        self.0 = (self.0 * 2).min(CHUNKS_MAX);
    }

    /// Records a request that failed.
    pub fn record_failure(&mut self) {
        self.0 = (self.0 / 2).max(1);
    }
}
