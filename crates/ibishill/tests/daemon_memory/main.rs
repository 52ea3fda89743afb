//! Tests of a daemon's memory with hundreds of connections, apart from those of `processes`, which need processor time.

#![allow(dead_code, reason = "modules of `processes` are used in part")]

mod bodies;
#[path = "../processes/deployment.rs"]
mod deployment;
