//! Decisions of an owner: concurrency limits, choice of endpoints, queues.

mod choose;
mod limiter;
mod queue;
mod support;
