// SPDX-License-Identifier: Apache-2.0
//! No job waits for ever while workers have room.
//!
//! Seen: a job was accepted, its first step was done, and no task of its second
//! step ever ran, though most of the workers' room was free. Its tasks fill, and
//! were nearly as wide as such tasks get.
//!
//! How it came about: a filling task started only where the expected rise in the
//! number of serving tasks over target was below a fixed bound. That rise grows with
//! the task's width, and serving tasks are spread over all workers. So a wide task
//! was kept from every worker for as long as the serving tasks stayed; and because
//! it never ran, nothing was learnt that would have lowered the expectation.
//!
//! Cause, as far as shown: bounds that protect others (harm, memory and processors
//! kept free) held without an end, however long a step had had nothing running.
//!
//! Proof: the owner's log of other days names the obstacle of each worker: harm, busy
//! processors and memory kept free, none else, for up to 24 seconds; and in these
//! tests nothing but one of the three stands in the way. The day itself was not seen
//! again, so that this was its cause is inferred.

mod common;

use common::{Owner, info, queue, spec, step};
use stackpier_cell::{Event, ModelSnapshot, Options, Queue, SavedEstimate, ServingImage};
use stackpier_core::{Size, key};
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::{State, Step};

/// WAIT_MS is by when a job with room must have something running: users call it
/// lost from three seconds on.
const WAIT_MS: u64 = 3_000;
/// LONG_RUNNING and FILLING are the jobs of the tests.
const LONG_RUNNING: u64 = 1;
const FILLING: u64 = 2;

/// long_running returns a step of tasks that serve, with a target of 20 ms.
fn long_running(count: u32, milli_cores: u32) -> Step {
    let mut step = Step {
        long_running: true,
        target_ms: 20,
        image: "serving".to_owned(),
        ..step(count)
    };
    step.size.milli_cores = milli_cores;
    step
}

/// filling returns a step of tasks that fill, with a width in thousandths of a core.
fn filling(count: u32, milli_cores: u32) -> Step {
    let mut step = Step {
        best_effort: true,
        checkpointing: true,
        image: "filling".to_owned(),
        ..step(count)
    };
    step.size.milli_cores = milli_cores;
    step
}

/// serve hands lasting tasks in that keep a tail latency, and lets them settle.
fn serve(owner: &mut Owner, step: Step, tail_ms: u32) {
    let behaviour = Behaviour {
        size: step.size,
        lasts: true,
        tail_ms: Some(tail_ms),
        ..Behaviour::default()
    };
    owner.behaviours.insert((LONG_RUNNING, 0), behaviour);
    owner.submit(LONG_RUNNING, spec(vec![step]));
    owner.advance(3_000);
}

/// presses tells the owner by how much filling images disturb the serving one.
fn presses(owner: &mut Owner, filling: &[String], load_per_core: f32) {
    let term = SavedEstimate {
        mean: load_per_core,
        variance: 0.000_1,
    };
    let pairs = filling.iter().map(|image| (image.clone(), term));
    owner.cell.restore_model(&ModelSnapshot {
        serving: vec![ServingImage {
            image: "serving".to_owned(),
            pairs: pairs.collect(),
        }],
        periods: Vec::new(),
    });
}

fn has_started(owner: &Owner) -> bool {
    !owner.places(FILLING, 0).is_empty()
}

/// assert_started fails with what keeps the filling job from starting.
fn assert_started(owner: &mut Owner) {
    let why = owner.cell.explain(key::Job(FILLING));
    assert!(has_started(owner), "{why:?}");
}

