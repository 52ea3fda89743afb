//! What a request says of its place among others and of its prompt.

use serde::{Deserialize, Serialize};

/// Which requests of one workspace go first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Before all others of its workspace.
    High,
    /// As most are.
    #[default]
    Normal,
    /// After all others of its workspace.
    Low,
}

/// Hash of the start of a request's messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixKey(pub u64);
