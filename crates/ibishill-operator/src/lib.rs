//! The operator API: generated gRPC code, the client and the server.

pub mod client;
pub mod service;

/// Code generated from `proto/operator.proto` by `cargo run -p ibishill-codegen`.
#[allow(clippy::all, missing_docs, unreachable_pub)]
#[rustfmt::skip]
pub mod generated {
    include!("generated/ibishill.operator.v1.rs");
}
