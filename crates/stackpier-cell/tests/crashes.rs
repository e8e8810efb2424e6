// SPDX-License-Identifier: Apache-2.0
//! Tasks that crash each worker that starts them.
//!
//! Seen on a user's day: two tasks were started more than a dozen times each, every time
//! on a worker that crashed within 15 ms, and with it went the work of up to a dozen
//! other tasks. No run of theirs ever ended as failed, the only end that counted towards
//! the attempts: what is lost with its worker was put back to be placed, for ever. Of the
//! task that allows copies most starts were copies, as its run on the silent worker
//! lagged. A later owner began at nothing. The owner's log proved it: each start was
//! confirmed, the worker was silent at once, and "its address answers for another life"
//! ended its runs without a word on the tasks.

mod common;

use common::{Owner, info, name, spec, step};
use stackpier_cell::{Event, Info, Options, RosterEntry};
use stackpier_state::job::{Progress, State, Step};

/// MOST_STARTS is how often a task may start that crashes each worker: three crashes show
/// it, and users accept two starts more.
const MOST_STARTS: usize = 5;
/// QUIET_MS is for how long nothing else begins on a worker after the second start of a suspect.
const QUIET_MS: u64 = 200;
/// LONG_MS is how long an owner lives in which no task starts: longer than all leases.
const LONG_MS: u64 = 30_000;
/// CRASHING is the job whose first task crashes workers.
const CRASHING: u64 = 1;
/// OTHER is a job of sound tasks.
const OTHER: u64 = 2;

/// SMALL_VM is how many ratings a millisecond a daemon with 0.12 cores may do.
const SMALL_VM: u32 = 960;
/// STILL_MS is how long an owner stands still: longer than an entry of a worker that is gone
/// may be shown.
const STILL_MS: u64 = 8_500;

/// crashing_owner returns an owner of some workers with sound tasks on them and a job
/// whose first task crashes each.
fn crashing_owner(workers: usize, shape: Step) -> Owner {
    let mut owner = Owner::new(workers);
    owner.crashing.insert(name(CRASHING, 0, 0));
    let sound = Step {
        estimate_ms: 6_000,
        ..step(workers as u32 * 3)
    };
    owner.submit(OTHER, spec(vec![sound]));
    owner.advance(200);
    owner.submit(CRASHING, spec(vec![shape]));
    owner
}

#[test]
fn a_task_that_crashes_workers_is_given_up() {
    let mut owner = crashing_owner(8, step(1));
    owner.advance(120_000);
    assert!(owner.starts_of(name(CRASHING, 0, 0)) <= MOST_STARTS);
    assert_eq!(owner.state(CRASHING), Some(State::Failed));
    assert_eq!(owner.state(OTHER), Some(State::Completed));
}

#[test]
fn copies_of_a_task_that_crashes_workers_count_as_starts() {
    let shape = Step {
        speculative: true,
        ..step(1)
    };
    let mut owner = crashing_owner(8, shape);
    owner.advance(120_000);
    assert!(owner.starts_of(name(CRASHING, 0, 0)) <= MOST_STARTS);
    assert_eq!(owner.state(CRASHING), Some(State::Failed));
}

#[test]
fn a_long_running_task_that_crashes_workers_is_given_up() {
    let shape = Step {
        long_running: true,
        ..step(2)
    };
    let mut owner = crashing_owner(8, shape);
    owner.advance(120_000);
    assert!(owner.starts_of(name(CRASHING, 0, 0)) <= MOST_STARTS);
    assert_eq!(owner.state(CRASHING), Some(State::Failed));
}

/// Each owner is killed once the worker has crashed, half a second after it fell silent.
#[test]
fn a_successor_knows_of_earlier_crashes() {
    let task = name(CRASHING, 0, 0);
    let mut starts = 0;
    let mut saved = None;
    for fence in 1..=10 {
        let mut owner = Owner::with(8, fence, fence > 1);
        owner.crashing.insert(task);
        for place in 0..8 {
            // None of the lives that crashed is there again.
            let life = Info {
                id: format!("w{place}-{fence}"),
                ..info(place)
            };
            owner.workers[place].info = life.clone();
            owner.feed(Event::Listed(life));
        }
        owner.submit_to(
            CRASHING,
            common::QUEUE,
            spec(vec![step(1)]),
            fence,
            saved.clone(),
        );
        for _ in 0..120 {
            owner.advance(500);
            if owner.starts_of(task) > 0 {
                break;
            }
        }
        owner.advance(500);
        starts += owner.starts_of(task);
        saved = owner.saved(CRASHING).or(saved);
    }
    assert!(starts <= MOST_STARTS, "{starts} starts");
    assert_eq!(saved.map(|saved| saved.state), Some(State::Failed));
}

