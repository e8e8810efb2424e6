// SPDX-License-Identifier: Apache-2.0
//! The owner must stay responsive in a cell with hundreds of workers and more waiting tasks than
//! free capacity. The load is that of a real deployment: 490 workers with a twentieth of their
//! capacity free and a thousand waiting tasks. There, an owner that rated all workers for all
//! waiting steps in one call fell seconds behind: its calls timed out in batches, its heartbeats
//! went unanswered, and cancelled tasks ran on.

use rstest::rstest;
use stackpier_cell::Options;
use stackpier_load::cell::{
    pattern::{BEST_EFFORT, SHORT},
    simulation::{Scenario, simulate},
    timing::scenario,
};

/// SEED is the seed of the simulations.
const SEED: u64 = 7;
/// WORKERS is the size of the cell.
const WORKERS: usize = 490;
/// CALL_RATINGS bounds the ratings of one call: the budgets of guaranteed and of best-effort tasks
/// for a call, plus the ratings of the last step of each, which is always finished. At 50 ns per
/// rating it is a millisecond.
const CALL_RATINGS: u64 = 20_000;
/// CORES is the processor capacity of the owner's VM in that deployment, in milli-cores.
const CORES: u32 = 500;
/// FINISH_MS is how long a simulation continues after the last arrival.
const FINISH_MS: u64 = 14_000;
/// SAVED_MS allows for ratings that the budget had saved up, in milliseconds of the bound.
const SAVED_MS: u64 = 300;

fn full_scenario() -> Scenario {
    let mut scenario = scenario(WORKERS);
    scenario.options = Options {
        ratings_per_ms: scenario.options.ratings_per_ms * CORES / 1_000,
        ..scenario.options
    };
    scenario
}

#[rstest]
fn ratings_of_one_call_are_bounded_in_a_full_cell() {
    let outcome = simulate(&full_scenario(), SEED);
    let max_ratings = outcome.max_ratings;
    assert!(
        max_ratings <= CALL_RATINGS,
        "{max_ratings} ratings in one call"
    );
}

#[rstest]
fn ratings_over_time_are_bounded_in_a_full_cell() {
    let scenario = full_scenario();
    let outcome = simulate(&scenario, SEED);
    let length_ms = scenario.deployment.length_ms + FINISH_MS + SAVED_MS;
    let bound = u64::from(scenario.options.ratings_per_ms) * length_ms;
    assert!(outcome.ratings <= bound, "{} of {bound}", outcome.ratings);
}

/// Guaranteed tasks that wait for capacity must not delay best-effort tasks. When both shared one
/// rating budget, best-effort tasks got no ratings for seconds, and most of the goodput was lost.
#[rstest]
fn waiting_guaranteed_tasks_leave_ratings_for_best_effort_tasks() {
    let outcome = simulate(&full_scenario(), SEED);
    let (short, best_effort) = (outcome.of(SHORT), outcome.of(BEST_EFFORT));
    assert!(
        short.jobs > 0 && best_effort.goodput() > 0.8,
        "{}",
        best_effort.goodput()
    );
}
