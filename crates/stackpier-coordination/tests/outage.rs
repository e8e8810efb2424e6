// SPDX-License-Identifier: Apache-2.0
//! Owners and placers while their calls to the store fail.

use std::collections::BTreeMap;

use rstest::rstest;
use stackpier_coordination::{
    effect::{Effect, Event, Writer},
    membership::{self, Table},
    owner::{self, Owner},
    placer::{self, Placer, View},
};
use stackpier_core::{Millis, Name, Size, key::Boot};
use stackpier_protocol::{
    platform::{Role, Roster, Standing, Vm},
    sync::{Clock, Reply},
};
use stackpier_state::{
    Page, Revision,
    catalogue::Catalogue,
    holders::Member,
    page::{ABSENT, Fetched, Key, Swapped},
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

/// World is a state machine with its store and a worker.
struct World {
    now: u64,
    machine: Machine,
    table: Table,
    writer: Writer,
    pages: BTreeMap<Key, (Revision, Page)>,
    /// Whether the store does not answer.
    down: bool,
    /// Number of reads and swaps requested.
    requests: usize,
    /// Number of reads and swaps answered.
    answers: usize,
    /// Number of calls to the worker.
    calls: usize,
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
            requests: 0,
            answers: 0,
            calls: 0,
            events: Vec::new(),
        }
    }

    fn read(&mut self, key: Key) -> Fetched {
        self.requests += 1;
        if self.down {
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
        Swapped::Won(revision)
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
                    ended: Vec::new(),
                    usage: Vec::new(),
                };
                self.events.push(Event::Synced(worker, Some(reply)));
            }
            Effect::Hint(_) | Effect::Note(_) => {}
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
                    racks: &BTreeMap::new(),
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
