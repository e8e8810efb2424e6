// SPDX-License-Identifier: Apache-2.0
//! The operators' changes: submitted, carried out, lost and late.

use stackpier_coordination::accept::{Acceptance, Change, Next, Wanted};
use stackpier_core::{Size, error::Ran};
use stackpier_state::{
    Page, Revision,
    catalogue::shard_of,
    intent::{Intent, Kind, Service},
    page::{Fetched, Swapped},
};

use super::{DAEMONS, Guard, World, label};
use crate::{
    choice::{name, pick},
    counts::hit,
};

/// Operation is a change on its way, and the call that it waits for.
#[derive(Debug)]
pub(super) struct Operation {
    acceptance: Acceptance,
    submission: u128,
    next: Option<Next>,
}

/// Detached is a swap that counts as unanswered and was not carried out yet.
#[derive(Debug)]
pub(super) struct Detached {
    expect: Revision,
    page: Page,
}

/// Accepted is a change whose operator was told that it is accepted.
#[derive(Debug)]
pub(super) struct Accepted {
    pub(super) submission: u128,
    pub(super) version: u64,
}

impl World {
    pub(super) fn submit(&mut self, n: u8, expect: u8, size: u8) {
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

    pub(super) fn start(&mut self, expect: u8, wanted: Wanted) {
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

    /// take takes out an operation and what it waits for.
    fn take(&mut self, n: u8) -> Option<(Operation, Next)> {
        let mut operation = pick(&mut self.operations, n)?;
        let next = operation.next.take()?;
        Some((operation, next))
    }

    /// serve has the store carry out a call; the answer may be lost.
    pub(super) fn serve(&mut self, n: u8, answered: bool) {
        let Some((operation, next)) = self.take(n) else {
            return;
        };
        match next {
            Next::Read if answered => {
                let fetched = self.store.read();
                self.read(operation, fetched);
            }
            Next::Read => self.read(operation, Fetched::Failed),
            Next::Swap(expect, page) => {
                let swapped = self.store.swap(expect, page);
                self.swapped(operation, if answered { swapped } else { Swapped::Unclear });
            }
            Next::Answer(..) => {}
        }
    }

    /// lose loses a call before the store.
    pub(super) fn lose(&mut self, n: u8) {
        let Some((operation, next)) = self.take(n) else {
            return;
        };
        match next {
            Next::Read => self.read(operation, Fetched::Failed),
            _ => self.swapped(operation, Swapped::Unclear),
        }
    }

    /// detach lets a call count as unanswered, to be carried out later.
    pub(super) fn detach(&mut self, n: u8) {
        let Some((operation, next)) = self.take(n) else {
            return;
        };
        match next {
            Next::Swap(expect, page) => {
                hit("fault: swap delayed past its time-out");
                self.detached.push(Detached { expect, page });
                self.swapped(operation, Swapped::Unclear);
            }
            _ => self.read(operation, Fetched::Failed),
        }
    }

    /// late carries out a detached call.
    pub(super) fn late(&mut self, n: u8) {
        let Some(detached) = pick(&mut self.detached, n) else {
            return;
        };
        match self.store.swap(detached.expect, detached.page) {
            Swapped::Won(_) => hit("branch: late swap took effect"),
            _ => hit("branch: late swap lost"),
        }
    }

    fn read(&mut self, mut operation: Operation, fetched: Fetched) {
        let number = self.operations.len() % DAEMONS;
        let next = operation
            .acceptance
            .read(fetched, &mut self.daemons[number].writer);
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

    /// go_on records the end of an operation, or lets it wait for the next call.
    fn go_on(&mut self, mut operation: Operation, next: Next) {
        match next {
            Next::Answer(Ok(accepted), page) => {
                hit("branch: change accepted");
                self.accepted.push(Accepted {
                    submission: operation.submission,
                    version: accepted.version,
                });
                let shard = shard_of(label(0));
                if let Some((revision, page)) = page {
                    let number = self.accepted.len() % DAEMONS;
                    self.daemons[number].catalogue.offer(shard, revision, page);
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
}
