//! Tests of the whole system as separate processes on loopback.

mod deployment;
mod end_to_end;
mod operator_commands;
mod replacement;
mod secrets;
