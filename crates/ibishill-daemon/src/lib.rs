//! The daemon: one thread per task, connected by bounded channels.
//!
//! Callers connect to [`http`]; [`entry`] plans a request and forwards it to the owner, whose
//! [`run`] admits and dispatches it. The [`router`] thread is the sole owner of the admission
//! state. [`config_sync`], [`membership`] and [`ledger`] keep the state that daemons share.

pub mod claims;
pub mod config_sync;
pub mod context;
pub mod entry;
pub mod error;
pub mod heartbeat;
pub mod http;
pub mod lease_clock;
pub mod ledger;
pub mod membership;
mod memory;
pub mod metrics;
pub mod operators;
pub mod orders;
pub mod ratings;
pub mod reload;
pub mod reports;
pub mod rollouts;
pub mod router;
pub mod run;
pub mod start;
