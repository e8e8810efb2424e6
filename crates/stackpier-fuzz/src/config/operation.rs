// SPDX-License-Identifier: Apache-2.0
//! The operators' changes: submitted, performed, lost or delayed.

use stackpier_coordination::accept::{Acceptance, Change, Next, Wanted};
use stackpier_core::{Size, error::Ran};
use stackpier_state::{
    Page, Revision,
    catalogue::shard_of,
    intent::{Intent, Kind, Service},
    page::{Fetched, Swapped},
};

use super::{DAEMONS, Mutation, Simulation, intent_name};
use crate::{
    choice::{name, pick},
    counts::hit,
};

/// Operation is a change in progress, and the call that it waits for.
#[derive(Debug)]
pub(super) struct Operation {
    acceptance: Acceptance,
    submission: u128,
    next: Option<Next>,
}

/// Detached is a swap that timed out for its sender and was not performed yet.
#[derive(Debug)]
pub(super) struct Detached {
    expect: Revision,
    page: Page,
}

/// Accepted is a change whose operator received its acceptance.
#[derive(Debug)]
pub(super) struct Accepted {
    pub(super) submission: u128,
    pub(super) version: u64,
}

impl Simulation {
    /// submit starts the submission of a service through a daemon.
    pub(super) fn submit(&mut self, n: u8, expect: u8, size: u8) {
        let replicas = [(name("dc-a"), u32::from(size))].into_iter().collect();
        let intent = Intent {
            name: intent_name(n),
            team: name("team-a"),
            size: Size::default(),
            priority: 0,
            kind: Kind::Service(Service {
                replicas,
                latency_target_ms: 50,
            }),
        };
        self.start_operation(expect, Wanted::Submit(intent));
    }

    /// start_operation starts a change. One in three has no expected version.
    pub(super) fn start_operation(&mut self, expect: u8, wanted: Wanted) {
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

    /// take_operation removes an operation and returns it with the call that
    /// it waits for.
    fn take_operation(&mut self, n: u8) -> Option<(Operation, Next)> {
        let mut operation = pick(&mut self.operations, n)?;
        let next = operation.next.take()?;
        Some((operation, next))
    }

    /// serve_call lets the store perform a call. The answer is lost unless
    /// `answered` is set.
    pub(super) fn serve_call(&mut self, n: u8, answered: bool) {
        let Some((operation, next)) = self.take_operation(n) else {
            return;
        };
        match next {
            Next::Read if answered => {
                let fetched = self.store.read();
                self.handle_read(operation, fetched);
            }
            Next::Read => self.handle_read(operation, Fetched::Failed),
            Next::Swap(expect, page) => {
                let swapped = self.store.swap(expect, page);
                self.handle_swapped(operation, if answered { swapped } else { Swapped::Unclear });
            }
            Next::Answer(..) => {}
        }
    }

    /// lose_call loses a call on its way to the store.
    pub(super) fn lose_call(&mut self, n: u8) {
        let Some((operation, next)) = self.take_operation(n) else {
            return;
        };
        match next {
            Next::Read => self.handle_read(operation, Fetched::Failed),
            _ => self.handle_swapped(operation, Swapped::Unclear),
        }
    }

    /// detach_call reports a call as unanswered. A swap is performed later.
    pub(super) fn detach_call(&mut self, n: u8) {
        let Some((operation, next)) = self.take_operation(n) else {
            return;
        };
        match next {
            Next::Swap(expect, page) => {
                hit("fault: swap delayed past its time-out");
                self.detached.push(Detached { expect, page });
                self.handle_swapped(operation, Swapped::Unclear);
            }
            _ => self.handle_read(operation, Fetched::Failed),
        }
    }

    /// perform_detached performs a detached swap.
    pub(super) fn perform_detached(&mut self, n: u8) {
        let Some(detached) = pick(&mut self.detached, n) else {
            return;
        };
        match self.store.swap(detached.expect, detached.page) {
            Swapped::Won(_) => hit("branch: late swap took effect"),
            _ => hit("branch: late swap lost"),
        }
    }

    fn handle_read(&mut self, mut operation: Operation, fetched: Fetched) {
        let number = self.operations.len() % DAEMONS;
        let next = operation
            .acceptance
            .read(fetched, &mut self.daemons[number].writer);
        self.continue_with(operation, next);
    }

    fn handle_swapped(&mut self, mut operation: Operation, swapped: Swapped) {
        let reported = match (self.mutation, swapped) {
            (Mutation::UnclearIsRefused, Swapped::Unclear) => Swapped::Refused,
            _ => swapped,
        };
        if self.mutation == Mutation::NoSubmissionLookup && reported == Swapped::Unclear {
            self.refused.push(operation.submission);
            return;
        }
        let next = operation.acceptance.swapped(reported);
        self.continue_with(operation, next);
    }

    /// continue_with records the end of an operation, or lets it wait for its
    /// next call.
    fn continue_with(&mut self, mut operation: Operation, next: Next) {
        match next {
            Next::Answer(Ok(accepted), page) => {
                hit("branch: change accepted");
                self.accepted.push(Accepted {
                    submission: operation.submission,
                    version: accepted.version,
                });
                let shard = shard_of(intent_name(0));
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
