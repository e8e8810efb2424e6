// SPDX-License-Identifier: Apache-2.0
//! The heavy days as a table, each also with the pairs known from the beginning: what
//! knowledge alone would bring.

use anyhow::Result;
use serde::Serialize;

use super::{
    outcome::{Outcome, percentile},
    pattern::{FILLING, Pattern, SERVING, SHORT},
    world::{Day, play},
};
use crate::table;

/// SEEDS is how many seeds each day is played with.
const SEEDS: u64 = 4;

/// Row is what came of one day, the mean over its seeds.
#[derive(Serialize)]
struct Row {
    day: &'static str,
    pairs: &'static str,
    /// What was earned of what was owed.
    share: f64,
    /// The lowest and the highest of the seeds.
    least: f64,
    most: f64,
    short: f64,
    filling: f64,
    serving: f64,
    short_first_p95_ms: u64,
    short_spread_p95_ms: u64,
    filling_first_p95_ms: u64,
    longest_idle_ms: u64,
    harmed_s: f64,
    stops: u64,
    refused: u64,
    filled_apart: f64,
}

/// run prints the table.
pub fn run(seed: u64, json: bool) -> Result<()> {
    let mut rows = Vec::new();
    for pattern in Pattern::ALL {
        for known_pairs in [false, true] {
            let day = Day {
                known_pairs,
                ..pattern.day()
            };
            let outcomes: Vec<Outcome> = (0..SEEDS).map(|add| play(&day, seed + add)).collect();
            rows.push(row(pattern, known_pairs, &outcomes));
        }
    }
    table::print(&format!("days of a cell, seed {seed}"), &rows, json)
}

fn row(pattern: Pattern, known_pairs: bool, outcomes: &[Outcome]) -> Row {
    let mean =
        |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
    let share = |kind: &'static str| mean(&|outcome| outcome.of(kind).share());
    let times = |kind: &'static str, of: fn(super::outcome::ByKind) -> Vec<u64>| {
        let all: Vec<u64> = outcomes
            .iter()
            .flat_map(|outcome| of(outcome.of(kind)))
            .collect();
        percentile(&all, 0.95)
    };
    let shares = outcomes.iter().map(Outcome::share);
    let refused = |outcome: &Outcome| outcome.kinds.values().map(|kind| kind.refused).sum::<u64>();
    Row {
        day: pattern.as_str(),
        pairs: if known_pairs { "known" } else { "learnt" },
        share: mean(&Outcome::share),
        least: shares.clone().fold(f64::MAX, f64::min),
        most: shares.fold(f64::MIN, f64::max),
        short: share(SHORT),
        filling: share(FILLING),
        serving: share(SERVING),
        short_first_p95_ms: times(SHORT, |kind| kind.first_ms),
        short_spread_p95_ms: times(SHORT, |kind| kind.spread_ms),
        filling_first_p95_ms: times(FILLING, |kind| kind.first_ms),
        longest_idle_ms: outcomes
            .iter()
            .map(|outcome| outcome.longest_idle_ms)
            .max()
            .unwrap_or(0),
        harmed_s: mean(&|outcome| outcome.harmed_s),
        stops: mean(&|outcome| outcome.stops as f64) as u64,
        refused: outcomes.iter().map(refused).sum(),
        filled_apart: mean(&|outcome| outcome.filled_apart as f64 / outcome.filled.max(1) as f64),
    }
}
