//! Why a call to the platform failed, and whether it may have taken effect.

use snafu::Snafu;

use crate::table;

/// A failed call.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Failure {
    /// The call did not take effect.
    #[snafu(display("the platform did not do it: {detail}"))]
    NotApplied {
        /// What was seen.
        detail: String,
    },
    /// The call may have taken effect: no answer came back.
    #[snafu(display("no answer from the platform: {detail}"))]
    Unknown {
        /// What was seen.
        detail: String,
    },
    /// A check of the transaction failed, so that it did not take effect.
    #[snafu(display("{} row(s) changed meanwhile", rows.len()))]
    Conflict {
        /// The rows whose revision differs, as they are now.
        rows: Vec<table::Row>,
    },
}
