// SPDX-License-Identifier: Apache-2.0
//! The daemon's metrics: `opentelemetry` instruments, read as Prometheus text.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// LATENCY_BOUNDS are the upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 13] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Metrics are the instruments of one daemon.
pub struct Metrics {
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    /// Answers to client accounts, by call and status.
    pub answers: Counter<u64>,
    /// Time from a request's arrival to its answer, in seconds.
    pub latency: Histogram<f64>,
    /// Calls to the store, by call and outcome.
    pub store_calls: Counter<u64>,
    /// Calls to workers, by call and outcome.
    pub worker_calls: Counter<u64>,
    /// Decisions, by part.
    pub decisions: Counter<u64>,
    /// Ownerships won and lost.
    pub ownerships: Counter<u64>,
    /// Runs that hold room on workers; zero on followers.
    pub running: Gauge<u64>,
    /// Tasks that wait to be placed; zero on followers.
    pub waiting: Gauge<u64>,
}

impl Metrics {
    /// new registers all instruments.
    pub fn new() -> anyhow::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("stackpier");
        let count = |name: &'static str| meter.u64_counter(name).build();
        let latency = meter
            .f64_histogram("stackpier_answer_seconds")
            .with_boundaries(LATENCY_BOUNDS.to_vec())
            .build();
        Ok(Metrics {
            answers: count("stackpier_answers"),
            latency,
            store_calls: count("stackpier_store_calls"),
            worker_calls: count("stackpier_worker_calls"),
            decisions: count("stackpier_decisions"),
            ownerships: count("stackpier_ownerships"),
            running: meter.u64_gauge("stackpier_running").build(),
            waiting: meter.u64_gauge("stackpier_waiting").build(),
            registry,
            _provider: provider,
        })
    }

    /// text returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// labels returns the labels of a counted call.
pub fn labels(call: &'static str, outcome: &'static str) -> [KeyValue; 2] {
    [
        KeyValue::new("call", call),
        KeyValue::new("outcome", outcome),
    ]
}
