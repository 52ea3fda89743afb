//! Counters and histograms, exported in Prometheus text format. Labels have low cardinality, so
//! memory use does not grow with traffic.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use ibishill_core::{event, fleet, time};
use ibishill_decide::{canary, forecast};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use tokio::net::TcpListener;
use tokio::time as clock;

use crate::context::Shared;
use crate::error::RelayError;
use crate::state::Table;

/// Upper bounds of the histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.75, 1.5, 3.0, 6.0, 12.0, 25.0];

/// Timeout of a scrape, and the delay after a failed accept.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(2);

/// Metric instruments of a relay.
pub(crate) struct Metrics {
    registry: prometheus::Registry,
    _provider: SdkMeterProvider,
    local_replies: Counter<u64>,
    answers: Counter<u64>,
    duration: Histogram<f64>,
    retries: Counter<u64>,
    attempts: Counter<u64>,
    response_start: Histogram<f64>,
    wait: Histogram<f64>,
    store_calls: Counter<u64>,
    exchanges: Counter<u64>,
    received: Counter<u64>,
    catalog_delay: Histogram<f64>,
    early_ends: Counter<u64>,
    exposed_ends: Counter<u64>,
    hops: Counter<u64>,
    held_back: Counter<u64>,
    refused_early: Counter<u64>,
    promised: Histogram<f64>,
    forecast_error: Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments and their exporter.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be set up.
    pub(crate) fn new() -> Result<Self, RelayError> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| RelayError::Setup { what: "metrics", detail: error.to_string() })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("ibishill");
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let histogram = |name: &'static str, text: &'static str| {
            let histogram = meter.f64_histogram(name).with_unit("s").with_description(text);
            histogram.with_boundaries(LATENCY_BUCKETS_S.to_vec()).build()
        };
        Ok(Self {
            local_replies: counter(
                "relay_requests",
                "Answers that the relay itself gave, by reason",
            ),
            answers: counter("relay_answers", "Requests that ended after an answer began, by how"),
            duration: histogram("relay_duration", "Time from a request to the end of its answer"),
            retries: counter("relay_repeats", "Further attempts, by reason"),
            attempts: counter("relay_attempts", "Attempts at endpoints, by outcome"),
            response_start: histogram("relay_first", "Time from a send to the start of its answer"),
            wait: histogram("relay_waited", "Time for which requests waited for room"),
            store_calls: counter("relay_store_calls", "Calls of the store, by result"),
            exchanges: counter("relay_exchanges", "Exchanges with peers, by result"),
            received: counter(
                "relay_received_bytes",
                "Bytes of response bodies, by sender and result of the call",
            ),
            catalog_delay: histogram(
                "relay_configuration_delay",
                "Time from the first notice of a configuration until it is in force",
            ),
            early_ends: counter(
                "relay_early_ends",
                "Endpoints that ended just after an answer began, as seen by this relay",
            ),
            exposed_ends: counter(
                "relay_exposed_ends",
                "endpoints that ended while prompts of this relay were there",
            ),
            held_back: counter(
                "relay_yields",
                "Requests that yielded, as their workspace was beyond its fair share",
            ),
            refused_early: counter(
                "relay_refused_early",
                "Requests refused at once, as they could not start in time",
            ),
            promised: histogram(
                "relay_promised",
                "Time after which refused callers were told to return, where capacity was expected",
            ),
            forecast_error: histogram(
                "relay_forecast_error",
                "Time by which a first event was later or earlier than forecast, by sign",
            ),
            hops: counter("relay_hops", "Attempts through peers, by outcome"),
            registry,
            _provider: provider,
        })
    }

    /// Records a response that the relay generated itself.
    pub(crate) fn record_local_reply(&self, reason: &'static str) {
        self.local_replies.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the end of a request that got an endpoint's response or whose caller left; `took` is
    /// the time since its arrival.
    pub(crate) fn record_end(&self, outcome: &'static str, took: time::Millis) {
        self.answers.add(1, &[KeyValue::new("outcome", outcome)]);
        self.duration.record(took.0 as f64 / 1_000.0, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an attempt after the first one of a request.
    pub(crate) fn record_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records an attempt; `took` is the time until it ended or its stream began.
    pub(crate) fn record_attempt(
        &self,
        outcome: &'static str,
        is_stream: bool,
        took: time::Millis,
    ) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
        let kind = if is_stream { "stream" } else { "plain" };
        self.response_start.record(took.0 as f64 / 1_000.0, &[KeyValue::new("kind", kind)]);
    }

    /// Counts an attempt through a peer.
    pub(crate) fn record_hop(&self, outcome: &'static str) {
        self.hops.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that yields to those of other workspaces.
    pub(crate) fn record_yield(&self) {
        self.held_back.add(1, &[]);
    }

    /// Counts a request that is refused at once, as it can't start in time.
    pub(crate) fn record_refused_early(&self) {
        self.refused_early.add(1, &[]);
    }

    /// Records the time after which a refused caller is promised capacity.
    pub(crate) fn record_promise(&self, after: time::Millis) {
        self.promised.record(after.0 as f64 / 1_000.0, &[]);
    }

    /// Records the error of a forecast of the time to a first event.
    pub(crate) fn record_forecast_error(&self, error: forecast::Error) {
        let (sign, by) = match error {
            forecast::Error::Late(by) => ("late", by),
            forecast::Error::Early(by) => ("early", by),
        };
        self.forecast_error.record(by.0 as f64 / 1_000.0, &[KeyValue::new("sign", sign)]);
    }

    /// Records the time that a request waited for a free slot.
    pub(crate) fn record_wait(&self, took: time::Millis) {
        self.wait.record(took.0 as f64 / 1_000.0, &[]);
    }

    /// Records a call to the store and the size of its response body, partial if it failed.
    pub(crate) fn record_store_call(&self, is_answered: bool, received: usize) {
        self.store_calls.add(1, &[KeyValue::new("answered", is_answered)]);
        self.record_received("store", is_answered, received);
    }

    /// Records a gossip exchange with a peer and the size of its response body, partial if it
    /// failed.
    pub(crate) fn record_exchange(&self, is_answered: bool, received: usize) {
        self.exchanges.add(1, &[KeyValue::new("answered", is_answered)]);
        self.record_received("peer", is_answered, received);
    }

    fn record_received(&self, sender: &'static str, is_answered: bool, bytes: usize) {
        let labels = [KeyValue::new("sender", sender), KeyValue::new("answered", is_answered)];
        self.received.add(bytes as u64, &labels);
    }

    /// Records the time from the first notice of a configuration until it is in force.
    pub(crate) fn record_catalog(&self, delay: time::Millis) {
        self.catalog_delay.record(delay.0 as f64 / 1_000.0, &[]);
    }

    /// Counts an endpoint that ended just after an answer began.
    pub(crate) fn record_early_end(&self) {
        self.early_ends.add(1, &[]);
    }

    /// Counts an endpoint that ended while prompts were there.
    pub(crate) fn record_exposed_ends(&self) {
        self.exposed_ends.add(1, &[]);
    }

    fn text(&self, context: &Shared) -> String {
        let mut text = Vec::new();
        let encoder = prometheus::TextEncoder::new();
        if let Err(error) = encoder.encode(&self.registry.gather(), &mut text) {
            event::emit_json(event::Event::MetricsFailed, &[event::field("error", &error)]);
        }
        // The encoder only writes UTF-8.
        let mut text = String::from_utf8_lossy(&text).into_owned();
        text.push_str(&gauges(context));
        text
    }
}

// Current state of the relay, and the age of its tables.
fn gauges(context: &Shared) -> String {
    let now = context.now();
    let mut state = context.state();
    let running = |canary: &&canary::Canary| canary.progress() == fleet::Progress::Running;
    let out_of_reach = state.balancer.contacts().out().count();
    let limited = state.balancer.gate().limits().len();
    let leaving = state.balancer.gate().leaving_count();
    let fragile = state.balancer.gate().slots().fragile_count();
    let suspected = state.balancer.reach().suspect_count();
    let (short, yielding) = state.fair_share.counts(now);
    let (segments, requests) = state.quarantine.refused_count();
    let mut lines = format!(
        "relay_connections {}\nrelay_peers_alive {}\nrelay_configuration {}\nrelay_waiting {}\n\
         relay_rollouts_running {}\nrelay_zones_doubted {}\nrelay_segments_refused {}\n\
         relay_requests_refused {}\nrelay_segments_suspected {}\n\
         relay_endpoints_limited {}\nrelay_store_restores {}\n\
         relay_endpoints_out_of_reach {}\nrelay_forwarded {}\n\
         relay_unread_bytes {}\n\
         relay_body_bytes {}\nrelay_answer_bytes {}\nrelay_memory_bytes {}\n\
         relay_connections_refused {}\nrelay_connections_closed {}\n\
         relay_prompts_forgotten {}\nrelay_bodies_cut {}\n\
         relay_endpoints_fragile {}\nrelay_endpoints_leaving {}\n\
         relay_services_short {}\nrelay_workspaces_yielding {}\n\
         relay_endpoints_doubted {}\n",
        state.connections,
        state.peers.alive_count(now),
        state.catalog.as_ref().map_or(0, |catalog| catalog.version),
        state.wait_queue.len(),
        state.canaries.values().filter(running).count(),
        suspected,
        segments,
        requests,
        state.exposures.suspect_count(),
        limited,
        state.restores,
        out_of_reach,
        context.forwarded.get(),
        context.unread.used(),
        context.memory.bodies.used(),
        context.memory.answers.used(),
        context.memory.used(),
        context.connections.refused.get(),
        context.connections.closed.get(),
        context.forgotten.count.get(),
        context.memory.cut.get(),
        fragile,
        leaving,
        short,
        yielding,
        state.balancer.doubt_count(),
    );
    let counts = state.balancer.counts(now);
    for (name, count) in [
        ("ready", counts.ready),
        ("cold", counts.cold),
        ("ejected", counts.ejected),
        ("out", counts.out),
    ] {
        lines.push_str(&format!("relay_endpoints{{state=\"{name}\"}} {count}\n"));
    }
    for table in Table::ALL {
        let age = state.table_age(table, now).map_or(-1.0, |age| age.0 as f64 / 1_000.0);
        let name = table.name();
        lines.push_str(&format!("relay_table_age_seconds{{table=\"{name}\"}} {age}\n"));
    }
    lines
}

/// Serves scrapes.
pub(crate) async fn serve(context: Shared, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                event::emit_json(event::Event::MetricsFailed, &[event::field("error", &error)]);
                clock::sleep(SCRAPE_TIMEOUT).await;
                continue;
            }
        };
        let context = context.clone();
        tokio::task::spawn_local(async move {
            let service = service::service_fn(move |_| {
                let text = context.metrics.text(&context);
                async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text)))) }
            });
            let serving = http1::Builder::new()
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), service);
            // A client whose scrape fails sees the connection close and retries.
            let _ended = clock::timeout(SCRAPE_TIMEOUT, serving).await;
        });
    }
}
