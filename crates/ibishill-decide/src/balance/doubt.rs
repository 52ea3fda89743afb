//! Doubts whether an endpoint is still the process that is registered, and how they end.

use std::fmt;

use ibishill_core::{id, time};

/// What has raised a doubt, or ended it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The endpoint refused a connection.
    Refused,
    /// It was reached again.
    Reached,
    /// It answers peers, so that the path from this daemon is taken for broken.
    OutOfReach,
    /// Its registration was removed.
    Removed,
    /// A registration of another start has come.
    Replaced,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "refused",
            Self::Reached => "reached",
            Self::OutOfReach => "out of reach",
            Self::Removed => "removed",
            Self::Replaced => "replaced",
        })
    }
}

/// A doubt that was raised or has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The endpoint.
    pub endpoint: id::EndpointId,
    /// Whether it is in doubt from now on.
    pub is_doubted: bool,
    /// Why.
    pub cause: Cause,
    /// Until when it counts as cold, beside the doubt.
    pub cold_until: time::Tick,
}
