// SPDX-License-Identifier: Apache-2.0
//! Log lines with the size of a job and its distance from the objective. Without them the log
//! does not show that only large jobs miss their objectives.

mod common;

use common::{Owner, spec, step};
use rstest::rstest;
use stackpier_core::Size;
use stackpier_state::job::Step;

/// LONG is the job that takes the only worker, and SECOND one that waits for that worker.
const LONG: u64 = 1;
const SECOND: u64 = 2;

fn whole_worker_step(estimate_ms: u32) -> Step {
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

fn filter_log_lines(owner: &Owner, part: &str) -> Vec<String> {
    let lines = owner.log_lines.iter();
    lines.filter(|line| line.contains(part)).cloned().collect()
}

#[rstest]
fn a_completed_job_is_logged_with_its_size_and_distance_from_its_objective() {
    let mut owner = Owner::new(1);
    owner.submit(LONG, spec(vec![whole_worker_step(1_000)]));
    owner.advance(2_000);
    let ends = filter_log_lines(&owner, "job completed");
    let size =
        "ms before its objective; 1 tasks of 8000 thousandths of a core at most, 8 core-seconds";
    assert!(ends[0].ends_with(size), "{ends:?}");
}

#[rstest]
fn a_job_that_expires_while_waiting_is_logged_once() {
    let mut owner = Owner::new(1);
    owner.submit(LONG, spec(vec![whole_worker_step(12_000)]));
    owner.advance(100);
    owner.submit(SECOND, spec(vec![whole_worker_step(1_000)]));
    owner.advance(20_000);
    assert_eq!(
        filter_log_lines(&owner, "job has expired, 1 tasks left").len(),
        1
    );
    assert!(filter_log_lines(&owner, "ms after its objective")[0].contains("has expired"));
}
