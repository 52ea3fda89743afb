//! Polls the endpoints of this daemon for load reports.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use futures::future;
use ibishill_core::{clock, id, time};
use ibishill_decide::limiter;
use ibishill_endpoint::engine;

use crate::{context, router};

const TIMEOUT: time::Millis = time::Millis(500);

const PERIOD: Duration = Duration::from_secs(1);

/// Period while requests of a previous owner may still run at an endpoint.
const TAKEOVER_PERIOD: Duration = Duration::from_millis(100);

/// Starts the thread.
///
/// # Errors
///
/// Fails if the system can't start a thread.
pub fn spawn(context: Arc<context::Context>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("reports".into()).spawn(move || runtime.block_on(run(&context)))?;
    Ok(())
}

async fn run(context: &context::Context) {
    while !context.lifecycle.is_closed() || context.lifecycle.caller_requests() > 0 {
        let limiters = context.router.status().await;
        future::join_all(limiters.iter().map(|limiter| poll(context, limiter))).await;
        let any_unsettled = limiters.iter().any(|limiter| limiter.unsettled) || limiters.is_empty();
        tokio::time::sleep(if any_unsettled { TAKEOVER_PERIOD } else { PERIOD }).await;
    }
}

async fn poll(context: &context::Context, limiter: &router::LimiterStatus) {
    let name: &id::EndpointId = &limiter.endpoint;
    let config = context.config.get();
    let Some(endpoint) = config.declared.endpoints.get(name) else { return };
    let start = clock::boot_now();
    // Without a report, the limiter of an endpoint is left unchanged.
    let engine = engine::Engine::new(&context.endpoints, endpoint.address, TIMEOUT);
    let Ok(load) = engine.load_report().await else { return };
    let taken = time::Tick(start.0.saturating_sub(load.age_ms));
    let running = load.running.saturating_add(load.waiting);
    let report = limiter::Report { taken, running, cold: load.cold, start: load.start };
    context.router.record_report(name.clone(), report);
}
