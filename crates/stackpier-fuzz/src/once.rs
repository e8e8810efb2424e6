// SPDX-License-Identifier: Apache-2.0
//! The world of requests that run at most once: receivers and holders in two
//! data centres, holder maps that change, callers that repeat, and upstreams
//! that may run a request late.

mod attempt;
mod maps;
mod messages;
mod step;
mod upstream;

use std::collections::BTreeMap;

use stackpier_coordination::{holder::Holder, once::Options};
use stackpier_core::{
    Name, Unix,
    key::{Boot, Request as Key},
};
use stackpier_state::holders::{Map, Member};

use crate::{
    choice::{name, pick},
    counts::{hit, trace},
};

use attempt::Attempt;
use messages::{Message, Sealer};
use upstream::Dispatch;

pub use step::{Guard, Step};

/// ALL is the count of daemons, spread evenly over the data centres.
const ALL: usize = 6;
/// KEYS is the most keys of one case.
const KEYS: usize = 12;
/// OPTIONS are the times keys are judged by.
const OPTIONS: Options = Options {
    window_ms: 4_000,
    allowance_ms: 400,
};
/// START is the true time at which a case starts.
const START: u64 = 1_000_000;

/// Daemon is a receiver and holder with its clock.
#[derive(Debug)]
struct Daemon {
    centre: usize,
    me: Member,
    holder: Holder,
    frozen: bool,
    /// Wall clock against true time, in milliseconds.
    offset: u64,
    tries: u64,
}

/// World is everything under test and its fakes.
#[derive(Debug)]
pub struct World {
    guard: Guard,
    /// Count of data centres.
    centres: usize,
    time: u64,
    boots: u64,
    maps: Vec<Map>,
    daemons: Vec<Daemon>,
    over: Vec<Member>,
    keys: Vec<Key>,
    late: Vec<(Key, usize)>,
    attempts: Vec<Attempt>,
    sealers: Vec<Sealer>,
    messages: Vec<Message>,
    detached: Vec<Message>,
    dispatched: Vec<Dispatch>,
    running: Vec<Dispatch>,
    executions: BTreeMap<Key, u32>,
}

fn centre_name(centre: usize) -> Name {
    name(&format!("dc-{centre}"))
}

impl World {
    /// new builds a world of this many data centres, in which every daemon
    /// knows a first map.
    pub fn new(guard: Guard, centres: usize) -> World {
        let mut world = World {
            guard,
            centres,
            time: START,
            boots: 0,
            maps: vec![Map::default(); centres],
            daemons: Vec::new(),
            over: Vec::new(),
            keys: Vec::new(),
            late: Vec::new(),
            attempts: Vec::new(),
            sealers: Vec::new(),
            messages: Vec::new(),
            detached: Vec::new(),
            dispatched: Vec::new(),
            running: Vec::new(),
            executions: BTreeMap::new(),
        };
        for number in 0..ALL {
            let daemon = world.fresh(number);
            world.daemons.push(daemon);
        }
        for centre in 0..centres {
            let members = world.members(centre, u8::MAX);
            world.maps[centre].renew(members);
        }
        (0..ALL).for_each(|number| world.learn(number));
        world
    }

    fn fresh(&mut self, number: usize) -> Daemon {
        self.boots += 1;
        let boot = Boot(self.boots);
        Daemon {
            centre: number * self.centres / ALL,
            me: Member {
                vm: name(&format!("entry-{number}")),
                boot,
            },
            holder: Holder::new(boot),
            frozen: false,
            // The clocks of daemons and callers differ by up to the allowance.
            offset: (number as u64 * 83) % (OPTIONS.allowance_ms / 2),
            tries: 0,
        }
    }

    fn members(&self, centre: usize, subset: u8) -> Vec<Member> {
        let here = self.daemons.iter().filter(|daemon| daemon.centre == centre);
        let chosen = here
            .enumerate()
            .filter(|(place, _)| subset & (1 << place) != 0);
        chosen.map(|(_, daemon)| daemon.me).collect()
    }

    fn unix(&self, daemon: usize) -> Unix {
        Unix(self.time + self.daemons[daemon].offset)
    }

    /// step makes one transition.
    pub fn step(&mut self, step: Step) {
        trace("step", &step);
        match step {
            Step::First(n) => self.first(n, false),
            Step::FirstLate(n) => self.first(n, true),
            Step::Arrive(n) => {
                if let Some((key, daemon)) = pick(&mut self.late, n) {
                    self.attempt(key, daemon, true);
                }
            }
            Step::Again(n, daemon) => self.again(n, daemon),
            Step::Serve(n) => self.serve(n, true),
            Step::LoseAnswer(n) => self.serve(n, false),
            Step::Lose(n) => {
                if let Some(message) = pick(&mut self.messages, n) {
                    hit("fault: message lost");
                    self.answer(&message, None);
                }
            }
            Step::Detach(n) => self.detach(n),
            Step::Late(n) => {
                if let Some(message) = pick(&mut self.detached, n) {
                    hit("fault: message served late");
                    self.perform(&message);
                }
            }
            Step::Run(n) => self.run(n),
            Step::RunBroken(n) => self.run_broken(n),
            Step::Refuse(n) => self.refuse(n),
            Step::RunLater(n) => self.run_later(n),
            Step::RunNow(n) => {
                if let Some(dispatch) = pick(&mut self.running, n) {
                    self.execute(dispatch);
                }
            }
            Step::Learn(n) => self.learn(usize::from(n) % ALL),
            Step::Renew(n, subset) => self.renew(usize::from(n) % ALL, subset),
            Step::Freeze(n) => self.daemons[usize::from(n) % ALL].frozen = true,
            Step::Thaw(n) => self.daemons[usize::from(n) % ALL].frozen = false,
            Step::Restart(n) => self.restart(usize::from(n) % ALL),
            Step::List(n) => self.list(usize::from(n) % ALL),
            Step::Wait(ms) => self.time += u64::from(ms),
        }
    }

    fn first(&mut self, n: u8, late: bool) {
        if self.keys.len() >= KEYS {
            return;
        }
        // Callers' clocks run behind true time by up to half the allowance.
        let minted = self.time - u64::from(n) % (OPTIONS.allowance_ms / 2);
        let random = (self.keys.len() as u128 + 1) * 0x9e37_79b9_7f4a_7c15;
        let key = Key((u128::from(minted) << 80) | (random & ((1 << 76) - 1)));
        self.keys.push(key);
        let daemon = usize::from(n) % ALL;
        match late {
            true => self.late.push((key, daemon)),
            false => self.attempt(key, daemon, true),
        }
    }

    fn again(&mut self, n: u8, daemon: u8) {
        if self.keys.is_empty() {
            return;
        }
        let key = self.keys[usize::from(n) % self.keys.len()];
        self.attempt(key, usize::from(daemon) % ALL, false);
    }
}
