// SPDX-License-Identifier: Apache-2.0
//! Long-running tasks that get time slices because not all of them fit at once. Client accounts
//! count one as lost if it has not run for nine seconds while there was capacity, also if that
//! was on different workers over time.

mod common;

use common::{Owner, info, name, spec, step};
use rstest::rstest;
use stackpier_cell::{Mechanism, Options};
use stackpier_core::Size;
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::Step;

/// FIRST fills all workers with one task each, and SECOND fits nowhere.
const FIRST: u64 = 1;
const SECOND: u64 = 2;
const WORKERS: usize = 4;
/// MAX_STOPPED_MS is the longest time for which a task may be stopped.
const MAX_STOPPED_MS: u64 = 9_000;

fn long_running_step(may_miss: Option<u32>) -> Step {
    Step {
        long_running: true,
        may_miss,
        size: Size {
            milli_cores: 6_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        ..step(1)
    }
}

fn submit_long_running_job(owner: &mut Owner, job: u64, shape: Step) {
    let size = Size {
        milli_cores: if shape.best_effort {
            0
        } else {
            shape.size.milli_cores
        },
        ..shape.size
    };
    let behaviour = Behaviour {
        size,
        long_running: true,
        ..Behaviour::default()
    };
    owner.behaviours.insert((job, 0), behaviour);
    owner.submit(job, spec(vec![shape]));
}

/// start_full_cell starts a cell whose workers are all taken by the tasks of one job.
fn start_full_cell(may_miss: Option<u32>, without: Option<Mechanism>) -> Owner {
    let options = Options {
        max_lease_ms: 6_000,
        without: without.into_iter().collect(),
        ..Options::default()
    };
    let mut owner = Owner::with_options(WORKERS, 1, false, options);
    for place in 0..WORKERS {
        owner.feed(stackpier_cell::Event::Listed(info(place)));
    }
    owner.advance(100);
    let first = Step {
        count: WORKERS as u32,
        ..long_running_step(may_miss)
    };
    submit_long_running_job(&mut owner, FIRST, first);
    owner.advance(1_000);
    assert_eq!(owner.places(FIRST, 0).len(), WORKERS);
    owner
}

/// count_restarts returns how often tasks of the first job were stopped and started again.
fn count_restarts(owner: &Owner) -> usize {
    owner.places(FIRST, 0).len() - WORKERS
}

#[rstest]
#[case::with_rotation(None, 1)]
#[case::without_rotation(Some(Mechanism::Rotation), 0)]
fn a_task_that_fits_nowhere_gets_a_time_slice(
    #[case] without: Option<Mechanism>,
    #[case] starts: usize,
) {
    let mut owner = start_full_cell(Some(1), without);
    submit_long_running_job(&mut owner, SECOND, long_running_step(None));
    owner.advance(MAX_STOPPED_MS);
    assert_eq!(owner.places(SECOND, 0).len(), starts);
}

/// With one worker too few, each of the five tasks is stopped at times, and none for a long
/// time.
#[rstest]
fn no_task_is_stopped_for_long_while_time_slices_rotate() {
    let mut owner = start_full_cell(Some(1), None);
    submit_long_running_job(&mut owner, SECOND, long_running_step(None));
    for _ in 0..6 {
        let before = owner.starts.len();
        owner.advance(MAX_STOPPED_MS);
        assert!(owner.starts.len() > before, "{} starts", owner.starts.len());
    }
    let again = (0..WORKERS as u32).filter(|index| owner.starts_of(name(FIRST, 0, *index)) > 1);
    assert!(again.count() >= 2);
}

#[rstest]
fn a_step_that_may_miss_no_task_is_not_rotated() {
    let mut owner = start_full_cell(Some(0), None);
    submit_long_running_job(&mut owner, SECOND, long_running_step(None));
    owner.advance(3 * MAX_STOPPED_MS);
    assert_eq!(owner.places(SECOND, 0).len(), 0);
    assert_eq!(count_restarts(&owner), 0);
}

/// Best-effort tasks wait because of harm, unused processors or memory, so stopping another task
/// does not let them start.
#[rstest]
fn no_task_is_stopped_for_a_long_running_best_effort_task() {
    let mut owner = start_full_cell(Some(1), None);
    let best_effort = Step {
        best_effort: true,
        image: "fills".to_owned(),
        size: Size {
            memory_mib: 63_500,
            ..long_running_step(None).size
        },
        ..long_running_step(None)
    };
    submit_long_running_job(&mut owner, SECOND, best_effort);
    owner.advance(3 * MAX_STOPPED_MS);
    assert_eq!(count_restarts(&owner), 0);
}
