// SPDX-License-Identifier: Apache-2.0
//! The world of accepted intents: operators that race, a store that loses
//! replies and carries out calls late, and daemons that learn pages from stale
//! reads and from each other.

use std::collections::BTreeMap;

use stackpier_coordination::{
    accept::{Acceptance, Change, Next, Wanted},
    effect::Writer,
};
use stackpier_core::{Name, Size, error::Ran, key::Boot};
use stackpier_state::{
    Page, Revision,
    catalogue::{Catalogue, shard_of},
    intent::{Intent, Kind, Service, Shard},
    page::{ABSENT, Fetched, Swapped},
};

use crate::{
    choice::{name, pick},
    counts::{hit, trace},
};

/// DAEMONS is the count of daemons.
const DAEMONS: usize = 4;

/// Guard is a safety rule that a test can take away, to see the oracle fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Guard {
    /// All rules stand.
    #[default]
    Whole,
    /// A swap without an answer counts as refused.
    UnclearIsRefused,
    /// A daemon takes the page that it read last, older or not.
    TakeAny,
    /// A swap is tried once and its submission is not looked for.
    NoSubmission,
}

/// Step is one transition. Numbers choose among what is there.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// An operator submits through a daemon: name, expected version or none.
    Submit(u8, u8, u8),
    /// An operator cancels through a daemon.
    Cancel(u8, u8, u8),
    /// The store carries out a call and answers.
    Serve(u8),
    /// The store carries out a call; the answer is lost.
    LoseAnswer(u8),
    /// A call is lost.
    Lose(u8),
    /// A call counts as unanswered and is carried out later.
    Detach(u8),
    /// A detached call is carried out.
    Late(u8),
    /// A daemon begins to read the page.
    Read(u8),
    /// A read arrives, whatever has changed since.
    Arrive(u8),
    /// A daemon pulls from another one.
    Pull(u8, u8),
    /// A daemon ends and starts with nothing.
    Restart(u8),
}

#[derive(Debug)]
struct Operation {
    acceptance: Acceptance,
    submission: u128,
    next: Option<Next>,
}

/// World is everything under test and its fakes.
#[derive(Debug)]
pub struct World {
    guard: Guard,
    revision: u64,
    page: Option<(Revision, Shard)>,
    /// Version by submission, of every page that was ever stored.
    history: BTreeMap<u128, u64>,
    operations: Vec<Operation>,
    detached: Vec<(Revision, Page)>,
    refused: Vec<u128>,
    accepted: Vec<(u128, u64)>,
    daemons: Vec<(Catalogue, Writer)>,
    reads: Vec<(usize, Option<(Revision, Shard)>)>,
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
            revision: 0,
            page: None,
            history: BTreeMap::new(),
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

    fn fresh(&mut self) -> (Catalogue, Writer) {
        self.boots += 1;
        (Catalogue::default(), Writer::new(Boot(self.boots)))
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
            Step::Read(n) => self
                .reads
                .push((usize::from(n) % DAEMONS, self.page.clone())),
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
        for (number, (old, new)) in before.iter().zip(self.revisions()).enumerate() {
            assert!(
                restarted == Some(number) || *old <= new,
                "daemon {number} went back"
            );
        }
        self.check_refused();
    }

    fn revisions(&self) -> Vec<Revision> {
        let shard = shard_of(label(0));
        self.daemons
            .iter()
            .map(|(catalogue, _)| catalogue.revision(shard))
            .collect()
    }

    fn submit(&mut self, n: u8, expect: u8, size: u8) {
        let replicas = [(name("dc-a"), u32::from(size))].into_iter().collect();
        let intent = Intent {
            name: label(n),
            team: name("team-a"),
            size: Size::default(),
            priority: 0,
            kind: Kind::Service(Service {
                replicas,
                latency_target_ms: 50,
            }),
        };
        self.start(expect, Wanted::Submit(intent));
    }

    fn start(&mut self, expect: u8, wanted: Wanted) {
        self.submissions += 1;
        let expect = (!expect.is_multiple_of(3)).then_some(u64::from(expect % 7));
        let change = Change {
            submission: self.submissions,
            expect,
            wanted,
        };
        let (acceptance, next) = Acceptance::new(change);
        self.operations.push(Operation {
            acceptance,
            submission: self.submissions,
            next: Some(next),
        });
    }

    fn take(&mut self, n: u8) -> Option<(Operation, Next)> {
        let mut operation = pick(&mut self.operations, n)?;
        let next = operation.next.take()?;
        Some((operation, next))
    }

