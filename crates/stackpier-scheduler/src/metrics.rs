// SPDX-License-Identifier: Apache-2.0
//! The daemon's metrics.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use stackpier_transport::instruments::Instruments;

use crate::retry::Cause;

/// LATENCY_BOUNDS lists the upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 13] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// RETRY_BOUNDS lists the upper bounds of the buckets of times to come back, in seconds.
const RETRY_BOUNDS: [f64; 8] = [0.5, 1.0, 2.0, 3.0, 5.0, 8.0, 15.0, 30.0];

/// DOWNTIME_BOUNDS lists the upper bounds of the buckets of downtimes, in seconds. Client accounts
/// count a long-running task as lost after six, or nine if there was no room.
const DOWNTIME_BOUNDS: [f64; 9] = [0.5, 1.0, 2.0, 4.0, 6.0, 7.5, 9.0, 12.0, 20.0];

/// Metrics holds the instruments of one daemon.
pub struct Metrics {
    instruments: Instruments,
    /// Answers to client accounts, by status.
    pub answers: Counter<u64>,
    /// Time from a request's arrival to its answer, in seconds.
    pub latency: Histogram<f64>,
    /// Calls to the store, by call and outcome.
    pub store_calls: Counter<u64>,
    /// Calls to workers, by call and outcome.
    pub worker_calls: Counter<u64>,
    /// Calls to workers forwarded through another daemon, by call and whether an answer
    /// arrived.
    pub forwarded_calls: Counter<u64>,
    /// Decisions of the cell, by part.
    pub decisions: Counter<u64>,
    /// Jobs that were handed in while room was short or not, by outcome and queue.
    pub admissions: Counter<u64>,
    /// Tombstones of unknown jobs that were cancelled, by outcome of their writes.
    pub tombstones: Counter<u64>,
    /// The times to come back that were told with refusals, in seconds, by cause.
    pub retry_told: Histogram<f64>,
    /// How long after each refusal its cause was over, in seconds, by cause.
    pub retry_true: Histogram<f64>,
    /// The age of the owner's outlook, in milliseconds; zero if there is none.
    pub outlook_age: Gauge<u64>,
    /// How old what a listing or watch of the store shows is at most, in seconds, by prefix.
    pub known_age: Histogram<f64>,
    /// For how long long-running tasks had no run, in seconds, by how the run before had ended.
    pub downtime: Histogram<f64>,
    /// Times that this daemon came to own the cell.
    pub ownerships: Counter<u64>,
    /// Runs that occupy capacity on workers; zero on followers.
    pub running: Gauge<u64>,
    /// Tasks that wait to be placed; zero on followers.
    pub waiting: Gauge<u64>,
    /// The longest time for which a ready step has had nothing running, in milliseconds;
    /// zero on followers.
    pub longest_wait: Gauge<u64>,
    /// Entries of the cell in memory, by kind; zero on followers.
    pub cell_entries: Gauge<u64>,
    /// Bytes of these entries, by kind; zero on followers.
    pub cell_bytes: Gauge<u64>,
}

impl Metrics {
    /// new registers all instruments.
    pub fn new() -> anyhow::Result<Metrics> {
        let instruments = Instruments::new()?;
        let meter = instruments.meter();
        let count = |name| instruments.counter(name);
        let gauge = |name| {
            let gauge = meter.u64_gauge(name).build();
            // A gauge is exported only once it has a value, and followers never set one.
            gauge.record(0, &[]);
            gauge
        };
        Ok(Metrics {
            answers: count("stackpier_answers"),
            latency: instruments.seconds("stackpier_answer_seconds", &LATENCY_BOUNDS),
            store_calls: count("stackpier_store_calls"),
            worker_calls: count("stackpier_worker_calls"),
            forwarded_calls: count("stackpier_passed_calls"),
            decisions: count("stackpier_decisions"),
            admissions: count("stackpier_admissions"),
            tombstones: count("stackpier_tombstones"),
            retry_told: instruments.seconds("stackpier_retry_told_seconds", &RETRY_BOUNDS),
            retry_true: instruments.seconds("stackpier_retry_true_seconds", &RETRY_BOUNDS),
            outlook_age: gauge("stackpier_outlook_age_milliseconds"),
            known_age: instruments.seconds("stackpier_known_age_seconds", &LATENCY_BOUNDS),
            downtime: instruments.seconds("stackpier_downtime_seconds", &DOWNTIME_BOUNDS),
            ownerships: count("stackpier_ownerships"),
            running: gauge("stackpier_running"),
            waiting: gauge("stackpier_waiting"),
            longest_wait: gauge("stackpier_longest_wait_milliseconds"),
            cell_entries: meter.u64_gauge("stackpier_cell_entries").build(),
            cell_bytes: meter.u64_gauge("stackpier_cell_bytes").build(),
            instruments,
        })
    }

    /// text returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        self.instruments.text()
    }
}

/// admission returns the labels of a decision on a job.
pub fn admission(outcome: &'static str, queue: &str) -> [KeyValue; 2] {
    [
        KeyValue::new("outcome", outcome),
        KeyValue::new("queue", queue.to_owned()),
    ]
}

/// cause returns the label of a cause of refusals.
pub fn cause(cause: Cause) -> [KeyValue; 1] {
    [KeyValue::new("cause", cause.as_str())]
}

/// kind returns the label of a kind of entries in memory.
pub fn kind(kind: &'static str) -> [KeyValue; 1] {
    [KeyValue::new("kind", kind)]
}

/// labels returns the labels of a counted call.
pub fn labels(call: &'static str, outcome: &'static str) -> [KeyValue; 2] {
    [
        KeyValue::new("call", call),
        KeyValue::new("outcome", outcome),
    ]
}
