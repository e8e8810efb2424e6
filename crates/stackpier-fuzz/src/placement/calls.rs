// SPDX-License-Identifier: Apache-2.0
//! Calls of daemons to the store and to workers, and the faults of their
//! delivery.

use stackpier_coordination::effect::{Effect, Event, Note};
use stackpier_core::{Name, key::Boot};
use stackpier_protocol::sync::{Call, Clock as WorkerClock, Reply};
use stackpier_state::{
    Page, Revision,
    page::{ABSENT, Fetched, Key, Swapped},
    work::Outcome,
};

use super::{
    DAEMONS, Mutation, Simulation,
    messages::{Body, Message},
    pick,
};
use crate::counts::{hit, trace};

/// Target is the state machine of a daemon that makes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target {
    Rack(Name),
    Homes(u16),
}

/// Request is the content of a call to the store or to a worker.
#[derive(Clone, Debug)]
pub(super) enum Request {
    Read(Key),
    Swap(Key, Revision, Box<Page>),
    Sync(Name, Call),
}

/// Operation is a call in flight from a daemon's state machine.
#[derive(Clone, Debug)]
pub(super) struct Operation {
    pub daemon: usize,
    pub boot: Boot,
    pub target: Target,
    pub request: Request,
}

impl Simulation {
    /// perform_effect sends the call or hint that a state machine requests,
    /// or counts the decision that it logs.
    pub(super) fn perform_effect(
        &mut self,
        daemon: usize,
        boot: Boot,
        target: Target,
        effect: Effect,
    ) {
        let request = match effect {
            Effect::Read(key) => Request::Read(key),
            Effect::Swap(key, expect, page) => Request::Swap(key, expect, Box::new(page)),
            Effect::Sync(worker, call) => Request::Sync(worker, call),
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
        self.in_flight.push(Operation {
            daemon,
            boot,
            target,
            request,
        });
    }

    /// deliver_call performs a call. The answer is lost unless `answered` is
    /// set; a call that is cut off from its worker or the store is detached.
    pub(super) fn deliver_call(&mut self, n: u8, answered: bool) {
        let Some(operation) = pick(&mut self.in_flight, n) else {
            return;
        };
        if self.is_cut_off(&operation) {
            self.deliver_answer(&operation, failure_event(&operation.request));
            self.detached.push(operation);
            return;
        }
        let event = self.perform(&operation.request);
        match answered {
            true => self.deliver_answer(&operation, event),
            false => {
                hit("fault: answer lost after the call took effect");
                self.deliver_answer(&operation, failure_event(&operation.request));
            }
        }
    }

    /// is_cut_off reports whether a call can't reach its worker or the store now.
    /// It may still reach it later.
    fn is_cut_off(&self, operation: &Operation) -> bool {
        let Request::Sync(worker, _) = &operation.request else {
            let cut = self.store_cut[operation.daemon];
            if cut {
                hit("fault: daemon cut off from the store");
            }
            return cut;
        };
        let found = self.workers.iter().find(|host| host.name == *worker);
        let cut = found.is_some_and(|host| host.cut);
        if cut {
            hit("fault: worker cut off");
        }
        cut
    }

    pub(super) fn lose_call(&mut self, n: u8) {
        let Some(operation) = pick(&mut self.in_flight, n) else {
            return;
        };
        hit("fault: call lost");
        self.deliver_answer(&operation, failure_event(&operation.request));
    }

    /// detach_call reports a call as unanswered, and keeps it to be performed
    /// later.
    pub(super) fn detach_call(&mut self, n: u8) {
        let Some(operation) = pick(&mut self.in_flight, n) else {
            return;
        };
        hit("fault: call delayed past its time-out");
        self.deliver_answer(&operation, failure_event(&operation.request));
        self.detached.push(operation);
    }

    /// perform_detached performs a detached call; nobody receives its answer.
    pub(super) fn perform_detached(&mut self, n: u8) {
        let Some(operation) = pick(&mut self.detached, n) else {
            return;
        };
        let event = self.perform(&operation.request);
        match event {
            Event::Swapped(_, Swapped::Lost) => hit("branch: late swap lost"),
            Event::Swapped(_, Swapped::Won(_)) => hit("branch: late swap took effect"),
            Event::Synced(..) => hit("branch: late worker call arrived"),
            _ => {}
        }
    }

    /// deliver_answer gives an answer to the state machine that made the
    /// call. A frozen daemon receives it when it thaws; one that restarted or
    /// ended never does.
    fn deliver_answer(&mut self, operation: &Operation, event: Event) {
        let daemon = &mut self.daemons[operation.daemon];
        if daemon.dead || daemon.boot != operation.boot {
            return;
        }
        if daemon.frozen {
            daemon.inbox.push_back((operation.target, event));
            return;
        }
        self.step_machine(operation.daemon, operation.target, event);
    }

    /// perform executes a call at the store or at a worker, and returns the
    /// answer.
    fn perform(&mut self, request: &Request) -> Event {
        match request {
            Request::Read(key) => Event::Read(
                *key,
                self.store
                    .get(key)
                    .map_or(Fetched::Absent, |(revision, page)| {
                        Fetched::Found(*revision, page.clone())
                    }),
            ),
            Request::Swap(key, expect, page) => {
                Event::Swapped(*key, self.swap_page(*key, *expect, page))
            }
            Request::Sync(worker, call) => Event::Synced(*worker, self.sync_worker(*worker, call)),
        }
    }

    fn swap_page(&mut self, key: Key, expect: Revision, page: &Page) -> Swapped {
        let current = self
            .store
            .get(&key)
            .map_or(ABSENT, |(revision, _)| *revision);
        if current != expect && self.mutation != Mutation::NoCompare {
            hit("branch: swap lost");
            return Swapped::Lost;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        let mut page = page.clone();
        if let (Mutation::NoSettledRevisions, Page::Rack(rack)) = (self.mutation, &mut page) {
            rack.settled.clear();
        }
        self.store.insert(key, (revision, page));
        Swapped::Won(revision)
    }

    fn sync_worker(&mut self, worker: Name, call: &Call) -> Option<Reply> {
        let time = self.time;
        let host = self.workers.iter_mut().find(|host| host.name == worker)?;
        if host.gone {
            return None;
        }
        let now = WorkerClock(host.clock.at(time).0);
        let mut call = call.clone();
        match self.mutation {
            Mutation::NoStaleCheck => call.clock = now,
            Mutation::NoLeaseWait => call.lease_ms *= 4,
            Mutation::Original | Mutation::NoCompare | Mutation::NoSettledRevisions => {}
        }
        if now.0 > call.clock.0 + call.lease_ms && call.boot != Boot::default() {
            hit("branch: worker ignored a call older than its lease");
        }
        Some(host.model.sync(now, &call))
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
        Note::Failing(_) => hit("branch: store outage noticed"),
        Note::Answered(..) => hit("branch: store answers again"),
    }
}

/// failure_event returns the event of a call that got no answer.
fn failure_event(request: &Request) -> Event {
    match request {
        Request::Read(key) => Event::Read(*key, Fetched::Failed),
        Request::Swap(key, ..) => Event::Swapped(*key, Swapped::Unclear),
        Request::Sync(worker, _) => Event::Synced(*worker, None),
    }
}
