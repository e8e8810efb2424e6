// SPDX-License-Identifier: Apache-2.0
//! The metrics of the daemon.

use std::sync::atomic::{AtomicU64, Ordering};

use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Counter, Histogram, Meter},
};
use stackpier_transport::{
    instruments::Instruments,
    peers::{Counters, Peers},
};

/// LATENCY_BOUNDS are the upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Metrics holds the instruments of one daemon.
pub struct Metrics {
    instruments: Instruments,
    /// Answers to callers, by kind.
    pub answers: Counter<u64>,
    /// Time from a request's arrival to its answer, in seconds.
    pub latency: Histogram<f64>,
    /// Requests sent again, to another upstream.
    pub retries: Counter<u64>,
    /// Reads of the store.
    pub store_reads: Counter<u64>,
    /// Swaps in the store.
    pub store_swaps: Counter<u64>,
    /// Times that the store stopped answering this daemon.
    pub store_losses: Counter<u64>,
    /// Calls to workers.
    pub worker_calls: Counter<u64>,
    /// Decisions of placement, by kind.
    pub placements: Counter<u64>,
}

impl Metrics {
    /// new registers all instruments.
    pub fn new(peers: &Peers) -> anyhow::Result<Metrics> {
        let instruments = Instruments::new()?;
        register_peer_counters(instruments.meter(), peers);
        let counter = |name| instruments.counter(name);
        Ok(Metrics {
            answers: counter("stackpier_answers"),
            latency: instruments.seconds("stackpier_request_seconds", &LATENCY_BOUNDS),
            retries: counter("stackpier_retries"),
            store_reads: counter("stackpier_store_reads"),
            store_swaps: counter("stackpier_store_swaps"),
            store_losses: counter("stackpier_store_losses"),
            worker_calls: counter("stackpier_worker_calls"),
            placements: counter("stackpier_placements"),
            instruments,
        })
    }

    /// text returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        self.instruments.text()
    }
}

/// register_peer_counters registers the counters that the peer transport keeps.
fn register_peer_counters(meter: &Meter, peers: &Peers) {
    let register = |name: &'static str, count: fn(&Counters) -> &AtomicU64| {
        let peers = peers.clone();
        let read = move |observer: &dyn AsyncInstrument<u64>| {
            observer.observe(count(peers.counters()).load(Ordering::Relaxed), &[]);
        };
        meter
            .u64_observable_counter(name)
            .with_callback(read)
            .build();
    };
    register("stackpier_peer_messages_sent", |counters| &counters.sent);
    register("stackpier_peer_bytes_sent", |counters| &counters.sent_bytes);
    register("stackpier_peer_messages_received", |counters| {
        &counters.received
    });
    register("stackpier_peer_bytes_received", |counters| {
        &counters.received_bytes
    });
}

/// kind_label returns the label `kind` of a metric.
pub fn kind_label(kind: &'static str) -> [KeyValue; 1] {
    [KeyValue::new("kind", kind)]
}
