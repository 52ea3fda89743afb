//! Client of endpoints: model engines and plain services, over HTTP.

pub mod call;
pub mod client;
pub mod failure;
pub mod load;
pub mod sse;
