// SPDX-License-Identifier: Apache-2.0
//! An owner that takes its rack over again records the end of a run in time,
//! whatever call of the new term is answered late, not at all, or out of order.

use std::collections::BTreeMap;

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
    sync::{Clock, Ended, Reply},
};
use stackpier_state::{
    Page, Revision,
    holders::Member,
    homes::{Claim, Home, Place, Shard},
    page::{ABSENT, Fetched, Key, Swapped},
    rack::{Phase, Rack, Row},
    work::{Class, Outcome, Run, Work},
};

/// STEP_MS is the time between two ticks.
const STEP_MS: u64 = 10;
/// HANG_MS is how long a call hangs.
const HANG_MS: u64 = 1_100;
/// FAULTY_MS is how long the fault lasts after the second take-over.
const FAULTY_MS: u64 = 3_000;
const WORKER_BOOT: Boot = Boot(50);

fn name(text: &str) -> Name {
    Name::try_from(text).expect("a valid name")
}

fn member(vm: &str, boot: u64) -> Member {
    Member {
        vm: name(vm),
        boot: Boot(boot),
    }
}

fn run() -> Run {
    let task = Task {
        job: Job(7),
        index: 0,
    };
    Run {
        task,
        attempt: Attempt(2),
    }
}

fn row() -> Row {
    Row {
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
    }
}

/// homes returns the page of a shard: the task's home claims the run.
fn homes(key: Key) -> Fetched {
    let shards = Options::default().shards;
    let Key::Homes(_, shard) = key else {
        return Fetched::Absent;
    };
    if shard != stackpier_core::key::shard(run().task.job, shards) {
        return Fetched::Absent;
    }
    let claim = Claim {
        rack: name("rack-0"),
        worker: name("worker-0"),
        stop: false,
    };
    let home = Home {
        attempt: run().attempt,
        place: Place::Claimed(claim),
        ..Home::new(row().work)
    };
    let page = Shard {
        homes: vec![home],
        ..Shard::default()
    };
    Fetched::Found(Revision(1_000), Page::Homes(page))
}

/// Fault is what happens to the calls after the second take-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Calls to the store are answered late.
    StoreHangs,
    /// Calls to the store are not answered and have no effect.
    StoreFails,
    /// Swaps take effect and their answers are lost.
    SwapAnswersLost,
    /// Reads of homes fail.
    HomesFail,
    /// Calls to the worker are answered late.
    WorkerHangs,
    /// Calls to the worker are not answered.
    WorkerFails,
    /// A reply to a call of the first term arrives.
    OldReply,
    /// The promise of the former owner does not arrive.
    NoPromise,
}

/// World is an owner with its store and a worker.
struct World {
    now: u64,
    owner: Owner,
    table: Table,
    writer: Writer,
    page: Option<(Revision, Rack)>,
    /// Events that are due at a time.
    due: BTreeMap<(u64, u64), Event>,
    number: u64,
    finished: bool,
    fault: Fault,
    notes: Vec<Note>,
    hinted: bool,
    /// Whether the task's home claims the run.
    claimed: bool,
}

impl World {
    fn new() -> World {
        let me = member("entry-0", 10);
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
        World {
            now: 1,
            owner: Owner::new(name("rack-0"), me, Options::default()),
            table,
            writer: Writer::new(me.boot),
            page: None,
            due: BTreeMap::new(),
            number: 0,
            finished: false,
            fault: Fault::None,
            notes: Vec::new(),
            hinted: false,
            claimed: false,
        }
    }

    fn reply(&self) -> Reply {
        let ended = Ended {
            run: run(),
            outcome: Outcome::Finished,
        };
        Reply {
            name: name("worker-0"),
            boot: WORKER_BOOT,
            clock: Clock(self.now),
            running: if self.finished { vec![] } else { vec![run()] },
            ended: if self.finished { vec![ended] } else { vec![] },
            usage: Vec::new(),
        }
    }

    fn swap(&mut self, expect: Revision, page: Page) -> Swapped {
        let Page::Rack(next) = page else {
            return Swapped::Lost;
        };
        let known = self.page.as_ref().map_or(ABSENT, |(known, _)| *known);
        if known != expect {
            return Swapped::Lost;
        }
        let revision = Revision(known.0 + 1);
        self.page = Some((revision, next));
        Swapped::Won(revision)
    }

    fn send(&mut self, after_ms: u64, event: Event) {
        self.number += 1;
        self.due.insert((self.now + after_ms, self.number), event);
    }

