//! The configuration in force at one daemon; its version never decreases.

use std::sync::{Arc, RwLock};

use crate::{change, declared};

/// Declarations and their version.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    /// Version of the configuration; 0 before the first one is known.
    pub version: change::ConfigVersion,
    /// Declarations of that version.
    pub declared: declared::Declared,
}

/// Shared handle to the configuration in force; clones refer to the same configuration.
#[derive(Debug, Clone, Default)]
pub struct Cell {
    inner: Arc<RwLock<Arc<InForce>>>,
}

impl Cell {
    /// Returns the configuration that is in force now.
    pub fn get(&self) -> Arc<InForce> {
        let guard = self.inner.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        Arc::clone(&guard)
    }

    /// Puts `next` in force if its version is higher than the current one; returns whether it
    /// was.
    pub fn update_if_newer(&self, next: InForce) -> bool {
        let mut guard = self.inner.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        if next.version <= guard.version {
            return false;
        }
        *guard = Arc::new(next);
        true
    }
}
