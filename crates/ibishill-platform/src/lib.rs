//! Clients of the platform's services: transactional tables, an object store,
//! the VM list, the weight store and the rating service.
//!
//! Each client is a struct of closures, so that tests can substitute an in-memory
//! implementation for HTTP. docs/PLATFORM.md describes the calls.
//!
//! This is the platform that `ibishill-daemon` runs on. The users' platform, which
//! `ibishill-relay` runs on, is another: `ibishill-adapter` translates its formats.

pub mod budget;
pub mod failure;
pub mod http;
pub mod object;
pub mod rating;
pub mod table;
pub mod vm;
pub mod weight;

/// Clients of all platform services that a daemon uses.
#[derive(Clone)]
pub struct Platform {
    /// Transactional tables.
    pub table: table::Table,
    /// Create-only objects.
    pub objects: object::Objects,
    /// Lagging list of live and leaving VMs.
    pub vms: vm::Vms,
    /// Rates the quality of answers.
    pub ratings: rating::Ratings,
    /// Limits the rate at which engines load weights.
    pub weights: weight::Weights,
}
