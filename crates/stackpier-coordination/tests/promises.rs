// SPDX-License-Identifier: Apache-2.0
//! Owners whose store fails in part, or at a bad moment.

use rstest::rstest;
use stackpier_coordination::{
    effect::{Effect, Event, Note, Writer},
    membership::{self, Table},
    owner::{Options, Owner},
};
use stackpier_core::{
    Millis, Name, Size,
    key::{Attempt, Boot, Job, Task},
};
use stackpier_protocol::{
    peer::{Heartbeat, Hint},
    platform::{Role, Roster, Standing, Vm},
};
use stackpier_state::{
    Page, Revision,
    holders::Member,
    page::{Fetched, Key, Swapped},
    rack::{Condition, Phase, Rack, Row, Worker},
    work::{Class, Outcome, Run, Work},
};

fn name(text: &str) -> Name {
    Name::try_from(text).expect("a valid name")
}

fn member(vm: &str, boot: u64) -> Member {
    Member {
        vm: name(vm),
        boot: Boot(boot),
    }
}

fn me() -> Member {
    member("entry-0", 10)
}

fn key() -> Key {
    Key::Rack(name("rack-0"))
}

fn table(me: Member) -> Table {
    let mut table = Table::new(me, name("dc-a"), membership::Options::default());
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
            vm("entry-2", Role::Entry, None),
            vm("worker-0", Role::Worker, Some(name("rack-0"))),
        ],
    });
    table
}

/// World is an owner and what it needs for a step.
struct World {
    now: u64,
    owner: Owner,
    table: Table,
    writer: Writer,
}

impl World {
    fn new() -> World {
        World::of(me())
    }

    fn of(me: Member) -> World {
        World {
            now: 1_000,
            owner: Owner::new(name("rack-0"), me, Options::default()),
            table: table(me),
            writer: Writer::new(me.boot),
        }
    }

    fn step(&mut self, after_ms: u64, event: Event) -> Vec<Effect> {
        self.now += after_ms;
        let now = Millis(self.now);
        self.owner.step(now, event, &self.table, &mut self.writer)
    }

    /// begin_takeover reads a page whose renewer does not live, and returns the
    /// swap by which the owner takes the rack over with term 2.
    fn begin_takeover(&mut self) -> (Revision, Rack) {
        self.step(10, Event::Tick);
        let mut page = Rack::empty();
        page.take_over(name("entry-9"), Boot(5));
        let found = Fetched::Found(Revision(1), Page::Rack(page));
        let effects = self.step(10, Event::Read(key(), found));
        swap_in(&effects).expect("a swap")
    }
}

fn swap_in(effects: &[Effect]) -> Option<(Revision, Rack)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Swap(_, revision, Page::Rack(page)) => Some((*revision, page.clone())),
        _ => None,
    })
}

/// Guards against a rack whose leases never count as expired: a daemon lost the
/// store with the answer to its take-over, and never promises to its successor
/// that it does not renew under that term.
#[test]
fn promise_follows_a_takeover_whose_answer_was_lost() {
    let mut world = World::new();
    let (_, taken) = world.begin_takeover();
    assert_eq!(taken.renewer.map(|renewer| renewer.term), Some(2));
    // The swap takes effect, and the store does not answer from here on.
    world.step(10, Event::Swapped(key(), Swapped::Unclear));
    // Another daemon takes the rack over, and repeats this at each sweep.
    for _ in 0..20 {
        let effects = world.step(5_000, Event::Tick);
        let hint = Hint::TakenOver {
            rack: name("rack-0"),
            renewer: member("entry-2", 20),
            term: 3,
        };
        world.step(0, Event::Hint(hint));
        if effects.contains(&Effect::Read(key())) {
            world.step(10, Event::Read(key(), Fetched::Failed));
        }
    }
    let below = world.owner.renounced().map(|promise| promise.below);
    assert!(below.is_some_and(|below| below >= 3), "{below:?}");
}

/// Guards against a daemon that renews after its planned stop began, without a
/// promise to its successor: the answer to its take-over came after the stop.
#[test]
fn takeover_that_ends_after_the_stop_is_given_up() {
    let mut world = World::new();
    world.begin_takeover();
    world.table.stop();
    world.owner.give_up();
    world.step(10, Event::Swapped(key(), Swapped::Won(Revision(2))));
    world.step(100, Event::Tick);
    let below = world.owner.renounced().map(|promise| promise.below);
    assert_eq!(below, Some(3));
}

