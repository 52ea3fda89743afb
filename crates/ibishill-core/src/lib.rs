//! Identifiers, units, request outcomes, clocks and numbered log events shared by the other
//! crates of the workspace.
//!
//! # Examples
//!
//! ```
//! use ibishill_core::{id, outcome};
//!
//! let version: id::VersionRef = "assistente@v2".parse().unwrap();
//! assert_eq!(version.to_string(), "assistente@v2");
//! assert_eq!(outcome::Outcome::NotRun.to_string(), "not-run");
//! ```

pub mod call;
pub mod capacity;
pub mod clock;
pub mod cost;
pub mod event;
pub mod fleet;
pub mod header;
pub mod id;
pub mod link;
pub mod outcome;
pub mod prefix;
pub mod priority;
pub mod repeat;
pub mod request_rate;
pub mod route;
pub mod secret;
pub mod store_version;
pub mod terms;
pub mod time;
pub mod view;
