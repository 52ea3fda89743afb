//! Metrics, exported in the Prometheus text format.

use ibishill_core::outcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;

/// Upper bounds of the buckets of `ibishill_first_byte`, in seconds.
const FIRST_BYTE_BOUNDARIES_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.47, 0.75, 1.5, 5.0, 30.0];

/// Metric instruments of a daemon; clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    first_byte: Histogram<f64>,
    operators_refused: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments with a registry of their own.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be set up.
    pub fn new() -> Result<Self, String> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("ibishill");
        let requests = meter
            .u64_counter("ibishill_requests")
            .with_description("Requests by outcome and reason")
            .build();
        let first_byte = meter
            .f64_histogram("ibishill_first_byte")
            .with_unit("s")
            .with_description("Time from a request's arrival to the start of its answer")
            .with_boundaries(FIRST_BYTE_BOUNDARIES_S.to_vec())
            .build();
        let operators_refused = meter
            .u64_counter("ibishill_operators_refused")
            .with_description("Operators' calls refused for their credentials, by call")
            .build();
        Ok(Self { registry, _provider: provider, requests, first_byte, operators_refused })
    }

    /// Counts a request that has ended.
    pub fn record_end(&self, outcome: outcome::Outcome, reason: Option<outcome::Reason>) {
        let reason = reason.map_or_else(|| "none".to_owned(), |reason| reason.to_string());
        let labels =
            [KeyValue::new("outcome", outcome.to_string()), KeyValue::new("reason", reason)];
        self.requests.add(1, &labels);
    }

    /// Counts an operator's call that was refused for its credentials.
    pub fn record_operator_refused(&self, call: &'static str) {
        self.operators_refused.add(1, &[KeyValue::new("call", call)]);
    }

    /// Records the time from a request's arrival to the start of its answer.
    pub fn record_first_byte(&self, seconds: f64) {
        self.first_byte.record(seconds, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = Vec::new();
        let encoder = prometheus::TextEncoder::new();
        let _written = encoder.encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }
}
