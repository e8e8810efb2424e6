// SPDX-License-Identifier: Apache-2.0
//! When a daemon takes the cell over. The load is a cell whose owner is gone while the store is
//! silent for all, with daemons on large and small VMs.

use rstest::rstest;
use stackpier_core::Millis;
use stackpier_scheduler::candidate::{Candidate, Larger, Observation, Rank, Reason, Step};

/// CHECK_MS is the time between two checks of the owner.
const CHECK_MS: u64 = 250;
/// START_MS is when the reason to take over begins.
const START_MS: u64 = 10_000;
const FIRST: Rank = Rank {
    before: 0,
    has_larger: false,
};
const FOURTH: Rank = Rank {
    before: 3,
    has_larger: false,
};
/// SMALL is the first of the daemons on small VMs, after three on large ones.
const SMALL: Rank = Rank {
    before: 3,
    has_larger: true,
};

/// check records a check that ends at `now` and takes no time.
fn check(candidate: &mut Candidate, now: u64, reason: Option<Reason>, store_answers: bool) {
    candidate.observe(Observation {
        began: Millis(now),
        now: Millis(now),
        reason,
        store_answers,
    });
}

/// candidate returns a candidate whose store has answered all along, without a reason to take over
/// until now.
fn candidate() -> Candidate {
    let mut candidate = Candidate::default();
    check(&mut candidate, START_MS - 2 * CHECK_MS, None, true);
    check(&mut candidate, START_MS - CHECK_MS, None, true);
    candidate
}

/// run records checks from `from` until the candidate has something to do, and returns the time of
/// the last one. Each tells that the owner is silent and that the store answers.
fn run(candidate: &mut Candidate, rank: Rank, from: u64) -> u64 {
    let mut now = from;
    check(candidate, now, Some(Reason::Silent), true);
    while candidate.step(rank) == Step::Wait {
        now += CHECK_MS;
        check(candidate, now, Some(Reason::Silent), true);
    }
    now
}

/// after_outage returns a candidate after an outage of the store of 5 s, and its end. The owner was
/// lost during the outage.
fn after_outage() -> (Candidate, u64) {
    let mut candidate = candidate();
    let end = START_MS + 5_000;
    for now in (START_MS..end).step_by(CHECK_MS as usize) {
        check(&mut candidate, now, Some(Reason::Silent), false);
        assert_eq!(candidate.step(FIRST), Step::Wait);
    }
    (candidate, end)
}

#[rstest]
#[case::first(FIRST, 0)]
#[case::fourth(FOURTH, 750)]
fn without_an_outage_the_wait_counts_from_the_begin_of_the_reason(
    #[case] rank: Rank,
    #[case] wait_ms: u64,
) {
    let mut candidate = candidate();
    assert_eq!(run(&mut candidate, rank, START_MS) - START_MS, wait_ms);
    assert_eq!(candidate.step(rank), Step::TakeOver);
}

// Guards against a takeover that is later by the time of the heartbeat that was not answered.
#[test]
fn the_check_that_finds_the_reason_counts() {
    let mut candidate = candidate();
    candidate.observe(Observation {
        began: Millis(START_MS),
        now: Millis(START_MS + 400),
        reason: Some(Reason::Silent),
        store_answers: true,
    });
    let second = Rank {
        before: 1,
        has_larger: false,
    };
    assert_eq!(candidate.step(second), Step::TakeOver);
}

// Guards against ranks that order nobody after an outage: all have waited for longer than the
// longest wait, and the first to notice the return of the store takes the cell.
#[rstest]
#[case::first(FIRST, 0)]
#[case::fourth(FOURTH, 750)]
fn after_an_outage_the_wait_counts_from_the_return_of_the_store(
    #[case] rank: Rank,
    #[case] wait_ms: u64,
) {
    let (mut candidate, end) = after_outage();
    assert_eq!(run(&mut candidate, rank, end) - end, wait_ms);
}

// Guards against a wait without end while the store comes and goes.
#[test]
fn a_store_that_comes_and_goes_does_not_begin_the_wait_anew() {
    let mut candidate = candidate();
    let mut now = START_MS;
    while candidate.step(FOURTH) == Step::Wait {
        let answers = !(now / CHECK_MS).is_multiple_of(4);
        check(&mut candidate, now, Some(Reason::Silent), answers);
        now += CHECK_MS;
        assert!(now < START_MS + 3_000, "it still waits");
    }
}

// Guards against a daemon that was stopped for seconds and counts that time as waited.
#[test]
fn a_process_that_stood_still_has_not_waited() {
    let mut candidate = candidate();
    check(&mut candidate, START_MS, Some(Reason::Silent), true);
    check(&mut candidate, START_MS + 5_000, Some(Reason::Silent), true);
    assert_eq!(candidate.step(FOURTH), Step::Wait);
}

// Guards against a small VM that takes over while a large one is about to.
#[rstest]
#[case::able(Larger::Able, true)]
#[case::about_to_notice_the_store(Larger::Unable, true)]
#[case::gone(Larger::Silent, false)]
fn after_an_outage_a_small_vm_leaves_the_takeover_to_a_large_one(
    #[case] larger: Larger,
    #[case] expected: bool,
) {
    let (mut candidate, end) = after_outage();
    run(&mut candidate, SMALL, end);
    assert_eq!(candidate.step(SMALL), Step::AskLarger);
    assert_eq!(candidate.yields_to(larger), expected);
}

// Guards against a takeover that waits for large VMs that have lost the store for good.
#[test]
fn without_an_outage_a_small_vm_does_not_wait_for_those_without_the_store() {
    let mut candidate = Candidate::default();
    for now in (0..START_MS).step_by(CHECK_MS as usize) {
        check(&mut candidate, now, None, true);
    }
    run(&mut candidate, SMALL, START_MS);
    assert!(!candidate.yields_to(Larger::Unable));
}

// Guards against a cell without an owner: the large VM could take over, but does not.
#[test]
fn a_small_vm_leaves_the_takeover_to_others_for_two_seconds_at_most() {
    let mut candidate = candidate();
    let first = run(&mut candidate, SMALL, START_MS);
    let mut now = first;
    while candidate.step(SMALL) == Step::AskLarger {
        assert!(candidate.yields_to(Larger::Able));
        now += CHECK_MS;
        check(&mut candidate, now, Some(Reason::Silent), true);
    }
    assert_eq!(candidate.step(SMALL), Step::TakeOver);
    assert_eq!(now - first, 2_000);
}

// Guards against waits that a reason inherits from an earlier one.
#[test]
fn a_reason_that_has_ended_begins_anew() {
    let mut candidate = candidate();
    run(&mut candidate, FOURTH, START_MS);
    let later = START_MS + 2_000;
    check(&mut candidate, later - CHECK_MS, None, true);
    assert_eq!(run(&mut candidate, FOURTH, later) - later, 750);
}
