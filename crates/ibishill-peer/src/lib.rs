//! Link between daemons: one QUIC stream with typed frames per request or query.

pub mod error;
pub mod frame;
pub mod link;
pub mod server;
pub mod tls;
