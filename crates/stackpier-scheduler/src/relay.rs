// SPDX-License-Identifier: Apache-2.0
//! Starts that other daemons send to workers for the owner.
//!
//! A start carries its job's payload and is a call of its own, so the starts of a large
//! cell need more than a small VM's link and processor bear. An owner sends as many itself
//! as take a share of both; the rest goes in batches to daemons in the workers' data
//! centres, each payload once. What a worker does with a start does not depend on who sends
//! it: the fence, the run's number and the end of the lease are in it. One that is sent
//! late, by a daemon that was frozen, is refused as any late order is.

mod batch;

use std::{
    cell::RefCell,
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use stackpier_cell::{Start, Started};
use stackpier_core::{Millis, key};
use tokio::{sync::oneshot, time::timeout};

use crate::{
    Platform,
    keys::Member,
    link::{Request, Response},
    node::{Node, pause},
};

use batch::{Known, Payloads};

pub use batch::{Batch, Outcome};

/// GATHER_MS is how long starts are gathered for a batch.
const GATHER_MS: u64 = 5;
/// START_LIMIT bounds a start that is sent for another daemon: workers answer within some
/// milliseconds, and one that does not holds up the answer to its batch.
const START_LIMIT: Duration = Duration::from_millis(250);
/// BATCH_LIMIT bounds a batch: its starts, two ways between data centres, and a wait for
/// the other daemon's processor.
const BATCH_LIMIT: Duration = Duration::from_millis(400);
/// AVOID_MS is for how long a daemon that did not answer a batch gets no other.
const AVOID_MS: u64 = 3_000;
/// HELPERS is how many daemons of a data centre send starts. Each gets the payload of a
/// job that has tasks on its workers, and two bear the starts of a hundred workers.
const HELPERS: usize = 2;
/// TRIES is how often a start is passed: once more if the other daemon had forgotten its
/// payload.
const TRIES: usize = 2;
/// DIRECT_PART is the part of its link and processor, one in so many, that an owner's own
/// starts may take. Reports of workers take about as much again.
const DIRECT_PART: f64 = 5.0;
/// SAVED_MS is for how long a share that was not used is saved up.
const SAVED_MS: f64 = 100.0;

/// Share is what the owner's own starts may take of its link and processor.
#[derive(Debug)]
struct Share {
    /// The part of the time that is saved up, in milliseconds.
    saved_ms: f64,
    renewed: Millis,
}

impl Default for Share {
    /// default has all of it saved up.
    fn default() -> Share {
        Share {
            saved_ms: SAVED_MS,
            renewed: Millis(0),
        }
    }
}

impl Share {
    /// take tells whether there is time left for a start that keeps the link or the
    /// processor busy for `busy_ms`, and takes it.
    fn take(&mut self, now: Millis, busy_ms: f64) -> bool {
        let passed_ms = now.since(self.renewed) as f64;
        self.renewed = now;
        self.saved_ms = (self.saved_ms + passed_ms / DIRECT_PART).min(SAVED_MS);
        if self.saved_ms < busy_ms {
            return false;
        }
        self.saved_ms -= busy_ms;
        true
    }
}

/// Gathered is the starts that wait to be sent to one daemon.
#[derive(Default)]
struct Gathered {
    batch: Batch,
    answers: Vec<oneshot::Sender<Outcome>>,
}

/// Relays are the daemons that send starts for this one, and what this one keeps to do so
/// for others.
#[derive(Default)]
pub(crate) struct Relays {
    share: RefCell<Share>,
    /// The starts that wait, by the address of the daemon that is to send them.
    gathered: RefCell<HashMap<String, Gathered>>,
    /// The payloads that daemons have, by their addresses.
    known: RefCell<HashMap<String, Known>>,
    /// When daemons, by their addresses, last failed to answer.
    failed: RefCell<BTreeMap<String, Millis>>,
    /// The payloads that this daemon has.
    payloads: RefCell<Payloads>,
}

impl Relays {
    /// is_avoided tells whether a daemon lately did not answer.
    fn is_avoided(&self, address: &str, now: Millis) -> bool {
        let failed = self.failed.borrow();
        failed
            .get(address)
            .is_some_and(|at| now.since(*at) < AVOID_MS)
    }

    /// gather adds a start to those that a daemon is to send, and tells whether it is the
    /// first that waits.
    fn gather(&self, address: &str, start: &Start, answer: oneshot::Sender<Outcome>) -> bool {
        let mut known = self.known.borrow_mut();
        let known = known.entry(address.to_owned()).or_default();
        let mut gathered = self.gathered.borrow_mut();
        let gathered = gathered.entry(address.to_owned()).or_default();
        gathered.batch.add(start, known);
        gathered.answers.push(answer);
        gathered.answers.len() == 1
    }

    /// fail notes that a daemon did not answer: it may have been restarted.
    fn fail(&self, address: String, now: Millis) {
        self.known.borrow_mut().remove(&address);
        self.failed.borrow_mut().insert(address, now);
    }

    /// forget notes that a daemon does not have the payload of a job.
    fn forget(&self, address: &str, job: key::Job) {
        if let Some(known) = self.known.borrow_mut().get_mut(address) {
            known.remove(job);
        }
    }
}

impl<P: Platform> Node<P> {
    /// start_or_pass sends a start, by way of another daemon if this one's share of its
    /// link and processor is used up.
    pub(crate) async fn start_or_pass(&self, start: &Start) -> Started {
        let busy_ms = self.settings.costs.start_ms(start.payload.len());
        let direct = self.relays.share.borrow_mut().take(self.mono(), busy_ms);
        let helper = if direct { None } else { self.helper(start) };
        match helper {
            Some(address) => self.pass(&address, start).await,
            None => self.platform.start(start).await,
        }
    }

    /// helper returns the address of the daemon that sends a worker's starts: always the
    /// same one as long as it answers, so that the worker has few connections.
    fn helper(&self, start: &Start) -> Option<String> {
        let now = self.mono();
        let members = self.members.borrow();
        let usable = |member: &&Member| {
            member.vm != self.settings.vm && !self.relays.is_avoided(&member.address, now)
        };
        let near = |member: &&Member| member.data_centre == start.data_centre;
        let mut helpers: Vec<&Member> = members.values().filter(near).filter(usable).collect();
        if helpers.is_empty() {
            helpers = members.values().filter(usable).collect();
        }
        helpers.sort_by_key(|member| {
            let place = key::weight(member.vm.as_bytes(), 0);
            (Reverse(member.milli_cores), place)
        });
        let worker = start.order.address.as_bytes();
        let weight = |member: &&&Member| key::weight(worker, key::weight(member.vm.as_bytes(), 0));
        let chosen = helpers.iter().take(HELPERS).max_by_key(weight);
        chosen.map(|member| member.address.clone())
    }

    /// pass has another daemon send a start.
    async fn pass(&self, address: &str, start: &Start) -> Started {
        for _ in 0..TRIES {
            let (answer, answered) = oneshot::channel();
            if self.relays.gather(address, start, answer) {
                let node = self.clone();
                let address = address.to_owned();
                tokio::task::spawn_local(async move { node.send_gathered(address).await });
            }
            match answered.await {
                Ok(Outcome::Sent(outcome)) => return outcome,
                Ok(Outcome::NoPayload) => self.relays.forget(address, start.order.task.job),
                // Without an answer the start may or may not have been sent.
                Err(_) => return Started::Silent,
            }
        }
        // It was not sent: the task is placed again.
        Started::Unhealthy
    }

    async fn send_gathered(&self, address: String) {
        pause(GATHER_MS).await;
        let gathered = self.relays.gathered.borrow_mut().remove(&address);
        let Some(Gathered { batch, answers }) = gathered else {
            return;
        };
        let request = Request::Starts(batch);
        match self.links.call(&address, &request, BATCH_LIMIT).await {
            Ok(Response::Started(outcomes)) => {
                for (answer, outcome) in answers.into_iter().zip(outcomes) {
                    // Nobody waits for it if the owner has given the cell up meanwhile.
                    let _ = answer.send(outcome);
                }
            }
            other => {
                let count = answers.len();
                let text = format!("{address} did not answer to {count} starts: {other:?}");
                self.say("relay", &text);
                self.relays.fail(address, self.mono());
            }
        }
    }

    /// send_for sends the starts of a batch for the owner.
    pub(crate) async fn send_for(&self, batch: Batch) -> Vec<Outcome> {
        let starts = batch.starts(&mut self.relays.payloads.borrow_mut());
        let send = |start: Option<Start>| {
            let node = self.clone();
            tokio::task::spawn_local(async move { node.send_one_for(start).await })
        };
        let sent: Vec<_> = starts.into_iter().map(send).collect();
        let mut outcomes = Vec::with_capacity(sent.len());
        for outcome in sent {
            // A task that panicked may have sent its start.
            let silent = Outcome::Sent(Started::Silent);
            outcomes.push(outcome.await.unwrap_or(silent));
        }
        outcomes
    }

    async fn send_one_for(&self, start: Option<Start>) -> Outcome {
        let Some(start) = start else {
            return Outcome::NoPayload;
        };
        let sent = timeout(START_LIMIT, self.platform.start(&start)).await;
        Outcome::Sent(sent.unwrap_or(Started::Silent))
    }
}
