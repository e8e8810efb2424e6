// SPDX-License-Identifier: Apache-2.0
//! Memory is kept free of filling tasks for short ones: as much as these ask for on the
//! mean, as far as the cell has seen them. A fixed amount, found on two customers, was
//! too much for workers half as large.

mod common;

use common::{Owner, spec, step};
use rstest::rstest;
use stackpier_core::Size;
use stackpier_state::job::Step;

/// SHORT and FILLING are two jobs.
const SHORT: u64 = 1;
const FILLING: u64 = 2;

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

/// filled returns how many of two filling tasks, of 30,000 MiB each, start at once on a
/// worker of 64,000 MiB after a short task of some MiB was seen there.
fn filled(short_mib: u32) -> usize {
    let mut owner = Owner::new(1);
    owner.submit(SHORT, spec(vec![sized(short_mib)]));
    owner.advance(2_000);
    let best_effort = Step {
        best_effort: true,
        count: 2,
        image: "fills".to_owned(),
        ..sized(30_000)
    };
    owner.submit(FILLING, spec(vec![best_effort]));
    owner.advance(300);
    owner.places(FILLING, 0).len()
}

#[rstest]
#[case::small(1_000, 2)]
#[case::large(10_000, 1)]
fn as_much_is_kept_free_as_short_tasks_ask_for(#[case] short_mib: u32, #[case] both: usize) {
    assert_eq!(filled(short_mib), both);
}
