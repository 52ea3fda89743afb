//! The credentials in force at one daemon; a reload replaces them as a whole.

use std::sync::{Arc, PoisonError, RwLock};

use crate::settings;

/// A shared place that holds credentials.
#[derive(Debug, Clone, Default)]
pub struct Cell {
    inner: Arc<RwLock<Arc<settings::Security>>>,
}

impl Cell {
    /// Makes the place with its first credentials.
    pub fn new(security: settings::Security) -> Self {
        Self { inner: Arc::new(RwLock::new(Arc::new(security))) }
    }

    /// The credentials now.
    pub fn get(&self) -> Arc<settings::Security> {
        Arc::clone(&self.inner.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the credentials.
    pub fn set(&self, security: settings::Security) {
        *self.inner.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(security);
    }
}
