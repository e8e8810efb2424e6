// SPDX-License-Identifier: Apache-2.0
//! The model of a cell's workers itself: the same seed gives the same day, and what it
//! reports is of the faults that it plays.

use rstest::rstest;
use stackpier_load::cell::{
    fault::Fault,
    outcome::Outcome,
    pattern::{FILLING, Pattern, SERVING, SHORT},
    world::{Day, play},
};

/// SEED is the seed of these days.
const SEED: u64 = 11;
/// LENGTH_MS is how long they are: a fraction of what is measured.
const LENGTH_MS: u64 = 12_000;

fn short_day(pattern: Pattern) -> Day {
    let mut day = pattern.day();
    day.site.length_ms = LENGTH_MS;
    day
}

/// figures returns what must be alike in two plays.
fn figures(outcome: &Outcome) -> Vec<u64> {
    let kinds = [SHORT, FILLING, SERVING].map(|kind| outcome.of(kind));
    let jobs = kinds
        .iter()
        .flat_map(|kind| [kind.jobs, kind.in_time, kind.late]);
    jobs.chain([outcome.starts, outcome.stops, outcome.filled_apart])
        .collect()
}

#[rstest]
fn the_same_seed_gives_the_same_day() {
    let day = short_day(Pattern::BadWorkers);
    assert_eq!(figures(&play(&day, SEED)), figures(&play(&day, SEED)));
}

#[rstest]
fn another_seed_gives_another_day() {
    let day = short_day(Pattern::Calm);
    assert_ne!(figures(&play(&day, SEED)), figures(&play(&day, SEED + 1)));
}

#[rstest]
fn jobs_are_refused_only_while_the_store_is_away() {
    let calm = play(&short_day(Pattern::Calm), SEED);
    assert_eq!(calm.of(FILLING).refused, 0);
    let mut day = short_day(Pattern::StoreAway);
    for trouble in &mut day.troubles {
        trouble.at_ms = 4_000;
        if trouble.fault == Fault::StoreAway {
            trouble.for_ms = 5_500;
        }
    }
    let away = play(&day, SEED);
    assert!(away.of(FILLING).refused > 0);
}

#[rstest]
fn pairs_that_are_known_harm_less() {
    let learnt = short_day(Pattern::HeavyPairs);
    let known = Day {
        known_pairs: true,
        ..learnt.clone()
    };
    let (learnt, known) = (play(&learnt, SEED), play(&known, SEED));
    assert!(
        known.harmed_s < learnt.harmed_s,
        "{} and {}",
        known.harmed_s,
        learnt.harmed_s
    );
}
