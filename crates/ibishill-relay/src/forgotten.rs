//! Counts prompts that are forgotten while their endpoints' ends could still count against them, because as many are
//! remembered as the VM's memory allows.

use std::cell::Cell;

use ibishill_core::{event, time};

/// Least time between two log lines, each of which tells of all prompts so far.
const LOG_INTERVAL: time::Millis = time::Millis(1_000);

/// Prompts that were forgotten early.
#[derive(Default)]
pub(crate) struct Forgotten {
    /// Number since the start.
    pub(crate) count: Cell<u64>,
    logged: Cell<time::Tick>,
}

impl Forgotten {
    /// Counts a prompt.
    pub(crate) fn record(&self, now: time::Tick) {
        self.count.set(self.count.get() + 1);
        if now.since(self.logged.get()) >= LOG_INTERVAL {
            self.logged.set(now);
            let count = self.count.get();
            event::emit_json(event::Event::PromptsForgotten, &[event::field("count", &count)]);
        }
    }
}
