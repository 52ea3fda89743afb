//! Why a call to an endpoint failed, and whether it may have run.

use ibishill_core::view;
use snafu::Snafu;

/// Failure of a call to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// The call could not be made; nothing of the request was sent.
    #[snafu(display("the endpoint could not be reached: {detail}"))]
    Unreachable {
        /// Cause of the failure.
        detail: String,
    },
    /// The response is incomplete, invalid or reports an error; the call may have run.
    #[snafu(display("no complete response from the endpoint: {detail}"))]
    Incomplete {
        /// Cause of the failure.
        detail: String,
    },
    /// The deadline passed after the call was sent; it may have run.
    #[snafu(display("the deadline passed before the response was complete"))]
    TimedOut,
    /// The response belongs to another request.
    #[snafu(display("the endpoint responded to another request: {found}"))]
    RequestIdMismatch {
        /// Request id in the response.
        found: String,
    },
    /// The engine's response contains no request id.
    #[snafu(display("the engine's response contains no request id"))]
    RequestIdMissing,
    /// The engine refused an order because it has seen a higher fencing number.
    #[snafu(display("the engine has already seen fencing number {highest}"))]
    Fenced {
        /// Highest fencing number that the engine has seen.
        highest: view::ViewNumber,
    },
}