/// Sound tasks that always start beside one that crashes workers are not at fault.
#[test]
fn the_neighbours_of_a_task_that_crashes_workers_are_not_given_up() {
    let mut owner = Owner::new(3);
    for job in 1..=6 {
        owner.crashing.insert(name(job, 0, 0));
        owner.submit(job, spec(vec![step(1)]));
    }
    for job in 100..140 {
        let long_running = Step {
            long_running: job % 4 == 0,
            size: stackpier_core::Size {
                milli_cores: 200,
                memory_mib: 100,
                accelerators: 0,
            },
            ..step(2)
        };
        owner.submit(job, spec(vec![long_running]));
        owner.advance(300);
    }
    owner.advance(120_000);
    for job in 100..140 {
        let expected = match job % 4 {
            0 => State::Running,
            _ => State::Completed,
        };
        assert_eq!(owner.state(job), Some(expected), "job {job}");
    }
    for job in 1..=6 {
        assert!(owner.starts_of(name(job, 0, 0)) <= MOST_STARTS);
        assert_eq!(owner.state(job), Some(State::Failed), "job {job}");
    }
}

/// A worker that is cut off or stands still has not crashed: it answers again.
#[test]
fn a_task_whose_workers_are_cut_off_is_not_given_up() {
    let mut owner = Owner::new(4);
    owner.submit(CRASHING, spec(vec![step(1)]));
    for _ in 0..6 {
        let place = owner.starts.last().expect("a start").1;
        let before = owner.starts.len();
        owner.cut[place] = true;
        for _ in 0..400 {
            owner.advance(50);
            if owner.starts.len() > before {
                break;
            }
        }
        owner.cut[place] = false;
    }
    owner.advance(20_000);
    assert_eq!(owner.state(CRASHING), Some(State::Completed));
}

/// A whole rack that crashes, again and again, says nothing about what ran there.
#[test]
fn tasks_on_racks_that_crash_are_not_given_up() {
    let mut owner = Owner::new(8);
    for job in 1..=20 {
        let long_running = Step {
            long_running: job % 2 == 0,
            estimate_ms: 2_000,
            ..step(2)
        };
        owner.submit(job, spec(vec![long_running]));
    }
    for round in 0..5 {
        owner.advance(6_500);
        let first = round % 4 * 2;
        owner.crash(first);
        owner.crash(first + 1);
    }
    owner.advance(30_000);
    for job in 1..=20 {
        let expected = match job % 2 {
            0 => State::Running,
            _ => State::Completed,
        };
        assert_eq!(owner.state(job), Some(expected), "job {job}");
    }
}

/// Seen in the fuzz (cuts in series, seed 82882, before ends counted by their numbers): a
/// data centre was cut off, and its workers died before they had answered again. The first
/// one that was found silent had just begun a sound task under which two had crashed; it
/// counted as the crash of one worker alone, as the next one was found silent 2 ms later.
#[test]
fn a_worker_that_falls_silent_just_before_another_did_not_crash_alone() {
    let mut owner = Owner::new(4);
    let everywhere = Step {
        long_running: true,
        most_per_worker: Some(1),
        ..step(4)
    };
    owner.submit(OTHER, spec(vec![everywhere]));
    owner.advance(2_000);
    let sound = Step {
        estimate_ms: 3_000,
        ..step(1)
    };
    owner.submit(CRASHING, spec(vec![sound]));
    for crashes in 1..=3 {
        let place = crash_under_sound_task(&mut owner, crashes);
        if crashes == 3 {
            owner.advance(100);
            owner.crash((place + 1) % 4);
        }
    }
    owner.advance(30_000);
    assert_eq!(owner.state(CRASHING), Some(State::Completed));
}

/// crash_under_sound_task waits for a start of the task and crashes its worker soon after
/// it, by no doing of the task. It returns the worker's place.
fn crash_under_sound_task(owner: &mut Owner, starts: usize) -> usize {
    let task = name(CRASHING, 0, 0);
    while owner.starts_of(task) < starts {
        owner.advance(50);
    }
    owner.advance(300);
    let place = owner.places(CRASHING, 0)[starts - 1];
    owner.crash(place);
    place
}

