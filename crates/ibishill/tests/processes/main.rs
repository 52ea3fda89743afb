//! Tests of the whole system as separate processes on loopback.

mod deployment;
mod operators_side;
mod replacement;
mod secrets;
mod whole_path;
