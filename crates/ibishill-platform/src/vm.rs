//! The platform's lagging list of live and leaving VMs.

use std::sync::Arc;

use futures::future::BoxFuture;
use ibishill_core::id;
use serde::{Deserialize, Serialize};

use crate::failure;

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: id::VmId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Whether it is leaving.
    pub leaving: bool,
}

type Call = Arc<dyn Fn() -> BoxFuture<'static, Result<Vec<Vm>, failure::Failure>> + Send + Sync>;

/// The VM list.
#[derive(Clone)]
pub struct Vms {
    list: Call,
}

impl Vms {
    /// Makes a VM list of a closure.
    pub fn new<L>(list: L) -> Self
    where
        L: Fn() -> BoxFuture<'static, Result<Vec<Vm>, failure::Failure>> + Send + Sync + 'static,
    {
        Self { list: Arc::new(list) }
    }

    /// Lists the VMs; entries lag behind the truth.
    ///
    /// # Errors
    ///
    /// Any failure means that nothing was learnt.
    pub async fn list(&self) -> Result<Vec<Vm>, failure::Failure> {
        (self.list)().await
    }
}
