//! The link between daemons: one QUIC stream per request, typed frames on it.

pub mod error;
pub mod frame;
pub mod link;
pub mod server;
pub mod tls;
