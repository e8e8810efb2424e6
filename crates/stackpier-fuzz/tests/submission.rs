// SPDX-License-Identifier: Apache-2.0
//! Seeded runs of jobs that are accepted or rejected while writes are lost or late.

use stackpier_fuzz::submission::{Counts, run};

/// SEEDS is how many seeds run.
const SEEDS: u64 = 400;
/// REACHED lists what the runs must reach.
const REACHED: [&str; 7] = [
    "rejected",
    "accepted",
    "accepted by an earlier try",
    "handed in again after a rejection",
    "not rejected, as an earlier try was written",
    "late write that was done",
    "late write that was refused",
];

#[test]
fn a_job_is_in_the_store_if_its_last_try_was_accepted_and_not_if_it_was_rejected() {
    let mut reached = Counts::new();
    for seed in 0..SEEDS {
        let counts = run(seed).unwrap_or_else(|wrong| panic!("seed {seed}: {wrong}"));
        for (what, count) in counts {
            *reached.entry(what).or_default() += count;
        }
    }
    for what in REACHED {
        assert!(
            reached.contains_key(what),
            "{what} was not reached: {reached:?}"
        );
    }
}
