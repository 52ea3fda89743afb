//! What engines and this client exchange beside generations; docs/ENGINE.md is the
//! description.

use ibishill_core::{id, view};
use serde::{Deserialize, Serialize};

/// What an engine is used for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts and generation.
    #[default]
    Both,
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
}

/// What is ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads a version.
    Load(id::VersionRef),
    /// Unloads a version.
    Unload(id::VersionRef),
    /// Changes the role.
    Role(Role),
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of whoever orders.
    pub fence: view::ViewNumber,
    /// What is ordered.
    pub action: Action,
}

/// An order with an old fencing number; nothing was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The highest number seen.
    pub highest: view::ViewNumber,
}

/// What an engine tells of its load, as of a while ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Age of the figures in milliseconds.
    pub age_ms: u64,
    /// Sequences in the batch.
    pub running: u32,
    /// Sequences that wait.
    pub waiting: u32,
    /// Whether the engine is in a cold start.
    pub cold: bool,
    /// Identity of the engine's process, if it tells.
    #[serde(default)]
    pub start: Option<u64>,
}

/// Hash of a block of a prompt together with all blocks before it.
pub type Block = u64;

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The block is in the cache.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// A published cache event; a gap in the numbers is an event that was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number, rising by one for every change.
    pub number: u64,
    /// What happened.
    pub change: Change,
    /// The block.
    pub block: Block,
}

/// What orders have made of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// Versions that are ready.
    pub versions: Vec<id::VersionRef>,
    /// The role.
    pub role: Role,
}
