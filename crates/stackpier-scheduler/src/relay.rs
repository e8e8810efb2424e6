// SPDX-License-Identifier: Apache-2.0
//! Calls to workers that other daemons send for the owner.
//!
//! The starts and looks of a large cell need more than a small VM's link and processor
//! bear: a start carries its job's payload, and each call costs some 40 microseconds of a
//! core. An owner sends as many itself as take a share of both; the rest goes in batches to
//! daemons in the workers' data centres, each payload once. On VMs of 0.12 cores and 2
//! Mbit/s with 85 workers a calm day was worth 0.83 with starts passed on, 0.16 without.
//!
//! What a worker does with a call does not depend on who sends it: the fence, the life that
//! is meant, the run's number and the end of the lease are in it. One that is sent late, by
//! a daemon that was frozen, is refused as any late call is. A batch may come twice, on two
//! connections, and is carried out once: a start that its worker refused is made elsewhere
//! by the owner, and a copy of it seconds later might find room. Leases are renewed by nobody
//! but the owner: each look that another daemon sends is one that the owner asked for.

mod batch;
mod helper;
mod recent;

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use stackpier_cell::{Renewal, Renewed, Start, Started};
use stackpier_core::{Millis, key};
use tokio::{sync::oneshot, time::timeout};

use crate::{
    Platform,
    keys::Member,
    link::{Request, Response},
    metrics::labels,
    node::{Node, pause},
};

use batch::{KEPT, Payloads};

pub use batch::{Batch, Numbered, Outcome};
pub use recent::Recent;

/// GATHER_STARTS_MS is how long starts are gathered for a batch.
const GATHER_STARTS_MS: u64 = 5;
/// GATHER_LOOKS_MS is the same for looks, of which hundreds a second go to a daemon.
const GATHER_LOOKS_MS: u64 = 15;
/// BATCH_LIMIT bounds the wait for the word that a batch has come.
const BATCH_LIMIT: Duration = Duration::from_millis(400);
/// START_LIMIT bounds the wait for the answer to a start.
const START_LIMIT: Duration = Duration::from_millis(600);
/// LOOK_MARGIN_MS is what the answer to a look may take beyond its wait, in milliseconds:
/// as much as one of the owner's own, and the ways to the other daemon and back.
const LOOK_MARGIN_MS: u64 = 750;
/// AVOID_MS is for how long a daemon that did not answer gets no calls to send, and for
/// how long a worker that did not answer to one is called by the owner itself.
const AVOID_MS: u64 = 3_000;
/// WORKERS_PER_HELPER is how many workers a daemon calls for the owner. Those of a busy
/// cell take five calls a second each: with 128, a quarter of a VM of 0.12 cores.
const WORKERS_PER_HELPER: usize = 128;
/// TRIES is how often a start is passed: once more if the other daemon had forgotten its
/// payload.
const TRIES: usize = 2;
/// TAKEN is how many batches a daemon remembers, so that it takes none twice. An owner sends
/// it one every 5 ms at most for starts and one every 15 ms for looks, and workers refuse a
/// start that comes after the end of its lease, ten seconds at the longest: 2,700 batches, of
/// some 100 KB in all.
const TAKEN: usize = 4_096;

/// DIRECT_PART is the part of its link and processor that the owner's own calls may take.
const DIRECT_PART: f64 = 0.3;
/// SAVED_MS is for how long a share that was not used is saved up.
const SAVED_MS: f64 = 100.0;

/// Share is what the owner's own calls may take of its link and processor.
#[derive(Debug)]
struct Share {
    /// The time that is saved up, in milliseconds.
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
    /// take tells whether there is time left for a call that keeps the link or the
    /// processor busy for `busy_ms`, and takes it.
    fn take(&mut self, now: Millis, busy_ms: f64) -> bool {
        let passed_ms = now.since(self.renewed) as f64;
        self.renewed = now;
        self.saved_ms = (self.saved_ms + passed_ms * DIRECT_PART).min(SAVED_MS);
        if self.saved_ms < busy_ms {
            return false;
        }
        self.saved_ms -= busy_ms;
        true
    }
}

/// Relays are the daemons that call workers for this one, and what this one keeps to do so
/// for others.
pub(crate) struct Relays {
    share: RefCell<Share>,
    /// How many daemons of each data centre call workers.
    helpers: Cell<usize>,
    /// The calls that wait, by the address of the daemon that is to send them.
    gathered: RefCell<HashMap<String, Batch>>,
    /// The calls that are not answered yet.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    /// The number of the last call.
    number: Cell<u64>,
    /// The payloads that daemons have, by their addresses.
    known: RefCell<HashMap<String, Recent<key::Job>>>,
    /// When daemons and workers, by their addresses, last failed to answer.
    failed: RefCell<BTreeMap<String, Millis>>,
    /// The payloads that this daemon has.
    payloads: RefCell<Payloads>,
    /// The batches that this daemon took lately, by the numbers of their first calls.
    taken: RefCell<Recent<u64>>,
    /// The answers that wait to be sent to owners.
    answers: RefCell<HashMap<String, Vec<Numbered<Outcome>>>>,
}

