//! Routing decisions as pure functions of state, input and the time passed in.
//!
//! Nothing here reads a clock, a socket or a file, so tests and experiments
//! run the same code as the daemon.

pub mod admit;
pub mod balance;
pub mod baseline;
pub mod canary;
pub mod cascade;
pub mod choose;
pub mod cohort;
pub mod contact;
pub mod dispatch;
pub mod division;
pub mod endpoint_key;
pub mod endpoint_limit;
pub mod escalation;
pub mod exposure;
pub mod fair_share;
pub mod forecast;
pub mod gate;
pub mod hedge;
pub mod index;
pub mod limiter;
pub mod memory;
pub mod outlier;
pub mod owner;
pub mod peers;
pub mod place;
pub mod plan;
pub mod portion;
pub mod prefix;
pub mod promise;
pub mod quarantine;
pub mod queue;
pub mod rate;
pub mod reach;
pub mod readers;
pub mod report_targets;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod session;
pub mod slot_share;
pub mod spill;
pub mod wait_queue;
pub mod zone;
