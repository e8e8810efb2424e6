// SPDX-License-Identifier: Apache-2.0
//! Tests of the simulation itself: it is deterministic for a seed, and its outcome shows the
//! effects of the simulated faults.

use rstest::rstest;
use stackpier_load::cell::{
    fault::Fault,
    outcome::Outcome,
    pattern::{BEST_EFFORT, Pattern, SERVING, SHORT},
    simulation::{Scenario, simulate},
};

/// SEED is the seed of the simulations.
const SEED: u64 = 11;
/// LENGTH_MS is how long jobs arrive: a fraction of the length that the load tool simulates.
const LENGTH_MS: u64 = 12_000;

fn short_scenario(pattern: Pattern) -> Scenario {
    let mut scenario = pattern.scenario();
    scenario.deployment.length_ms = LENGTH_MS;
    scenario
}

/// figures returns the counts that must be equal in two simulations with the same seed.
fn figures(outcome: &Outcome) -> Vec<u64> {
    let kinds = [SHORT, BEST_EFFORT, SERVING].map(|kind| outcome.of(kind));
    let jobs = kinds
        .iter()
        .flat_map(|kind| [kind.jobs, kind.in_time, kind.late]);
    jobs.chain([
        outcome.starts,
        outcome.stops,
        outcome.best_effort_starts_apart,
    ])
    .collect()
}

#[rstest]
fn the_same_seed_gives_the_same_outcome() {
    let scenario = short_scenario(Pattern::BadWorkers);
    assert_eq!(
        figures(&simulate(&scenario, SEED)),
        figures(&simulate(&scenario, SEED))
    );
}

#[rstest]
fn another_seed_gives_another_outcome() {
    let scenario = short_scenario(Pattern::Calm);
    assert_ne!(
        figures(&simulate(&scenario, SEED)),
        figures(&simulate(&scenario, SEED + 1))
    );
}

#[rstest]
fn jobs_are_refused_only_while_the_store_is_away() {
    let calm = simulate(&short_scenario(Pattern::Calm), SEED);
    assert_eq!(calm.of(BEST_EFFORT).refused, 0);
    let mut scenario = short_scenario(Pattern::StoreAway);
    for timed_fault in &mut scenario.timed_faults {
        timed_fault.at_ms = 4_000;
        if timed_fault.fault == Fault::StoreAway {
            timed_fault.for_ms = 5_500;
        }
    }
    let away = simulate(&scenario, SEED);
    assert!(away.of(BEST_EFFORT).refused > 0);
}

#[rstest]
fn known_pairs_reduce_harm() {
    let learnt = short_scenario(Pattern::HeavyPairs);
    let known = Scenario {
        known_pairs: true,
        ..learnt.clone()
    };
    let (learnt, known) = (simulate(&learnt, SEED), simulate(&known, SEED));
    assert!(
        known.harmed_s < learnt.harmed_s,
        "{} and {}",
        known.harmed_s,
        learnt.harmed_s
    );
}
