//! HTTP client for endpoints: model engines and plain services.

pub mod call;
pub mod client;
pub mod engine;
pub mod failure;
pub mod sse;
pub mod wire;
