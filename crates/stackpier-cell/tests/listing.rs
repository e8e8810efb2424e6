// SPDX-License-Identifier: Apache-2.0
//! What an owner makes of the two lists of a worker's report.
//!
//! Seen: on one run of each of two deployments some 450 tasks, a tenth of all, were started
//! again after they had ended as done. Both ends were noted. One owner made both starts.
//!
//! How it came about: the owner took an end as known if its number was not above the highest
//! one that it had seen of the worker. A list that was not in the order of its numbers lost
//! ends in this way: they were passed over, and the worker was told to forget them. The next
//! report showed their runs neither as running nor as ended, so their tasks were started again.
//!
//! Cause: the place of an end in a list was taken for knowledge of all ends before it. The
//! platform promises rising numbers and no order of the list.
//!
//! Proof: with workers that list the newest end first, or in a drawn order, the model of a
//! calm day has as many such tasks as the record, and most second runs end as done; with ends
//! that show late, or lists that are cut, second runs are stopped. With real daemons: see
//! `platform/tests/listing.rs`. That the users' workers listed like this is not proved.

mod common;

use common::{Owner, name, spec, step};
use stackpier_standin::fleet::listing::{Listing, Order};
use stackpier_state::job::State;

/// TASKS is how many tasks run on one worker, and end at the same moment.
const TASKS: u32 = 6;
/// WORK_MS is longer than they work, twice.
const WORK_MS: u64 = 4_000;

/// play has one worker, that lists in some way, run tasks that end together, and returns how
/// often each was started and the state of their job.
fn play(listing: Listing) -> (Vec<usize>, Option<State>) {
    let mut owner = Owner::new(1);
    owner.workers[0].listing = listing;
    owner.submit(1, spec(vec![step(TASKS)]));
    owner.advance(WORK_MS);
    let starts = (0..TASKS).map(|index| owner.starts_of(name(1, 0, index)));
    (starts.collect(), owner.state(1))
}

/// once is what is wanted: each task starts once, and the job is completed.
fn once() -> (Vec<usize>, Option<State>) {
    (vec![1; TASKS as usize], Some(State::Completed))
}

#[test]
fn ends_count_in_whatever_order_they_are_listed() {
    let orders = [
        Order::Numbered,
        Order::NewestFirst,
        Order::Drawn(1),
        Order::Drawn(2),
    ];
    let played = orders.map(|order| play(Listing::in_order(order)));
    assert_eq!(played, orders.map(|_| once()));
}
