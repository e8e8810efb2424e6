// SPDX-License-Identifier: Apache-2.0
//! The world of placement: owners and placers of several daemons over one
//! store and a few workers.

mod calls;
mod check;
mod daemon;
mod faults;
mod intents;
mod messages;
mod step;

use std::collections::BTreeMap;

use stackpier_core::{Name, Size, key::Boot};
use stackpier_protocol::platform::{Role, Roster, Standing, Vm};
use stackpier_standin::worker::{Span, Worker};
use stackpier_state::{Page, Revision, intent::Shard, page::Key};

use crate::{
    choice::{name, pick},
    counts::trace,
    time::Clock,
};

use calls::Operation;
use daemon::Daemon;
use messages::Message;

pub use step::{Guard, Step};

/// DAEMONS is the count of daemons.
pub const DAEMONS: usize = 3;
/// RACKS is the count of racks.
pub const RACKS: usize = 2;
/// WORKERS is the count of workers, spread over the racks.
pub const WORKERS: usize = 4;
/// CAPACITY is what each worker offers.
const CAPACITY: Size = Size {
    milli_cores: 4_000,
    memory_mib: 4_000,
    accelerators: 1,
};
/// MAX_DRIFT_MILLI is how far a clock's rate is off, in thousandths.
const MAX_DRIFT_MILLI: u64 = 40;
/// SETTLE_ROUNDS is how many fault-free rounds bring the world to rest.
const SETTLE_ROUNDS: usize = 400;
/// ROUND_MS is the length of such a round.
const ROUND_MS: u64 = 100;

/// Machine is a worker of the world with its clock.
#[derive(Debug)]
struct Machine {
    name: Name,
    clock: Clock,
    model: Worker,
    gone: bool,
    cut: bool,
    /// Logs of earlier boots.
    past: Vec<Span>,
}

/// World is everything under test and its fakes.
#[derive(Debug)]
pub struct World {
    guard: Guard,
    time: u64,
    boots: u64,
    store: BTreeMap<Key, (Revision, Page)>,
    revision: u64,
    roster: Roster,
    intents: BTreeMap<u16, (Revision, Shard)>,
    submissions: u128,
    daemons: Vec<Daemon>,
    workers: Vec<Machine>,
    under_way: Vec<Operation>,
    detached: Vec<Operation>,
    messages: Vec<Message>,
    held: Vec<Message>,
}

fn data_centre() -> Name {
    name("dc-a")
}

fn rack(number: usize) -> Name {
    name(&format!("rack-{number}"))
}

impl World {
    /// new builds a world at rest with nothing submitted.
    pub fn new(guard: Guard) -> World {
        let mut world = World {
            guard,
            time: 0,
            boots: 0,
            store: BTreeMap::new(),
            revision: 0,
            roster: Roster::default(),
            intents: BTreeMap::new(),
            submissions: 0,
            daemons: Vec::new(),
            workers: Vec::new(),
            under_way: Vec::new(),
            detached: Vec::new(),
            messages: Vec::new(),
            held: Vec::new(),
        };
        for number in 0..DAEMONS {
            world.roster.vms.push(vm(&format!("entry-{number}"), None));
        }
        for number in 0..WORKERS {
            let label = format!("worker-{number}");
            let rack = rack(number % RACKS);
            world.roster.vms.push(vm(&label, Some(rack)));
            let boot = world.boot();
            world.workers.push(Machine {
                name: name(&label),
                clock: Clock::new(
                    7_000 * number as u64,
                    1_000 - MAX_DRIFT_MILLI + drift(number),
                ),
                model: Worker::new(name(&label), boot),
                gone: false,
                cut: false,
                past: Vec::new(),
            });
        }
        for number in 0..DAEMONS {
            let daemon = world.fresh(number);
            world.daemons.push(daemon);
        }
        world
    }

    fn boot(&mut self) -> Boot {
        self.boots += 1;
        Boot(self.boots)
    }

    /// step makes one transition.
    pub fn step(&mut self, step: Step) {
        trace("step", &step);
        match step {
            Step::Tick(n) => self.tick(usize::from(n) % DAEMONS),
            Step::Wait(ms) => self.time += u64::from(ms),
            Step::Deliver(n) => self.deliver(n, true),
            Step::LoseAnswer(n) => self.deliver(n, false),
            Step::LoseCall(n) => self.lose_call(n),
            Step::Detach(n) => self.detach(n),
            Step::Late(n) => self.late(n),
            Step::Freeze(n) => self.freeze(usize::from(n) % DAEMONS),
            Step::Thaw(n) => self.thaw(usize::from(n) % DAEMONS),
            Step::Restart(n) => self.restart(usize::from(n) % DAEMONS),
            Step::Beat(from, to) => {
                self.beat(usize::from(from) % DAEMONS, usize::from(to) % DAEMONS)
            }
            Step::Arrive(n) => self.arrive(n),
            Step::Hold(n) => self.hold(n),
            Step::Release(n) => self.release(n),
            Step::Vanish(n) => drop(pick(&mut self.messages, n)),
            Step::Reboot(n) => self.reboot(usize::from(n) % WORKERS),
            Step::Cut(n, cut) => self.workers[usize::from(n) % WORKERS].cut = cut,
            Step::Leave(n) => self.list_worker(usize::from(n) % WORKERS, Standing::Leaving),
            Step::Gone(n) => self.end_worker(usize::from(n) % WORKERS),
            Step::Lost(n) => self.end_daemon(usize::from(n) % DAEMONS),
            Step::Scale(n, count) => self.scale(n, count),
            Step::Submit(n) => self.submit(n),
            Step::Cancel(n) => self.cancel(n),
            Step::Learn(n) => self.learn(usize::from(n) % DAEMONS),
            Step::List(n) => self.learn_list(usize::from(n) % DAEMONS),
            Step::Calm(rounds) => (0..rounds % 32).for_each(|_| self.round()),
        }
    }

    /// round lets everybody look once and everything arrive.
    fn round(&mut self) {
        self.time += ROUND_MS;
        for number in 0..DAEMONS {
            self.learn(number);
            self.learn_list(number);
            for other in 0..DAEMONS {
                self.beat(number, other);
            }
        }
        for message in std::mem::take(&mut self.messages) {
            self.take(message);
        }
        for number in 0..DAEMONS {
            self.tick(number);
        }
        for _ in 0..self.under_way.len() {
            self.deliver(0, true);
        }
    }

    /// settle ends all faults and lets the world come to rest.
    pub fn settle(&mut self) {
        for number in 0..DAEMONS {
            self.thaw(number);
        }
        for machine in &mut self.workers {
            machine.cut = false;
        }
        while !self.detached.is_empty() {
            self.late(0);
        }
        for _ in 0..SETTLE_ROUNDS {
            self.round();
            self.check();
        }
    }
}

fn drift(number: usize) -> u64 {
    // Rates from 96% to 104% of true time.
    (number as u64 * 31) % (2 * MAX_DRIFT_MILLI)
}

fn vm(label: &str, rack: Option<Name>) -> Vm {
    Vm {
        name: name(label),
        role: if rack.is_some() {
            Role::Worker
        } else {
            Role::Entry
        },
        data_centre: data_centre(),
        rack,
        address: String::new(),
        capacity: CAPACITY,
        standing: Standing::Live,
    }
}
