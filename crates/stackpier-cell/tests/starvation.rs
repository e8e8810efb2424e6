// SPDX-License-Identifier: Apache-2.0
//! No job waits indefinitely while workers have free capacity.
//!
//! Guards against a step that never starts because of the limits that protect other tasks: on
//! harm, on busy processors and on memory kept free. The limit on harm alone kept a wide
//! best-effort step waiting though most capacity was free: the expected number of serving tasks
//! that go over their targets grows with a task's width, and every worker had serving tasks. As
//! the step never ran, the model never learnt that its effect is smaller than expected. So the
//! limits are relaxed for a step that has had nothing running for a long time. In logs they were
//! the only obstacles, for up to 24 seconds; that they caused the endless wait, too, is
//! inferred. In these tests one of the three alone keeps a task waiting.

mod common;

use common::{Owner, info, queue, spec, step};
use stackpier_cell::{Event, ModelSnapshot, Options, Queue, SavedEstimate, ServingImage};
use stackpier_core::{Size, key};
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::{State, Step};

/// WAIT_MS is the time within which a job must have something running if it fits: client
/// accounts count it as lost from three seconds on.
const WAIT_MS: u64 = 3_000;
/// LONG_RUNNING and BEST_EFFORT are the jobs of the tests.
const LONG_RUNNING: u64 = 1;
const BEST_EFFORT: u64 = 2;

/// serving_step returns a step of serving tasks with a tail-latency target of 20 ms.
fn serving_step(count: u32, milli_cores: u32) -> Step {
    let mut step = Step {
        long_running: true,
        target_ms: 20,
        image: "serving".to_owned(),
        ..step(count)
    };
    step.size.milli_cores = milli_cores;
    step
}

/// best_effort_step returns a step of best-effort tasks of some thousandths of a core.
fn best_effort_step(count: u32, milli_cores: u32) -> Step {
    let mut step = Step {
        best_effort: true,
        checkpointing: true,
        image: "filling".to_owned(),
        ..step(count)
    };
    step.size.milli_cores = milli_cores;
    step
}

/// submit_serving_job submits serving tasks with a constant tail latency, and lets them settle.
fn submit_serving_job(owner: &mut Owner, step: Step, tail_ms: u32) {
    let behaviour = Behaviour {
        size: step.size,
        long_running: true,
        tail_ms: Some(tail_ms),
        ..Behaviour::default()
    };
    owner.behaviours.insert((LONG_RUNNING, 0), behaviour);
    owner.submit(LONG_RUNNING, spec(vec![step]));
    owner.advance(3_000);
}

/// set_interference gives the owner a model of how much best-effort images disturb the serving
/// one.
fn set_interference(owner: &mut Owner, images: &[String], load_per_core: f32) {
    let term = SavedEstimate {
        mean: load_per_core,
        variance: 0.000_1,
    };
    let pairs = images.iter().map(|image| (image.clone(), term));
    owner.cell.restore_model(&ModelSnapshot {
        serving: vec![ServingImage {
            image: "serving".to_owned(),
            pairs: pairs.collect(),
        }],
        periods: Vec::new(),
    });
}

fn has_started(owner: &Owner) -> bool {
    !owner.places(BEST_EFFORT, 0).is_empty()
}

/// assert_started fails with the obstacles of the best-effort job unless that has started.
fn assert_started(owner: &mut Owner) {
    let why = owner.cell.explain(key::Job(BEST_EFFORT));
    assert!(has_started(owner), "{why:?}");
}

