//! Calls of the operator API against an in-memory platform.

mod changes;
mod rights;
mod setup;
