//! Liveness, readiness and metrics.

use rocket::http::Status;
use rocket::{State, get};

use super::Shared;

/// Liveness probe, which succeeds while the process runs.
#[get("/livez")]
pub(crate) fn live() -> &'static str {
    "live\n"
}

/// Readiness probe, which succeeds while the daemon accepts requests.
#[get("/readyz")]
pub(crate) fn ready(context: &State<Shared>) -> (Status, &'static str) {
    if context.lifecycle.is_ready() {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

/// All metrics in the Prometheus text format.
#[get("/metrics")]
pub(crate) fn metrics(context: &State<Shared>) -> String {
    let (bytes, refused) = context.memory.counts();
    let metrics = context.metrics.encode();
    format!("{metrics}ibishill_body_bytes {bytes}\nibishill_bodies_refused {refused}\n")
}
