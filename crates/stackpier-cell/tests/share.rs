// SPDX-License-Identifier: Apache-2.0
//! Shares of large jobs in a crowd.
//!
//! The load: a queue is asked for a third more than its workers can do, for half a minute; nine of
//! ten jobs have two tasks, the tenth has twelve. Client accounts ask that the largest tenth of the
//! jobs of a queue is served at least half as often as all of them. Served late is worth a seventh, so
//! the tests count jobs that are done in time.

mod common;

use common::{Owner, QUEUE, queue, sized, spec};
use rstest::rstest;
use stackpier_cell::{Event, Info, Mechanism, Options, share::Ledger};
use stackpier_core::Millis;
use stackpier_state::job::State;

/// WORKERS is the number of workers, of 8 cores each.
const WORKERS: usize = 2;
/// JOBS is the number of jobs.
const JOBS: u64 = 220;
/// JOB_INTERVAL_MS is the time between two jobs: on average a job has three tasks of a core and a
/// second, so 21 of 16 cores are asked for.
const JOB_INTERVAL_MS: u64 = 140;
/// OBJECTIVE_MS is the time within which a job should be done: twice its run time and half a second.
const OBJECTIVE_MS: u64 = 2_500;
/// SMALL_TASKS is the number of tasks of a small job.
const SMALL_TASKS: u32 = 2;
/// LARGE_TASKS is the number of tasks of a large one.
const LARGE_TASKS: u32 = 12;
/// SMALL is the work of a small job, in core-milliseconds.
const SMALL: u64 = 1_000;
/// LARGE is the work of a large one.
const LARGE: u64 = 10_000;

fn is_large(job: u64) -> bool {
    job.is_multiple_of(10)
}

/// Served counts the jobs of a crowd, and those done in time.
#[derive(Default)]
struct Served {
    asked: u64,
    in_time: u64,
}

impl Served {
    fn ratio(&self) -> f64 {
        self.in_time as f64 / self.asked as f64
    }
}

/// run_crowd hands in jobs at a fixed interval and returns how the large ones and all of them
/// were served.
fn run_crowd(options: Options) -> (Served, Served) {
    let mut owner = Owner::with_options(WORKERS, 1, false, options);
    owner.feed(Event::Queues(vec![queue(QUEUE, 0)]));
    for place in 0..WORKERS {
        let info: Info = common::info(place);
        owner.feed(Event::Listed(info));
    }
    owner.advance(100);
    let (mut large, mut all) = (Served::default(), Served::default());
    let due = OBJECTIVE_MS / JOB_INTERVAL_MS;
    for round in 1..=JOBS + due {
        if round <= JOBS {
            let tasks = if is_large(round) {
                LARGE_TASKS
            } else {
                SMALL_TASKS
            };
            owner.submit(round, spec(vec![sized(1_000, tasks)]));
        }
        owner.advance(JOB_INTERVAL_MS);
        let Some(job) = round.checked_sub(due).filter(|job| *job > 0) else {
            continue;
        };
        let in_time = u64::from(owner.state(job) == Some(State::Completed));
        all.asked += 1;
        all.in_time += in_time;
        if is_large(job) {
            large.asked += 1;
            large.in_time += in_time;
        }
    }
    (large, all)
}

#[test]
fn large_jobs_are_done_in_time_half_as_often_as_all() {
    let (large, all) = run_crowd(Options::default());
    assert!(
        large.ratio() >= all.ratio() / 2.0,
        "large {:.2}, all {:.2}",
        large.ratio(),
        all.ratio()
    );
    // What large jobs take is bounded by what they ask for, so that small ones are still served.
    assert!(all.ratio() >= 0.5, "all {:.2}", all.ratio());
}

/// Shows that the load is one in which large jobs lose without a share.
#[test]
fn without_shares_large_jobs_are_late() {
    let without = [Mechanism::Shares].into_iter().collect();
    let (large, all) = run_crowd(Options {
        without,
        ..Options::default()
    });
    assert!(
        large.ratio() < all.ratio() / 2.0,
        "large {:.2}, all {:.2}",
        large.ratio(),
        all.ratio()
    );
}

/// ledger returns one that has seen a hundred jobs, one in ten of them large.
fn ledger() -> Ledger {
    let mut ledger = Ledger::default();
    for job in 1..=100 {
        ledger.classify(if is_large(job) { LARGE } else { SMALL });
    }
    ledger
}

#[rstest]
#[case::small(50, 0)]
#[case::in_the_fifth_below_the_largest_tenth(75, 1)]
#[case::in_the_largest_tenth(95, 2)]
fn jobs_are_told_apart_by_the_work_of_the_latest_ones(#[case] work: u64, #[case] class: usize) {
    let mut ledger = Ledger::default();
    (1..=100).for_each(|size| {
        ledger.classify(size);
    });
    assert_eq!(ledger.classify(work), class);
}

/// A class that is served as often as its queue has no share, and one that falls behind has as much
/// as it asks for.
#[test]
fn a_class_has_a_share_while_it_is_behind() {
    let mut ledger = ledger();
    for _ in 0..9 {
        ledger.record(Millis(1), 0, SMALL, true);
    }
    ledger.record(Millis(1), 2, LARGE - SMALL, false);
    assert_eq!(ledger.share(0), 0.0);
    assert!((ledger.share(2) - 0.5).abs() < 0.01, "{}", ledger.share(2));
    for _ in 0..10 {
        ledger.record(Millis(1), 2, LARGE, true);
    }
    assert_eq!(ledger.share(2), 0.0);
}

/// After a takeover nothing is known of earlier outcomes: no class goes first.
#[test]
fn a_new_ledger_gives_no_shares() {
    let ledger = Ledger::default();
    assert_eq!([0, 1, 2].map(|class| ledger.share(class)), [0.0; 3]);
}
