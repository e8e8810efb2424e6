// SPDX-License-Identifier: Apache-2.0
//! What the log says of the size of jobs and of how late they are: that large ones alone were
//! late could not be read off it.

mod common;

use common::{Owner, spec, step};
use rstest::rstest;
use stackpier_core::Size;
use stackpier_state::job::Step;

/// LONG is the job that takes the only worker for nine seconds, three objectives of SECOND.
const LONG: u64 = 1;
const SECOND: u64 = 2;

fn whole(estimate_ms: u32) -> Step {
    Step {
        size: Size {
            milli_cores: 8_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        estimate_ms,
        ..step(1)
    }
}

fn lines(owner: &Owner, part: &str) -> Vec<String> {
    let notes = owner.notes.iter();
    notes.filter(|note| note.contains(part)).cloned().collect()
}

#[rstest]
fn a_completed_job_is_logged_with_its_size_and_its_distance_from_the_objective() {
    let mut owner = Owner::new(1);
    owner.submit(LONG, spec(vec![whole(1_000)]));
    owner.advance(2_000);
    let ends = lines(&owner, "job completed");
    let size =
        "ms before its objective; 1 tasks of 8000 thousandths of a core at most, 8 core-seconds";
    assert!(ends[0].ends_with(size), "{ends:?}");
}

#[rstest]
fn a_job_that_waits_beyond_its_use_is_logged_once() {
    let mut owner = Owner::new(1);
    owner.submit(LONG, spec(vec![whole(12_000)]));
    owner.advance(100);
    owner.submit(SECOND, spec(vec![whole(1_000)]));
    owner.advance(20_000);
    assert_eq!(lines(&owner, "job has expired, 1 tasks left").len(), 1);
    assert!(lines(&owner, "ms after its objective")[0].contains("has expired"));
}