impl Relays {
    /// new knows of no other daemon. Calls are numbered from anywhere, so that answers to
    /// an earlier run of the daemon belong to none.
    pub(crate) fn new() -> Relays {
        Relays {
            share: RefCell::default(),
            helpers: Cell::new(1),
            gathered: RefCell::default(),
            waiting: RefCell::default(),
            number: Cell::new(u64::from(rand::random::<u32>()) << u32::BITS),
            known: RefCell::default(),
            failed: RefCell::default(),
            payloads: RefCell::default(),
            taken: RefCell::new(Recent::new(TAKEN)),
            answers: RefCell::default(),
        }
    }

    /// is_avoided tells whether a daemon or worker lately did not answer.
    fn is_avoided(&self, address: &str, now: Millis) -> bool {
        let failed = self.failed.borrow();
        failed
            .get(address)
            .is_some_and(|at| now.since(*at) < AVOID_MS)
    }

    /// avoid notes that a daemon or worker did not answer.
    fn avoid(&self, address: &str, now: Millis) {
        let mut failed = self.failed.borrow_mut();
        failed.retain(|_, at| now.since(*at) < AVOID_MS);
        failed.insert(address.to_owned(), now);
    }

    /// fail notes that a daemon did not answer: it may have been restarted.
    fn fail(&self, address: &str, now: Millis) {
        self.known.borrow_mut().remove(address);
        self.avoid(address, now);
    }

    /// next returns the number of a call whose answer is waited for.
    fn next(&self, answer: oneshot::Sender<Outcome>) -> u64 {
        let number = self.number.get() + 1;
        self.number.set(number);
        self.waiting.borrow_mut().insert(number, answer);
        number
    }

    /// forget notes that a daemon does not have the payload of a job.
    fn forget(&self, address: &str, job: key::Job) {
        if let Some(known) = self.known.borrow_mut().get_mut(address) {
            known.remove(job);
        }
    }

    /// take_answers hands the answers of another daemon on.
    pub(crate) fn take_answers(&self, answers: Vec<Numbered<Outcome>>) {
        for Numbered { number, item } in answers {
            if let Some(waiting) = self.waiting.borrow_mut().remove(&number) {
                // Nobody waits for it if its time is over.
                let _ = waiting.send(item);
            }
        }
    }

    /// size sets how many daemons call workers, by the size of the cell.
    pub(crate) fn size(&self, workers: usize, data_centres: usize) {
        let each = workers / data_centres.max(1);
        self.helpers.set(each.div_ceil(WORKERS_PER_HELPER).max(1));
    }
}

/// Delivery is how a start was sent, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Delivery {
    pub outcome: Started,
    /// The address of the daemon that sent it for this one.
    pub helper: Option<String>,
}

impl<P: Platform> Node<P> {
    /// size_relays sets how many daemons call workers for this one, if it owns the cell.
    pub(crate) fn size_relays(&self) {
        let owner = self.owner.borrow();
        if let Some(owner) = owner.as_ref() {
            let members = self.members.borrow();
            let data_centres = members.values().map(|entry| &entry.member.data_centre);
            let data_centres: BTreeSet<&String> = data_centres.collect();
            self.relays.size(owner.cell.workers(), data_centres.len());
        }
    }

    /// start_or_pass sends a start, by way of another daemon if this one's share of its
    /// link and processor is used up.
    pub(crate) async fn start_or_pass(&self, start: &Start) -> Delivery {
        let busy_ms = self.settings.costs.start_ms(start.payload.len());
        let worker = &start.order.address;
        let Some(helper) = self.helper(worker, &start.data_centre, busy_ms) else {
            return Delivery {
                outcome: self.platform.start(start).await,
                helper: None,
            };
        };
        let outcome = self.pass_start(&helper, start).await;
        self.count_passed("start", outcome != Started::Silent);
        if outcome == Started::Silent {
            self.relays.avoid(worker, self.mono());
        }
        Delivery {
            outcome,
            helper: Some(helper),
        }
    }

    /// hold_or_pass does the same for a hold.
    pub(crate) async fn hold_or_pass(&self, hold: &Renewal) -> Renewed {
        let busy_ms = self.settings.costs.look_ms();
        let Some(helper) = self.helper(&hold.address, &hold.data_centre, busy_ms) else {
            return self.platform.hold(hold).await;
        };
        let limit = Duration::from_millis(hold.wait_ms + LOOK_MARGIN_MS);
        let outcome = self.pass(&helper, limit, GATHER_LOOKS_MS, |number, batch, _| {
            batch.add_look(number, hold);
        });
        let held = match outcome.await {
            Some(Outcome::Held(held)) => held,
            _ => Renewed::Silent,
        };
        let answered = !matches!(held, Renewed::Silent);
        self.count_passed("hold", answered);
        if !answered {
            self.relays.avoid(&hold.address, self.mono());
        }
        held
    }

