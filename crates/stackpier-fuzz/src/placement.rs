// SPDX-License-Identifier: Apache-2.0
//! A simulation of placement: the owners and placers of several daemons, one
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

pub use step::{Mutation, Step};

/// DAEMONS is the number of daemons.
pub const DAEMONS: usize = 3;
/// RACKS is the number of racks.
pub const RACKS: usize = 2;
/// WORKERS is the number of workers, spread evenly over the racks.
pub const WORKERS: usize = 4;
/// CAPACITY is the capacity of each worker.
const CAPACITY: Size = Size {
    milli_cores: 4_000,
    memory_mib: 4_000,
    accelerators: 1,
};
/// MAX_DRIFT_MILLI is the largest error of a clock's rate, in thousandths.
const MAX_DRIFT_MILLI: u64 = 40;
/// SETTLE_ROUNDS is the number of fault-free rounds after which the simulation
/// must be at rest.
const SETTLE_ROUNDS: usize = 400;
/// ROUND_MS is the length of such a round in milliseconds.
const ROUND_MS: u64 = 100;

/// Host is the VM of a simulated worker, with its clock.
#[derive(Debug)]
struct Host {
    name: Name,
    clock: Clock,
    model: Worker,
    gone: bool,
    /// Whether calls can't reach the worker.
    cut: bool,
    /// What the worker ran before its last restart.
    past: Vec<Span>,
}

/// Simulation holds the daemons under test, and the fake store, roster and
/// workers.
#[derive(Debug)]
pub struct Simulation {
    mutation: Mutation,
    time: u64,
    boots: u64,
    store: BTreeMap<Key, (Revision, Page)>,
    revision: u64,
    roster: Roster,
    intents: BTreeMap<u16, (Revision, Shard)>,
    submissions: u128,
    daemons: Vec<Daemon>,
    /// Whether calls of each daemon can't reach the store.
    store_cut: [bool; DAEMONS],
    workers: Vec<Host>,
    in_flight: Vec<Operation>,
    detached: Vec<Operation>,
    messages: Vec<Message>,
    held_back: Vec<Message>,
}

fn data_centre() -> Name {
    name("dc-a")
}

fn rack(number: usize) -> Name {
    name(&format!("rack-{number}"))
}

impl Simulation {
    /// new builds a simulation at rest, without any submitted intent.
    pub fn new(mutation: Mutation) -> Simulation {
        let mut simulation = Simulation {
            mutation,
            time: 0,
            boots: 0,
            store: BTreeMap::new(),
            revision: 0,
            roster: Roster::default(),
            intents: BTreeMap::new(),
            submissions: 0,
            daemons: Vec::new(),
            store_cut: [false; DAEMONS],
            workers: Vec::new(),
            in_flight: Vec::new(),
            detached: Vec::new(),
            messages: Vec::new(),
            held_back: Vec::new(),
        };
        for number in 0..DAEMONS {
            simulation
                .roster
                .vms
                .push(vm(&format!("entry-{number}"), None));
        }
        for number in 0..WORKERS {
            let label = format!("worker-{number}");
            let rack = rack(number % RACKS);
            simulation.roster.vms.push(vm(&label, Some(rack)));
            let boot = simulation.next_boot();
            simulation.workers.push(Host {
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
            let daemon = simulation.new_daemon(number);
            simulation.daemons.push(daemon);
        }
        simulation
    }

    fn next_boot(&mut self) -> Boot {
        self.boots += 1;
        Boot(self.boots)
    }

    /// step makes one transition.
    pub fn step(&mut self, step: Step) {
        trace("step", &step);
        match step {
            Step::Tick(n) => self.tick(usize::from(n) % DAEMONS),
            Step::Wait(ms) => self.time += u64::from(ms),
            Step::Deliver(n) => self.deliver_call(n, true),
            Step::LoseAnswer(n) => self.deliver_call(n, false),
            Step::LoseCall(n) => self.lose_call(n),
            Step::Detach(n) => self.detach_call(n),
            Step::Late(n) => self.perform_detached(n),
            Step::Freeze(n) => self.freeze_daemon(usize::from(n) % DAEMONS),
            Step::Thaw(n) => self.thaw_daemon(usize::from(n) % DAEMONS),
            Step::Restart(n) => self.restart_daemon(usize::from(n) % DAEMONS),
            Step::Beat(from, to) => {
                self.send_heartbeat(usize::from(from) % DAEMONS, usize::from(to) % DAEMONS)
            }
            Step::Arrive(n) => self.deliver_message(n),
            Step::Hold(n) => self.hold_back(n),
            Step::Release(n) => self.release_held_back(n),
            Step::Vanish(n) => drop(pick(&mut self.messages, n)),
            Step::Reboot(n) => self.restart_worker(usize::from(n) % WORKERS),
            Step::Cut(n, cut) => self.workers[usize::from(n) % WORKERS].cut = cut,
            Step::CutStore(n, cut) => self.store_cut[usize::from(n) % DAEMONS] = cut,
            Step::Leave(n) => self.list_worker(usize::from(n) % WORKERS, Standing::Leaving),
            Step::Gone(n) => self.end_worker(usize::from(n) % WORKERS),
            Step::Lost(n) => self.end_daemon(usize::from(n) % DAEMONS),
            Step::Scale(n, count) => self.scale_service(n, count),
            Step::Submit(n) => self.submit_batch(n),
            Step::Cancel(n) => self.cancel_intent(n),
            Step::Learn(n) => self.learn_intents(usize::from(n) % DAEMONS),
            Step::List(n) => self.learn_roster(usize::from(n) % DAEMONS),
            Step::Calm(rounds) => (0..rounds % 32).for_each(|_| self.run_round()),
        }
    }

    /// run_round delivers all messages, ticks every daemon once, and answers
    /// all calls that are in flight then.
    fn run_round(&mut self) {
        self.time += ROUND_MS;
        for number in 0..DAEMONS {
            self.learn_intents(number);
            self.learn_roster(number);
            for other in 0..DAEMONS {
                self.send_heartbeat(number, other);
            }
        }
        for message in std::mem::take(&mut self.messages) {
            self.receive(message);
        }
        for number in 0..DAEMONS {
            self.tick(number);
        }
        for _ in 0..self.in_flight.len() {
            self.deliver_call(0, true);
        }
    }

    /// settle ends all faults and runs `SETTLE_ROUNDS` rounds, after which the simulation must be
    /// at rest. One daemon may stay cut off from the store. The invariants are checked after each
    /// round.
    pub fn settle(&mut self) {
        for number in 0..DAEMONS {
            self.thaw_daemon(number);
        }
        for host in &mut self.workers {
            host.cut = false;
        }
        self.reconnect_store();
        while !self.detached.is_empty() {
            self.perform_detached(0);
        }
        for _ in 0..SETTLE_ROUNDS {
            self.run_round();
            self.check();
        }
    }
}

/// drift returns by how many thousandths a clock's rate exceeds the lowest one.
fn drift(number: usize) -> u64 {
    // Rates range from 96% to 104% of true time.
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