/// Seen in the fuzz (crashes, seed 83329): three of four starts of a sound task came to
/// workers that had crashed by themselves up to half a second before, and of which that was
/// not known yet. What it got no answer from counted against it like what it brought down.
#[test]
fn a_suspect_does_not_start_on_a_worker_that_may_be_down_already() {
    let mut owner = Owner::new(2);
    owner.submit(CRASHING, spec(vec![step(1)]));
    owner.advance(300);
    let place = owner.starts[0].1;
    owner.cut[place] = true;
    owner.feed(Event::Unlisted(format!("w{place}")));
    // The other one is idle: it is not asked for seconds at a time.
    owner.advance(6_000);
    owner.cut[1 - place] = true;
    owner.advance(1_500);
    let suspects = owner.saves.iter().flat_map(|save| &save.jobs);
    let lives = suspects.flat_map(|(_, saved)| saved.suspects.iter().map(|one| one.lives.len()));
    assert_eq!(lives.max(), Some(1), "the first worker only");
    owner.cut[1 - place] = false;
    owner.advance(1_000);
    assert_eq!(owner.places(CRASHING, 0), [place, 1 - place]);
}

/// Seen in the fuzz (all kinds of faults, rate 15, seed 90164): an owner stood still for 8.5 s,
/// and on waking took a worker that had crashed for one that lives, as the list that it had
/// read before still showed it. The crash counted no more, and six workers crashed.
#[test]
fn an_owner_that_stood_still_does_not_go_by_the_list_of_before() {
    let mut owner = Owner::new(2);
    owner.submit(CRASHING, spec(vec![step(1)]));
    owner.advance(300);
    let place = owner.starts[0].1;
    owner.crash(place);
    owner.advance(1_000);
    let suspects = |owner: &Owner| owner.saved(CRASHING).map(|saved| saved.suspects.len());
    assert_eq!(suspects(&owner), Some(1));
    owner.now_ms += STILL_MS;
    owner.feed(Event::Tick);
    assert_eq!(suspects(&owner), Some(1));
}

/// A start that another life answers was never taken by the one that crashed.
#[test]
fn a_start_that_comes_after_the_crash_does_not_count() {
    let mut owner = Owner::new(1);
    for life in 0..4 {
        // The process is replaced, and the list does not show it yet.
        let next = Info {
            id: format!("life-{life}"),
            ..info(0)
        };
        owner.workers[0].info = next.clone();
        if life == 0 {
            owner.submit(CRASHING, spec(vec![step(1)]));
        }
        owner.advance(1_000);
        owner.feed(Event::Listed(next));
    }
    owner.advance(5_000);
    assert_eq!(owner.state(CRASHING), Some(State::Completed));
    let suspects = owner.saves.iter().flat_map(|save| &save.jobs);
    assert!(
        suspects
            .into_iter()
            .all(|(_, saved)| saved.suspects.is_empty())
    );
}

/// Seen with real daemons: the crash came before the answer to the start, so that only the
/// neighbours were known to have been there, and the task was started for ever.
#[test]
fn a_task_whose_starts_are_never_answered_is_given_up() {
    let mut owner = Owner::new(4);
    owner.crashes_unanswered = true;
    owner.crashing.insert(name(CRASHING, 0, 0));
    owner.submit(OTHER, spec(vec![step(1)]));
    owner.submit(CRASHING, spec(vec![step(1)]));
    for number in 100..400 {
        owner.submit(number, spec(vec![step(2)]));
        owner.advance(200);
    }
    assert!(owner.starts_of(name(CRASHING, 0, 0)) <= MOST_STARTS);
    assert_eq!(owner.state(CRASHING), Some(State::Failed));
    assert_eq!(owner.state(OTHER), Some(State::Completed));
}

