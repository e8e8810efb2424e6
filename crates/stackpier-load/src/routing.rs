// SPDX-License-Identifier: Apache-2.0
//! The routing experiment: entry VMs that share upstreams without talking to
//! each other, over scenarios of faults and loads.

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

/// LOADS are shares of the upstreams' capacity that arrive.
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.3];

/// Row is the outcome of one policy in one scenario at one load.
#[derive(Serialize)]
struct Row {
    scenario: &'static str,
    load: f64,
    policy: &'static str,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    /// Answered in time, as a share of the capacity.
    goodput: f64,
    /// Refused or out of time, as a share of the arrivals.
    failed: f64,
    /// Sends beyond the first, for each arrival.
    retries: f64,
    /// The 99th percentile against least in flight.
    p99_ratio: f64,
}

/// run prints the whole comparison.
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
