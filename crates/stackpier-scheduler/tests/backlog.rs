// SPDX-License-Identifier: Apache-2.0
//! Which cancellations a daemon sends to the owner of the cell, and when.

use stackpier_core::{Millis, key};
use stackpier_scheduler::backlog::{Backlog, MAX_BATCH};

/// backlog_of returns a backlog of jobs from 0 on, which are sent until `until_ms`.
fn backlog_of(count: u64, until_ms: u64) -> Backlog {
    let mut backlog = Backlog::default();
    for job in 0..count {
        backlog.add(key::Job(job), Millis(until_ms));
    }
    backlog
}

/// jobs returns the ids of jobs in a range.
fn jobs(range: std::ops::Range<u64>) -> Vec<key::Job> {
    range.map(key::Job).collect()
}

/// Guards against cancellations that are lost or sent without end.
#[test]
fn a_cancellation_waits_until_it_is_accepted_or_its_time_is_over() {
    let mut backlog = backlog_of(1, 3_000);
    backlog.record_failed();
    assert_eq!(backlog.expire(Millis(2_999)), 0);
    assert_eq!(backlog.batch(), jobs(0..1));
    backlog.add(key::Job(1), Millis(4_000));
    assert_eq!(backlog.expire(Millis(3_000)), 1);
    assert_eq!(backlog.batch(), jobs(1..2));
    backlog.record_accepted(&jobs(1..2));
    assert!(backlog.is_empty());
}

/// Guards against a small VM that gets a message for each of hundreds of cancellations.
#[test]
fn messages_grow_while_they_are_accepted() {
    let mut backlog = backlog_of(500, 3_000);
    let mut sizes = Vec::new();
    while !backlog.is_empty() {
        let batch = backlog.batch();
        sizes.push(batch.len());
        backlog.record_accepted(&batch);
    }
    assert_eq!(sizes, [1, 2, 4, 8, 16, 32, 64, 128, 128, 117]);
    assert_eq!(MAX_BATCH, 128);
}

/// Guards against an owner of an earlier build that never learns of cancellations, as it understands
/// only messages with a single one.
#[test]
fn an_owner_that_accepts_single_cancellations_gets_all() {
    let mut backlog = backlog_of(20, 3_000);
    let mut messages = 0;
    while !backlog.is_empty() {
        messages += 1;
        let batch = backlog.batch();
        if batch.len() == 1 {
            backlog.record_accepted(&batch);
        } else {
            assert_eq!(backlog.record_failed(), 50);
        }
    }
    assert_eq!(
        messages,
        20 + 18,
        "all but the first and the last follow a failure"
    );
}

/// Guards against an owner that is flooded while it reads the cell.
#[test]
fn pauses_grow_while_messages_fail() {
    let mut backlog = backlog_of(3, 3_000);
    let pauses: Vec<u64> = (0..5).map(|_| backlog.record_failed()).collect();
    assert_eq!(pauses, [50, 100, 200, 400, 400]);
    backlog.record_accepted(&jobs(0..1));
    assert_eq!(backlog.record_failed(), 50);
}

/// Guards against a cancellation that is sent more than once at a time, as client accounts ask for
/// its job again.
#[test]
fn a_cancellation_waits_once() {
    let mut backlog = backlog_of(2, 3_000);
    backlog.add(key::Job(1), Millis(4_000));
    backlog.record_accepted(&jobs(0..1));
    assert_eq!(backlog.batch(), jobs(1..2));
    assert_eq!(backlog.expire(Millis(3_000)), 1);
}
