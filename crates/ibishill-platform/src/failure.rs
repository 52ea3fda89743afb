//! Failures of platform calls, by whether the call may have taken effect.

use snafu::Snafu;

use crate::table;

/// A failed platform call.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Failure {
    /// The call did not take effect.
    #[snafu(display("the platform did not execute the call: {detail}"))]
    NotApplied {
        /// Cause, such as the HTTP status or the transport error.
        detail: String,
    },
    /// The call may have taken effect: its answer was not received or not understood.
    #[snafu(display("the outcome of the platform call is unknown: {detail}"))]
    Unknown {
        /// Cause, such as the HTTP status or the transport error.
        detail: String,
    },
    /// A check of the transaction failed; none of its writes took effect.
    #[snafu(display("{} row(s) were changed by another transaction", rows.len()))]
    Conflict {
        /// The current state of the rows whose revision differs.
        rows: Vec<table::Row>,
    },
}
