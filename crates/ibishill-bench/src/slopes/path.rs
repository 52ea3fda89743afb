//! The request path: what a daemon adds against going straight to the engine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures::StreamExt;

use super::{deployment, process, source};
use crate::report;

/// Tokens of each answer.
const TOKENS: u64 = 20;

/// Open streams at once, with requests measured at each.
const LOADS: [(usize, usize); 3] = [(1, 40), (100, 2_000), (1_000, 3_000)];

/// Time between tokens of the engine.
const TOKEN: Duration = Duration::from_millis(20);

/// Time to the first token.
const FIRST: Duration = Duration::from_millis(5);

const HELD_STREAMS: usize = 1_000;

/// Where requests go.
#[derive(Clone)]
struct Way {
    http: reqwest::Client,
    url: String,
    model: &'static str,
}

impl Way {
    fn new(address: SocketAddr, model: &'static str) -> Result<Self, String> {
        let http = reqwest::Client::builder().no_proxy().build().map_err(|e| e.to_string())?;
        Ok(Self { http, url: format!("http://{address}/v1/chat/completions"), model })
    }

    async fn send(&self) -> Result<reqwest::Response, String> {
        let body = format!(
            r#"{{"model":"{}","stream":true,"messages":[{{"role":"user","content":"hail dings"}}]}}"#,
            self.model
        );
        let request = self.http.post(&self.url).bearer_auth(deployment::BEARER);
        let name = format!("slopes-{:016x}", rand::random::<u64>());
        let request = request.header("x-request-id", name).body(body);
        let answer = request.send().await.map_err(|error| format!("{error:?}"))?;
        if !answer.status().is_success() {
            return Err(format!("status {} of {}", answer.status(), self.url));
        }
        Ok(answer)
    }

    async fn time(&self) -> Result<Timing, String> {
        let start = Instant::now();
        let mut events = self.send().await?.bytes_stream().eventsource();
        let mut timing = Timing::default();
        let mut last = start;
        while let Some(event) = events.next().await {
            // The end marker has no pace.
            if event.map_err(|error| error.to_string())?.data == "[DONE]" {
                break;
            }
            let now = Instant::now();
            if timing.first_ms == 0.0 {
                timing.first_ms = millis(now - start);
            } else {
                timing.gaps_ms.push(millis(now - last));
            }
            last = now;
        }
        Ok(timing)
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

#[derive(Debug, Default)]
struct Timing {
    first_ms: f64,
    gaps_ms: Vec<f64>,
}

/// What many requests over one way came to.
struct Batch {
    first: Vec<f64>,
    gaps: Vec<f64>,
    cpu: Duration,
    failed: usize,
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

async fn batch(way: &Way, streams: usize, requests: usize) -> Result<Batch, String> {
    let before = process::cpu();
    let timings: Vec<_> = futures::stream::iter(0..requests)
        .map(|_| way.time())
        .buffer_unordered(streams)
        .collect()
        .await;
    let cpu = process::cpu().saturating_sub(before);
    let mut batch = Batch { first: Vec::new(), gaps: Vec::new(), cpu, failed: 0 };
    for timing in timings {
        let Ok(timing) = timing else {
            batch.failed += 1;
            continue;
        };
        batch.first.push(timing.first_ms);
        batch.gaps.extend(timing.gaps_ms);
    }
    if batch.first.is_empty() {
        return Err(format!("{} answered no request", way.url));
    }
    batch.first.sort_by(f64::total_cmp);
    batch.gaps.sort_by(f64::total_cmp);
    Ok(batch)
}

/// Measures the path at several loads.
///
/// # Errors
///
/// Names what did not answer.
pub async fn measure() -> Result<Vec<report::Figure>, String> {
    let pace = source::Pace { first: FIRST, token: TOKEN, tokens: TOKENS };
    let site = |vm: &str, zone: &str| deployment::Site { vm: vm.into(), zone: zone.into() };
    let sites = [site("vm-a1", "zone-a"), site("vm-b1", "zone-b")];
    let deployment = deployment::Deployment::start(&sites, pace).await?;
    let callers = deployment.daemons[0].context.settings.callers;
    let straight = Way::new(deployment.near, deployment::NEAR)?;
    let near = Way::new(callers, deployment::NEAR)?;
    let far = Way::new(callers, deployment::FAR)?;
    let mut figures = vec![memory_figure(&near).await?];
    batch(&straight, 10, 50).await?;
    batch(&near, 10, 50).await?;
    batch(&far, 10, 50).await?;
    for (streams, requests) in LOADS {
        let direct = batch(&straight, streams, requests).await?;
        let through = batch(&near, streams, requests).await?;
        let hop = batch(&far, streams, requests).await?;
        figures.extend(compare("through a daemon", streams, &direct, &through));
        figures.extend(compare("through two daemons", streams, &direct, &hop));
        let failed = direct.failed + through.failed + hop.failed;
        let title = format!("requests without an answer, {streams} streams");
        figures.push(report::Figure::new(title, "requests", failed as f64));
        figures.push(cpu_figure("through a daemon", streams, requests, &direct, &through));
        figures.push(cpu_figure("through two daemons", streams, requests, &direct, &hop));
    }
    deployment.stop().await;
    Ok(figures)
}

fn compare(name: &str, streams: usize, direct: &Batch, ours: &Batch) -> Vec<report::Figure> {
    let mut figures = Vec::new();
    for (label, share) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let (base, value) = (quantile(&direct.first, share), quantile(&ours.first, share));
        let title = format!("first byte {name}, {streams} streams, {label}: added");
        figures.push(
            report::Figure::new(title, "ms", value - base)
                .baseline("straight", base)
                .baseline("ratio", value / base.max(f64::MIN_POSITIVE)),
        );
        let (base, value) = (quantile(&direct.gaps, share), quantile(&ours.gaps, share));
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
    ours: &Batch,
) -> report::Figure {
    let added = ours.cpu.saturating_sub(direct.cpu).as_secs_f64();
    let each = added * 1e6 / requests as f64;
    let title = format!("processor time {name}, {streams} streams, {TOKENS} tokens: added");
    let tokens = (requests as u64 * TOKENS) as f64;
    report::Figure::new(title, "us/request", each)
        .baseline("requests/s per core", requests as f64 / added.max(f64::MIN_POSITIVE))
        .baseline("tokens/s per core", tokens / added.max(f64::MIN_POSITIVE))
}

async fn held(way: &Way) -> Result<f64, String> {
    let before = process::resident();
    let opened: Vec<_> = futures::future::join_all((0..HELD_STREAMS).map(|_| way.send())).await;
    let answers = opened.into_iter().collect::<Result<Vec<_>, _>>()?;
    let after = process::resident();
    drop(answers);
    tokio::time::sleep(Duration::from_millis(500)).await;
    Ok(after.saturating_sub(before) as f64 / HELD_STREAMS as f64 / 1_024.0)
}

// The caller's and the engine's side stand in this process too, so this is an upper limit.
async fn memory_figure(near: &Way) -> Result<report::Figure, String> {
    let each = held(near).await?;
    Ok(report::Figure::new("memory per open stream, with caller and engine", "KiB", each))
}
