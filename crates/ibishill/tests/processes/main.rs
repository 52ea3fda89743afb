//! Tests of the whole system as separate processes on loopback.

mod deployment;
mod whole_path;
