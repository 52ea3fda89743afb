//! Cost of the request path: what daemons add compared with a direct connection to the engine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures::StreamExt;

use super::{deployment, engine, process};
use crate::report;

/// Tokens of each response.
const TOKENS: u64 = 20;

/// Concurrent streams and the number of requests measured at each.
const LOADS: [(usize, usize); 3] = [(1, 40), (100, 2_000), (1_000, 3_000)];

/// Time between tokens from the engine.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);

/// Time to the first token from the engine.
const FIRST_TOKEN: Duration = Duration::from_millis(5);

const OPEN_STREAMS: usize = 1_000;

/// Sends requests for one model to one address.
#[derive(Clone)]
struct Client {
    http: reqwest::Client,
    url: String,
    model: &'static str,
}

impl Client {
    fn new(address: SocketAddr, model: &'static str) -> Result<Self, String> {
        let http = reqwest::Client::builder().no_proxy().build().map_err(|e| e.to_string())?;
        Ok(Self { http, url: format!("http://{address}/v1/chat/completions"), model })
    }

    async fn send(&self) -> Result<reqwest::Response, String> {
        let body = format!(
            r#"{{"model":"{}","stream":true,"messages":[{{"role":"user","content":"hail dings"}}]}}"#,
            self.model
        );
        let request = self.http.post(&self.url).bearer_auth(deployment::BEARER_TOKEN);
        let request_id = format!("slopes-{:016x}", rand::random::<u64>());
        let request = request.header("x-request-id", request_id).body(body);
        let response = request.send().await.map_err(|error| format!("{error:?}"))?;
        if !response.status().is_success() {
            return Err(format!("status {} from {}", response.status(), self.url));
        }
        Ok(response)
    }

    async fn time_request(&self) -> Result<Timing, String> {
        let start = Instant::now();
        let mut events = self.send().await?.bytes_stream().eventsource();
        let mut timing = Timing::default();
        let mut last = start;
        while let Some(event) = events.next().await {
            // The end marker is not a token.
            if event.map_err(|error| error.to_string())?.data == "[DONE]" {
                break;
            }
            let now = Instant::now();
            if timing.first_ms == 0.0 {
                timing.first_ms = to_ms(now - start);
            } else {
                timing.gaps_ms.push(to_ms(now - last));
            }
            last = now;
        }
        Ok(timing)
    }
}

fn to_ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

#[derive(Debug, Default)]
struct Timing {
    first_ms: f64,
    gaps_ms: Vec<f64>,
}