/// Guards against a log filled by an outage of the store's writes, and against
/// writes that are repeated without growing pauses, while its reads work.
#[test]
fn outage_of_writes_is_logged_once_and_pauses_grow() {
    const OUTAGE_MS: u64 = 10_000;
    let mut world = World::new();
    let mut notes = Vec::new();
    let mut swaps = 0;
    let mut page = Rack::empty();
    page.take_over(name("entry-9"), Boot(5));
    let mut events = Vec::new();
    for _ in 0..OUTAGE_MS / 10 {
        let mut effects = world.step(10, Event::Tick);
        for event in std::mem::take(&mut events) {
            effects.extend(world.step(0, event));
        }
        for effect in effects {
            match effect {
                Effect::Read(_) => {
                    let found = Fetched::Found(Revision(1), Page::Rack(page.clone()));
                    events.push(Event::Read(key(), found));
                }
                Effect::Swap(..) => {
                    swaps += 1;
                    events.push(Event::Swapped(key(), Swapped::Unclear));
                }
                Effect::Note(note @ (Note::Failing(_) | Note::Answered(..))) => notes.push(note),
                _ => {}
            }
        }
    }
    assert!(
        notes.len() <= 2 && swaps <= 15,
        "{} notes, {swaps} swaps in {OUTAGE_MS} ms",
        notes.len()
    );
}

fn run() -> Run {
    Run {
        task: Task {
            job: Job(7),
            index: 0,
        },
        attempt: Attempt(1),
    }
}

/// rack_of returns a page that a daemon has just taken over, with one run.
fn rack_of(renewer: Member) -> Rack {
    let mut page = Rack::empty();
    page.take_over(renewer.vm, renewer.boot);
    page.workers.push(Worker {
        name: name("worker-0"),
        boot: Boot(50),
        capacity: Size::default(),
        condition: Condition::Up,
    });
    page.rows.push(Row {
        run: run(),
        work: Work {
            task: run().task,
            name: name("ledger"),
            generation: 1,
            urgent: false,
            class: Class::Batch,
            size: Size::default(),
            run_time_ms: 1_000,
        },
        worker: name("worker-0"),
        checkpoint: None,
        phase: Phase::Running,
    });
    page
}

/// Guards against a run that is never started elsewhere after its worker's end: the
/// rack's former owner lost the store with the answer to its take-over, and lives.
#[rstest]
#[case::answered(Swapped::Won(Revision(2)))]
#[case::answer_lost(Swapped::Unclear)]
fn runs_of_a_dead_worker_end_while_a_former_owner_is_cut_off(#[case] takeover: Swapped) {
    const AFTER_MS: u64 = 120_000;
    let mut former = World::of(me());
    former.step(10, Event::Tick);
    let empty = Fetched::Found(Revision(1), Page::Rack(Rack::empty()));
    let effects = former.step(10, Event::Read(key(), empty));
    assert!(swap_in(&effects).is_some());
    former.step(10, Event::Swapped(key(), takeover));
    let mut owner = World::of(member("entry-2", 20));
    let mut stored = (Revision(2), rack_of(me()));
    let mut events = Vec::new();
    for _ in 0..AFTER_MS / 100 {
        let beat = Heartbeat {
            from: me(),
            data_centre: name("dc-a"),
            leaving: false,
            sum: 0,
            holders: 0,
            departing: Vec::new(),
            racks: Vec::new(),
            renounced: Vec::new(),
        };
        let now = Millis(owner.now);
        owner.table.record_heartbeat(now, &beat);
        owner.table.record_storeless(now, me());
        if let Some(promise) = former.owner.renounced() {
            owner.owner.receive_renounced(me(), promise.below);
        }
        let mut effects = owner.step(100, Event::Tick);
        for event in std::mem::take(&mut events) {
            effects.extend(owner.step(0, event));
        }
        for effect in effects {
            match effect {
                Effect::Read(Key::Rack(_)) => {
                    let found = Fetched::Found(stored.0, Page::Rack(stored.1.clone()));
                    events.push(Event::Read(key(), found));
                }
                Effect::Read(key) => events.push(Event::Read(key, Fetched::Absent)),
                Effect::Swap(_, expect, Page::Rack(page)) if expect == stored.0 => {
                    stored = (Revision(expect.0 + 1), page);
                    events.push(Event::Swapped(key(), Swapped::Won(stored.0)));
                }
                Effect::Sync(worker, _) => events.push(Event::Synced(worker, None)),
                Effect::Hint(hint @ Hint::TakenOver { .. }) => {
                    former.step(0, Event::Hint(hint));
                }
                _ => {}
            }
        }
        if former.step(100, Event::Tick).contains(&Effect::Read(key())) {
            former.step(0, Event::Read(key(), Fetched::Failed));
        }
    }
    assert_eq!(
        stored.1.renewer.map(|renewer| renewer.boot),
        Some(Boot(20)),
        "not taken over"
    );
    let phase = stored.1.row(run()).map(|row| row.phase);
    assert_eq!(phase, Some(Phase::Ended(Outcome::Lost)));
}
