//! Why a call to an endpoint failed, and whether it may have run.

use snafu::Snafu;

/// A failed call.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// No connection: no byte of the request has left.
    #[snafu(display("the endpoint could not be reached: {detail}"))]
    Unreachable {
        /// What was seen.
        detail: String,
    },
    /// The call may have run.
    #[snafu(display("the endpoint gave no whole answer: {detail}"))]
    Cut {
        /// What was seen.
        detail: String,
    },
    /// The answer belongs to another request.
    #[snafu(display("the endpoint answered for request {found}"))]
    Crossed {
        /// The request that the answer names.
        found: String,
    },
}
