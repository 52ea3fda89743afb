//! Decisions of the relay, each played against the load that it answers.

mod balance;
mod canary;
mod line;
mod peers;
mod readers;
mod retry;
mod routing;
mod sizing;
