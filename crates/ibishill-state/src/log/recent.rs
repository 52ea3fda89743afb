//! In-memory window of the newest changes, from which lagging peers are served.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ibishill_config::change;

const CAPACITY: usize = 256;

/// A window of consecutive changes; clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct Recent {
    changes: Arc<Mutex<VecDeque<change::Change>>>,
}

impl Recent {
    fn lock(&self) -> MutexGuard<'_, VecDeque<change::Change>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a change. A change already in the window is ignored; a change after a gap
    /// starts a new window.
    pub(super) fn push(&self, change: change::Change) {
        let mut changes = self.lock();
        match changes.back().map(|last| last.version.next()) {
            Some(next) if change.version < next => return,
            Some(next) if change.version > next => changes.clear(),
            _ => {}
        }
        if changes.len() == CAPACITY {
            changes.pop_front();
        }
        changes.push_back(change);
    }

    /// Returns the changes after `version`, or `None` if the next one is not in the window.
    pub(super) fn after(&self, version: change::ConfigVersion) -> Option<Vec<change::Change>> {
        let changes = self.lock();
        let later: Vec<_> =
            changes.iter().filter(|change| change.version > version).cloned().collect();
        later.first().is_some_and(|change| change.version == version.next()).then_some(later)
    }
}
