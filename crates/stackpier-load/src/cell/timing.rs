// SPDX-License-Identifier: Apache-2.0
//! How long the owner's decisions take, by the size of its cell and the kind of event.

use std::time::Duration;

use anyhow::Result;
use serde::Serialize;

use super::{
    outcome::EventKind,
    pattern::deployment,
    simulation::{Scenario, simulate},
};
use crate::table;

/// SIZES are the numbers of workers. The largest is ten times what operators plan for.
const SIZES: [usize; 3] = [500, 2_000, 16_000];
/// LENGTH_MS is how long jobs arrive at each size.
const LENGTH_MS: u64 = 3_000;
/// SHORT_WAITING is how many more short jobs arrive at the beginning, so that a hundred tasks or
/// more wait for capacity that serving tasks occupy.
const SHORT_WAITING: u32 = 30;
/// BEST_EFFORT_WAITING is the same for best-effort jobs, at a time when they would disturb the
/// serving tasks of every worker.
const BEST_EFFORT_WAITING: u32 = 30;

/// Row holds the times of the decisions on one kind of event at one size.
#[derive(Serialize)]
struct Row {
    workers: usize,
    #[serde(rename = "told")]
    event_kind: EventKind,
    events: usize,
    mean_us: f64,
    p99_us: f64,
    most_us: f64,
}

/// run simulates all sizes and prints the times.
pub fn run(seed: u64, json: bool) -> Result<()> {
    let mut rows = Vec::new();
    for workers in SIZES {
        let outcome = simulate(&scenario(workers), seed);
        for (event_kind, times) in outcome.step_times {
            rows.push(build_row(workers, event_kind, times));
        }
    }
    table::print(&format!("decisions, seed {seed}"), &rows, json)
}

/// scenario returns a scenario without faults, whose workers are as full as those of the heavy
/// scenarios. Arrival rates grow with the number of workers, the additional waiting jobs do not.
pub fn scenario(workers: usize) -> Scenario {
    let mut deployment = deployment();
    let times = workers as f64 / deployment.workers as f64;
    deployment.workers = workers;
    deployment.length_ms = LENGTH_MS;
    let waiting = [SHORT_WAITING, BEST_EFFORT_WAITING, 0];
    for (kind, waiting) in deployment.kinds.iter_mut().zip(waiting) {
        kind.per_s *= times;
        kind.at_start = (f64::from(kind.at_start) * times) as u32 + waiting;
    }
    Scenario {
        deployment,
        timed_faults: Vec::new(),
        options: stackpier_cell::Options::default(),
        known_pairs: false,
        listing: Default::default(),
    }
}

fn build_row(workers: usize, event_kind: EventKind, mut times: Vec<Duration>) -> Row {
    times.sort_unstable();
    let micros = |time: Duration| time.as_secs_f64() * 1_000_000.0;
    let total: Duration = times.iter().sum();
    let p99 = times[times.len() * 99 / 100];
    Row {
        workers,
        event_kind,
        events: times.len(),
        mean_us: micros(total) / times.len() as f64,
        p99_us: micros(p99),
        most_us: times.last().copied().map_or(0.0, micros),
    }
}
