// SPDX-License-Identifier: Apache-2.0
//! A cell with hundreds of workers and more tasks waiting than have room: its owner goes
//! on answering. The load is that of a customer's grown deployment, 490 workers with a
//! twentieth of their room free and a thousand tasks waiting, on which an owner that
//! rated all workers for all waiting steps in one call fell seconds behind: its calls
//! timed out in batches, its heartbeats went unanswered, cancelled tasks ran on.

use rstest::rstest;
use stackpier_cell::Options;
use stackpier_load::cell::{
    pattern::{BEST_EFFORT, SHORT},
    simulation::{Scenario, simulate},
    timing::scenario,
};

/// SEED is the seed of these days.
const SEED: u64 = 7;
/// WORKERS is the size of the cell.
const WORKERS: usize = 490;
/// CALL_RATINGS bounds one call: what a slice allows for tasks of each sort, and what
/// the last step of each adds, which is looked at whole. At 50 ns each it is a millisecond.
const CALL_RATINGS: u64 = 20_000;
/// CORES is the processor of the owner's VM in that deployment, in thousandths.
const CORES: u32 = 500;
/// FINISH_MS is how long a day goes on after its traffic.
const FINISH_MS: u64 = 14_000;
/// SAVED is what may be done beyond the bound over time, in milliseconds of it.
const SAVED_MS: u64 = 300;

fn full_day() -> Scenario {
    let mut scenario = scenario(WORKERS);
    scenario.options = Options {
        ratings_per_ms: scenario.options.ratings_per_ms * CORES / 1_000,
        ..scenario.options
    };
    scenario
}

#[rstest]
fn no_call_of_a_full_cell_rates_workers_for_long() {
    let outcome = simulate(&full_day(), SEED);
    let most = outcome.max_ratings;
    assert!(most <= CALL_RATINGS, "{most} ratings in one call");
}

#[rstest]
fn over_time_a_full_cell_rates_no_more_than_its_vm_can_bear() {
    let scenario = full_day();
    let outcome = simulate(&scenario, SEED);
    let length_ms = scenario.deployment.length_ms + FINISH_MS + SAVED_MS;
    let bound = u64::from(scenario.options.ratings_per_ms) * length_ms;
    assert!(outcome.ratings <= bound, "{} of {bound}", outcome.ratings);
}

/// What waits for room that there is none of must not hold back the tasks that fill:
/// with ratings in common these got none for seconds, and most of a day's worth was lost.
#[rstest]
fn tasks_that_wait_for_room_leave_ratings_for_those_that_fill() {
    let outcome = simulate(&full_day(), SEED);
    let (short, best_effort) = (outcome.of(SHORT), outcome.of(BEST_EFFORT));
    assert!(
        short.jobs > 0 && best_effort.goodput() > 0.8,
        "{}",
        best_effort.goodput()
    );
}
