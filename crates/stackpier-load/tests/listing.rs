// SPDX-License-Identifier: Apache-2.0
//! Days on which workers list their ends in another way than by number: no task is done
//! twice, and what is earned does not depend on it.

use stackpier_load::cell::{pattern::Pattern, simulation::simulate};
use stackpier_standin::fleet::listing::{Listing, Order};

/// SEED is the seed of these days.
const SEED: u64 = 1;
/// LENGTH_MS is how long they are: some 2,500 tasks.
const LENGTH_MS: u64 = 12_000;

/// repeats returns how many tasks that were done were started again on a day.
fn repeats(pattern: Pattern, listing: Listing) -> u64 {
    let mut scenario = pattern.scenario();
    scenario.deployment.length_ms = LENGTH_MS;
    scenario.listing = listing;
    simulate(&scenario, SEED).repeats
}

#[test]
fn no_task_is_done_twice_in_whatever_order_ends_are_listed() {
    let patterns = [Pattern::Calm, Pattern::CutWhenFull, Pattern::StoreAway];
    let orders = [Order::Numbered, Order::NewestFirst, Order::Drawn(SEED)];
    let scenario = |pattern| orders.map(|order| repeats(pattern, Listing::in_order(order)));
    assert_eq!(patterns.map(scenario), [[0; 3]; 3]);
}
