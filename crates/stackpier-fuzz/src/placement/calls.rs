// SPDX-License-Identifier: Apache-2.0
//! Calls of daemons to the store and to workers, with the faults on their way.

use stackpier_coordination::effect::{Effect, Event, Note};
use stackpier_core::{Name, key::Boot};
use stackpier_protocol::sync::{Call, Clock as WorkerClock, Reply};
use stackpier_state::{
    Page, Revision,
    page::{ABSENT, Fetched, Key, Swapped},
    work::Outcome,
};

use super::{
    DAEMONS, Guard, World,
    messages::{Body, Message},
    pick,
};
use crate::counts::{hit, trace};

/// Target is the machine of a daemon that a call is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target {
    Rack(Name),
    Homes(u16),
}

/// Work is what a call asks of the store or of a worker.
#[derive(Clone, Debug)]
pub(super) enum Work {
    Read(Key),
    Swap(Key, Revision, Box<Page>),
    Sync(Name, Call),
}

/// Operation is a call under way from a daemon's machine.
#[derive(Clone, Debug)]
pub(super) struct Operation {
    pub daemon: usize,
    pub boot: Boot,
    pub target: Target,
    pub work: Work,
}

impl World {
    pub(super) fn effect(&mut self, daemon: usize, boot: Boot, target: Target, effect: Effect) {
        let work = match effect {
            Effect::Read(key) => Work::Read(key),
            Effect::Swap(key, expect, page) => Work::Swap(key, expect, Box::new(page)),
            Effect::Sync(worker, call) => Work::Sync(worker, call),
            Effect::Hint(hint) => {
                for other in 0..DAEMONS {
                    self.messages.push(Message {
                        to: other,
                        body: Body::Hint(hint.clone()),
                    });
                }
                return;
            }
            Effect::Note(note) => {
                count_note(note);
                return;
            }
        };
        self.under_way.push(Operation {
            daemon,
            boot,
            target,
            work,
        });
    }

    pub(super) fn deliver(&mut self, n: u8, answered: bool) {
        let Some(operation) = pick(&mut self.under_way, n) else {
            return;
        };
        if self.cut(&operation.work) {
            hit("fault: worker cut off");
            self.answer(&operation, failure(&operation.work));
            self.detached.push(operation);
            return;
        }
        let event = self.perform(&operation.work);
        match answered {
            true => self.answer(&operation, event),
            false => {
                hit("fault: answer lost after the call took effect");
                self.answer(&operation, failure(&operation.work));
            }
        }
    }

    /// cut tells whether a call can't reach its worker now. It may reach it
    /// later.
    fn cut(&self, work: &Work) -> bool {
        let Work::Sync(worker, _) = work else {
            return false;
        };
        let found = self.workers.iter().find(|machine| machine.name == *worker);
        found.is_some_and(|machine| machine.cut)
    }

    pub(super) fn lose_call(&mut self, n: u8) {
        let Some(operation) = pick(&mut self.under_way, n) else {
            return;
        };
        hit("fault: call lost");
        self.answer(&operation, failure(&operation.work));
    }

    pub(super) fn detach(&mut self, n: u8) {
        let Some(operation) = pick(&mut self.under_way, n) else {
            return;
        };
        hit("fault: call delayed past its time-out");
        self.answer(&operation, failure(&operation.work));
        self.detached.push(operation);
    }

    pub(super) fn late(&mut self, n: u8) {
        let Some(operation) = pick(&mut self.detached, n) else {
            return;
        };
        let event = self.perform(&operation.work);
        match event {
            Event::Swapped(_, Swapped::Lost) => hit("branch: late swap lost"),
            Event::Swapped(_, Swapped::Won(_)) => hit("branch: late swap took effect"),
            Event::Synced(..) => hit("branch: late worker call arrived"),
            _ => {}
        }
    }

    fn answer(&mut self, operation: &Operation, event: Event) {
        let daemon = &mut self.daemons[operation.daemon];
        if daemon.dead || daemon.boot != operation.boot {
            return;
        }
        if daemon.frozen {
            daemon.inbox.push_back((operation.target, event));
            return;
        }
        self.machine(operation.daemon, operation.target, event);
    }

    /// perform carries out a call at the store or at a worker.
    fn perform(&mut self, work: &Work) -> Event {
        match work {
            Work::Read(key) => Event::Read(
                *key,
                self.store
                    .get(key)
                    .map_or(Fetched::Absent, |(revision, page)| {
                        Fetched::Found(*revision, page.clone())
                    }),
            ),
            Work::Swap(key, expect, page) => Event::Swapped(*key, self.swap(*key, *expect, page)),
            Work::Sync(worker, call) => Event::Synced(*worker, self.sync(*worker, call)),
        }
    }

    fn swap(&mut self, key: Key, expect: Revision, page: &Page) -> Swapped {
        let current = self
            .store
            .get(&key)
            .map_or(ABSENT, |(revision, _)| *revision);
        if current != expect && self.guard != Guard::NoCompare {
            hit("branch: swap lost");
            return Swapped::Lost;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        let mut page = page.clone();
        if let (Guard::NoSettled, Page::Rack(rack)) = (self.guard, &mut page) {
            rack.settled.clear();
        }
        self.store.insert(key, (revision, page));
        Swapped::Won(revision)
    }

    fn sync(&mut self, worker: Name, call: &Call) -> Option<Reply> {
        let time = self.time;
        let machine = self
            .workers
            .iter_mut()
            .find(|machine| machine.name == worker)?;
        if machine.gone {
            return None;
        }
        let now = WorkerClock(machine.clock.at(time).0);
        let mut call = call.clone();
        match self.guard {
            Guard::NoStaleCheck => call.clock = now,
            Guard::NoLeaseWait => call.lease_ms *= 4,
            Guard::Whole | Guard::NoCompare | Guard::NoSettled => {}
        }
        if now.0 > call.clock.0 + call.lease_ms && call.boot != Boot::default() {
            hit("branch: worker ignored a call older than its lease");
        }
        Some(machine.model.sync(now, &call))
    }
}

fn count_note(note: Note) {
    trace("note", &note);
    match note {
        Note::Committed(..) => hit("branch: run committed"),
        Note::Ended(_, Outcome::Stopped(Some(_))) => hit("branch: run evicted with a checkpoint"),
        Note::Ended(_, Outcome::Refused) => hit("branch: claim refused by the rack"),
        Note::Ended(..) => hit("branch: run ended"),
        Note::Claimed(..) => hit("branch: task claimed"),
        Note::Unplaced(_) => hit("branch: no room"),
        Note::TookOver(..) => hit("branch: rack taken over"),
        Note::GaveUp(..) => hit("branch: rack given up"),
        Note::Reacted(..) => hit("branch: reaction to a slowed service"),
        Note::Lapsed(_) => hit("branch: lease lapsed as evidence"),
        Note::Rebooted(_) => hit("branch: worker's new boot as evidence"),
    }
}

fn failure(work: &Work) -> Event {
    match work {
        Work::Read(key) => Event::Read(*key, Fetched::Failed),
        Work::Swap(key, ..) => Event::Swapped(*key, Swapped::Unclear),
        Work::Sync(worker, _) => Event::Synced(*worker, None),
    }
}
