//! JSON messages of the control calls to engines, described in docs/ENGINE.md.

use ibishill_core::{id, view};
use serde::{Deserialize, Serialize};

/// Phases of inference that an engine runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Processing of prompts only.
    Prefill,
    /// Generation of tokens only.
    Decode,
}

/// Action of an order.
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

/// Order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender; an engine may refuse one lower than the highest it has seen.
    pub fence: view::ViewNumber,
    /// Action to take.
    pub action: Action,
}

/// Refusal of an order whose fencing number is too low; the order had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Highest fencing number that the engine has seen.
    pub highest: view::ViewNumber,
}

/// Load of an engine, as it was `age_ms` ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Age of the figures in milliseconds.
    pub age_ms: u64,
    /// Number of sequences in the batch.
    pub running: u32,
    /// Number of sequences in the engine's wait queue.
    pub waiting: u32,
    /// Whether the engine is in a cold start.
    pub cold: bool,
    /// Identity of the engine's process; absent if the engine doesn't report it.
    #[serde(default)]
    pub start: Option<u64>,
}

/// Hash of a prompt block and all blocks before it.
pub type Block = u64;

/// Change of a block in the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// Event of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, one higher for each event; a gap means that events were lost.
    pub number: u64,
    /// Change of the block.
    pub change: Change,
    /// Hash of the block.
    pub block: Block,
}

/// State of an engine that orders change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// Versions that are ready.
    pub versions: Vec<id::VersionRef>,
    /// Current role.
    pub role: Role,
}
