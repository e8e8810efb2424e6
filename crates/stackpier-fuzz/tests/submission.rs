// SPDX-License-Identifier: Apache-2.0
//! Seeded runs of jobs that are accepted, rejected or cancelled while writes are lost or late.

use stackpier_fuzz::submission::{Counts, run};

/// SEEDS is how many seeds run.
const SEEDS: u64 = 400;
/// REACHED lists what the runs must reach.
const REACHED: [&str; 13] = [
    "rejected",
    "accepted",
    "accepted by an earlier try",
    "handed in again after a rejection",
    "not rejected, as an earlier try was written",
    "late write that was done",
    "late write that was refused",
    "cancelled before it was accepted",
    "cancelled after it was accepted",
    "refused, as it was cancelled before",
    "handed in after its cancellation",
    "daemon that stood still",
    "tombstones removed",
];

/// Guards against answers about a job that a write which is still on its way makes untrue.
#[test]
fn a_job_is_in_the_store_if_it_was_accepted_and_not_if_it_was_rejected_or_cancelled() {
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
