// SPDX-License-Identifier: Apache-2.0
//! Long-running tasks start only where the store has them assigned.

mod common;

use std::collections::HashMap;

use common::{Owner, info, sized};
use stackpier_cell::{Event, RosterEntry};
use stackpier_core::key;

/// OTHERS_MS is longer than all that an owner waits for before it sends a start.
const OTHERS_MS: u64 = 400;

/// Guards against starts that a successor can't know of: the start waits for the write.
#[test]
fn a_start_waits_until_the_store_has_it_assigned() {
    let mut owner = Owner::new(3);
    owner.assign_ms = OTHERS_MS;
    owner.submit_long_running(1, sized(1_000, 2));
    owner.advance(OTHERS_MS - 1);
    assert_eq!(owner.starts.len(), 0);
    owner.advance(OTHERS_MS);
    assert_eq!(owner.starts.len(), 2);
    let (_, record) = &owner.written[0].jobs[0];
    for (start, place) in &owner.starts {
        let id = format!("w{place}");
        let entry = record.entries.iter().find(|entry| entry.worker == id);
        assert!(entry.is_some_and(|entry| entry.tasks.contains(&start.order.task.index)));
    }
}

/// Guards against slow saves that delay starts: assignments are written beside them.
#[test]
fn a_start_does_not_wait_for_a_save() {
    let mut owner = Owner::new(3);
    owner.save_ms = 5_000;
    owner.submit_long_running(1, sized(1_000, 1));
    owner.advance(OTHERS_MS);
    assert_eq!(owner.starts.len(), 1);
}

/// Guards against starts without the store on workers of which a successor does not know.
#[test]
fn without_the_store_nothing_starts_that_is_not_assigned() {
    let mut owner = Owner::new(3);
    owner.store = false;
    owner.submit_long_running(1, sized(1_000, 1));
    owner.advance(4_000);
    assert_eq!(owner.starts.len(), 0);
    owner.store = true;
    owner.advance(2_000);
    assert_eq!(owner.starts.len(), 1);
}

/// next_owner returns a second owner of two workers, of which it does not reach the second.
fn next_owner() -> Owner {
    let mut owner = Owner::with(2, 2, true);
    owner.cut[1] = true;
    for place in 0..2 {
        owner.cell.add_roster(&RosterEntry {
            id: format!("w{place}"),
            address: format!("address-{place}"),
        });
        owner.feed(Event::Listed(info(place)));
    }
    owner
}

/// Guards against taking a job whose assignments can't be read for one that has none.
#[test]
fn jobs_whose_assignments_cannot_be_read_wait_for_all_workers() {
    let mut owner = next_owner();
    owner.cell.restore_assignments(HashMap::new());
    owner.cell.ignore_assignments(key::Job(1));
    owner.submit_long_running(1, sized(1_000, 1));
    owner.submit_long_running(2, sized(1_000, 1));
    owner.advance(2_000);
    assert_eq!(owner.places(1, 0), Vec::<usize>::new());
    assert_eq!(owner.places(2, 0), [0]);
    owner.advance(12_000);
    assert_eq!(owner.places(1, 0), [0]);
    let written = owner.written.iter().flat_map(|write| &write.jobs);
    assert!(written.map(|(job, _)| job.0).all(|job| job != 1));
}

/// Guards against a successor that relies on assignments although an owner which assigned nothing may
/// have left runs on a silent worker.
#[test]
fn assignments_are_complete_once_the_leases_of_other_owners_are_over() {
    let mut owner = next_owner();
    owner.advance(11_000);
    assert!(!owner.written.iter().any(|write| write.complete));
    owner.advance(3_000);
    assert!(owner.written.iter().any(|write| write.complete));
}
