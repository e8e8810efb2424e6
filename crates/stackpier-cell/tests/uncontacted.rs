// SPDX-License-Identifier: Apache-2.0
//! Successors whose polls often get no answer.

mod common;

use common::{Owner, QUEUE, info, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Info, RosterEntry};

/// JOB is a job that the first owner accepted and did not start.
const JOB: u64 = 1;
/// GIVE_UP_MS is how long a call without an answer takes until it is given up.
const GIVE_UP_MS: u64 = 600;
/// APART_MS is the time between the first polls of two workers: short enough that some poll is
/// always without an answer.
const APART_MS: u64 = 20;
/// LOST_MS is when client accounts count a job as lost that could run and does not.
const LOST_MS: u64 = 3_000;
/// LEASES_MS is when all leases of a predecessor have expired, plus the time of a tick and a call
/// to the store.
const LEASES_MS: u64 = 6_800;

/// successor returns an owner whose workers, except the first, do not answer a number of polls.
fn successor(workers: usize, lost: usize) -> Owner {
    let mut owner = Owner::with(workers, 2, false);
    owner.give_up_ms = Some(GIVE_UP_MS);
    for place in 0..workers {
        owner
            .lose_renewals
            .insert(place, if place > 0 { lost } else { 0 });
        let Info { id, address, .. } = info(place);
        owner.cell.add_roster(&RosterEntry { id, address });
        owner.feed(Event::Listed(info(place)));
        owner.advance(APART_MS);
    }
    owner.submit_to(JOB, QUEUE, spec(vec![step(1)]), 1, None);
    owner
}

/// Guards against inherited tasks that wait for seconds because polls of a worker are lost, and
/// the next poll is sent only after the last one is given up.
#[rstest]
fn a_lost_answer_does_not_delay_tasks_for_long(#[values(1, 3, 6)] lost: usize) {
    let mut owner = successor(2, lost);
    owner.advance(LOST_MS);
    assert_eq!(owner.starts.len(), 1, "{:?}", owner.log_lines);
}

/// Guards against polls of workers that are gone delaying the time from which these workers count
/// as silent.
#[test]
fn tasks_start_once_all_leases_expire_though_workers_stay_silent() {
    let mut owner = successor(41, usize::MAX);
    owner.advance(LEASES_MS - owner.now_ms);
    assert_eq!(owner.starts.len(), 1, "{:?}", owner.log_lines);
}

/// Guards against polling workers that are gone as often as workers that tasks wait for.
#[test]
fn workers_that_are_gone_are_polled_less_often() {
    const GONE: usize = 11;
    let mut owner = successor(1 + GONE, usize::MAX);
    owner.advance(LEASES_MS);
    let before = owner.lose_renewals.clone();
    owner.advance(LOST_MS);
    for place in 1..=GONE {
        let polls = before[&place] - owner.lose_renewals[&place];
        assert!(polls as u64 <= LOST_MS / GIVE_UP_MS, "{polls}");
    }
}
