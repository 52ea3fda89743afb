//! The callers' side of running daemons on loopback.

mod http_callers {
    pub(crate) mod again;
    pub(crate) mod bad_input;
    pub(crate) mod behind;
    pub(crate) mod chat;
    pub(crate) mod deployment;
    pub(crate) mod once;
    pub(crate) mod owner;
    pub(crate) mod raw;
    pub(crate) mod service;
}
