// SPDX-License-Identifier: Apache-2.0
//! Owners and placers while their calls to the store fail.

mod claims;

use std::collections::BTreeMap;

use rstest::rstest;
use stackpier_coordination::{
    effect::{Effect, Event, Note, Writer},
    membership::{self, Table},
    owner::{self, Owner},
    placer::{self, Placer, View},
};
use stackpier_core::{
    Millis, Name, Size,
    key::{Attempt, Boot, Job, Task},
};
use stackpier_protocol::{
    peer::{Claims, Hint, RackReport, WorkerReport, claims_sum},
    platform::{Role, Roster, Standing, Vm},
    sync::{Clock, Ended, Reply},
};
use stackpier_state::{
    Page, Revision,
    catalogue::Catalogue,
    holders::Member,
    homes::{Claim, Home, Place, Shard},
    page::{ABSENT, Fetched, Key, Swapped},
    rack::{Condition, Phase, Rack, Row, Worker},
    work::{Class, Outcome, Run, Work},
};

/// STEP_MS is the time between two ticks.
const STEP_MS: u64 = 10;
/// OUTAGE_MS is how long the store does not answer.
const OUTAGE_MS: u64 = 10_000;
/// MAX_PAUSE_MS is the longest time between two attempts.
const MAX_PAUSE_MS: u64 = 1_000;

fn name(text: &str) -> Name {
    Name::try_from(text).expect("a valid name")
}

fn me() -> Member {
    Member {
        vm: name("entry-0"),
        boot: Boot(10),
    }
}

fn table() -> Table {
    let mut table = Table::new(me(), name("dc-a"), membership::Options::default());
    let vm = |label: &str, role, rack| Vm {
        name: name(label),
        role,
        data_centre: name("dc-a"),
        rack,
        address: String::new(),
        capacity: Size::default(),
        standing: Standing::Live,
    };
    table.update_roster(Roster {
        vms: vec![
            vm("entry-0", Role::Entry, None),
            vm("worker-0", Role::Worker, Some(name("rack-0"))),
        ],
    });
    table
}

/// Machine is the state machine under test.
enum Machine {
    Owner(Box<Owner>),
    Placer(Box<Placer>),
}

fn owner() -> Machine {
    let options = owner::Options::default();
    Machine::Owner(Box::new(Owner::new(name("rack-0"), me(), options)))
}

fn placer() -> Machine {
    Machine::Placer(Box::new(Placer::new(0, placer::Options::default())))
}

fn work(index: u32) -> Work {
    Work {
        task: Task { job: Job(7), index },
        name: name("ledger"),
        generation: 1,
        urgent: false,
        class: Class::Batch,
        size: Size::default(),
        run_time_ms: 1_000,
    }
}

/// rack returns the page of a rack that the owner renews, with `runs` runs.
fn rack(runs: u32) -> Rack {
    let mut page = Rack::empty();
    page.take_over(me().vm, me().boot);
    page.workers.push(Worker {
        name: name("worker-0"),
        boot: Boot(50),
        capacity: Size::default(),
        condition: Condition::Up,
    });
    page.rows.extend((0..runs).map(|index| Row {
        run: run(index),
        work: work(index),
        worker: name("worker-0"),
        checkpoint: None,
        phase: Phase::Running,
    }));
    page
}

fn run(index: u32) -> Run {
    Run {
        task: work(index).task,
        attempt: Attempt(1),
    }
}

/// World is a state machine with its store and a worker.
struct World {
    now: u64,
    machine: Machine,
    table: Table,
    writer: Writer,
    pages: BTreeMap<Key, (Revision, Page)>,
    /// Whether the store does not answer.
    down: bool,
    /// Whether the store does not answer reads of homes.
    homes_down: bool,
    /// Whether swaps take effect and their answers are lost.
    mute: bool,
    /// Number of reads and swaps requested.
    requests: usize,
    /// Number of reads and swaps answered.
    answers: usize,
    /// Number of calls to the worker.
    calls: usize,
    /// Runs that the worker reports as ended.
    ended: Vec<Ended>,
    /// Reports that the placer reads.
    racks: BTreeMap<Name, RackReport>,
    notes: Vec<Note>,
    hints: Vec<Hint>,
    /// Answers that arrive at the next step.
    events: Vec<Event>,
}

impl World {
    fn new(machine: Machine) -> World {
        World {
            now: 1,
            machine,
            table: table(),
            writer: Writer::new(me().boot),
            pages: BTreeMap::new(),
            down: false,
            homes_down: false,
            mute: false,
            requests: 0,
            answers: 0,
            calls: 0,
            ended: Vec::new(),
            racks: BTreeMap::new(),
            notes: Vec::new(),
            hints: Vec::new(),
            events: Vec::new(),
        }
    }

