// SPDX-License-Identifier: Apache-2.0
//! When a new owner shows jobs of its predecessors as completed.

mod common;

use common::{Owner, QUEUE, info, spec, step};
use stackpier_state::job::{Progress, State};

/// EARLIER is a job that was accepted under the first owner.
const EARLIER: u64 = 1;
/// SETTLED_MS is how long an earlier owner may still start tasks: the age that its last confirmation
/// may have, and the time that a start takes to arrive.
const SETTLED_MS: u64 = 1_000;

/// successor returns the second owner of a worker, which takes over a job from the first.
fn successor(progress: Option<Progress>) -> Owner {
    let mut owner = Owner::with(1, 2, false);
    owner.feed(stackpier_cell::Event::Listed(info(0)));
    let mut short = step(1);
    short.estimate_ms = 100;
    owner.submit_to(EARLIER, QUEUE, spec(vec![short]), 1, progress);
    owner
}

/// Guards against a task that starts after its job was shown as completed: a replaced owner that did
/// not know it yet started the task again, shortly after its successor had received the end.
#[test]
fn an_inherited_job_is_shown_as_completed_once_earlier_owners_start_nothing() {
    let mut owner = successor(None);
    owner.advance(600);
    assert_eq!(
        owner.saved(EARLIER).map(|saved| saved.state),
        Some(State::Completed)
    );
    assert_eq!(owner.state(EARLIER), Some(State::Running));
    owner.advance(SETTLED_MS);
    assert_eq!(owner.state(EARLIER), Some(State::Completed));
}

/// A job that an earlier owner has shown as completed is never shown as running again.
#[test]
fn a_job_that_had_completed_before_is_shown_as_completed_at_once() {
    let progress = Progress {
        state: State::Completed,
        ..Progress::default()
    };
    let owner = successor(Some(progress));
    assert_eq!(owner.state(EARLIER), Some(State::Completed));
}
