// SPDX-License-Identifier: Apache-2.0
//! Tasks that wait because of their size, because of the order among waiting steps, or because
//! of other tasks of their step.

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
/// STREAM is the first of the jobs that arrive steadily.
const STREAM: u64 = 1_000;
/// LOADED_WAIT_MS is the time within which a step with nothing running starts on a busy service.
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

fn best_effort_step(count: u32, milli_cores: u32, memory_mib: u32, image: &str) -> Step {
    Step {
        best_effort: true,
        checkpointing: true,
        image: image.to_owned(),
        ..sized(count, milli_cores, memory_mib)
    }
}

/// submit_long_running_job submits a job of long-running tasks; with `fails_ms` each run fails
/// after that time.
fn submit_long_running_job(owner: &mut Owner, job: u64, shape: Step, fails_ms: Option<u64>) {
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
        best_effort_milli: if shape.best_effort {
            shape.size.milli_cores
        } else {
            0
        },
        long_running: true,
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

fn serving_step(count: u32, milli_cores: u32) -> Step {
    Step {
        target_ms: 20,
        image: "serving".to_owned(),
        ..sized(count, milli_cores, 1_000)
    }
}

/// set_interference gives the owner a model of how much each best-effort image disturbs the
/// serving one.
fn set_interference(owner: &mut Owner, images: &[(String, f32)]) {
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

/// submit_stream submits jobs of one task at a fixed interval for some time.
fn submit_stream(owner: &mut Owner, shape: &Step, interval_ms: u64, ms: u64) {
    for number in 0..ms / interval_ms {
        let job = STREAM + owner.now_ms + number;
        owner.submit(job, spec(vec![shape.clone()]));
        owner.advance(interval_ms);
    }
}

/// assert_started fails with the obstacles of a job unless that has started.
fn assert_started(owner: &mut Owner, job: u64) {
    let why = owner.cell.explain(key::Job(job));
    assert!(!owner.places(job, 0).is_empty(), "{why:?}");
}

/// Guards against a long-running task that loses its rank because another of its step ends: the
/// capacity that this one releases goes to narrow tasks, though the first has waited for a long
/// time.
#[test]
fn a_long_running_task_keeps_its_rank_when_another_of_its_step_ends() {
    let mut owner = Owner::new(1);
    submit_long_running_job(&mut owner, FIRST, sized(2, 6_000, 1_000), Some(5_500));
    owner.advance(5_000);
    assert_eq!(owner.places(FIRST, 0).len(), 1, "one of them fits");
    // These can still meet their deadlines, as some jobs always can.
    for job in 100..102 {
        owner.submit(job, spec(vec![step(8)]));
    }
    owner.advance(1_000);
    let why = owner.cell.explain(key::Job(FIRST));
    assert_eq!(owner.places(FIRST, 0).len(), 2, "{why:?}");
}

/// Guards against free capacity that goes to the long-running step that was accepted first,
/// though another one has waited for longer.
#[test]
fn of_long_running_tasks_the_longest_waiting_goes_first() {
    let options = Options {
        without: [Mechanism::Rotation].into_iter().collect(),
        ..Options::default()
    };
    let mut owner = Owner::with_options(2, 1, false, options);
    for place in 0..2 {
        owner.feed(Event::Listed(info(place)));
    }
    owner.advance(100);
    submit_long_running_job(&mut owner, FIRST, sized(1, 6_000, 1_000), None);
    owner.advance(500);
    submit_long_running_job(&mut owner, THIRD, sized(1, 6_000, 1_000), None);
    owner.advance(500);
    submit_long_running_job(&mut owner, SECOND, sized(1, 6_000, 1_000), None);
    owner.advance(5_000);
    let removed = owner.places(FIRST, 0)[0];
    owner.cut[removed] = true;
    owner.feed(Event::Unlisted(format!("w{removed}")));
    owner.advance(15_000);
    let why = owner.cell.explain(key::Job(FIRST));
    assert_eq!(owner.places(FIRST, 0).len(), 1, "it does not wait: {why:?}");
    owner.feed(Event::Cancelled(key::Job(THIRD)));
    owner.advance(1_000);
    assert_started(&mut owner, SECOND);
}

/// Guards against a wide task that never starts beside a stream of narrow short ones, which take
/// all capacity as it becomes free.
#[rstest]
#[case::short(false)]
#[case::long_running(true)]
fn a_wide_task_starts_beside_a_stream_of_narrow_ones(#[case] is_long_running: bool) {
    let mut owner = Owner::new(1);
    submit_stream(&mut owner, &step(1), 100, 3_000);
    let wide = sized(1, 7_000, 1_000);
    if is_long_running {
        submit_long_running_job(&mut owner, FIRST, wide, None);
    } else {
        owner.submit(FIRST, spec(vec![wide]));
    }
    submit_stream(&mut owner, &step(1), 100, LOADED_WAIT_MS);
    assert_started(&mut owner, FIRST);
}

/// Guards against short tasks that don't start on free workers dedicated to them. A long-running
/// task that requests as much or less is tried before them and may not use these workers; its
/// failure must not rule out all tasks that are as wide.
#[rstest]
#[case::as_wide(4_000)]
#[case::wider(6_000)]
fn wide_short_tasks_start_on_workers_dedicated_to_them(#[case] milli_cores: u32) {
    const WORKERS: usize = 10;
    let mut owner = Owner::new(WORKERS);
    submit_long_running_job(&mut owner, FIRST, sized(20, 4_000, 1_000), None);
    owner.advance(1_000);
    submit_long_running_job(&mut owner, SECOND, sized(4, 4_000, 1_000), None);
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

/// Guards against long-running best-effort tasks that wait indefinitely because of expected harm
/// while one of their step fails again and again.
#[test]
fn long_running_best_effort_tasks_count_as_starving_though_others_of_their_step_end() {
    let mut owner = Owner::new(3);
    owner.feed(Event::Queues(vec![Queue {
        attempts: 1_000,
        ..queue(QUEUE, 0)
    }]));
    set_interference(&mut owner, &[("filling".to_owned(), 0.5)]);
    submit_long_running_job(&mut owner, FIRST, serving_step(2, 5_000), None);
    owner.advance(3_000);
    let mut serving_places = owner.places(FIRST, 0);
    serving_places.sort_unstable();
    assert_eq!(serving_places.len(), 2);
    let long_running_best_effort = best_effort_step(8, 2_000, 40_000, "filling");
    submit_long_running_job(&mut owner, SECOND, long_running_best_effort, Some(1_500));
    owner.advance(20_000);
    let places = owner.places(SECOND, 0);
    let why = owner.cell.explain(key::Job(SECOND));
    for place in serving_places {
        assert!(places.contains(&place), "{place} of {places:?}: {why:?}");
    }
}

/// Guards against a wide best-effort step that never starts beside a stream of narrow ones: a
/// worker on which these request slightly more than its capacity counts as busy, even for a
/// starving step.
#[test]
fn a_starving_wide_best_effort_step_starts_on_a_busy_worker() {
    let mut owner = Owner::new(1);
    let narrow = best_effort_step(1, 1_650, 1_000, "narrow");
    submit_stream(&mut owner, &narrow, 100, 3_000);
    owner.submit(FIRST, spec(vec![best_effort_step(8, 6_550, 5_712, "wide")]));
    submit_stream(&mut owner, &narrow, 100, LOADED_WAIT_MS);
    assert_started(&mut owner, FIRST);
}

/// Guards against a best-effort task that no limit keeps out but that is never tried, because
/// forty other kinds before it find no worker.
#[test]
fn a_best_effort_task_is_tried_however_many_kinds_find_no_worker() {
    const KINDS: u64 = 45;
    let mut owner = Owner::new(1);
    let mut images: Vec<(String, f32)> = (0..KINDS)
        .map(|kind| (format!("filling-{kind}"), 4.0))
        .collect();
    images.push(("calm".to_owned(), 0.0));
    set_interference(&mut owner, &images);
    submit_long_running_job(&mut owner, SECOND, serving_step(1, 1_000), None);
    owner.advance(3_000);
    for (job, (image, _)) in (100..100 + KINDS).zip(&images) {
        let long = Step {
            estimate_ms: 100_000,
            ..best_effort_step(2, 150, 1_000, image)
        };
        owner.submit(job, spec(vec![long]));
    }
    let harmless = Step {
        estimate_ms: 100_000,
        ..best_effort_step(3, 150, 1_000, "calm")
    };
    owner.submit(FIRST, spec(vec![harmless]));
    owner.advance(1_000);
    assert_started(&mut owner, FIRST);
}
