//! The configuration in force at one daemon; its version only rises.

use std::sync::{Arc, RwLock};

use crate::{change, declared};

/// Declarations together with their version.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    /// The version.
    pub version: change::ConfigVersion,
    /// The declarations.
    pub declared: declared::Declared,
}

/// A shared place that holds the configuration in force.
#[derive(Debug, Clone, Default)]
pub struct Cell {
    inner: Arc<RwLock<Arc<InForce>>>,
}

impl Cell {
    /// The configuration in force now.
    pub fn get(&self) -> Arc<InForce> {
        let guard = self.inner.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        Arc::clone(&guard)
    }

    /// Puts `next` in force if its version is higher; returns whether it was.
    pub fn update_if_newer(&self, next: InForce) -> bool {
        let mut guard = self.inner.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        if next.version <= guard.version {
            return false;
        }
        *guard = Arc::new(next);
        true
    }
}
