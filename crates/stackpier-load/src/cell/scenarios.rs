// SPDX-License-Identifier: Apache-2.0
//! The heavy days as a table, each also with the pairs known from the beginning: what
//! knowledge alone would bring.

use anyhow::Result;
use serde::Serialize;

use super::{
    outcome::{Outcome, percentile},
    pattern::{BEST_EFFORT, Pattern, SERVING, SHORT},
    simulation::{Scenario, simulate},
};
use crate::table;

/// SEEDS is how many seeds each day is played with.
const SEEDS: u64 = 4;

/// Row is what came of one day, the mean over its seeds.
#[derive(Serialize)]
struct Row {
    scenario: &'static str,
    pairs: &'static str,
    /// What was earned of what was owed.
    goodput: f64,
    /// The lowest and the highest of the seeds.
    min_goodput: f64,
    max_goodput: f64,
    short: f64,
    best_effort: f64,
    serving: f64,
    short_first_p95_ms: u64,
    short_spread_p95_ms: u64,
    best_effort_first_p95_ms: u64,
    longest_idle_ms: u64,
    harmed_s: f64,
    stops: u64,
    refused: u64,
    best_effort_apart: f64,
}

/// run prints the table.
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
            rows.push(row(pattern, known_pairs, &outcomes));
        }
    }
    table::print(&format!("days of a cell, seed {seed}"), &rows, json)
}

fn row(pattern: Pattern, known_pairs: bool, outcomes: &[Outcome]) -> Row {
    let mean =
        |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
    let goodput = |kind: &'static str| mean(&|outcome| outcome.of(kind).goodput());
    let times = |kind: &'static str, of: fn(super::outcome::ByKind) -> Vec<u64>| {
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
        short_first_p95_ms: times(SHORT, |kind| kind.first_start_ms),
        short_spread_p95_ms: times(SHORT, |kind| kind.spread_ms),
        best_effort_first_p95_ms: times(BEST_EFFORT, |kind| kind.first_start_ms),
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
