// SPDX-License-Identifier: Apache-2.0
//! Expired best-effort jobs in a crowd of others.
//!
//! The load: best-effort jobs keep coming, more than a cell can do, while some jobs have expired. By
//! the order of placement expired jobs go last, so nothing of them ran for as long as others came.
//! Client accounts count a job as lost if nothing of it runs for three seconds beside free capacity.

mod common;

use common::{Owner, QUEUE, UNIX, queue, spec, step};
use rstest::rstest;
use stackpier_cell::Event;
use stackpier_core::key;
use stackpier_state::job::{Record, Spec, Step};

/// WORKERS is the number of workers, of 8 cores each.
const WORKERS: usize = 2;
/// EXPIRED_MS is the age of a job that has expired: three objectives have passed.
const EXPIRED_MS: u64 = 9_000;
/// LOST_MS is how long a job may have nothing running.
const LOST_MS: u64 = 3_000;
/// JOB_INTERVAL_MS is the time between two jobs of the crowd: each takes four cores for a second, so
/// twenty of sixteen cores are asked for.
const JOB_INTERVAL_MS: u64 = 200;
/// FIRST_EXPIRED is the first of the expired jobs.
const FIRST_EXPIRED: u64 = 1_000;

fn job(count: u32) -> Spec {
    let best_effort = Step {
        best_effort: true,
        image: "filling".to_owned(),
        ..step(count)
    };
    spec(vec![best_effort])
}

fn submit_expired(owner: &mut Owner, id: u64) {
    let record = Record {
        queue: queue(QUEUE, 0),
        spec: job(40),
        fence: 1,
        accepted_ms: UNIX + owner.now_ms - EXPIRED_MS,
    };
    owner.set_spec(id, record.spec.clone());
    owner.feed(Event::Accepted {
        job: key::Job(id),
        record: Box::new(record),
        progress: None,
        cancelled: false,
    });
}

/// The crowd is still served: an expired job gets one task at a time before others.
#[rstest]
#[case::one(1)]
#[case::several(5)]
fn expired_jobs_have_something_running_in_a_crowd(#[case] expired: u64) {
    let mut owner = Owner::new(WORKERS);
    owner.now_ms += 20_000;
    owner.feed(Event::Confirmed(owner.now().mono));
    owner.advance(200);
    let mut crowd = 0;
    let mut run_crowd = |owner: &mut Owner, ms: u64| {
        for _ in 0..ms / JOB_INTERVAL_MS {
            crowd += 1;
            owner.submit(crowd, job(4));
            owner.advance(JOB_INTERVAL_MS);
        }
    };
    run_crowd(&mut owner, 2_000);
    let began = owner.starts.len();
    for id in FIRST_EXPIRED..FIRST_EXPIRED + expired {
        submit_expired(&mut owner, id);
    }
    run_crowd(&mut owner, LOST_MS);
    for id in FIRST_EXPIRED..FIRST_EXPIRED + expired {
        assert!(!owner.places(id, 0).is_empty(), "nothing of job {id} runs");
    }
    let of_crowd = |task: u64| task < FIRST_EXPIRED;
    let starts = owner.starts[began..].iter();
    let starts: Vec<u64> = starts.map(|(start, _)| start.order.task.job.0).collect();
    let share = starts.iter().filter(|job| of_crowd(**job)).count() * 100 / starts.len();
    assert!(share >= 75, "{share}% of the starts are of the crowd");
}
