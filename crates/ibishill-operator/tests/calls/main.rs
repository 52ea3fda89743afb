//! Operators' calls against a log in memory.

mod orders;
mod rights;
mod setup;
