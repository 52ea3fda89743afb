//! Small stand-ins of the platform and of model engines, for tests, experiments
//! and `ibishill try`.

pub mod engine;
pub mod memory;
pub mod platform;
pub mod port;
pub mod weight;
