// SPDX-License-Identifier: Apache-2.0
//! Tasks that wait because of their size, of the order among waiting steps, or of what
//! other tasks of their step do.

mod common;

use common::{Owner, QUEUE, info, queue, spec, step};
use rstest::rstest;
use stackpier_cell::{
    Event, Mechanism, ModelSnapshot, Options, Queue, SavedEstimate, ServingImage,
};
use stackpier_core::{Size, key};
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::Step;

/// FIRST, SECOND and THIRD are jobs in the order in which they were accepted.
const FIRST: u64 = 1;
const SECOND: u64 = 2;
const THIRD: u64 = 3;
/// STREAM is the first of the jobs that keep coming.
const STREAM: u64 = 1_000;
/// LOADED_WAIT_MS is by when a step with nothing running has its turn on a busy service.
const LOADED_WAIT_MS: u64 = 25_000;

fn sized(count: u32, milli_cores: u32, memory_mib: u32) -> Step {
    Step {
        size: Size {
            milli_cores,
            memory_mib,
            accelerators: 0,
        },
        ..step(count)
    }
}

fn filling(count: u32, milli_cores: u32, memory_mib: u32, image: &str) -> Step {
    Step {
        best_effort: true,
        checkpointing: true,
        image: image.to_owned(),
        ..sized(count, milli_cores, memory_mib)
    }
}

/// last hands a job of tasks that last in; with `fails_ms` each run fails after that time.
fn last(owner: &mut Owner, job: u64, shape: Step, fails_ms: Option<u64>) {
    let behaviour = Behaviour {
        work_ms: fails_ms.unwrap_or(0),
        fails: fails_ms.is_some(),
        size: Size {
            milli_cores: if shape.best_effort {
                0
            } else {
                shape.size.milli_cores
            },
            ..shape.size
        },
        fills_milli: if shape.best_effort {
            shape.size.milli_cores
        } else {
            0
        },
        lasts: true,
        tail_ms: (shape.target_ms > 0).then_some(8),
        ..Behaviour::default()
    };
    owner.behaviours.insert((job, 0), behaviour);
    let shape = Step {
        long_running: true,
        ..shape
    };
    owner.submit(job, spec(vec![shape]));
}

fn serving(count: u32, milli_cores: u32) -> Step {
    Step {
        target_ms: 20,
        image: "serving".to_owned(),
        ..sized(count, milli_cores, 1_000)
    }
}

/// presses tells the owner by how much each filling image disturbs the serving one.
fn presses(owner: &mut Owner, images: &[(String, f32)]) {
    let pair = |(image, mean): &(String, f32)| {
        let term = SavedEstimate {
            mean: *mean,
            variance: 0.000_1,
        };
        (image.clone(), term)
    };
    owner.cell.restore_model(&ModelSnapshot {
        serving: vec![ServingImage {
            image: "serving".to_owned(),
            pairs: images.iter().map(pair).collect(),
        }],
        periods: Vec::new(),
    });
}

/// stream hands jobs of one task in, one every so often, for some time.
fn stream(owner: &mut Owner, shape: &Step, gap_ms: u64, ms: u64) {
    for number in 0..ms / gap_ms {
        let job = STREAM + owner.now_ms + number;
        owner.submit(job, spec(vec![shape.clone()]));
        owner.advance(gap_ms);
    }
}

/// assert_started fails with what keeps a job from starting.
fn assert_started(owner: &mut Owner, job: u64) {
    let why = owner.cell.explain(key::Job(job));
    assert!(!owner.places(job, 0).is_empty(), "{why:?}");
}

/// Guards against a task that lasts losing its turn, as another of its step ended: the room
/// that this one left goes to narrow tasks, though the first has waited for long.
#[test]
fn a_task_that_lasts_keeps_its_turn_when_another_of_its_step_ends() {
    let mut owner = Owner::new(1);
    last(&mut owner, FIRST, sized(2, 6_000, 1_000), Some(5_500));
    owner.advance(5_000);
    assert_eq!(owner.places(FIRST, 0).len(), 1, "there is room for one");
    // These are in time yet, as some always are.
    for job in 100..102 {
        owner.submit(job, spec(vec![step(8)]));
    }
    owner.advance(1_000);
    let why = owner.cell.explain(key::Job(FIRST));
    assert_eq!(owner.places(FIRST, 0).len(), 2, "{why:?}");
}

/// Guards against a task that lasts being passed over: room goes to the step that was
/// accepted first, though another one has waited for longer.
#[test]
fn of_tasks_that_last_the_longest_waiting_goes_first() {
    let options = Options {
        without: [Mechanism::Rotation].into_iter().collect(),
        ..Options::default()
    };
    let mut owner = Owner::with_options(2, 1, false, options);
    for place in 0..2 {
        owner.feed(Event::Listed(info(place)));
    }
    owner.advance(100);
    last(&mut owner, FIRST, sized(1, 6_000, 1_000), None);
    owner.advance(500);
    last(&mut owner, THIRD, sized(1, 6_000, 1_000), None);
    owner.advance(500);
    last(&mut owner, SECOND, sized(1, 6_000, 1_000), None);
    owner.advance(5_000);
    let gone = owner.places(FIRST, 0)[0];
    owner.cut[gone] = true;
    owner.feed(Event::Unlisted(format!("w{gone}")));
    owner.advance(15_000);
    let why = owner.cell.explain(key::Job(FIRST));
    assert_eq!(owner.places(FIRST, 0).len(), 1, "it waits: {why:?}");
    owner.feed(Event::Cancelled(key::Job(THIRD)));
    owner.advance(1_000);
    assert_started(&mut owner, SECOND);
}