/// Results of many requests of one client.
struct Batch {
    first_ms: Vec<f64>,
    gaps_ms: Vec<f64>,
    cpu: Duration,
    failed: usize,
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let index = (sorted.len().saturating_sub(1) as f64 * q).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

async fn run_batch(client: &Client, streams: usize, requests: usize) -> Result<Batch, String> {
    let before = process::cpu_time();
    let timings: Vec<_> = futures::stream::iter(0..requests)
        .map(|_| client.time_request())
        .buffer_unordered(streams)
        .collect()
        .await;
    let cpu = process::cpu_time().saturating_sub(before);
    let mut batch = Batch { first_ms: Vec::new(), gaps_ms: Vec::new(), cpu, failed: 0 };
    for timing in timings {
        let Ok(timing) = timing else {
            batch.failed += 1;
            continue;
        };
        batch.first_ms.push(timing.first_ms);
        batch.gaps_ms.extend(timing.gaps_ms);
    }
    if batch.first_ms.is_empty() {
        return Err(format!("no request to {} succeeded", client.url));
    }
    batch.first_ms.sort_by(f64::total_cmp);
    batch.gaps_ms.sort_by(f64::total_cmp);
    Ok(batch)
}

/// Measures the request path at several loads.
///
/// # Errors
///
/// Returns an error if a daemon fails to start or no request of a batch succeeds.
pub async fn measure() -> Result<Vec<report::Figure>, String> {
    let pace = engine::Pace {
        first_token: FIRST_TOKEN,
        token_interval: TOKEN_INTERVAL,
        token_count: TOKENS,
    };
    let site = |vm: &str, zone: &str| deployment::Site { vm: vm.into(), zone: zone.into() };
    let sites = [site("vm-a1", "zone-a"), site("vm-b1", "zone-b")];
    let deployment = deployment::Deployment::start(&sites, pace).await?;
    let callers = deployment.daemons[0].context.settings.callers;
    let direct_client = Client::new(deployment.local_engine, deployment::LOCAL_VERSION)?;
    let local = Client::new(callers, deployment::LOCAL_VERSION)?;
    let remote = Client::new(callers, deployment::REMOTE_VERSION)?;
    let mut figures = vec![memory_figure(&local).await?];
    run_batch(&direct_client, 10, 50).await?;
    run_batch(&local, 10, 50).await?;
    run_batch(&remote, 10, 50).await?;
    for (streams, requests) in LOADS {
        let direct = run_batch(&direct_client, streams, requests).await?;
        let one_hop = run_batch(&local, streams, requests).await?;
        let two_hops = run_batch(&remote, streams, requests).await?;
        figures.extend(compare("through a daemon", streams, &direct, &one_hop));
        figures.extend(compare("through two daemons", streams, &direct, &two_hops));
        let failed = direct.failed + one_hop.failed + two_hops.failed;
        let title = format!("requests without an answer, {streams} streams");
        figures.push(report::Figure::new(title, "requests", failed as f64));
        figures.push(cpu_figure("through a daemon", streams, requests, &direct, &one_hop));
        figures.push(cpu_figure("through two daemons", streams, requests, &direct, &two_hops));
    }
    deployment.stop().await;
    Ok(figures)
}

fn compare(name: &str, streams: usize, direct: &Batch, routed: &Batch) -> Vec<report::Figure> {
    let mut figures = Vec::new();
    for (label, q) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let (base, value) = (quantile(&direct.first_ms, q), quantile(&routed.first_ms, q));
        let title = format!("first byte {name}, {streams} streams, {label}: added");
        figures.push(
            report::Figure::new(title, "ms", value - base)
                .baseline("straight", base)
                .baseline("ratio", value / base.max(f64::MIN_POSITIVE)),
        );
        let (base, value) = (quantile(&direct.gaps_ms, q), quantile(&routed.gaps_ms, q));
        let title = format!("between tokens {name}, {streams} streams, {label}: added");
        figures.push(report::Figure::new(title, "ms", value - base).baseline("straight", base));
    }
    figures
}

fn cpu_figure(
    name: &str,
    streams: usize,
    requests: usize,
    direct: &Batch,
    routed: &Batch,
) -> report::Figure {
    let added = routed.cpu.saturating_sub(direct.cpu).as_secs_f64();
    let added_us = added * 1e6 / requests as f64;
    let title = format!("processor time {name}, {streams} streams, {TOKENS} tokens: added");
    let tokens = (requests as u64 * TOKENS) as f64;
    report::Figure::new(title, "us/request", added_us)
        .baseline("requests/s per core", requests as f64 / added.max(f64::MIN_POSITIVE))
        .baseline("tokens/s per core", tokens / added.max(f64::MIN_POSITIVE))
}

async fn memory_per_stream_kib(client: &Client) -> Result<f64, String> {
    let before = process::resident_bytes();
    let opened: Vec<_> = futures::future::join_all((0..OPEN_STREAMS).map(|_| client.send())).await;
    let responses = opened.into_iter().collect::<Result<Vec<_>, _>>()?;
    let after = process::resident_bytes();
    drop(responses);
    tokio::time::sleep(Duration::from_millis(500)).await;
    Ok(after.saturating_sub(before) as f64 / OPEN_STREAMS as f64 / 1_024.0)
}

// The caller and the engine run in this process too, so this is an upper bound.
async fn memory_figure(local: &Client) -> Result<report::Figure, String> {
    let kib = memory_per_stream_kib(local).await?;
    Ok(report::Figure::new("memory per open stream, with caller and engine", "KiB", kib))
}
