// SPDX-License-Identifier: Apache-2.0
//! Progress that no report could show.
//!
//! Seen: real daemons whose store was silent for some seconds logged "no progress at 36% for
//! 1551 ms" of tasks that got on.
//!
//! Cause: an owner that may no longer act asks for no reports, but goes on to count the time
//! since a run's progress last moved.

mod common;

use common::{Owner, QUEUE, info, name, spec, step};
use stackpier_cell::Event;
use stackpier_state::job::{State, Step};

/// WORK_MS is longer than the store is away.
const WORK_MS: u32 = 20_000;
/// AWAY_MS is longer than an owner acts without the store, by more than a run may stand still,
/// and shorter than its leases last.
const AWAY_MS: u64 = 9_000;

#[test]
fn runs_that_get_on_while_the_store_is_away_are_not_stopped() {
    let mut owner = Owner::new(1);
    let mut long = step(1);
    long.estimate_ms = WORK_MS;
    owner.submit(1, spec(vec![long]));
    owner.advance(1_000);
    owner.store = false;
    owner.advance(AWAY_MS);
    owner.store = true;
    owner.advance(u64::from(WORK_MS));
    let seen = (owner.starts_of(name(1, 0, 0)), owner.state(1));
    assert_eq!(seen, (1, Some(State::Completed)));
}

/// PAUSED_MS is longer than a run may stand still.
const PAUSED_MS: u64 = 6_000;

/// Guards against work that is thrown away as the cell changes its owner: the earlier one had
/// paused a run, and its successor took that for a run that hangs.
#[test]
fn a_run_that_an_earlier_owner_paused_goes_on() {
    let filling = Step {
        best_effort: true,
        estimate_ms: WORK_MS,
        ..step(1)
    };
    let mut earlier = Owner::new(1);
    earlier.submit(1, spec(vec![filling.clone()]));
    earlier.advance(1_000);
    earlier.workers[0].runs[0].pace = 0;
    let mut later = Owner::with(0, 2, true);
    later.now_ms = earlier.now_ms;
    later.workers = earlier.workers.clone();
    later.cut = vec![false];
    later.feed(Event::Listed(info(0)));
    later.submit_to(1, QUEUE, spec(vec![filling]), 1, None);
    later.advance(PAUSED_MS);
    assert_eq!(later.starts.len(), 0);
    assert_eq!(later.workers[0].runs[0].pace, 100);
    later.advance(u64::from(WORK_MS));
    assert_eq!(later.state(1), Some(State::Completed));
}
