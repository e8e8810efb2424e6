// SPDX-License-Identifier: Apache-2.0
//! The routing experiment: entry VMs that share upstreams without communicating with each other,
//! in scenarios of faults and loads.

mod model;
mod policy;
mod simulation;

use anyhow::Result;
use serde::Serialize;

use self::{
    model::Scenario,
    policy::Kind,
    simulation::{Outcome, simulate},
};
use crate::table;

/// LOADS are the arrival rates, as shares of the upstreams' capacity.
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.3];

/// Row holds the outcome of one policy in one scenario at one load.
#[derive(Serialize)]
struct Row {
    scenario: &'static str,
    load: f64,
    policy: &'static str,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    /// Requests answered by their deadline, as a share of the capacity.
    goodput: f64,
    /// Requests refused or past their deadline, as a share of the arrivals.
    failed: f64,
    /// The mean number of sends beyond the first per arrival.
    retries: f64,
    /// The 99th percentile divided by that of the policy `LeastInFlight`.
    p99_ratio: f64,
}

/// run prints the comparison of all policies.
pub fn run(seed: u64, json: bool) -> Result<()> {
    let mut rows = Vec::new();
    for scenario in Scenario::ALL {
        for load in LOADS {
            let outcomes: Vec<(Kind, Outcome)> = Kind::ALL
                .iter()
                .map(|kind| (*kind, simulate(*kind, scenario, load, seed)))
                .collect();
            let base = outcomes
                .iter()
                .find(|(kind, _)| *kind == Kind::LeastInFlight)
                .map_or(f64::NAN, |(_, outcome)| outcome.percentile(0.99));
            rows.extend(outcomes.iter().map(|(kind, outcome)| Row {
                scenario: scenario.as_str(),
                load,
                policy: kind.as_str(),
                p50_ms: outcome.percentile(0.5),
                p99_ms: outcome.percentile(0.99),
                p999_ms: outcome.percentile(0.999),
                goodput: outcome.goodput(),
                failed: outcome.failed(),
                retries: outcome.retries(),
                p99_ratio: outcome.percentile(0.99) / base,
            }));
        }
    }
    table::print(&format!("routing, seed {seed}"), &rows, json)
}
