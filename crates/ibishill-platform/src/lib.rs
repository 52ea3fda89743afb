//! Client of the platform's service: a transactional table, an object store,
//! the list of VMs, the weight store and the rating service.
//!
//! Each part is a plain struct of closures, so that tests put an in-memory
//! stand-in where production puts HTTP. docs/PLATFORM.md describes the calls.

pub mod budget;
pub mod failure;
pub mod http;
pub mod object;
pub mod rating;
pub mod table;
pub mod vm;
pub mod weight;

/// All parts of the platform that a daemon uses.
#[derive(Clone)]
pub struct Platform {
    /// The transactional table service.
    pub table: table::Table,
    /// The object store.
    pub objects: object::Objects,
    /// The list of live and leaving VMs.
    pub vms: vm::Vms,
    /// The rating service.
    pub ratings: rating::Ratings,
    /// The weight store.
    pub weights: weight::Weights,
}
