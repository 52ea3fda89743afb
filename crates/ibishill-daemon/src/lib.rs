//! The daemon: a thread for each duty, joined by bounded rings.
//!
//! Callers arrive at [`http`], [`entry`] plans and hands over, the owner's
//! [`run`] admits and dispatches. The [`router`] thread alone owns the state of
//! admission; [`config_sync`], [`membership`] and [`ledger`] keep what is shared.

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