    fn read(&mut self, key: Key) -> Fetched {
        self.requests += 1;
        let homes = matches!(key, Key::Homes(..));
        if self.down || (homes && self.homes_down) {
            return Fetched::Failed;
        }
        self.answers += 1;
        match self.pages.get(&key) {
            Some((revision, page)) => Fetched::Found(*revision, page.clone()),
            None => Fetched::Absent,
        }
    }

    fn swap(&mut self, key: Key, expect: Revision, page: Page) -> Swapped {
        self.requests += 1;
        if self.down {
            return Swapped::Unclear;
        }
        self.answers += 1;
        let known = self.pages.get(&key).map_or(ABSENT, |(known, _)| *known);
        if known != expect {
            return Swapped::Lost;
        }
        let revision = Revision(known.0 + 1);
        self.pages.insert(key, (revision, page));
        match self.mute {
            true => Swapped::Unclear,
            false => Swapped::Won(revision),
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Read(key) => {
                let fetched = self.read(key);
                self.events.push(Event::Read(key, fetched));
            }
            Effect::Swap(key, expect, page) => {
                let swapped = self.swap(key, expect, page);
                self.events.push(Event::Swapped(key, swapped));
            }
            Effect::Sync(worker, _) => {
                self.calls += 1;
                let reply = Reply {
                    name: worker,
                    boot: Boot(50),
                    clock: Clock(self.now),
                    running: Vec::new(),
                    ended: self.ended.clone(),
                    usage: Vec::new(),
                };
                self.events.push(Event::Synced(worker, Some(reply)));
            }
            Effect::Hint(hint) => self.hints.push(hint),
            Effect::Note(note) => self.notes.push(note),
        }
    }

    fn step(&mut self, event: Event) {
        let now = Millis(self.now);
        let effects = match &mut self.machine {
            Machine::Owner(owner) => owner.step(now, event, &self.table, &mut self.writer),
            Machine::Placer(placer) => {
                let view = View {
                    table: &self.table,
                    catalogue: &Catalogue::default(),
                    racks: &self.racks,
                };
                placer.step(now, event, view, &mut self.writer)
            }
        };
        for effect in effects {
            self.perform(effect);
        }
    }

    /// advance lets time pass. Each answer arrives one step after its request.
    fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            for event in std::mem::take(&mut self.events) {
                self.step(event);
            }
            self.step(Event::Tick);
        }
    }

    /// fail lets time pass while the store does not answer.
    fn fail(&mut self) {
        self.down = true;
        self.advance(OUTAGE_MS);
        self.down = false;
    }
}

/// Guards against a daemon that keeps its threads busy with requests to a store
/// that does not answer, so that its calls to workers are late.
#[rstest]
#[case::owner_before_its_first_read(owner(), 0)]
#[case::owner_that_renews(owner(), 2_000)]
#[case::placer_before_its_first_read(placer(), 0)]
#[case::placer_with_its_page(placer(), 2_000)]
fn requests_pause_while_the_store_fails(#[case] machine: Machine, #[case] before_ms: u64) {
    let mut world = World::new(machine);
    world.advance(before_ms);
    let before = world.requests;
    world.fail();
    let requested = world.requests - before;
    // Five attempts at growing distances, then one for each pause.
    let most = 5 + OUTAGE_MS / MAX_PAUSE_MS;
    assert!((1..=most).contains(&(requested as u64)), "{requested}");
}

/// Guards against a pause that outlasts the outage.
#[rstest]
#[case::owner(owner())]
#[case::placer(placer())]
fn store_is_read_within_a_pause_after_an_outage(#[case] machine: Machine) {
    let mut world = World::new(machine);
    world.fail();
    let before = world.answers;
    world.advance(MAX_PAUSE_MS + 2 * STEP_MS);
    assert!(world.answers > before, "not read");
    // The next failure is followed by a short pause again.
    world.advance(OUTAGE_MS);
    world.down = true;
    let mut failed = world.requests;
    while world.requests == failed {
        world.advance(STEP_MS);
    }
    failed = world.requests;
    world.advance(100);
    assert!(world.requests > failed, "a long pause after one failure");
}

/// Guards against leases that run out because the owner's store fails.
#[test]
fn workers_are_called_while_the_store_fails() {
    let mut world = World::new(owner());
    world.advance(2_000);
    let before = world.calls;
    world.fail();
    let due = OUTAGE_MS / owner::Options::default().sync_ms;
    assert!(
        (world.calls - before) as u64 >= due - 1,
        "{} calls",
        world.calls - before
    );
}

