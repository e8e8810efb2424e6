// SPDX-License-Identifier: Apache-2.0
//! Progress that an owner receives no reports of.
//!
//! Guards against runs that are stopped as hanging though they progress ("no progress at 36% for
//! 1551 ms"). An owner that may not act, because the store has not answered for some seconds,
//! requests no reports, so the time since a run's progress last changed must not count.

mod common;

use common::{Owner, QUEUE, info, name, spec, step};
use stackpier_cell::Event;
use stackpier_state::job::{State, Step};

/// WORK_MS is longer than the store is unavailable.
const WORK_MS: u32 = 20_000;
/// OUTAGE_MS is longer than an owner acts without the store, by more than a run may go without
/// progress, and shorter than its leases last.
const OUTAGE_MS: u64 = 9_000;

#[test]
fn runs_that_progress_during_a_store_outage_are_not_stopped() {
    let mut owner = Owner::new(1);
    let mut long = step(1);
    long.estimate_ms = WORK_MS;
    owner.submit(1, spec(vec![long]));
    owner.advance(1_000);
    owner.store = false;
    owner.advance(OUTAGE_MS);
    owner.store = true;
    owner.advance(u64::from(WORK_MS));
    let outcome = (owner.starts_of(name(1, 0, 0)), owner.state(1));
    assert_eq!(outcome, (1, Some(State::Completed)));
}

/// PAUSED_MS is longer than a run may go without progress.
const PAUSED_MS: u64 = 6_000;

/// Guards against work lost in a takeover: the predecessor has paused a run, and its successor
/// takes the run for one that hangs.
#[test]
fn a_run_paused_by_a_predecessor_continues() {
    let best_effort_step = Step {
        best_effort: true,
        estimate_ms: WORK_MS,
        ..step(1)
    };
    let mut predecessor = Owner::new(1);
    predecessor.submit(1, spec(vec![best_effort_step.clone()]));
    predecessor.advance(1_000);
    predecessor.workers[0].runs[0].pace = 0;
    let mut successor = Owner::with(0, 2, true);
    successor.now_ms = predecessor.now_ms;
    successor.workers = predecessor.workers.clone();
    successor.cut = vec![false];
    successor.feed(Event::Listed(info(0)));
    successor.submit_to(1, QUEUE, spec(vec![best_effort_step]), 1, None);
    successor.advance(PAUSED_MS);
    assert_eq!(successor.starts.len(), 0);
    assert_eq!(successor.workers[0].runs[0].pace, 100);
    successor.advance(u64::from(WORK_MS));
    assert_eq!(successor.state(1), Some(State::Completed));
}
