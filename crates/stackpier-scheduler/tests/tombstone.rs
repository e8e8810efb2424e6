// SPDX-License-Identifier: Apache-2.0
//! When a daemon writes the tombstones of which jobs.

use stackpier_core::{Millis, key};
use stackpier_scheduler::tombstone::{Backlog, INTERVAL_MS, MAX_BATCH, MAX_KEPT, MAX_SAVED, Step};

const KEPT_MS: u64 = 120_000;
/// START is a time at which all transactions are saved up.
const START: Millis = Millis(1_000_000);

/// backlog_of returns a backlog to which jobs from 0 on were added.
fn backlog_of(count: usize) -> Backlog {
    let mut backlog = Backlog::new(KEPT_MS);
    for job in 0..count as u64 {
        backlog.add(START, key::Job(job)).expect("there is room");
    }
    backlog
}

/// Guards against cancellations of unknown jobs that take the store's writes from acceptances: of
/// thousands at once, only few transactions are sent each second.
#[test]
fn the_rate_of_transactions_is_bounded() {
    let mut backlog = Backlog::new(KEPT_MS);
    let seconds = 10;
    let (mut job, mut transactions) = (0, 0);
    for ms in 0..seconds * 1_000 {
        let now = START.plus(ms);
        job += 1;
        // The backlog refuses most of them.
        let _ = backlog.add(now, key::Job(job));
        if let Step::Write(jobs) = backlog.step(now) {
            assert!(jobs.len() <= MAX_BATCH);
            transactions += 1;
        }
    }
    assert!(transactions <= MAX_SAVED + seconds * 1_000 / INTERVAL_MS);
}

/// Guards against cancellations that wait though nothing was written lately.
#[test]
fn a_few_transactions_follow_each_other_at_once() {
    let mut backlog = Backlog::new(KEPT_MS);
    for job in 0..MAX_SAVED {
        backlog.add(START, key::Job(job)).expect("there is room");
        assert_eq!(backlog.step(START), Step::Write(vec![key::Job(job)]));
    }
    backlog.add(START, key::Job(99)).expect("there is room");
    assert_eq!(backlog.step(START), Step::Pause(INTERVAL_MS));
    let later = START.plus(INTERVAL_MS);
    assert_eq!(backlog.step(later), Step::Write(vec![key::Job(99)]));
    assert_eq!(backlog.step(later), Step::Idle);
}

/// Guards against a store that fills with tombstones, and against cancellations that are refused
/// though earlier tombstones have been removed.
#[test]
fn the_number_of_tombstones_is_bounded() {
    let mut backlog = backlog_of(MAX_KEPT);
    assert!(backlog.add(START, key::Job(9_999)).is_err());
    let mut now = START;
    loop {
        match backlog.step(now) {
            Step::Write(jobs) => backlog.record_written(now, jobs.len()),
            Step::Pause(ms) => now = now.plus(ms),
            Step::Idle => break,
        }
    }
    let wait_ms = backlog.add(now, key::Job(9_999)).expect_err("all are kept");
    assert_eq!(now.plus(wait_ms), START.plus(KEPT_MS));
    let room = backlog.add(now.plus(wait_ms), key::Job(9_999));
    assert_eq!(room, Ok(()));
}

/// Guards against tombstones that are never written because a transaction failed.
#[test]
fn a_job_that_was_put_back_is_written_next() {
    let mut backlog = backlog_of(MAX_BATCH + 1);
    assert!(matches!(backlog.step(START), Step::Write(jobs) if jobs.len() == MAX_BATCH));
    backlog.put_back(key::Job(3));
    let next = vec![key::Job(3), key::Job(MAX_BATCH as u64)];
    assert_eq!(backlog.step(START), Step::Write(next));
}
