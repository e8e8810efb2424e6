// SPDX-License-Identifier: Apache-2.0
//! The placement experiment: batch jobs beside services that some of them slow
//! down, with samples that arrive late, wrong sizes and run times, workers that
//! fail, jobs that can't run, and bursts of cancellations.

mod model;
mod policy;
mod simulation;

use anyhow::Result;
use serde::Serialize;

use self::{
    model::Season,
    policy::Kind,
    simulation::{Outcome, simulate},
};
use crate::table;

/// Row is the outcome of one policy in one season.
#[derive(Serialize)]
struct Row {
    season: &'static str,
    policy: &'static str,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    finished: u64,
    in_time: u64,
    evictions: u64,
    evictions_per_task: f64,
    failed_starts: u64,
    /// The 99th percentile against first fit.
    p99_ratio: f64,
    /// Tasks finished by their deadline against first fit.
    in_time_ratio: f64,
}

/// run prints the whole comparison.
pub fn run(seed: u64, json: bool) -> Result<()> {
    let mut rows = Vec::new();
    for season in Season::ALL {
        let outcomes: Vec<(Kind, Outcome)> = Kind::ALL
            .iter()
            .map(|kind| (*kind, simulate(*kind, season, seed)))
            .collect();
        let base = &outcomes[0].1;
        let (p99, in_time) = (base.percentile(0.99), base.in_time as f64);
        rows.extend(outcomes.iter().map(|(kind, outcome)| Row {
            season: season.as_str(),
            policy: kind.as_str(),
            p50_ms: outcome.percentile(0.5),
            p99_ms: outcome.percentile(0.99),
            p999_ms: outcome.percentile(0.999),
            finished: outcome.finished,
            in_time: outcome.in_time,
            evictions: outcome.evictions,
            evictions_per_task: outcome.evictions as f64 / outcome.started.max(1) as f64,
            failed_starts: outcome.failed_starts,
            p99_ratio: outcome.percentile(0.99) / p99,
            in_time_ratio: outcome.in_time as f64 / in_time,
        }));
    }
    table::print(&format!("placement, seed {seed}"), &rows, json)
}