/// Seen by a reviewer: with hundreds of suspects on a large cell whose owner has a small VM,
/// the questions for them used up all that placing may do, and nothing else was placed.
#[test]
fn waiting_suspects_leave_room_for_other_jobs_to_be_placed() {
    let workers = 240;
    let options = Options {
        max_lease_ms: 6_000,
        ratings_per_ms: SMALL_VM,
        ..Options::default()
    };
    let mut owner = Owner::with_options(workers, 1, false, options);
    (0..workers).for_each(|place| owner.feed(Event::Listed(info(place))));
    owner.advance(500);
    let long = Step {
        estimate_ms: 20_000,
        ..step(960)
    };
    owner.submit(1, spec(vec![long]));
    owner.advance(700);
    for place in (0..workers).step_by(3) {
        owner.cut[place] = true;
        owner.feed(Event::Unlisted(format!("w{place}")));
    }
    owner.advance(7_000);
    let saved = owner.saved(1).expect("it is saved");
    assert!(saved.suspects.len() > 200, "{}", saved.suspects.len());
    owner.submit(2, spec(vec![step(6)]));
    owner.advance(2_000);
    assert_eq!(owner.starts_of(name(2, 0, 5)), 1);
}

/// Seen in the fuzz: a suspect had its isolated start, another task began on the worker in the
/// very millisecond in which the quiet after it was over, and brought it down. The suspect was
/// blamed alone: what begins within the quiet is no cause, and its last millisecond was taken
/// to belong to it.
#[test]
fn what_begins_as_the_quiet_ends_is_a_suspect() {
    let mut owner = Owner::new(1);
    owner.submit(OTHER, spec(vec![step(1)]));
    owner.advance(100);
    owner.crash(0);
    while owner.starts_of(name(OTHER, 0, 0)) < 2 {
        owner.advance(1);
    }
    owner.crashing.insert(name(CRASHING, 0, 0));
    owner.submit(CRASHING, spec(vec![step(1)]));
    owner.advance(QUIET_MS);
    assert_eq!(owner.starts_of(name(CRASHING, 0, 0)), 0);
    owner.feed(Event::Tick);
    assert_eq!(owner.starts_of(name(CRASHING, 0, 0)), 1);
    owner.advance(500);
    let saved = owner.saved(CRASHING).expect("it was saved");
    assert_eq!(saved.suspects.len(), 1);
}

/// Succession is a row of owners that share workers and a store, each of which ends in the
/// millisecond in which a task is started.
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

    /// next_owner returns the next owner, which has read the store.
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

    /// run_to_start lets an owner live until it starts the task, or for a while, and returns
    /// where it did.
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

    /// replace has another life of a worker come in the place of one that crashed.
    fn replace(&mut self, place: usize) {
        self.workers[place].id = format!("w{place}-{}", self.fence);
    }
}

/// Seen in the fuzz: owners in a row ended within a second after a task had brought a worker
/// down, before they found it silent. None of them had saved anything of it, and each next
/// one began at nothing. The first crash is still lost, as the start before it was like any
/// other; the starts after it are in the store when they are made.
#[test]
fn a_successor_knows_of_crashes_that_their_owners_did_not_live_to_see() {
    let mut succession = Succession::new(4);
    let mut starts = 0;
    for _ in 0..10 {
        let mut owner = succession.next_owner();
        if let Some(place) = succession.run_to_start(&mut owner) {
            starts += 1;
            succession.replace(place);
        }
    }
    assert!(starts <= MOST_STARTS, "{starts} starts");
    let saved = succession.saved.expect("it was saved");
    assert_eq!(saved.state, State::Failed);
}

/// The same row of owners, and no worker crashes but the first: the starts that were lost are
/// not held against the task.
#[test]
fn starts_on_workers_that_live_on_do_not_count() {
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

/// Members of a gang are isolated together: that the start of one waits for the store does not
/// keep the other from their worker.
#[test]
fn a_gang_of_suspects_starts_on_one_worker() {
    let mut owner = Owner::new(1);
    let shape = Step {
        gang: true,
        ..step(2)
    };
    owner.submit(OTHER, spec(vec![shape]));
    owner.advance(100);
    owner.crash(0);
    owner.advance(LONG_MS);
    assert_eq!(owner.starts_of(name(OTHER, 0, 0)), 2);
    assert_eq!(owner.starts_of(name(OTHER, 0, 1)), 2);
    assert_eq!(owner.state(OTHER), Some(State::Completed));
}

/// A successor that hears all workers writes nothing down: no start is lost.
#[test]
fn starts_of_sound_tasks_are_not_saved_if_all_workers_are_heard() {
    let mut succession = Succession::new(4);
    for _ in 0..3 {
        let mut owner = succession.next_owner();
        succession.run_to_start(&mut owner);
        let saved = owner.saves.iter().flat_map(|save| &save.jobs);
        assert_eq!(saved.count(), 0);
    }
}
