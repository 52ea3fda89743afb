//! The owner's decisions: gates, choice, queues.

mod choose;
mod limiter;
mod queue;
mod support;
