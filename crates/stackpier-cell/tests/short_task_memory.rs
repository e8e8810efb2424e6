// SPDX-License-Identifier: Apache-2.0
//! Memory that best-effort tasks leave free for short ones: the mean request of the short tasks
//! that the cell has seen. A fixed amount was too much for workers half as large.

mod common;

use common::{Owner, spec, step};
use rstest::rstest;
use stackpier_core::Size;
use stackpier_state::job::Step;

/// SHORT and BEST_EFFORT are two jobs.
const SHORT: u64 = 1;
const BEST_EFFORT: u64 = 2;

fn sized(memory_mib: u32) -> Step {
    Step {
        size: Size {
            milli_cores: 1_000,
            memory_mib,
            accelerators: 0,
        },
        ..step(1)
    }
}

/// count_started returns how many of two best-effort tasks, of 30,000 MiB each, start at once on
/// a worker of 64,000 MiB after a short task of some MiB has run there.
fn count_started(short_mib: u32) -> usize {
    let mut owner = Owner::new(1);
    owner.submit(SHORT, spec(vec![sized(short_mib)]));
    owner.advance(2_000);
    let best_effort = Step {
        best_effort: true,
        count: 2,
        image: "fills".to_owned(),
        ..sized(30_000)
    };
    owner.submit(BEST_EFFORT, spec(vec![best_effort]));
    owner.advance(300);
    owner.places(BEST_EFFORT, 0).len()
}

#[rstest]
#[case::small(1_000, 2)]
#[case::large(10_000, 1)]
fn free_memory_follows_the_requests_of_short_tasks(#[case] short_mib: u32, #[case] started: usize) {
    assert_eq!(count_started(short_mib), started);
}