/// Guards against a wide task that never starts beside a stream of narrow short ones, which
/// share out what comes free.
#[rstest]
#[case::short(false)]
#[case::long_running(true)]
fn a_wide_task_has_its_turn_beside_a_stream_of_narrow_ones(#[case] lasts: bool) {
    let mut owner = Owner::new(1);
    stream(&mut owner, &step(1), 100, 3_000);
    let wide = sized(1, 7_000, 1_000);
    if lasts {
        last(&mut owner, FIRST, wide, None);
    } else {
        owner.submit(FIRST, spec(vec![wide]));
    }
    stream(&mut owner, &step(1), 100, LOADED_WAIT_MS);
    assert_started(&mut owner, FIRST);
}

/// Guards against short tasks kept from free workers that are dedicated to them, as a task
/// that lasts asked for as much or less before them and may not have that room: only short
/// tasks that are narrower than each such task get it.
#[rstest]
#[case::as_wide(4_000)]
#[case::wider(6_000)]
fn wide_short_tasks_get_the_room_dedicated_to_them(#[case] milli_cores: u32) {
    const WORKERS: usize = 10;
    let mut owner = Owner::new(WORKERS);
    last(&mut owner, FIRST, sized(20, 4_000, 1_000), None);
    owner.advance(1_000);
    last(&mut owner, SECOND, sized(4, 4_000, 1_000), None);
    owner.advance(6_000);
    for job in STREAM..STREAM + 24 {
        owner.submit(job, spec(vec![sized(2, milli_cores, 1_000)]));
        owner.advance(300);
    }
    let short = owner.starts.iter().filter(|(start, _)| {
        let job = start.order.task.job.0;
        job >= STREAM
    });
    let why = owner.cell.explain(key::Job(STREAM + 23));
    assert!(short.count() >= 2, "{why:?}");
}

/// Guards against tasks that last and fill waiting without an end for expected harm, as one
/// of their step fails again and again.
#[test]
fn tasks_that_last_and_fill_starve_though_others_of_their_step_end() {
    let mut owner = Owner::new(3);
    owner.feed(Event::Queues(vec![Queue {
        attempts: 1_000,
        ..queue(QUEUE, 0)
    }]));
    presses(&mut owner, &[("filling".to_owned(), 0.5)]);
    last(&mut owner, FIRST, serving(2, 5_000), None);
    owner.advance(3_000);
    let mut serves = owner.places(FIRST, 0);
    serves.sort_unstable();
    assert_eq!(serves.len(), 2);
    let both = filling(8, 2_000, 40_000, "filling");
    last(&mut owner, SECOND, both, Some(1_500));
    owner.advance(20_000);
    let places = owner.places(SECOND, 0);
    let why = owner.cell.explain(key::Job(SECOND));
    for place in serves {
        assert!(places.contains(&place), "{place} of {places:?}: {why:?}");
    }
}

/// Guards against a wide filling step that never starts beside a stream of narrow ones: a
/// worker on which these were given a little more than there is counts as busy, also for a
/// step that starves.
#[test]
fn a_wide_filling_step_that_starves_is_not_kept_from_busy_workers() {
    let mut owner = Owner::new(1);
    let narrow = filling(1, 1_650, 1_000, "narrow");
    stream(&mut owner, &narrow, 100, 3_000);
    owner.submit(FIRST, spec(vec![filling(8, 6_550, 5_712, "wide")]));
    stream(&mut owner, &narrow, 100, LOADED_WAIT_MS);
    assert_started(&mut owner, FIRST);
}

/// Guards against a filling task that no bound keeps out and that is not looked at, as forty
/// kinds of others before it find no worker.
#[test]
fn a_filling_task_is_looked_at_however_many_kinds_find_no_worker() {
    const KINDS: u64 = 45;
    let mut owner = Owner::new(1);
    let mut images: Vec<(String, f32)> = (0..KINDS)
        .map(|kind| (format!("filling-{kind}"), 4.0))
        .collect();
    images.push(("calm".to_owned(), 0.0));
    presses(&mut owner, &images);
    last(&mut owner, SECOND, serving(1, 1_000), None);
    owner.advance(3_000);
    for (job, (image, _)) in (100..100 + KINDS).zip(&images) {
        let long = Step {
            estimate_ms: 100_000,
            ..filling(2, 150, 1_000, image)
        };
        owner.submit(job, spec(vec![long]));
    }
    let calm = Step {
        estimate_ms: 100_000,
        ..filling(3, 150, 1_000, "calm")
    };
    owner.submit(FIRST, spec(vec![calm]));
    owner.advance(1_000);
    assert_started(&mut owner, FIRST);
}
