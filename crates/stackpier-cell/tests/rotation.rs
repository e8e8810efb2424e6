// SPDX-License-Identifier: Apache-2.0
//! Tasks that last and take turns, where there is not room for all of them: users count one as
//! lost if it is away for nine seconds while there was room, wherever that came and went.

mod common;

use common::{Owner, info, name, spec, step};
use rstest::rstest;
use stackpier_cell::{Mechanism, Options};
use stackpier_core::Size;
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::Step;

/// FIRST fills all workers with one task each, and SECOND finds no room.
const FIRST: u64 = 1;
const SECOND: u64 = 2;
const WORKERS: usize = 4;
/// AWAY_MS is for how long a task may be away.
const AWAY_MS: u64 = 9_000;

fn long_running(may_miss: Option<u32>) -> Step {
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

fn last(owner: &mut Owner, job: u64, shape: Step) {
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
        lasts: true,
        ..Behaviour::default()
    };
    owner.behaviours.insert((job, 0), behaviour);
    owner.submit(job, spec(vec![shape]));
}

/// full starts a cell whose workers are all taken by the tasks of one job.
fn full(may_miss: Option<u32>, without: Option<Mechanism>) -> Owner {
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
        ..long_running(may_miss)
    };
    last(&mut owner, FIRST, first);
    owner.advance(1_000);
    assert_eq!(owner.places(FIRST, 0).len(), WORKERS);
    owner
}

/// turns returns how many tasks of the first job were stopped and started again.
fn turns(owner: &Owner) -> usize {
    owner.places(FIRST, 0).len() - WORKERS
}

#[rstest]
#[case::with_turns(None, 1)]
#[case::without(Some(Mechanism::Rotation), 0)]
fn a_task_that_finds_no_room_gets_its_turn(
    #[case] without: Option<Mechanism>,
    #[case] starts: usize,
) {
    let mut owner = full(Some(1), without);
    last(&mut owner, SECOND, long_running(None));
    owner.advance(AWAY_MS);
    assert_eq!(owner.places(SECOND, 0).len(), starts);
}

/// One place too few: each of the five tasks is away in its turn, none for long.
#[rstest]
fn no_task_is_away_for_long_while_all_take_turns() {
    let mut owner = full(Some(1), None);
    last(&mut owner, SECOND, long_running(None));
    for _ in 0..6 {
        let before = owner.starts.len();
        owner.advance(AWAY_MS);
        assert!(owner.starts.len() > before, "{} starts", owner.starts.len());
    }
    let again = (0..WORKERS as u32).filter(|index| owner.starts_of(name(FIRST, 0, *index)) > 1);
    assert!(again.count() >= 2);
}

#[rstest]
fn a_step_that_can_miss_no_task_gives_no_place() {
    let mut owner = full(Some(0), None);
    last(&mut owner, SECOND, long_running(None));
    owner.advance(3 * AWAY_MS);
    assert_eq!(owner.places(SECOND, 0).len(), 0);
    assert_eq!(turns(&owner), 0);
}

/// Tasks that fill wait for harm, unused processors or memory: another one's place is no use.
#[rstest]
fn nothing_is_stopped_for_tasks_that_last_and_fill() {
    let mut owner = full(Some(1), None);
    let best_effort = Step {
        best_effort: true,
        image: "fills".to_owned(),
        size: Size {
            memory_mib: 63_500,
            ..long_running(None).size
        },
        ..long_running(None)
    };
    last(&mut owner, SECOND, best_effort);
    owner.advance(3 * AWAY_MS);
    assert_eq!(turns(&owner), 0);
}
