//! The platform's list of live and leaving VMs, which lags behind their actual state.

use std::sync::Arc;

use futures::future::BoxFuture;
use ibishill_core::id;
use serde::{Deserialize, Serialize};

use crate::failure;

/// A VM as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: id::VmId,
    /// Availability zone of the VM.
    pub zone: id::ZoneId,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

type Call = Arc<dyn Fn() -> BoxFuture<'static, Result<Vec<Vm>, failure::Failure>> + Send + Sync>;

/// Client of the VM list.
#[derive(Clone)]
pub struct Vms {
    list: Call,
}

impl Vms {
    /// Creates a client from a closure.
    pub fn new<L>(list: L) -> Self
    where
        L: Fn() -> BoxFuture<'static, Result<Vec<Vm>, failure::Failure>> + Send + Sync + 'static,
    {
        Self { list: Arc::new(list) }
    }

    /// Returns the listed VMs. The list may be stale.
    ///
    /// # Errors
    ///
    /// Returns the platform's failure; there is no partial result.
    pub async fn list(&self) -> Result<Vec<Vm>, failure::Failure> {
        (self.list)().await
    }
}