/// Guards against an outage that no log shows, or that fills the log.
#[rstest]
#[case::owner_before_its_first_read(owner(), 0)]
#[case::owner_that_renews(owner(), 2_000)]
#[case::placer(placer(), 2_000)]
fn outage_is_logged_once_with_its_length(#[case] machine: Machine, #[case] before_ms: u64) {
    let mut world = World::new(machine);
    world.advance(before_ms);
    world.fail();
    world.advance(OUTAGE_MS);
    let about = |note: &&Note| matches!(note, Note::Failing(_) | Note::Answered(..));
    let notes: Vec<Note> = world.notes.iter().filter(about).copied().collect();
    let [Note::Failing(failing), Note::Answered(answered, after_ms)] = notes[..] else {
        panic!("{notes:?}");
    };
    assert_eq!(failing, answered);
    // The first request may be as late as a sweep.
    let sweep_ms = match world.machine {
        Machine::Owner(_) => owner::Options::default().sweep_ms,
        Machine::Placer(_) => placer::Options::default().sweep_ms,
    };
    let expected = OUTAGE_MS.saturating_sub(sweep_ms)..=OUTAGE_MS + MAX_PAUSE_MS + 2 * STEP_MS;
    assert!(expected.contains(&after_ms), "{after_ms} ms");
}

/// Guards against failed runs that are not counted, or counted twice, if the
/// answer to the swap that recorded them was lost: after three failures a worker
/// is offered no tasks.
#[rstest]
#[case::below_the_limit(2, true)]
#[case::at_the_limit(3, false)]
fn failures_count_once_although_the_answer_to_their_swap_was_lost(
    #[case] failures: u32,
    #[case] offered: bool,
) {
    let mut world = World::new(owner());
    let key = Key::Rack(name("rack-0"));
    world
        .pages
        .insert(key, (Revision(1), Page::Rack(rack(failures))));
    world.advance(1_000);
    world.mute = true;
    world.ended = (0..failures)
        .map(|index| Ended {
            run: run(index),
            outcome: Outcome::Failed,
        })
        .collect();
    world.advance(2 * owner::Options::default().sync_ms);
    let Machine::Owner(owner) = &world.machine else {
        panic!("not an owner")
    };
    let report = owner.report().expect("a report");
    assert_eq!(!report.workers.is_empty(), offered);
    let ends = |note: &&Note| matches!(note, Note::Ended(..));
    let ends = world.notes.iter().filter(ends).count();
    assert_eq!(ends, failures as usize, "{:?}", world.notes);
    let told = |hint: &&Hint| matches!(hint, Hint::Ended { .. });
    let told = world.hints.iter().filter(told).count();
    assert_eq!(told, 1, "{:?}", world.hints);
}

/// Guards against takeovers that no log shows and no daemon is told of: the
/// answer to the swap was lost.
#[test]
fn takeover_is_logged_although_the_answer_to_its_swap_was_lost() {
    let mut world = World::new(owner());
    world.mute = true;
    world.advance(1_000);
    let note = Note::TookOver(name("rack-0"), 1);
    let logged = world.notes.iter().filter(|known| **known == note).count();
    assert_eq!(logged, 1, "{:?}", world.notes);
    let told = |hint: &Hint| matches!(hint, Hint::TakenOver { term: 1, .. });
    assert!(world.hints.iter().any(told), "{:?}", world.hints);
}

/// Guards against claims that wait for the next sweep: the answer to the swap
/// that wrote them was lost.
#[test]
fn claims_are_sent_although_the_answer_to_their_swap_was_lost() {
    let mut world = World::new(placer());
    let page = Shard {
        homes: vec![Home::new(work(0))],
        ..Shard::default()
    };
    let key = Key::Homes(name("dc-a"), 0);
    world.pages.insert(key, (Revision(1), Page::Homes(page)));
    world.advance(1_000);
    world.mute = true;
    world.racks.insert(
        name("rack-0"),
        RackReport {
            rack: name("rack-0"),
            renewer: me().vm,
            term: 1,
            change: 1,
            workers: vec![WorkerReport {
                worker: name("worker-0"),
                capacity: Size::default(),
                free: Size::default(),
                slowdown_milli: 1_000,
            }],
            endpoints: Vec::new(),
            pairs: Vec::new(),
        },
    );
    world.advance(2_000);
    let claims = |hint: &&Hint| matches!(hint, Hint::Claims(claims) if !claims.claimed.is_empty());
    assert_eq!(world.hints.iter().filter(claims).count(), 1);
    let note = Note::Claimed(run(0), name("worker-0"));
    assert!(world.notes.contains(&note), "{:?}", world.notes);
}
