//! Benchmarks of the router: seeded simulations of its decisions, fault-injection histories
//! and measurements of what a daemon costs.
//!
//! A simulation reports each figure next to its bound, its optimum and the baselines of the
//! same run.

pub mod experiment;
pub mod history;
pub mod model;
pub mod plot;
pub mod report;
pub mod slopes;
