//! Tests of the HTTP API for callers, with running daemons on loopback.

mod http_callers {
    pub(crate) mod bad_input;
    pub(crate) mod chat;
    pub(crate) mod deployment;
    pub(crate) mod idempotency;
    pub(crate) mod owner_frames;
    pub(crate) mod raw;
    pub(crate) mod retries;
    pub(crate) mod service;
    pub(crate) mod stale_owner;
}