    fn perform(&mut self, effect: Effect) {
        let fault = self.fault;
        let store_ms = if fault == Fault::StoreHangs {
            HANG_MS
        } else {
            2
        };
        match effect {
            Effect::Read(key @ Key::Rack(_)) => {
                let found = match (&self.page, fault) {
                    (_, Fault::StoreFails) => Fetched::Failed,
                    (Some((revision, page)), _) => {
                        Fetched::Found(*revision, Page::Rack(page.clone()))
                    }
                    (None, _) => Fetched::Absent,
                };
                self.send(store_ms, Event::Read(key, found));
            }
            Effect::Read(key) => {
                let found = match fault {
                    Fault::StoreFails | Fault::HomesFail => Fetched::Failed,
                    _ if self.claimed => homes(key),
                    _ => Fetched::Absent,
                };
                self.send(store_ms, Event::Read(key, found));
            }
            Effect::Swap(key, expect, page) => {
                let swapped = match fault {
                    Fault::StoreFails => Swapped::Unclear,
                    Fault::SwapAnswersLost => {
                        self.swap(expect, page);
                        Swapped::Unclear
                    }
                    _ => self.swap(expect, page),
                };
                self.send(store_ms, Event::Swapped(key, swapped));
            }
            Effect::Sync(worker, _) => match fault {
                Fault::WorkerFails => self.send(2_000, Event::Synced(worker, None)),
                Fault::WorkerHangs => {
                    self.send(HANG_MS, Event::Synced(worker, Some(self.reply())));
                }
                _ => self.send(2, Event::Synced(worker, Some(self.reply()))),
            },
            Effect::Hint(Hint::Ended { ended, .. }) => {
                self.hinted |= ended.iter().any(|end| end.run == run());
            }
            Effect::Hint(_) => {}
            Effect::Note(note) => self.notes.push(note),
        }
    }

    fn step(&mut self, event: Event) {
        let now = Millis(self.now);
        let effects = self.owner.step(now, event, &self.table, &mut self.writer);
        for effect in effects {
            self.perform(effect);
        }
    }

    /// advance lets time pass.
    fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.step(event);
            }
            self.step(Event::Tick);
        }
    }

    fn page(&self) -> &Rack {
        &self.page.as_ref().expect("a page").1
    }

    fn term(&self) -> u64 {
        self.page().renewer.map_or(0, |renewer| renewer.term)
    }

    /// lose_rack has the other daemon take the rack over and commit the run.
    fn lose_rack(&mut self) {
        let beat = Heartbeat {
            from: member("entry-2", 20),
            data_centre: name("dc-a"),
            leaving: false,
            sum: 0,
            holders: 0,
            departing: Vec::new(),
            racks: Vec::new(),
            renounced: Vec::new(),
        };
        self.table.record_heartbeat(Millis(self.now), &beat);
        let (revision, page) = self.page.as_mut().expect("a page");
        revision.0 += 1;
        page.take_over(name("entry-2"), Boot(20));
        page.rows.push(row());
        self.claimed = true;
        let hint = Hint::TakenOver {
            rack: name("rack-0"),
            renewer: member("entry-2", 20),
            term: 2,
        };
        self.step(Event::Hint(hint));
    }

    /// regain_rack lets time pass until the owner has the rack again.
    fn regain_rack(&mut self) {
        let silence_ms = membership::Options::default().silence_ms;
        let limit = self.now + silence_ms + 2 * Options::default().sweep_ms;
        while !(self.owner.renews() && self.term() == 3) {
            assert!(self.now < limit, "not taken over");
            self.advance(STEP_MS);
        }
    }
}

/// Guards against an owner that never records the end of a run after it took
/// its rack over for the second time.
#[rstest]
fn end_of_a_run_is_recorded_after_the_second_takeover(
    #[values(
        Fault::None,
        Fault::StoreHangs,
        Fault::StoreFails,
        Fault::SwapAnswersLost,
        Fault::HomesFail,
        Fault::WorkerHangs,
        Fault::WorkerFails,
        Fault::OldReply,
        Fault::NoPromise
    )]
    fault: Fault,
    #[values(0, 20, 60, 300, 1_000, 4_900)] after_ms: u64,
) {
    let mut world = World::new();
    world.advance(2_000);
    assert_eq!(world.term(), 1);
    let old_reply = world.reply();
    world.lose_rack();
    world.advance(500);
    assert!(!world.owner.renews());
    world.regain_rack();
    if fault != Fault::NoPromise {
        world.owner.receive_renounced(member("entry-2", 20), 3);
    }
    world.advance(after_ms);
    world.fault = fault;
    if fault == Fault::OldReply {
        world.step(Event::Synced(name("worker-0"), Some(old_reply)));
    }
    world.finished = true;
    world.advance(FAULTY_MS);
    world.fault = Fault::None;
    let options = Options::default();
    world.advance(options.lease_ms + options.drift_ms + 2 * options.sweep_ms);
    let phase = world.page().row(run()).map(|row| row.phase);
    assert!(
        phase == Some(Phase::Ended(Outcome::Finished)),
        "{phase:?}; notes {:?}",
        world.notes
    );
    assert!(world.hinted, "no placer was told");
}

/// Guards against ends that no log shows: they are in the page, and the answer
/// to the swap that wrote them was lost.
#[test]
fn end_of_a_run_is_logged_although_the_answer_to_its_swap_was_lost() {
    let mut world = World::new();
    world.advance(2_000);
    world.lose_rack();
    world.advance(500);
    world.regain_rack();
    world.owner.receive_renounced(member("entry-2", 20), 3);
    world.advance(1_000);
    world.fault = Fault::SwapAnswersLost;
    world.finished = true;
    world.advance(FAULTY_MS);
    world.fault = Fault::None;
    world.advance(2 * Options::default().sweep_ms);
    let logged = world.notes.contains(&Note::Ended(run(), Outcome::Finished));
    assert!(logged, "the end is in the page and not in the log");
}