    fn count_passed(&self, call: &'static str, answered: bool) {
        let outcome = if answered { "answered" } else { "silent" };
        self.metrics.passed_calls.add(1, &labels(call, outcome));
    }

    /// helper returns the address of the daemon that calls a worker, or `None` if this
    /// daemon does so. It is always the same one as long as it answers, so that the worker
    /// has few connections.
    fn helper(&self, worker: &str, data_centre: &str, busy_ms: f64) -> Option<String> {
        let now = self.mono();
        let relays = &self.relays;
        let direct = relays.share.borrow_mut().take(now, busy_ms);
        if direct || relays.is_avoided(worker, now) {
            return None;
        }
        let members = self.members.borrow();
        let others = || {
            let members = members.values().map(|entry| &entry.member);
            members.filter(|member| member.vm != self.settings.vm)
        };
        let usable = |member: &&Member| !relays.is_avoided(&member.address, now);
        let near = |member: &&Member| member.data_centre == data_centre;
        let mut helpers: Vec<&Member> = others().filter(near).filter(usable).collect();
        if helpers.is_empty() {
            // If none answered, the owner's own link is the likely reason.
            helpers = others().filter(near).collect();
        }
        helpers.sort_by_key(|member| {
            let place = key::weight(member.vm.as_bytes(), 0);
            (Reverse(member.milli_cores), place)
        });
        let weight = |member: &&&Member| {
            key::weight(worker.as_bytes(), key::weight(member.vm.as_bytes(), 0))
        };
        let chosen = helpers.iter().take(relays.helpers.get().max(1));
        chosen
            .max_by_key(weight)
            .map(|member| member.address.clone())
    }

    /// pass_start has another daemon send a start.
    async fn pass_start(&self, helper: &str, start: &Start) -> Started {
        for _ in 0..TRIES {
            let outcome = self.pass(
                helper,
                START_LIMIT,
                GATHER_STARTS_MS,
                |number, batch, known| {
                    batch.add_start(number, start, known);
                },
            );
            match outcome.await {
                Some(Outcome::Started(outcome)) => return outcome,
                Some(Outcome::NoPayload) => {
                    self.relays.forget(helper, start.order.task.job);
                }
                // Without an answer the start may or may not have been sent.
                _ => return Started::Silent,
            }
        }
        // It was not sent: the task is placed again.
        Started::Unhealthy
    }

    /// pass has another daemon send a call, and returns the answer if it comes in time.
    async fn pass(
        &self,
        helper: &str,
        limit: Duration,
        gather_ms: u64,
        add: impl FnOnce(u64, &mut Batch, &mut Recent<key::Job>),
    ) -> Option<Outcome> {
        let (answer, answered) = oneshot::channel();
        let number = self.relays.next(answer);
        if self.gather(helper, number, add) {
            let (node, address) = (self.clone(), helper.to_owned());
            tokio::task::spawn_local(async move {
                pause(gather_ms).await;
                node.send_gathered(&address).await;
            });
        }
        match timeout(limit, answered).await {
            Ok(Ok(outcome)) => Some(outcome),
            Ok(Err(_)) => None,
            Err(_) => {
                self.relays.waiting.borrow_mut().remove(&number);
                self.relays.fail(helper, self.mono());
                None
            }
        }
    }

    /// gather adds a call to those that wait for a daemon, and tells whether it is the
    /// first of its sort.
    fn gather(
        &self,
        helper: &str,
        number: u64,
        add: impl FnOnce(u64, &mut Batch, &mut Recent<key::Job>),
    ) -> bool {
        let mut known = self.relays.known.borrow_mut();
        let known = known.entry(helper.to_owned());
        let known = known.or_insert_with(|| Recent::new(KEPT));
        let mut gathered = self.relays.gathered.borrow_mut();
        let batch = gathered.entry(helper.to_owned()).or_insert_with(|| {
            let owner = self.settings.advertised.to_string();
            Batch::new(owner)
        });
        let before = batch.sorts();
        add(number, batch, known);
        batch.sorts() > before
    }

    /// send_gathered sends the calls that wait for a daemon, if there still are any.
    async fn send_gathered(&self, helper: &str) {
        let batch = self.relays.gathered.borrow_mut().remove(helper);
        let Some(batch) = batch else {
            return;
        };
        let numbers = batch.numbers();
        let request = Request::Calls(batch);
        let taken = self.links.call(helper, &request, BATCH_LIMIT).await;
        if let Err(error) = taken.and_then(Response::into_taken) {
            let count = numbers.len();
            let text = format!("{helper} did not take {count} calls: {error}");
            self.say("relay", &text);
            self.relays.fail(helper, self.mono());
            let mut waiting = self.relays.waiting.borrow_mut();
            // Whoever waits for an answer learns that there is none.
            numbers.iter().for_each(|number| {
                waiting.remove(number);
            });
        }
    }
}
