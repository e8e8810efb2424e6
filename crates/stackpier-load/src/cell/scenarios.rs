// SPDX-License-Identifier: Apache-2.0
//! Prints the outcomes of the heavy scenarios as a table. Each is also simulated with the pairs
//! known from the beginning, which shows what perfect knowledge of them would gain.

use anyhow::Result;
use serde::Serialize;

use super::{
    outcome::{Outcome, percentile},
    pattern::{BEST_EFFORT, Pattern, SERVING, SHORT},
    simulation::{Scenario, simulate},
};
use crate::table;

/// SEEDS is the number of seeds that each scenario is simulated with.
const SEEDS: u64 = 4;

/// Row holds the outcome of one scenario over its seeds: percentiles over the jobs of all seeds,
/// the longest idle time of any seed, the sum of the refused jobs, and means of the other figures.
#[derive(Serialize)]
struct Row {
    #[serde(rename = "day")]
    scenario: &'static str,
    pairs: &'static str,
    /// The share of the achievable value that was earned.
    #[serde(rename = "share")]
    goodput: f64,
    /// The lowest goodput of a seed.
    #[serde(rename = "least")]
    min_goodput: f64,
    /// The highest goodput of a seed.
    #[serde(rename = "most")]
    max_goodput: f64,
    /// The goodput of each kind of job.
    short: f64,
    #[serde(rename = "filling")]
    best_effort: f64,
    serving: f64,
    short_first_p95_ms: u64,
    short_spread_p95_ms: u64,
    #[serde(rename = "filling_first_p95_ms")]
    best_effort_first_p95_ms: u64,
    longest_idle_ms: u64,
    harmed_s: f64,
    stops: u64,
    refused: u64,
    #[serde(rename = "filled_apart")]
    best_effort_apart: f64,
}

/// run simulates all scenarios and prints the table.
pub fn run(seed: u64, json: bool) -> Result<()> {
    let mut rows = Vec::new();
    for pattern in Pattern::ALL {
        for known_pairs in [false, true] {
            let scenario = Scenario {
                known_pairs,
                ..pattern.scenario()
            };
            let outcomes: Vec<Outcome> = (0..SEEDS)
                .map(|add| simulate(&scenario, seed + add))
                .collect();
            rows.push(build_row(pattern, known_pairs, &outcomes));
        }
    }
    table::print(&format!("days of a cell, seed {seed}"), &rows, json)
}

fn build_row(pattern: Pattern, known_pairs: bool, outcomes: &[Outcome]) -> Row {
    let mean =
        |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
    let goodput = |kind: &'static str| mean(&|outcome| outcome.of(kind).goodput());
    let times = |kind: &'static str, of: fn(super::outcome::KindOutcome) -> Vec<u64>| {
        let all: Vec<u64> = outcomes
            .iter()
            .flat_map(|outcome| of(outcome.of(kind)))
            .collect();
        percentile(&all, 0.95)
    };
    let goodputs = outcomes.iter().map(Outcome::goodput);
    let refused = |outcome: &Outcome| outcome.kinds.values().map(|kind| kind.refused).sum::<u64>();
    Row {
        scenario: pattern.as_str(),
        pairs: if known_pairs { "known" } else { "learnt" },
        goodput: mean(&Outcome::goodput),
        min_goodput: goodputs.clone().fold(f64::MAX, f64::min),
        max_goodput: goodputs.fold(f64::MIN, f64::max),
        short: goodput(SHORT),
        best_effort: goodput(BEST_EFFORT),
        serving: goodput(SERVING),
        short_first_p95_ms: times(SHORT, |kind| kind.first_ms),
        short_spread_p95_ms: times(SHORT, |kind| kind.spread_ms),
        best_effort_first_p95_ms: times(BEST_EFFORT, |kind| kind.first_ms),
        longest_idle_ms: outcomes
            .iter()
            .map(|outcome| outcome.longest_idle_ms)
            .max()
            .unwrap_or(0),
        harmed_s: mean(&|outcome| outcome.harmed_s),
        stops: mean(&|outcome| outcome.stops as f64) as u64,
        refused: outcomes.iter().map(refused).sum(),
        best_effort_apart: mean(&|outcome| {
            outcome.best_effort_starts_apart as f64 / outcome.best_effort_starts.max(1) as f64
        }),
    }
}
