// SPDX-License-Identifier: Apache-2.0
//! A simulation of requests that run at most once: receivers and holders in
//! several data centres, holder maps that change, callers that repeat requests,
//! and upstreams that may run a request late.

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

pub use step::{Mutation, Step};

/// DAEMONS is the number of daemons, spread evenly over the data centres.
const DAEMONS: usize = 6;
/// MAX_KEYS is the largest number of keys in one case.
const MAX_KEYS: usize = 12;
/// OPTIONS sets the largest age of keys and the largest difference of clocks.
const OPTIONS: Options = Options {
    window_ms: 4_000,
    allowance_ms: 400,
};
/// START_MS is the true time at which a case starts.
const START_MS: u64 = 1_000_000;

/// Daemon is a receiver and holder with its clock.
#[derive(Debug)]
struct Daemon {
    centre: usize,
    me: Member,
    holder: Holder,
    frozen: bool,
    /// Wall clock against true time, in milliseconds.
    offset: u64,
    attempt_count: u64,
}

/// Simulation holds the daemons under test, and the fake callers and upstreams.
#[derive(Debug)]
pub struct Simulation {
    mutation: Mutation,
    /// Number of data centres.
    centres: usize,
    time: u64,
    boots: u64,
    maps: Vec<Map>,
    daemons: Vec<Daemon>,
    /// Members whose process has ended.
    ended: Vec<Member>,
    keys: Vec<Key>,
    /// First attempts in flight from a caller to a daemon.
    delayed_attempts: Vec<(Key, usize)>,
    attempts: Vec<Attempt>,
    sealers: Vec<Sealer>,
    messages: Vec<Message>,
    /// Messages that their senders consider lost and that still arrive.
    detached: Vec<Message>,
    dispatched: Vec<Dispatch>,
    /// Requests whose outcome was reported as unknown, and that still run.
    delayed: Vec<Dispatch>,
    /// How often the request of each key ran.
    executions: BTreeMap<Key, u32>,
}

fn centre_name(centre: usize) -> Name {
    name(&format!("dc-{centre}"))
}

impl Simulation {
    /// new builds a simulation of `centres` data centres, in which every daemon
    /// knows the first map of its own.
    pub fn new(mutation: Mutation, centres: usize) -> Simulation {
        let mut simulation = Simulation {
            mutation,
            centres,
            time: START_MS,
            boots: 0,
            maps: vec![Map::default(); centres],
            daemons: Vec::new(),
            ended: Vec::new(),
            keys: Vec::new(),
            delayed_attempts: Vec::new(),
            attempts: Vec::new(),
            sealers: Vec::new(),
            messages: Vec::new(),
            detached: Vec::new(),
            dispatched: Vec::new(),
            delayed: Vec::new(),
            executions: BTreeMap::new(),
        };
        for number in 0..DAEMONS {
            let daemon = simulation.new_daemon(number);
            simulation.daemons.push(daemon);
        }
        for centre in 0..centres {
            let members = simulation.members(centre, u8::MAX);
            simulation.maps[centre].renew(members);
        }
        (0..DAEMONS).for_each(|number| simulation.learn_map(number));
        simulation
    }

    /// new_daemon returns a daemon that has just started and has no records.
    fn new_daemon(&mut self, number: usize) -> Daemon {
        self.boots += 1;
        let boot = Boot(self.boots);
        Daemon {
            centre: number * self.centres / DAEMONS,
            me: Member {
                vm: name(&format!("entry-{number}")),
                boot,
            },
            holder: Holder::new(boot),
            frozen: false,
            // The clocks of daemons and callers differ by up to the allowance.
            offset: (number as u64 * 83) % (OPTIONS.allowance_ms / 2),
            attempt_count: 0,
        }
    }

    /// members returns the daemons of a data centre whose bits are set in
    /// `subset`.
    fn members(&self, centre: usize, subset: u8) -> Vec<Member> {
        let here = self.daemons.iter().filter(|daemon| daemon.centre == centre);
        let selected = here
            .enumerate()
            .filter(|(place, _)| subset & (1 << place) != 0);
        selected.map(|(_, daemon)| daemon.me).collect()
    }

    fn unix(&self, daemon: usize) -> Unix {
        Unix(self.time + self.daemons[daemon].offset)
    }

    /// step makes one transition.
    pub fn step(&mut self, step: Step) {
        trace("step", &step);
        match step {
            Step::First(n) => self.start_first_attempt(n, false),
            Step::FirstLate(n) => self.start_first_attempt(n, true),
            Step::Arrive(n) => {
                if let Some((key, daemon)) = pick(&mut self.delayed_attempts, n) {
                    self.start_attempt(key, daemon, true);
                }
            }
            Step::Again(n, daemon) => self.repeat_attempt(n, daemon),
            Step::Serve(n) => self.serve_message(n, true),
            Step::LoseAnswer(n) => self.serve_message(n, false),
            Step::Lose(n) => {
                if let Some(message) = pick(&mut self.messages, n) {
                    hit("fault: message lost");
                    self.deliver_answer(&message, None);
                }
            }
            Step::Detach(n) => self.detach_message(n),
            Step::Late(n) => {
                if let Some(message) = pick(&mut self.detached, n) {
                    hit("fault: message served late");
                    self.perform(&message);
                }
            }
            Step::Run(n) => self.run_request(n),
            Step::RunBroken(n) => self.run_and_lose_answer(n),
            Step::Refuse(n) => self.refuse_request(n),
            Step::RunLater(n) => self.delay_request(n),
            Step::RunNow(n) => {
                if let Some(dispatch) = pick(&mut self.delayed, n) {
                    self.execute(dispatch);
                }
            }
            Step::Learn(n) => self.learn_map(usize::from(n) % DAEMONS),
            Step::Renew(n, subset) => self.renew_map(usize::from(n) % DAEMONS, subset),
            Step::Freeze(n) => self.daemons[usize::from(n) % DAEMONS].frozen = true,
            Step::Thaw(n) => self.daemons[usize::from(n) % DAEMONS].frozen = false,
            Step::Restart(n) => self.restart_daemon(usize::from(n) % DAEMONS),
            Step::List(n) => self.acknowledge_ended(usize::from(n) % DAEMONS),
            Step::Wait(ms) => self.time += u64::from(ms),
        }
    }

    /// start_first_attempt makes a key and sends its first attempt, which
    /// arrives at once unless `late` is set.
    fn start_first_attempt(&mut self, n: u8, late: bool) {
        if self.keys.len() >= MAX_KEYS {
            return;
        }
        // Callers' clocks run behind true time by up to half the allowance.
        let minted = self.time - u64::from(n) % (OPTIONS.allowance_ms / 2);
        let random = (self.keys.len() as u128 + 1) * 0x9e37_79b9_7f4a_7c15;
        let key = Key((u128::from(minted) << 80) | (random & ((1 << 76) - 1)));
        self.keys.push(key);
        let daemon = usize::from(n) % DAEMONS;
        match late {
            true => self.delayed_attempts.push((key, daemon)),
            false => self.start_attempt(key, daemon, true),
        }
    }

    /// repeat_attempt sends a known key again through a daemon.
    fn repeat_attempt(&mut self, n: u8, daemon: u8) {
        if self.keys.is_empty() {
            return;
        }
        let key = self.keys[usize::from(n) % self.keys.len()];
        self.start_attempt(key, usize::from(daemon) % DAEMONS, false);
    }
}