#[test]
fn a_wide_task_is_not_kept_from_all_workers_for_expected_harm() {
    let mut owner = Owner::new(4);
    set_interference(&mut owner, &["filling".to_owned()], 0.09);
    submit_serving_job(&mut owner, serving_step(4, 5_000), 8);
    owner.submit(BEST_EFFORT, spec(vec![best_effort_step(1, 6_000)]));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

#[test]
fn a_wide_task_of_an_unknown_pair_is_tried() {
    let mut owner = Owner::new(4);
    submit_serving_job(&mut owner, serving_step(12, 2_500), 12);
    owner.submit(BEST_EFFORT, spec(vec![best_effort_step(1, 5_500)]));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

#[test]
fn the_later_step_of_a_job_is_not_left_waiting() {
    let mut owner = Owner::new(4);
    set_interference(&mut owner, &["filling".to_owned()], 0.09);
    submit_serving_job(&mut owner, serving_step(4, 5_000), 8);
    let second = Step {
        after: vec![0],
        ..best_effort_step(8, 6_500)
    };
    owner.submit(BEST_EFFORT, spec(vec![best_effort_step(4, 500), second]));
    owner.advance(120_000);
    assert_eq!(owner.state(BEST_EFFORT), Some(State::Completed));
}

#[test]
fn a_task_starts_on_a_small_worker_despite_memory_kept_free() {
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
    owner.submit(BEST_EFFORT, spec(vec![best_effort_step(1, 1_000)]));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

#[test]
fn a_task_as_wide_as_a_worker_starts_despite_reserved_processors() {
    let mut owner = Owner::new(2);
    submit_serving_job(&mut owner, serving_step(2, 6_000), 4);
    owner.submit(BEST_EFFORT, spec(vec![best_effort_step(1, 8_000)]));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

/// A scan of the best-effort tasks ends after a number of kinds that found no worker, to stay
/// cheap, and relaxed starts are spread over time. The last steps must not wait indefinitely:
/// those that have waited longest go first.
#[test]
fn starving_steps_start_however_many_they_are() {
    const STEPS: u64 = 45;
    let mut owner = Owner::new(1);
    let images: Vec<String> = (0..STEPS).map(|kind| format!("filling-{kind}")).collect();
    set_interference(&mut owner, &images, 4.0);
    submit_serving_job(&mut owner, serving_step(1, 1_000), 8);
    for (job, image) in (100..).zip(images) {
        let long = Step {
            image,
            estimate_ms: 100_000,
            ..best_effort_step(2, 150)
        };
        owner.submit(job, spec(vec![long]));
    }
    let relaxed_starts_ms = STEPS * 650;
    owner.advance(WAIT_MS + relaxed_starts_ms);
    let waits = |job: &u64| owner.places(*job, 0).is_empty();
    let waiting: Vec<u64> = (100..100 + STEPS).filter(waits).collect();
    assert!(waiting.is_empty(), "never started: {waiting:?}");
}

/// While most of a service is in use, the limits hold for longer, but not indefinitely.
#[test]
fn a_wide_task_starts_on_a_service_that_stays_full() {
    let mut owner = Owner::new(1);
    set_interference(&mut owner, &["filling".to_owned()], 0.5);
    submit_serving_job(&mut owner, serving_step(3, 2_500), 8);
    let harmless = Step {
        image: "calm".to_owned(),
        estimate_ms: 100_000,
        ..best_effort_step(2, 1_000)
    };
    owner.submit(3, spec(vec![harmless]));
    owner.advance(1_000);
    assert_eq!(owner.places(3, 0).len(), 2, "the service is in use");
    owner.submit(BEST_EFFORT, spec(vec![best_effort_step(1, 2_500)]));
    owner.advance(10_000);
    assert!(!has_started(&owner), "the limits still hold");
    owner.advance(13_000);
    assert_started(&mut owner);
}

/// A task that was slowed down beside a serving task continues once that has left.
#[test]
fn a_paused_task_continues_when_the_serving_one_has_left() {
    let mut owner = Owner::new(1);
    submit_serving_job(&mut owner, serving_step(1, 1_000), 60);
    let long = Step {
        checkpointing: false,
        estimate_ms: 4_000,
        ..best_effort_step(1, 1_000)
    };
    owner.submit(BEST_EFFORT, spec(vec![long]));
    owner.advance(6_000);
    assert!(has_started(&owner), "the job was not tried");
    owner.feed(Event::Cancelled(key::Job(LONG_RUNNING)));
    owner.advance(20_000);
    let why = owner.cell.explain(key::Job(BEST_EFFORT));
    assert_eq!(owner.state(BEST_EFFORT), Some(State::Completed), "{why:?}");
}

/// A task without checkpoints does not stay paused where the load persists: once it has been
/// paused for as long as the work that a move loses, it is moved.
#[test]
fn a_paused_task_moves_where_the_load_persists() {
    let mut owner = Owner::with(2, 1, false);
    owner.feed(Event::Listed(info(0)));
    owner.advance(100);
    submit_serving_job(&mut owner, serving_step(1, 2_500), 8);
    let long = Step {
        estimate_ms: 10_000,
        checkpointing: false,
        ..best_effort_step(1, 2_000)
    };
    owner.submit(BEST_EFFORT, spec(vec![long]));
    owner.advance(3_000);
    assert_eq!(owner.places(BEST_EFFORT, 0), vec![0]);
    owner.workers[0].set_tail(60);
    owner.feed(Event::Listed(info(1)));
    owner.advance(60_000);
    let why = owner.cell.explain(key::Job(BEST_EFFORT));
    assert_eq!(owner.state(BEST_EFFORT), Some(State::Completed), "{why:?}");
}

/// Advice is also requested about workers that only the limits kept a task from.
#[test]
fn a_starving_task_of_an_advised_queue_starts() {
    let mut owner = Owner::new(4);
    set_interference(&mut owner, &["filling".to_owned()], 0.09);
    submit_serving_job(&mut owner, serving_step(4, 5_000), 8);
    let advised = Queue {
        advised: true,
        ..queue("advised", 0)
    };
    owner.feed(Event::Queues(vec![advised]));
    owner.submit_to(
        BEST_EFFORT,
        "advised",
        spec(vec![best_effort_step(1, 6_000)]),
        1,
        None,
    );
    owner.advance(5_000);
    let why = owner.cell.explain(key::Job(BEST_EFFORT));
    assert!(
        has_started(&owner),
        "asked {:?}; {why:?}",
        owner.advice_sizes
    );
}

/// A start that the worker refuses does not reset the time for which the step has waited.
#[test]
fn a_refused_start_does_not_reset_the_wait() {
    let mut owner = Owner::new(1);
    set_interference(&mut owner, &["filling".to_owned()], 0.5);
    submit_serving_job(&mut owner, serving_step(3, 2_500), 8);
    let harmless = Step {
        image: "calm".to_owned(),
        estimate_ms: 100_000,
        ..best_effort_step(2, 1_000)
    };
    owner.submit(3, spec(vec![harmless]));
    owner.advance(1_000);
    // The worker has less free capacity than the owner assumes, for the first start only.
    let refused = Behaviour {
        size: Size {
            memory_mib: 63_000,
            ..Size::default()
        },
        ..Behaviour::default()
    };
    owner.behaviours.insert((BEST_EFFORT, 0), refused);
    owner.submit(BEST_EFFORT, spec(vec![best_effort_step(1, 2_500)]));
    owner.advance(20_500);
    owner.behaviours.remove(&(BEST_EFFORT, 0));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

/// Every long-running best-effort task of a step starts, not just the first of them.
#[test]
fn each_long_running_best_effort_task_starts() {
    let mut owner = Owner::new(2);
    set_interference(&mut owner, &["filling".to_owned()], 0.5);
    submit_serving_job(&mut owner, serving_step(1, 5_000), 8);
    let mut long_running_best_effort = Step {
        long_running: true,
        ..best_effort_step(2, 2_000)
    };
    long_running_best_effort.size.memory_mib = 40_000;
    let behaviour = Behaviour {
        size: Size {
            milli_cores: 0,
            ..long_running_best_effort.size
        },
        best_effort_milli: 2_000,
        long_running: true,
        ..Behaviour::default()
    };
    owner.behaviours.insert((BEST_EFFORT, 0), behaviour);
    owner.submit(BEST_EFFORT, spec(vec![long_running_best_effort]));
    owner.advance(WAIT_MS);
    let why = owner.cell.explain(key::Job(BEST_EFFORT));
    assert_eq!(owner.places(BEST_EFFORT, 0).len(), 2, "{why:?}");
}

/// A service counts as free by the use that reports show, not by the requests of its running
/// tasks.
#[test]
fn a_service_that_is_hardly_used_counts_as_free() {
    let mut owner = Owner::new(1);
    set_interference(&mut owner, &["filling".to_owned()], 0.5);
    submit_serving_job(&mut owner, serving_step(2, 2_500), 8);
    let idle = Step {
        image: "calm".to_owned(),
        estimate_ms: 100_000,
        ..best_effort_step(1, 2_000)
    };
    let behaviour = Behaviour {
        work_ms: 100_000,
        size: Size {
            milli_cores: 0,
            ..idle.size
        },
        best_effort_milli: 200,
        ..Behaviour::default()
    };
    owner.behaviours.insert((3, 0), behaviour);
    owner.submit(3, spec(vec![idle]));
    owner.advance(2_000);
    assert_eq!(owner.places(3, 0).len(), 1, "the task takes capacity");
    owner.submit(BEST_EFFORT, spec(vec![best_effort_step(1, 3_000)]));
    owner.advance(WAIT_MS);
    assert_started(&mut owner);
}

/// Draining workers do not count as free capacity.
#[test]
fn draining_workers_do_not_count_as_free() {
    let mut owner = Owner::new(3);
    set_interference(&mut owner, &["filling".to_owned()], 0.5);
    submit_serving_job(&mut owner, serving_step(1, 8_000), 8);
    let full = owner.places(LONG_RUNNING, 0)[0];
    for place in (0..3).filter(|place| *place != full) {
        let mut leaving = info(place);
        leaving.draining = true;
        leaving.remaining_ms = Some(100_000);
        owner.feed(Event::Listed(leaving));
    }
    let harmless = Step {
        image: "calm".to_owned(),
        estimate_ms: 100_000,
        ..best_effort_step(1, 2_000)
    };
    owner.submit(3, spec(vec![harmless]));
    owner.advance(1_000);
    assert_eq!(owner.places(3, 0), vec![full]);
    owner.submit(BEST_EFFORT, spec(vec![best_effort_step(1, 4_000)]));
    owner.advance(10_000);
    assert!(!has_started(&owner), "the only worker left is in use");
}

/// Where colocation is disabled, no best-effort task starts beside a serving one, however long
/// it waits.
#[test]
fn nothing_starts_beside_serving_tasks_without_colocation() {
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
    submit_serving_job(&mut owner, serving_step(2, 5_000), 8);
    owner.submit(BEST_EFFORT, spec(vec![best_effort_step(1, 1_000)]));
    owner.advance(30_000);
    assert!(!has_started(&owner), "{:?}", owner.places(BEST_EFFORT, 0));
}

/// Relaxed starts are spread over time, so that the effect of one is known before the next.
#[test]
fn starts_of_starving_steps_on_a_worker_are_spread_over_time() {
    let mut owner = Owner::new(1);
    set_interference(&mut owner, &["filling".to_owned()], 4.0);
    submit_serving_job(&mut owner, serving_step(1, 1_000), 8);
    for job in 100..110 {
        owner.submit(job, spec(vec![best_effort_step(1, 150)]));
    }
    owner.advance(2_500);
    let started = owner
        .starts
        .iter()
        .filter(|(start, _)| start.order.task.job.0 >= 100);
    assert_eq!(started.count(), 1);
}

/// Guards against long-running tasks in a full cell that do not run for 25 s after a failure:
/// the capacity that others of them released went to narrow tasks, as tasks that miss their
/// deadline came last, and no worker had enough free capacity at once.
#[test]
fn capacity_for_a_long_running_task_is_not_split_among_narrow_ones() {
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
            long_running: true,
            ..Behaviour::default()
        };
        owner.behaviours.insert((job, 0), behaviour);
        owner.submit(job, spec(vec![wide]));
        owner.advance(500);
    }
    owner.advance(3_500);
    // These can still meet their deadlines, as some jobs always can.
    for job in 100..102 {
        owner.submit(job, spec(vec![step(8)]));
    }
    owner.feed(Event::Cancelled(key::Job(LONG_RUNNING)));
    owner.advance(500);
    let why = owner.cell.explain(key::Job(WAITING));
    assert!(!owner.places(WAITING, 0).is_empty(), "{why:?}");
}
