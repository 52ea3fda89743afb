//! The owner's decisions: gates, choice, queues.

mod choose;
mod cold;
mod queue;
mod support;
