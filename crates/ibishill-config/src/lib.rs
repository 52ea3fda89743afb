//! Settings of one daemon and the declarations that all daemons share.
//!
//! Settings tell a daemon its VM, zone and addresses and are read at its start; declarations
//! describe what all daemons serve and change while they run. Both are YAML documents. All
//! findings of a document are reported together, each with its line and column.

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
