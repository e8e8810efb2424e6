// SPDX-License-Identifier: Apache-2.0
//! Workers may list their ended runs in any order. A listing that is not ordered by number must
//! not make the owner start a finished task again.

use stackpier_load::cell::{pattern::Pattern, simulation::simulate};
use stackpier_standin::fleet::listing::{Listing, Order};

/// SEED is the seed of the simulations.
const SEED: u64 = 1;
/// LENGTH_MS is how long jobs arrive: some 2,500 tasks.
const LENGTH_MS: u64 = 12_000;

/// repeats returns how often a finished task was started again.
fn repeats(pattern: Pattern, listing: Listing) -> u64 {
    let mut scenario = pattern.scenario();
    scenario.deployment.length_ms = LENGTH_MS;
    scenario.listing = listing;
    simulate(&scenario, SEED).repeats
}

#[test]
fn no_task_is_repeated_in_any_order_of_listed_ends() {
    let patterns = [Pattern::Calm, Pattern::CutWhenFull, Pattern::StoreAway];
    let orders = [Order::Numbered, Order::NewestFirst, Order::Shuffled(SEED)];
    let scenario = |pattern| orders.map(|order| repeats(pattern, Listing::in_order(order)));
    assert_eq!(patterns.map(scenario), [[0; 3]; 3]);
}
