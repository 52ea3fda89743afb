//! Stand-ins for the platform and for model engines, used by tests, experiments and
//! `ibishill try`.

pub mod engine;
pub mod memory;
pub mod platform;
pub mod port;
pub mod weight;
