// SPDX-License-Identifier: Apache-2.0
//! The world of accepted intents: operators that race, a store that loses
//! replies and carries out calls late, and daemons that learn pages from stale
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

pub use step::{Guard, Step};

/// DAEMONS is the count of daemons.
const DAEMONS: usize = 4;

/// Daemon is what one daemon knows.
#[derive(Debug)]
struct Daemon {
    catalogue: Catalogue,
    writer: Writer,
}

/// Read is a page on its way to a daemon.
#[derive(Debug)]
struct Read {
    daemon: usize,
    stored: Option<Stored>,
}

/// World is everything under test and its fakes.
#[derive(Debug)]
pub struct World {
    guard: Guard,
    store: Store,
    operations: Vec<Operation>,
    detached: Vec<Detached>,
    /// Submissions whose operators were told that they are refused.
    refused: Vec<u128>,
    accepted: Vec<Accepted>,
    daemons: Vec<Daemon>,
    reads: Vec<Read>,
    submissions: u128,
    boots: u64,
}

/// label returns one of two names that share a shard.
fn label(n: u8) -> Name {
    let wanted = shard_of(name("fleet"));
    let mut others = (0..).map(|number| name(&format!("other-{number}")));
    let other = others.find(|other| shard_of(*other) == wanted);
    match (n % 2, other) {
        (1, Some(other)) => other,
        _ => name("fleet"),
    }
}

impl World {
    /// new builds a world with nothing accepted.
    pub fn new(guard: Guard) -> World {
        let mut world = World {
            guard,
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
            let daemon = world.fresh();
            world.daemons.push(daemon);
        }
        world
    }

    fn fresh(&mut self) -> Daemon {
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
            Step::Cancel(n, expect, _) => self.start(expect, Wanted::Cancel(label(n))),
            Step::Serve(n) => self.serve(n, true),
            Step::LoseAnswer(n) => self.serve(n, false),
            Step::Lose(n) => self.lose(n),
            Step::Detach(n) => self.detach(n),
            Step::Late(n) => self.late(n),
            Step::Read(n) => self.reads.push(Read {
                daemon: usize::from(n) % DAEMONS,
                stored: self.store.stored().cloned(),
            }),
            Step::Arrive(n) => self.arrive(n),
            Step::Pull(to, from) => {
                self.pull(usize::from(to) % DAEMONS, usize::from(from) % DAEMONS)
            }
            Step::Restart(n) => {
                let number = usize::from(n) % DAEMONS;
                hit("fault: daemon restarted");
                self.daemons[number] = self.fresh();
                restarted = Some(number);
            }
        }
        self.check_revisions(&before, restarted);
        self.check_refused();
    }

    /// revisions returns the revision that each daemon knows.
    fn revisions(&self) -> Vec<Revision> {
        let shard = shard_of(label(0));
        self.daemons
            .iter()
            .map(|daemon| daemon.catalogue.revision(shard))
            .collect()
    }

    /// arrive lets a read arrive at its daemon.
    fn arrive(&mut self, n: u8) {
        let Some(read) = pick(&mut self.reads, n) else {
            return;
        };
        let Some(stored) = read.stored else { return };
        let catalogue = &mut self.daemons[read.daemon].catalogue;
        let shard = shard_of(label(0));
        if self.guard == Guard::TakeAny {
            *catalogue = Catalogue::default();
        }
        if !catalogue.offer(shard, stored.revision, stored.page) {
            hit("branch: stale page refused");
        }
    }

    /// pull lets one daemon learn newer pages from another.
    fn pull(&mut self, to: usize, from: usize) {
        let digest = self.daemons[from].catalogue.digest();
        for shard in self.daemons[to].catalogue.behind(&digest) {
            let Some((revision, page)) = self.daemons[from].catalogue.page(shard).cloned() else {
                continue;
            };
            hit("branch: page pulled from a peer");
            self.daemons[to].catalogue.offer(shard, revision, page);
        }
    }

    /// check_revisions asserts that no daemon went back, but for one that was
    /// restarted.
    fn check_revisions(&self, before: &[Revision], restarted: Option<usize>) {
        for (number, (old, new)) in before.iter().zip(self.revisions()).enumerate() {
            assert!(
                restarted == Some(number) || *old <= new,
                "daemon {number} went back"
            );
        }
    }

    /// check_refused asserts that nothing refused was ever stored.
    fn check_refused(&self) {
        for submission in &self.refused {
            let stored = self.store.version(*submission);
            assert!(
                stored.is_none(),
                "refused, but stored at version {stored:?}"
            );
        }
    }

    /// settle lets everything late arrive and everybody learn, and asserts
    /// that what was accepted is stored and in force everywhere.
    pub fn settle(&mut self) {
        while !self.detached.is_empty() {
            self.late(0);
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
        first.offer(shard_of(label(0)), revision, stored.page);
        (1..DAEMONS).for_each(|number| self.pull(number, number - 1));
        assert!(self.revisions().iter().all(|known| *known == revision));
    }
}
