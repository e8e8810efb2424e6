// SPDX-License-Identifier: Apache-2.0
//! Filling images that disturb most of what serves: a worker is emptied for them. On a
//! customer's days on which six pairs of ten press hard, such tasks waited for up to 20 s
//! and their class earned 0.13 to 0.28 of what was owed, with workers to spare.

mod common;

use common::{Owner, QUEUE, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Mechanism, ModelSnapshot, Options, SavedEstimate, ServingImage};
use stackpier_core::{Size, key};
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::Step;

/// WORKERS is the number of workers, each of 8 cores with one serving task.
const WORKERS: u64 = 4;
/// FILLING is the filling job: its tasks want more than a whole worker.
const FILLING: u64 = 100;
/// HARD is the load that one core of a heavy pair adds.
const HARD: SavedEstimate = SavedEstimate {
    mean: 0.3,
    variance: 0.000_001,
};
/// LIGHT is that of a light one.
const LIGHT: SavedEstimate = SavedEstimate {
    mean: 0.001,
    variance: 0.000_001,
};
/// UNSURE is that of one that has an effect for sure, by three deviations, but may well
/// be lighter than what presses hard, 0.08.
const UNSURE: SavedEstimate = SavedEstimate {
    mean: 0.1,
    variance: 0.001,
};
/// SETTLED_MS is how long serving tasks run before anything fills.
const SETTLED_MS: u64 = 3_000;
/// WAIT_MS is how long filling tasks wait: a second until a worker is emptied, a second
/// for a stop and the next start.
const WAIT_MS: u64 = 4_000;

fn serving(number: u64, may_miss: Option<u32>) -> Step {
    Step {
        long_running: true,
        target_ms: 60,
        image: format!("serves-{number}"),
        may_miss,
        size: Size {
            milli_cores: 2_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        ..step(1)
    }
}

/// owner starts a cell whose owner knows the pairs: each image that serves is alone on
/// its worker.
fn owner(pair: SavedEstimate, may_miss: Option<u32>, options: Options) -> Owner {
    let mut owner = Owner::with_options(WORKERS as usize, 1, false, options);
    let of = |number: u64| ServingImage {
        image: format!("serves-{number}"),
        pairs: vec![("fills".to_owned(), pair)],
    };
    owner.cell.restore_model(&ModelSnapshot {
        serving: (0..WORKERS).map(of).collect(),
        periods: Vec::new(),
    });
    for place in 0..WORKERS as usize {
        owner.feed(Event::Listed(common::info(place)));
    }
    owner.advance(100);
    for number in 0..WORKERS {
        let behaviour = Behaviour {
            lasts: true,
            tail_ms: Some(20),
            size: serving(number, None).size,
            ..Behaviour::default()
        };
        owner.behaviours.insert((number, 0), behaviour);
        owner.submit(number, spec(vec![serving(number, may_miss)]));
    }
    owner.advance(SETTLED_MS);
    let best_effort = Step {
        best_effort: true,
        image: "fills".to_owned(),
        estimate_ms: 4_000,
        checkpointing: true,
        ..step(24)
    };
    owner.submit_to(FILLING, QUEUE, spec(vec![best_effort]), 1, None);
    owner.advance(WAIT_MS);
    owner
}

/// moved returns how many serving tasks were started again.
fn moved(owner: &Owner) -> usize {
    let all: usize = (0..WORKERS)
        .map(|number| owner.places(number, 0).len())
        .sum();
    all - WORKERS as usize
}

#[rstest]
fn a_worker_is_emptied_for_what_disturbs_all() {
    let owner = owner(HARD, Some(1), Options::default());
    assert!(moved(&owner) >= 1, "no serving task was moved");
    let serving: Vec<usize> = (0..WORKERS)
        .filter_map(|number| owner.places(number, 0).last().copied())
        .collect();
    let places = owner.places(FILLING, 0);
    let apart = places
        .iter()
        .filter(|place| !serving.contains(place))
        .count();
    assert!(apart >= 6, "{places:?} beside {serving:?}");
}

#[rstest]
fn without_the_mechanism_what_serves_stays() {
    let options = Options {
        without: [Mechanism::Spare].into_iter().collect(),
        ..Options::default()
    };
    assert_eq!(moved(&owner(HARD, Some(1), options)), 0);
}

#[rstest]
fn what_disturbs_few_empties_no_worker() {
    assert_eq!(moved(&owner(LIGHT, Some(1), Options::default())), 0);
}

/// Guards against emptying workers for an image of which it is only sure that it has some
/// effect, not that it presses hard.
#[rstest]
fn what_may_be_light_empties_no_worker() {
    let options = Options {
        without: [Mechanism::Learning].into_iter().collect(),
        ..Options::default()
    };
    assert_eq!(moved(&owner(UNSURE, Some(1), options)), 0);
}

#[rstest]
fn a_task_that_its_step_can_not_miss_stays() {
    assert_eq!(moved(&owner(HARD, Some(0), Options::default())), 0);
}

#[rstest]
fn workers_serve_again_once_nothing_waits() {
    let mut owner = owner(HARD, Some(1), Options::default());
    owner.feed(Event::Cancelled(key::Job(FILLING)));
    owner.advance(8_000);
    let number = WORKERS + 1;
    owner.submit(number, spec(vec![serving(number, None)]));
    owner.advance(500);
    let serves =
        |place: &usize| (0..WORKERS).any(|other| owner.places(other, 0).last() == Some(place));
    let place = owner.places(number, 0)[0];
    assert!(!serves(&place), "the empty worker {place} is used again");
}
