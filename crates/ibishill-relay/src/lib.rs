//! The daemon on the users' platform: it takes callers' requests and sends each straight to
//! an endpoint, by what the platform's store and its peers tell.
//!
//! One thread runs all tasks, so the state needs no locks and memory stays small.

pub mod error;
pub mod start;

mod attempt;
mod body;
mod context;
mod feed;
mod gossip;
mod handler;
mod load_reports;
mod local_reply;
mod log_writer;
mod metrics;
mod rollout;
mod selection;
mod serve;
mod state;
mod stream;
mod upstream;
