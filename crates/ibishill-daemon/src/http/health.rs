//! Liveness, readiness and metrics.

use rocket::http::Status;
use rocket::{State, get};

use super::Shared;

/// Answers while the process runs.
#[get("/livez")]
pub(crate) fn live() -> &'static str {
    "live\n"
}

/// Answers with success while the daemon may be sent requests.
#[get("/readyz")]
pub(crate) fn ready(context: &State<Shared>) -> (Status, &'static str) {
    if context.lifecycle.is_ready() {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

/// All metrics in Prometheus text form.
#[get("/metrics")]
pub(crate) fn metrics(context: &State<Shared>) -> String {
    context.metrics.encode()
}
