// SPDX-License-Identifier: Apache-2.0
//! A simulation of operators' changes to intents: operators race, the store
//! loses answers and performs calls late, and daemons learn pages from stale
//! reads and from each other.

mod operation;
mod step;
mod store;

use stackpier_coordination::{accept::Wanted, effect::Writer};
use stackpier_core::{Name, key::Boot};
use stackpier_state::{
    Revision,
    catalogue::{Catalogue, shard_of},
};

use crate::{
    choice::{name, pick},
    counts::{hit, trace},
};

use operation::{Accepted, Detached, Operation};
use store::{Store, Stored};

pub use step::{Mutation, Step};

/// DAEMONS is the number of daemons.
const DAEMONS: usize = 4;

/// Daemon holds the intents that one daemon knows.
#[derive(Debug)]
struct Daemon {
    catalogue: Catalogue,
    writer: Writer,
}

/// Read is a page that was read from the store and has not reached its daemon
/// yet; `None` if the store had no page.
#[derive(Debug)]
struct Read {
    daemon: usize,
    stored: Option<Stored>,
}

/// Simulation holds the code under test, the fake store and the operators.
#[derive(Debug)]
pub struct Simulation {
    mutation: Mutation,
    store: Store,
    operations: Vec<Operation>,
    detached: Vec<Detached>,
    /// Submissions whose operators received a refusal.
    refused: Vec<u128>,
    accepted: Vec<Accepted>,
    daemons: Vec<Daemon>,
    reads: Vec<Read>,
    submissions: u128,
    boots: u64,
}

/// intent_name returns one of two names of intents that share a shard.
fn intent_name(n: u8) -> Name {
    let wanted = shard_of(name("fleet"));
    let mut others = (0..).map(|number| name(&format!("other-{number}")));
    let other = others.find(|other| shard_of(*other) == wanted);
    match (n % 2, other) {
        (1, Some(other)) => other,
        _ => name("fleet"),
    }
}

impl Simulation {
    /// new builds a simulation without any accepted intent.
    pub fn new(mutation: Mutation) -> Simulation {
        let mut simulation = Simulation {
            mutation,
            store: Store::default(),
            operations: Vec::new(),
            detached: Vec::new(),
            refused: Vec::new(),
            accepted: Vec::new(),
            daemons: Vec::new(),
            reads: Vec::new(),
            submissions: 0,
            boots: 0,
        };
        for _ in 0..DAEMONS {
            let daemon = simulation.new_daemon();
            simulation.daemons.push(daemon);
        }
        simulation
    }

    /// new_daemon returns a daemon that has just started and knows no intents.
    fn new_daemon(&mut self) -> Daemon {
        self.boots += 1;
        Daemon {
            catalogue: Catalogue::default(),
            writer: Writer::new(Boot(self.boots)),
        }
    }

    /// step makes one transition.
    pub fn step(&mut self, step: Step) {
        trace("step", &step);
        let before: Vec<Revision> = self.revisions();
        let mut restarted = None;
        match step {
            Step::Submit(n, expect, size) => self.submit(n, expect, size),
            Step::Cancel(n, expect, _) => {
                self.start_operation(expect, Wanted::Cancel(intent_name(n)))
            }
            Step::Serve(n) => self.serve_call(n, true),
            Step::LoseAnswer(n) => self.serve_call(n, false),
            Step::Lose(n) => self.lose_call(n),
            Step::Detach(n) => self.detach_call(n),
            Step::Late(n) => self.perform_detached(n),
            Step::Read(n) => self.reads.push(Read {
                daemon: usize::from(n) % DAEMONS,
                stored: self.store.stored().cloned(),
            }),
            Step::Arrive(n) => self.deliver_read(n),
            Step::Pull(to, from) => {
                self.pull_pages(usize::from(to) % DAEMONS, usize::from(from) % DAEMONS)
            }
            Step::Restart(n) => {
                let number = usize::from(n) % DAEMONS;
                hit("fault: daemon restarted");
                self.daemons[number] = self.new_daemon();
                restarted = Some(number);
            }
        }
        self.check_revisions(&before, restarted);
        self.check_refused();
    }

    /// revisions returns the revision that each daemon knows.
    fn revisions(&self) -> Vec<Revision> {
        let shard = shard_of(intent_name(0));
        self.daemons
            .iter()
            .map(|daemon| daemon.catalogue.revision(shard))
            .collect()
    }

    /// deliver_read gives a page that was read to its daemon, even if the page
    /// has changed since.
    fn deliver_read(&mut self, n: u8) {
        let Some(read) = pick(&mut self.reads, n) else {
            return;
        };
        let Some(stored) = read.stored else { return };
        let catalogue = &mut self.daemons[read.daemon].catalogue;
        let shard = shard_of(intent_name(0));
        if self.mutation == Mutation::AcceptStalePage {
            *catalogue = Catalogue::default();
        }
        if !catalogue.offer(shard, stored.revision, stored.page) {
            hit("branch: stale page refused");
        }
    }

    /// pull_pages lets one daemon learn newer pages from another.
    fn pull_pages(&mut self, to: usize, from: usize) {
        let digest = self.daemons[from].catalogue.digest();
        for shard in self.daemons[to].catalogue.behind(&digest) {
            let Some((revision, page)) = self.daemons[from].catalogue.page(shard).cloned() else {
                continue;
            };
            hit("branch: page pulled from a peer");
            self.daemons[to].catalogue.offer(shard, revision, page);
        }
    }

    /// check_revisions asserts that no daemon went back to an older revision,
    /// except for one that was restarted.
    fn check_revisions(&self, before: &[Revision], restarted: Option<usize>) {
        for (number, (old, new)) in before.iter().zip(self.revisions()).enumerate() {
            assert!(
                restarted == Some(number) || *old <= new,
                "daemon {number} went back to an older revision"
            );
        }
    }

    /// check_refused asserts that no refused change was ever stored.
    fn check_refused(&self) {
        for submission in &self.refused {
            let stored = self.store.version(*submission);
            assert!(
                stored.is_none(),
                "refused, but stored at version {stored:?}"
            );
        }
    }

    /// settle performs all delayed calls and lets all daemons learn the
    /// intents. It asserts that every accepted change is stored, and that all
    /// daemons know the newest revision.
    pub fn settle(&mut self) {
        while !self.detached.is_empty() {
            self.perform_detached(0);
        }
        self.check_refused();
        for accepted in &self.accepted {
            let version = accepted.version;
            let stored = self.store.version(accepted.submission);
            assert!(
                stored.is_some_and(|stored| stored <= version),
                "accepted at version {version}, stored at {stored:?}"
            );
        }
        let Some(stored) = self.store.stored().cloned() else {
            return;
        };
        let revision = stored.revision;
        let first = &mut self.daemons[0].catalogue;
        first.offer(shard_of(intent_name(0)), revision, stored.page);
        (1..DAEMONS).for_each(|number| self.pull_pages(number, number - 1));
        assert!(self.revisions().iter().all(|known| *known == revision));
    }
}
