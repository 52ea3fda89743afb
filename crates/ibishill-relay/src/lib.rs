//! Relay daemon for the users' platform: accepts callers' requests and forwards each directly
//! to an endpoint, based on the platform's store and on gossip with its peers.
//!
//! All tasks run on one thread, so the shared state needs no locks and memory use stays small.

pub mod error;
pub mod start;

mod abort;
mod answer;
mod attempt;
mod body;
mod chunks;
mod cold_check;
mod connection_end;
mod connections;
mod context;
mod continuation;
mod control;
mod datagrams;
mod earlier_rows;
mod early_end;
mod event_sequence;
mod fairness;
mod feed;
mod forgotten;
mod gossip;
mod handler;
mod head_limit;
mod head_timer;
mod hop;
mod isolation;
mod load_reports;
mod local_reply;
mod log_writer;
mod memory;
mod message;
mod metrics;
mod packet;
mod peer_formats;
mod peer_log;
mod quarantine_rows;
mod request;
mod request_key;
mod restored;
mod retry_budget;
mod rollout;
mod rollout_log;
mod selection;
mod serve;
mod starts;
mod state;
mod store_answer;
mod store_row;
mod stream;
mod told;
mod unread;
mod upload;
mod upstream;
mod wire;
