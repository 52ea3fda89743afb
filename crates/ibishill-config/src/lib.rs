//! Settings of one daemon and the declarations that all daemons share.
//!
//! Settings say where a daemon stands and listens; declarations say what it
//! serves and change while it runs. Both are YAML; every finding is reported
//! with its place.

pub mod change;
pub mod check;
pub mod declared;
pub mod describe;
pub mod document;
pub mod finding;
pub mod in_force;
pub mod key;
mod schema;
pub mod security;
pub mod settings;
mod shape;
mod tree;
pub mod yaml;
