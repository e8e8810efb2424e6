// SPDX-License-Identifier: Apache-2.0
//! Times to come back for a crowd that is refused.
//!
//! The load: thirty jobs a second come to a daemon whose store is silent for five seconds. Client
//! accounts wait three seconds for an answer and then decide whether to come back.

use rstest::rstest;
use stackpier_core::{Millis, key};
use stackpier_scheduler::retry::{Cause, Planner};

/// JOBS_PER_S is the number of jobs that came each second before the outage, and come during it.
const JOBS_PER_S: u64 = 30;
/// OUTAGE_MS is how long the store is silent.
const OUTAGE_MS: u64 = 5_000;
/// START_MS is when the store falls silent.
const START_MS: u64 = 20_000;

/// busy returns a planner that has accepted jobs for ten seconds.
fn busy() -> Planner {
    let mut planner = Planner::default();
    for number in 0..10 * JOBS_PER_S {
        planner.record_accepted(Millis(START_MS - 10_000 + number * 1_000 / JOBS_PER_S));
    }
    planner
}

/// refuse_crowd refuses the jobs of an outage, and returns when each was refused and told to come
/// back.
fn refuse_crowd(planner: &mut Planner, from: u64, outage_ms: u64) -> Vec<(u64, u64)> {
    planner.begin(Millis(from), Cause::Store);
    let refused = (0..outage_ms * JOBS_PER_S / 1_000).map(|number| {
        let at = from + number * 1_000 / JOBS_PER_S;
        let retry_ms = planner.retry_ms(Millis(at), Cause::Store, None, key::Job(number));
        (at, at + retry_ms)
    });
    refused.collect()
}

/// Guards against a second crowd at the end of an outage: no more come back in any second than came
/// in one before it, and those that were refused first come back first.
#[test]
fn a_crowd_comes_back_as_a_queue() {
    let told = refuse_crowd(&mut busy(), START_MS, OUTAGE_MS);
    let gap_ms = 1_000 / JOBS_PER_S;
    for pair in told.windows(2) {
        assert!(pair[0].1 <= pair[1].1 + gap_ms, "{pair:?}");
    }
    let in_second = |second: u64| told.iter().filter(|(_, at)| at / 1_000 == second).count() as u64;
    let most = (START_MS / 1_000..60).map(in_second).max().unwrap_or(0);
    assert!(most <= JOBS_PER_S + JOBS_PER_S / 5, "{most}");
}

/// A time that is told must not lie in the outage, as far as its length can be known: by the time
/// that it has lasted for half of its length, it is expected to last as long again.
#[test]
fn those_that_are_refused_in_the_second_half_of_an_outage_are_told_times_after_it() {
    let told = refuse_crowd(&mut busy(), START_MS, OUTAGE_MS);
    let half = START_MS + OUTAGE_MS / 2;
    let mut later = told.iter().filter(|(at, _)| *at >= half);
    assert!(later.all(|(_, until)| *until >= START_MS + OUTAGE_MS));
}

/// The second outage is expected to last as long as the first did.
#[test]
fn outages_are_expected_to_last_as_long_as_earlier_ones() {
    let mut planner = busy();
    refuse_crowd(&mut planner, START_MS, OUTAGE_MS);
    planner.end(Millis(START_MS + OUTAGE_MS), Cause::Store);
    let again = START_MS + 2 * OUTAGE_MS;
    let told = refuse_crowd(&mut planner, again, OUTAGE_MS);
    assert!(told.iter().all(|(_, until)| *until >= again + OUTAGE_MS));
    assert!(told[0].1 <= again + OUTAGE_MS + 1_000, "{:?}", told[0]);
}

#[test]
fn what_was_told_is_compared_with_the_end_of_the_cause() {
    let mut planner = busy();
    let told = refuse_crowd(&mut planner, START_MS, OUTAGE_MS);
    let waited = planner.end(Millis(START_MS + OUTAGE_MS), Cause::Store);
    let expected: Vec<u64> = told
        .iter()
        .map(|(at, _)| START_MS + OUTAGE_MS - at)
        .collect();
    assert_eq!(waited, expected);
    let later = planner.end(Millis(START_MS + 2 * OUTAGE_MS), Cause::Store);
    assert!(later.is_empty(), "{later:?}");
}

/// Without an owner, jobs can be accepted once the takeover is done, within two and a half seconds.
#[rstest]
#[case::just_lost(0, 2_500)]
#[case::nearly_over(2_000, 1_000)]
#[case::longer_than_usual(60_000, 1_000)]
fn the_time_without_an_owner_is_what_is_left_of_a_takeover(
    #[case] age_ms: u64,
    #[case] expected_ms: u64,
) {
    let mut planner = Planner::default();
    planner.begin(Millis(START_MS), Cause::Owner);
    let now = Millis(START_MS + age_ms);
    let retry_ms = planner.retry_ms(now, Cause::Owner, None, key::Job(1));
    assert!(retry_ms >= expected_ms, "{retry_ms}");
    assert!(retry_ms <= expected_ms + 1_000, "{retry_ms}");
}

/// Guards against a cause that no one is told to outlive: after an hour of silence, times are still
/// short enough for a client account to notice the end.
#[test]
fn no_time_is_longer_than_half_a_minute() {
    let mut planner = Planner::default();
    planner.begin(Millis(START_MS), Cause::Store);
    let now = Millis(START_MS + 3_600_000);
    assert_eq!(
        planner.retry_ms(now, Cause::Store, None, key::Job(1)),
        30_000
    );
}
