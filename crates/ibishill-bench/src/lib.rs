//! Experiments on the decisions, seeded, with baseline, figure, bound and optimum
//! side by side from one run.

pub mod experiment;
pub mod history;
pub mod model;
pub mod plot;
pub mod report;
pub mod slopes;
