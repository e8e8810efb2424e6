// SPDX-License-Identifier: Apache-2.0
//! Successors of which many questions get no answer.

mod common;

use common::{Owner, QUEUE, info, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Info, RosterEntry};

/// JOB is a job of the first owner that has not begun.
const JOB: u64 = 1;
/// GIVE_UP_MS is how long a call without an answer takes.
const GIVE_UP_MS: u64 = 600;
/// APART_MS is the time from the first question to a worker to that to the next one, so that
/// one is under way at any time.
const APART_MS: u64 = 20;
/// LOST_MS is from when users count a job as lost that could run and does not.
const LOST_MS: u64 = 3_000;
/// LEASES_MS is by when all that an earlier owner leased is over, with a tick and a call to
/// the store.
const LEASES_MS: u64 = 6_800;

/// successor returns an owner whose workers, but for the first, answer none of the next
/// questions.
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

/// Guards against tasks of earlier jobs that wait for seconds, as questions to a worker are
/// lost and each is given up before the next one is sent.
#[rstest]
fn a_lost_answer_holds_no_task_up_for_long(#[values(1, 3, 6)] lost: usize) {
    let mut owner = successor(2, lost);
    owner.advance(LOST_MS);
    assert_eq!(owner.starts.len(), 1, "{:?}", owner.log_lines);
}

/// Guards against questions to workers that are gone putting off the time from which their
/// silence counts.
#[test]
fn tasks_start_once_all_leases_are_over_though_workers_stay_silent() {
    let mut owner = successor(41, usize::MAX);
    owner.advance(LEASES_MS - owner.now_ms);
    assert_eq!(owner.starts.len(), 1, "{:?}", owner.log_lines);
}

/// Guards against workers that are gone being asked again as often as those that tasks wait for.
#[test]
fn workers_that_are_gone_are_not_asked_for_ever() {
    const GONE: usize = 11;
    let mut owner = successor(1 + GONE, usize::MAX);
    owner.advance(LEASES_MS);
    let before = owner.lose_renewals.clone();
    owner.advance(LOST_MS);
    for place in 1..=GONE {
        let asked = before[&place] - owner.lose_renewals[&place];
        assert!(asked as u64 <= LOST_MS / GIVE_UP_MS, "{asked}");
    }
}