    fn serve(&mut self, n: u8, answered: bool) {
        let Some((operation, next)) = self.take(n) else {
            return;
        };
        match next {
            Next::Read if answered => {
                let fetched = match &self.page {
                    Some((revision, page)) => {
                        Fetched::Found(*revision, Page::Intents(page.clone()))
                    }
                    None => Fetched::Absent,
                };
                self.read(operation, fetched);
            }
            Next::Read => self.read(operation, Fetched::Failed),
            Next::Swap(expect, page) => {
                let swapped = self.swap(expect, page);
                self.swapped(operation, if answered { swapped } else { Swapped::Unclear });
            }
            Next::Answer(..) => {}
        }
    }

    fn lose(&mut self, n: u8) {
        let Some((operation, next)) = self.take(n) else {
            return;
        };
        match next {
            Next::Read => self.read(operation, Fetched::Failed),
            _ => self.swapped(operation, Swapped::Unclear),
        }
    }

    fn detach(&mut self, n: u8) {
        let Some((operation, next)) = self.take(n) else {
            return;
        };
        match next {
            Next::Swap(expect, page) => {
                hit("fault: swap delayed past its time-out");
                self.detached.push((expect, page));
                self.swapped(operation, Swapped::Unclear);
            }
            _ => self.read(operation, Fetched::Failed),
        }
    }

    fn late(&mut self, n: u8) {
        let Some((expect, page)) = pick(&mut self.detached, n) else {
            return;
        };
        match self.swap(expect, page) {
            Swapped::Won(_) => hit("branch: late swap took effect"),
            _ => hit("branch: late swap lost"),
        }
    }

    fn swap(&mut self, expect: Revision, page: Page) -> Swapped {
        let Page::Intents(page) = page else {
            return Swapped::Lost;
        };
        let current = self.page.as_ref().map_or(ABSENT, |(revision, _)| *revision);
        if current != expect {
            hit("branch: swap lost to a racing operator");
            return Swapped::Lost;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        for object in &page.objects {
            if let Some(newest) = object.submissions.last() {
                self.history.entry(*newest).or_insert(object.version);
            }
        }
        self.page = Some((revision, page));
        Swapped::Won(revision)
    }

    fn read(&mut self, mut operation: Operation, fetched: Fetched) {
        let number = self.operations.len() % DAEMONS;
        let next = operation
            .acceptance
            .read(fetched, &mut self.daemons[number].1);
        self.go_on(operation, next);
    }

    fn swapped(&mut self, mut operation: Operation, swapped: Swapped) {
        let told = match (self.guard, swapped) {
            (Guard::UnclearIsRefused, Swapped::Unclear) => Swapped::Refused,
            _ => swapped,
        };
        if self.guard == Guard::NoSubmission && told == Swapped::Unclear {
            self.refused.push(operation.submission);
            return;
        }
        let next = operation.acceptance.swapped(told);
        self.go_on(operation, next);
    }

    fn go_on(&mut self, mut operation: Operation, next: Next) {
        match next {
            Next::Answer(Ok(accepted), page) => {
                hit("branch: change accepted");
                self.accepted.push((operation.submission, accepted.version));
                let shard = shard_of(label(0));
                if let Some((revision, page)) = page {
                    let number = self.accepted.len() % DAEMONS;
                    self.daemons[number].0.offer(shard, revision, page);
                }
            }
            Next::Answer(Err(error), _) if error.ran() == Ran::No => {
                hit("branch: change refused");
                self.refused.push(operation.submission);
            }
            Next::Answer(Err(_), _) => hit("branch: change not known"),
            next => {
                operation.next = Some(next);
                self.operations.push(operation);
            }
        }
    }

    fn arrive(&mut self, n: u8) {
        let Some((number, Some((revision, page)))) = pick(&mut self.reads, n) else {
            return;
        };
        let catalogue = &mut self.daemons[number].0;
        let shard = shard_of(label(0));
        if self.guard == Guard::TakeAny {
            *catalogue = Catalogue::default();
        }
        if !catalogue.offer(shard, revision, page) {
            hit("branch: stale page refused");
        }
    }

    fn pull(&mut self, to: usize, from: usize) {
        let behind = self.daemons[to].0.behind(&self.daemons[from].0.digest());
        for shard in behind {
            let Some((revision, page)) = self.daemons[from].0.page(shard).cloned() else {
                continue;
            };
            hit("branch: page pulled from a peer");
            self.daemons[to].0.offer(shard, revision, page);
        }
    }

    /// check_refused asserts that nothing refused was ever stored.
    fn check_refused(&self) {
        for submission in &self.refused {
            let stored = self.history.get(submission);
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
        for (submission, version) in &self.accepted {
            let stored = self.history.get(submission);
            assert!(
                stored.is_some_and(|stored| stored <= version),
                "accepted at version {version}, stored at {stored:?}"
            );
        }
        let Some((revision, page)) = self.page.clone() else {
            return;
        };
        let shard = shard_of(label(0));
        self.daemons[0].0.offer(shard, revision, page);
        (1..DAEMONS).for_each(|number| self.pull(number, number - 1));
        assert!(self.revisions().iter().all(|known| *known == revision));
    }
}
