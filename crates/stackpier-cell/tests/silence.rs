// SPDX-License-Identifier: Apache-2.0
//! Workers that become reachable again shortly before the owner gives up their runs.

mod common;

use common::{Owner, QUEUE, info, name, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Info, Options, RosterEntry};
use stackpier_state::job::State;

/// JOB is the job whose only task ends while its worker is unreachable.
const JOB: u64 = 1;
/// WORK_MS is how long its task works.
const WORK_MS: u64 = 1_000;
/// GIVE_UP_MS is how long a call without an answer takes: much longer than the pause between two
/// calls.
const GIVE_UP_MS: u64 = 700;
/// MAX_RESTART_MS is the time within which a task of an unreachable worker starts elsewhere.
const MAX_RESTART_MS: u64 = 15_000;

/// cut_off returns an owner that cannot reach the only worker with a run.
fn cut_off(give_up_ms: u64) -> Owner {
    let mut owner = Owner::new(2);
    owner.give_up_ms = Some(give_up_ms);
    owner.submit(JOB, spec(vec![step(1)]));
    owner.advance(WORK_MS / 2);
    let place = owner.places(JOB, 0)[0];
    owner.cut[place] = true;
    owner
}

/// successor returns an owner that cannot reach the worker on which its predecessor's run ends.
fn successor(give_up_ms: u64) -> Owner {
    let mut earlier = Owner::new(2);
    earlier.submit(JOB, spec(vec![step(1)]));
    earlier.advance(WORK_MS / 2);
    let place = earlier.places(JOB, 0)[0];
    let options = Options {
        max_lease_ms: 6_000,
        ..Options::default()
    };
    let mut owner = Owner::with_options(2, 2, false, options);
    owner.give_up_ms = Some(give_up_ms);
    owner.now_ms = earlier.now_ms;
    owner.workers = earlier.workers;
    owner.cut[place] = true;
    for place in 0..2 {
        let Info { id, address, .. } = info(place);
        owner.cell.add_roster(&RosterEntry { id, address });
        owner.feed(Event::Listed(info(place)));
    }
    owner.submit_to(JOB, QUEUE, spec(vec![step(1)]), 1, None);
    owner
}

/// advance_all advances the owner and all workers: those that are cut off go on with their runs.
fn advance_all(owner: &mut Owner, ms: u64) {
    for _ in 0..ms {
        owner.advance(1);
        let now_ms = owner.now_ms;
        for worker in &mut owner.workers {
            worker.advance(now_ms);
        }
    }
}

/// started_after returns the time until the task starts again if its worker stays unreachable.
fn started_after(mut owner: Owner) -> u64 {
    let (begin, before) = (owner.now_ms, owner.starts.len());
    while owner.starts.len() == before {
        assert!(
            owner.now_ms < begin + MAX_RESTART_MS,
            "it never started again"
        );
        advance_all(&mut owner, 1);
    }
    owner.now_ms - begin
}

/// Guards against a finished task that starts again because its worker was not polled between
/// the end of a cut and the expiry of its lease.
#[rstest]
fn a_worker_is_polled_before_its_runs_are_given_up(
    #[values(cut_off, successor)] cut: fn(u64) -> Owner,
    #[values(500, 600, 700)] give_up_ms: u64,
    #[values(300, 450, 600, 750, 900)] before_ms: u64,
) {
    let start_delay_ms = started_after(cut(give_up_ms));
    let mut owner = cut(give_up_ms);
    let before = owner.starts.len();
    advance_all(&mut owner, start_delay_ms - before_ms);
    owner.cut.fill(false);
    advance_all(&mut owner, MAX_RESTART_MS);
    assert_eq!(owner.starts.len(), before, "it started again");
    assert_eq!(owner.state(JOB), Some(State::Completed));
    assert!(owner.saved(JOB).is_some_and(|saved| saved.is_done(0)));
}

/// Guards against a worker that counts as silent because a poll is given up after the worker has
/// answered a later one.
#[test]
fn a_worker_that_answered_a_later_poll_is_not_silent() {
    let mut owner = cut_off(GIVE_UP_MS);
    let start_delay_ms = started_after(cut_off(GIVE_UP_MS));
    advance_all(&mut owner, start_delay_ms - 300);
    owner.cut.fill(false);
    advance_all(&mut owner, GIVE_UP_MS + 300);
    let silences = |log_lines: &[String]| {
        let matches = log_lines
            .iter()
            .filter(|text| text.contains("does not answer"));
        matches.count()
    };
    assert_eq!(silences(&owner.log_lines), 1, "{:?}", owner.log_lines);
    let task = name(JOB, 0, 0);
    assert_eq!(owner.starts_of(task), 1);
}
