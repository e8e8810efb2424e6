// SPDX-License-Identifier: Apache-2.0
//! Progress that no report could show.
//!
//! Seen: real daemons whose store was silent for some seconds logged "no progress at 36% for
//! 1551 ms" of tasks that got on.
//!
//! Cause: an owner that may no longer act asks for no reports, but goes on to count the time
//! since a run's progress last moved.

mod common;

use common::{Owner, name, spec, step};
use stackpier_state::job::State;

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
