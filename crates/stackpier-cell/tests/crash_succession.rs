// SPDX-License-Identifier: Apache-2.0
//! Tasks that crash the workers that start them, under owners that end one after the other.

mod common;

use common::{Owner, info, name, spec, step};
use stackpier_cell::{Event, Info, RosterEntry};
use stackpier_state::job::{Progress, State};

/// MAX_STARTS is how often a task that crashes every worker may start: three crashes identify
/// it, and client accounts accept two more starts.
const MAX_STARTS: usize = 5;
/// LONG_MS is how long an owner runs if no task starts: longer than all leases.
const LONG_MS: u64 = 30_000;
/// CRASHING is the job whose first task crashes workers.
const CRASHING: u64 = 1;

/// Succession is a sequence of owners with the same workers and store. Each of them ends in the
/// millisecond in which it starts the task.
struct Succession {
    fence: u64,
    workers: Vec<Info>,
    roster: Vec<RosterEntry>,
    saved: Option<Progress>,
}

impl Succession {
    fn new(workers: usize) -> Succession {
        Succession {
            fence: 0,
            workers: (0..workers).map(info).collect(),
            roster: Vec::new(),
            saved: None,
        }
    }

    /// next_owner returns the next owner, after it has read the store.
    fn next_owner(&mut self) -> Owner {
        self.fence += 1;
        let mut owner = Owner::with(self.workers.len(), self.fence, self.fence > 1);
        for (place, info) in self.workers.iter().enumerate() {
            owner.workers[place].info = info.clone();
        }
        for entry in &self.roster {
            owner.cell.add_roster(entry);
        }
        owner.submit_to(
            CRASHING,
            common::QUEUE,
            spec(vec![step(1)]),
            1,
            self.saved.clone(),
        );
        for info in &self.workers {
            owner.feed(Event::Listed(info.clone()));
        }
        owner
    }

    /// run_to_start runs an owner until it starts the task, or for `LONG_MS` at most, and returns
    /// the index of the worker that accepted the start.
    fn run_to_start(&mut self, owner: &mut Owner) -> Option<usize> {
        for _ in 0..LONG_MS {
            if owner.starts_of(name(CRASHING, 0, 0)) > 0 {
                break;
            }
            owner.advance(1);
        }
        self.saved = owner.saved(CRASHING).or(self.saved.take());
        let mut rosters = owner.saves.iter().filter_map(|save| save.roster.clone());
        self.roster = rosters.next_back().unwrap_or(self.roster.clone());
        owner.starts.last().map(|(_, place)| *place)
    }

    /// replace gives a crashed worker a new incarnation with another id.
    fn replace(&mut self, place: usize) {
        self.workers[place].id = format!("w{place}-{}", self.fence);
    }
}

/// Guards against crashes that are forgotten when the owner changes. Found by the fuzz test:
/// several owners in turn ended within a second after a task had crashed a worker, before they
/// found the worker silent, so nothing about the crash was saved for the next owner. The first
/// crash is still lost, because nothing distinguishes the start before it; later starts are saved
/// before they are sent.
#[test]
fn a_successor_knows_of_crashes_that_earlier_owners_did_not_notice() {
    let mut succession = Succession::new(4);
    let mut starts = 0;
    for _ in 0..10 {
        let mut owner = succession.next_owner();
        if let Some(place) = succession.run_to_start(&mut owner) {
            starts += 1;
            succession.replace(place);
        }
    }
    assert!(starts <= MAX_STARTS, "{starts} starts");
    let saved = succession.saved.expect("it was saved");
    assert_eq!(saved.state, State::Failed);
}

/// The same sequence of owners, but only the first worker crashes: starts whose outcome their
/// owner did not learn do not count against the task.
#[test]
fn starts_on_workers_that_keep_running_do_not_count() {
    let mut succession = Succession::new(4);
    for number in 0..10 {
        let mut owner = succession.next_owner();
        let place = succession.run_to_start(&mut owner);
        if number == 0 {
            succession.replace(place.expect("a start"));
        }
    }
    let mut owner = succession.next_owner();
    owner.advance(LONG_MS);
    assert_eq!(owner.state(CRASHING), Some(State::Completed));
}

/// A successor that reaches all workers saves no starts: none can have been lost.
#[test]
fn starts_of_harmless_tasks_are_not_saved_if_all_workers_answer() {
    let mut succession = Succession::new(4);
    for _ in 0..3 {
        let mut owner = succession.next_owner();
        succession.run_to_start(&mut owner);
        let saved = owner.saves.iter().flat_map(|save| &save.jobs);
        assert_eq!(saved.count(), 0);
    }
}