#[test]
fn a_wide_task_is_not_kept_from_all_workers_for_expected_harm() {
    let mut owner = Owner::new(4);
    presses(&mut owner, &["filling".to_owned()], 0.09);
    serve(&mut owner, long_running(4, 5_000), 8);
    owner.submit(FILLING, spec(vec![filling(1, 6_000)]));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

#[test]
fn a_wide_task_of_images_never_seen_together_is_tried() {
    let mut owner = Owner::new(4);
    serve(&mut owner, long_running(12, 2_500), 12);
    owner.submit(FILLING, spec(vec![filling(1, 5_500)]));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

#[test]
fn the_later_step_of_a_job_is_not_left_waiting() {
    let mut owner = Owner::new(4);
    presses(&mut owner, &["filling".to_owned()], 0.09);
    serve(&mut owner, long_running(4, 5_000), 8);
    let second = Step {
        after: vec![0],
        ..filling(8, 6_500)
    };
    owner.submit(FILLING, spec(vec![filling(4, 500), second]));
    owner.advance(120_000);
    assert_eq!(owner.state(FILLING), Some(State::Completed));
}

#[test]
fn a_task_is_not_kept_from_small_workers_for_memory_kept_free() {
    let mut owner = Owner::with(2, 1, false);
    for place in 0..2 {
        let mut small = info(place);
        small.capacity = Size {
            memory_mib: 16_000,
            ..small.capacity
        };
        owner.workers[place].info = small.clone();
        owner.feed(Event::Listed(small));
    }
    owner.advance(100);
    owner.submit(FILLING, spec(vec![filling(1, 1_000)]));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

#[test]
fn a_task_as_wide_as_a_worker_is_not_kept_out_for_reserved_processors() {
    let mut owner = Owner::new(2);
    serve(&mut owner, long_running(2, 6_000), 4);
    owner.submit(FILLING, spec(vec![filling(1, 8_000)]));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

/// A look at the filling tasks ends after a number of kinds that found no worker, so
/// that it stays cheap; and starts in spite of the bounds are spread over time. What
/// comes last must not wait for ever: those that wait longest go first.
#[test]
fn steps_that_starve_have_their_turn_however_many_they_are() {
    const STEPS: u64 = 45;
    let mut owner = Owner::new(1);
    let images: Vec<String> = (0..STEPS).map(|kind| format!("filling-{kind}")).collect();
    presses(&mut owner, &images, 4.0);
    serve(&mut owner, long_running(1, 1_000), 8);
    for (job, image) in (100..).zip(images) {
        let long = Step {
            image,
            estimate_ms: 100_000,
            ..filling(2, 150)
        };
        owner.submit(job, spec(vec![long]));
    }
    let turns_ms = STEPS * 650;
    owner.advance(WAIT_MS + turns_ms);
    let waits = |job: &u64| owner.places(*job, 0).is_empty();
    let waiting: Vec<u64> = (100..100 + STEPS).filter(waits).collect();
    assert!(waiting.is_empty(), "never started: {waiting:?}");
}

/// While most of a service is in use, the bounds hold for longer, yet not for ever.
#[test]
fn a_wide_task_has_its_turn_on_a_service_that_stays_full() {
    let mut owner = Owner::new(1);
    presses(&mut owner, &["filling".to_owned()], 0.5);
    serve(&mut owner, long_running(3, 2_500), 8);
    let calm = Step {
        image: "calm".to_owned(),
        estimate_ms: 100_000,
        ..filling(2, 1_000)
    };
    owner.submit(3, spec(vec![calm]));
    owner.advance(1_000);
    assert_eq!(owner.places(3, 0).len(), 2, "the service is in use");
    owner.submit(FILLING, spec(vec![filling(1, 2_500)]));
    owner.advance(10_000);
    assert!(!has_started(&owner), "room may come yet");
    owner.advance(13_000);
    assert_started(&mut owner);
}

/// What was slowed down beside a serving task goes on once that has left.
#[test]
fn a_paused_task_goes_on_when_the_serving_one_has_left() {
    let mut owner = Owner::new(1);
    serve(&mut owner, long_running(1, 1_000), 60);
    let long = Step {
        checkpointing: false,
        estimate_ms: 4_000,
        ..filling(1, 1_000)
    };
    owner.submit(FILLING, spec(vec![long]));
    owner.advance(6_000);
    assert!(has_started(&owner), "it was tried");
    owner.feed(Event::Cancelled(key::Job(LONG_RUNNING)));
    owner.advance(20_000);
    let why = owner.cell.explain(key::Job(FILLING));
    assert_eq!(owner.state(FILLING), Some(State::Completed), "{why:?}");
}

/// A task that saves nothing is not left standing where the load stays: once it has
/// stood for as long as the work that is lost, it moves.
#[test]
fn a_paused_task_moves_where_the_load_stays() {
    let mut owner = Owner::with(2, 1, false);
    owner.feed(Event::Listed(info(0)));
    owner.advance(100);
    serve(&mut owner, long_running(1, 2_500), 8);
    let long = Step {
        estimate_ms: 10_000,
        checkpointing: false,
        ..filling(1, 2_000)
    };
    owner.submit(FILLING, spec(vec![long]));
    owner.advance(3_000);
    assert_eq!(owner.places(FILLING, 0), vec![0]);
    owner.workers[0].set_tail(60);
    owner.feed(Event::Listed(info(1)));
    owner.advance(60_000);
    let why = owner.cell.explain(key::Job(FILLING));
    assert_eq!(owner.state(FILLING), Some(State::Completed), "{why:?}");
}

/// The adviser is also asked about workers that the bounds kept a task from.
#[test]
fn a_starving_task_of_an_advised_queue_has_its_turn() {
    let mut owner = Owner::new(4);
    presses(&mut owner, &["filling".to_owned()], 0.09);
    serve(&mut owner, long_running(4, 5_000), 8);
    let advised = Queue {
        advised: true,
        ..queue("advised", 0)
    };
    owner.feed(Event::Queues(vec![advised]));
    owner.submit_to(FILLING, "advised", spec(vec![filling(1, 6_000)]), 1, None);
    owner.advance(5_000);
    let why = owner.cell.explain(key::Job(FILLING));
    assert!(has_started(&owner), "asked {:?}; {why:?}", owner.asked);
}

/// A start that the worker refuses leaves the step waiting for as long as it has.
#[test]
fn a_refused_start_does_not_begin_the_wait_again() {
    let mut owner = Owner::new(1);
    presses(&mut owner, &["filling".to_owned()], 0.5);
    serve(&mut owner, long_running(3, 2_500), 8);
    let calm = Step {
        image: "calm".to_owned(),
        estimate_ms: 100_000,
        ..filling(2, 1_000)
    };
    owner.submit(3, spec(vec![calm]));
    owner.advance(1_000);
    // The worker has less room than the owner believes, for the first start only.
    let refused = Behaviour {
        size: Size {
            memory_mib: 63_000,
            ..Size::default()
        },
        ..Behaviour::default()
    };
    owner.behaviours.insert((FILLING, 0), refused);
    owner.submit(FILLING, spec(vec![filling(1, 2_500)]));
    owner.advance(20_500);
    owner.behaviours.remove(&(FILLING, 0));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

/// Each task that lasts has its own turn, also if it fills.
#[test]
fn each_long_running_best_effort_task_has_its_turn() {
    let mut owner = Owner::new(2);
    presses(&mut owner, &["filling".to_owned()], 0.5);
    serve(&mut owner, long_running(1, 5_000), 8);
    let mut both = Step {
        long_running: true,
        ..filling(2, 2_000)
    };
    both.size.memory_mib = 40_000;
    let behaviour = Behaviour {
        size: Size {
            milli_cores: 0,
            ..both.size
        },
        fills_milli: 2_000,
        lasts: true,
        ..Behaviour::default()
    };
    owner.behaviours.insert((FILLING, 0), behaviour);
    owner.submit(FILLING, spec(vec![both]));
    owner.advance(WAIT_MS);
    let why = owner.cell.explain(key::Job(FILLING));
    assert_eq!(owner.places(FILLING, 0).len(), 2, "{why:?}");
}

/// What runs is taken to use what reports show, not what it asked for.
#[test]
fn a_service_that_is_hardly_used_counts_as_free() {
    let mut owner = Owner::new(1);
    presses(&mut owner, &["filling".to_owned()], 0.5);
    serve(&mut owner, long_running(2, 2_500), 8);
    let idle = Step {
        image: "calm".to_owned(),
        estimate_ms: 100_000,
        ..filling(1, 2_000)
    };
    let behaviour = Behaviour {
        work_ms: 100_000,
        size: Size {
            milli_cores: 0,
            ..idle.size
        },
        fills_milli: 200,
        ..Behaviour::default()
    };
    owner.behaviours.insert((3, 0), behaviour);
    owner.submit(3, spec(vec![idle]));
    owner.advance(2_000);
    assert_eq!(owner.places(3, 0).len(), 1, "it takes room");
    owner.submit(FILLING, spec(vec![filling(1, 3_000)]));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

/// Workers that leave are no free room.
#[test]
fn workers_that_leave_do_not_count_as_free() {
    let mut owner = Owner::new(3);
    presses(&mut owner, &["filling".to_owned()], 0.5);
    serve(&mut owner, long_running(1, 8_000), 8);
    let full = owner.places(LONG_RUNNING, 0)[0];
    for place in (0..3).filter(|place| *place != full) {
        let mut leaving = info(place);
        leaving.draining = true;
        leaving.remaining_ms = Some(100_000);
        owner.feed(Event::Listed(leaving));
    }
    let calm = Step {
        image: "calm".to_owned(),
        estimate_ms: 100_000,
        ..filling(1, 2_000)
    };
    owner.submit(3, spec(vec![calm]));
    owner.advance(1_000);
    assert_eq!(owner.places(3, 0), vec![full]);
    owner.submit(FILLING, spec(vec![filling(1, 4_000)]));
    owner.advance(10_000);
    assert!(!has_started(&owner), "the only worker left is in use");
}

/// Where nothing is to fill beside serving tasks, nothing does, however long it waits.
#[test]
fn nothing_starts_beside_serving_tasks_where_that_is_ruled_out() {
    let options = Options {
        colocate: false,
        max_lease_ms: 6_000,
        ..Options::default()
    };
    let mut owner = Owner::with_options(2, 1, false, options);
    for place in 0..2 {
        owner.feed(Event::Listed(info(place)));
    }
    owner.advance(100);
    serve(&mut owner, long_running(2, 5_000), 8);
    owner.submit(FILLING, spec(vec![filling(1, 1_000)]));
    owner.advance(30_000);
    assert!(!has_started(&owner), "{:?}", owner.places(FILLING, 0));
}

/// Starts in spite of the bounds are spread: the effect of one is seen before the next.
#[test]
fn starts_of_starving_steps_on_a_worker_are_spread_over_time() {
    let mut owner = Owner::new(1);
    presses(&mut owner, &["filling".to_owned()], 4.0);
    serve(&mut owner, long_running(1, 1_000), 8);
    for job in 100..110 {
        owner.submit(job, spec(vec![filling(1, 150)]));
    }
    owner.advance(2_500);
    let started = owner
        .starts
        .iter()
        .filter(|(start, _)| start.order.task.job.0 >= 100);
    assert_eq!(started.count(), 1);
}

/// Seen on a full cell: tasks that last did not run for 25 s after a failure. The room
/// that came where others of them ended was shared out among narrow tasks, as what can't
/// be in time any more came last; the log named no worker with enough room at once.
#[test]
fn room_for_a_task_that_lasts_is_not_shared_out_among_narrow_ones() {
    const WAITING: u64 = 3;
    let mut owner = Owner::new(1);
    for job in [LONG_RUNNING, WAITING] {
        let mut wide = Step {
            long_running: true,
            ..step(1)
        };
        wide.size.milli_cores = 6_000;
        let behaviour = Behaviour {
            size: wide.size,
            lasts: true,
            ..Behaviour::default()
        };
        owner.behaviours.insert((job, 0), behaviour);
        owner.submit(job, spec(vec![wide]));
        owner.advance(500);
    }
    owner.advance(3_500);
    // These are in time yet, as some always are.
    for job in 100..102 {
        owner.submit(job, spec(vec![step(8)]));
    }
    owner.feed(Event::Cancelled(key::Job(LONG_RUNNING)));
    owner.advance(500);
    let why = owner.cell.explain(key::Job(WAITING));
    assert!(!owner.places(WAITING, 0).is_empty(), "{why:?}");
}
