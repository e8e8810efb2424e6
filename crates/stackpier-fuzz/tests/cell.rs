// SPDX-License-Identifier: Apache-2.0
//! The cell under faults of every kind, alone and together. Seeds are fixed;
//! `FUZZ_SEEDS=FROM..TO` runs others.

use rstest::rstest;
use stackpier_fuzz::cell::{Faults, World};

/// LENGTH_MS is how long faults go on.
const LENGTH_MS: u64 = 25_000;

fn seeds(count: u64) -> std::ops::Range<u64> {
    let given = std::env::var("FUZZ_SEEDS").ok();
    let parse = |text: String| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    };
    given.and_then(parse).unwrap_or(0..count)
}

fn check(faults: Faults, seeds: std::ops::Range<u64>) {
    let mut counts = std::collections::BTreeMap::new();
    for seed in seeds {
        let mut world = World::new(seed, faults, LENGTH_MS);
        world.run();
        if let Some(broken) = &world.oracle.broken {
            panic!("seed {seed}: {broken}; {:?}", world.counts);
        }
        if let Some((job, state)) = world.unfinished().first() {
            let why = world.explain(*job);
            panic!("seed {seed}: job {job:?} is {state:?}: {why:?}");
        }
        for (what, count) in &world.counts {
            *counts.entry(*what).or_insert(0) += count;
        }
    }
    println!("{counts:?}");
}

#[rstest]
#[case::calm(Faults::default())]
#[case::lost(Faults { lost: 30, ..Faults::default() })]
#[case::unanswered(Faults { unanswered: 30, ..Faults::default() })]
#[case::late(Faults { late: 30, ..Faults::default() })]
#[case::cuts(Faults { cuts: 60, ..Faults::default() })]
#[case::crashes(Faults { crashes: 40, ..Faults::default() })]
#[case::takeovers(Faults { takeovers: 150, ..Faults::default() })]
#[case::freezes(Faults { freezes: 150, takeovers: 80, ..Faults::default() })]
#[case::grey(Faults { grey: 60, ..Faults::default() })]
#[case::outages(Faults { outages: 120, ..Faults::default() })]
#[case::cancels(Faults { cancels: 300, takeovers: 60, ..Faults::default() })]
#[case::poison(Faults { poison: 30, takeovers: 100, ..Faults::default() })]
fn one_kind_of_fault(#[case] faults: Faults) {
    check(faults, seeds(6));
}

#[rstest]
#[case::few(5)]
#[case::some(15)]
#[case::many(40)]
fn all_kinds_of_faults(#[case] rate: u32) {
    check(Faults::all(rate), seeds(12));
}
