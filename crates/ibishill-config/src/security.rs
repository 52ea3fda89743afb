//! Credentials in use at one daemon; a reload replaces all of them at once.

use std::sync::{Arc, PoisonError, RwLock};

use crate::settings;

/// Shared handle to the credentials; clones refer to the same credentials.
#[derive(Debug, Clone, Default)]
pub struct Cell {
    inner: Arc<RwLock<Arc<settings::Security>>>,
}

impl Cell {
    /// Creates a handle with the initial credentials.
    pub fn new(security: settings::Security) -> Self {
        Self { inner: Arc::new(RwLock::new(Arc::new(security))) }
    }

    /// Returns the current credentials.
    pub fn get(&self) -> Arc<settings::Security> {
        Arc::clone(&self.inner.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the credentials.
    pub fn set(&self, security: settings::Security) {
        *self.inner.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(security);
    }
}
