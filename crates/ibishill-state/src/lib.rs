//! Durable state in the platform: the configuration log, leases, claims of
//! non-idempotent calls, billing records and counts of refused requests.

pub mod batch;
pub mod billing;
pub mod chunk;
pub mod claim;
pub mod confirmation;
pub mod error;
pub mod holder;
pub mod lease;
pub mod log;
pub mod refusal;
pub mod replica;
pub mod snapshot;
pub mod transfer;
pub mod view;
