// SPDX-License-Identifier: Apache-2.0
//! Calls to workers that other daemons, the owner's helpers, send for it.
//!
//! The starts and lease renewals of a large cell need more than the link and the processor
//! of a small VM provide: a start carries its job's payload, and each call takes about 40
//! microseconds of a core. The owner sends as many calls itself as fit into a share of both.
//! It forwards the rest in batches to helpers in the workers' data centres. A helper gets each
//! payload once: from the owner, as far as a share of its link allows, or else from the store.
//!
//! What a worker does with a call does not depend on who sends it: the call contains the
//! fence, the worker's id, the run's number and the end of the lease. A call that is sent
//! late, by a daemon that was frozen, is refused like any late call. A batch that arrives
//! twice, on two connections, is carried out once: the owner places a refused start on
//! another worker, and a copy of that start, seconds later, might fit on the first. Only the
//! owner decides to renew a lease: each renewal that a helper sends is one that the owner
//! ordered.

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

use batch::{MAX_PAYLOADS, Payloads};

pub use batch::{Batch, Numbered, Outcome};
pub use recent::Recent;

/// GATHER_STARTS_MS is how long starts are gathered for a batch.
const GATHER_STARTS_MS: u64 = 5;
/// GATHER_RENEWALS_MS is how long lease renewals are gathered for a batch. Hundreds of them
/// a second go to each daemon.
const GATHER_RENEWALS_MS: u64 = 15;
/// BATCH_LIMIT bounds the wait for the confirmation that a batch arrived.
const BATCH_LIMIT: Duration = Duration::from_millis(400);
/// START_LIMIT bounds the wait for the answer to a forwarded start.
const START_LIMIT: Duration = Duration::from_millis(600);
/// RENEWAL_MARGIN_MS is how long the answer to a forwarded renewal may take beyond the
/// renewal's own wait, in milliseconds: as long as for a renewal that the owner sends itself,
/// and the round trip to the other daemon.
const RENEWAL_MARGIN_MS: u64 = 750;
/// AVOID_MS is how long no calls are forwarded to a helper that did not answer, and how long
/// the owner itself calls a worker that did not answer a forwarded call.
const AVOID_MS: u64 = 3_000;
/// WORKERS_PER_HELPER is how many workers one helper calls for the owner. In a busy cell each
/// worker gets five calls a second, so 128 workers use a quarter of a VM of 0.12 cores.
const WORKERS_PER_HELPER: usize = 128;
/// MAX_RECEIVED is how many received batches a daemon remembers, so that it carries out none
/// twice. An owner sends it at most one every 5 ms for starts and one every 15 ms for
/// renewals, and workers refuse a start after the end of its lease, which lasts ten seconds at
/// most. That makes 2,700 batches, which take about 100 KB in all.
const MAX_RECEIVED: usize = 4_096;

/// DIRECT_SHARE is the share of the owner's link and processor that is available for the calls
/// that it sends itself.
const DIRECT_SHARE: f64 = 0.3;
/// PAYLOAD_SHARE is the share of the owner's link that is available for payloads for helpers.
const PAYLOAD_SHARE: f64 = 0.2;
/// FORWARDED_START_BYTES is how many bytes a forwarded start and its answer take on the owner's
/// link in each direction, without the payload.
const FORWARDED_START_BYTES: u64 = 160;
/// SAVED_MS bounds the unused time that a [`Budget`] saves up for later calls, in
/// milliseconds.
const SAVED_MS: f64 = 100.0;

/// Budget limits what the owner sends to a share of its link or processor.
#[derive(Debug)]
struct Budget {
    /// The share that may be used.
    share: f64,
    /// The time that may still be used, in milliseconds.
    saved_ms: f64,
    /// When time was last added.
    refilled: Millis,
}

impl Budget {
    /// new has the maximum saved up.
    fn new(share: f64) -> Budget {
        Budget {
            share,
            saved_ms: SAVED_MS,
            refilled: Millis(0),
        }
    }

    /// try_spend returns whether there is time left for something that keeps the link or the
    /// processor busy for `busy_ms`, and subtracts that time if so.
    fn try_spend(&mut self, now: Millis, busy_ms: f64) -> bool {
        let passed_ms = now.since(self.refilled) as f64;
        self.refilled = now;
        self.saved_ms = (self.saved_ms + passed_ms * self.share).min(SAVED_MS);
        if self.saved_ms < busy_ms {
            return false;
        }
        self.saved_ms -= busy_ms;
        true
    }
}

/// Relays holds the state of forwarded calls: of those that this daemon forwards as the owner,
/// and of those that it sends for another owner.
pub(crate) struct Relays {
    /// Limits the calls that this daemon sends itself as the owner.
    direct: RefCell<Budget>,
    /// Limits the payloads that it sends to helpers.
    payload_budget: RefCell<Budget>,
    /// How many helpers the owner has in each data centre.
    helpers: Cell<usize>,
    /// The calls that are gathered for the next batch, by the address of the helper.
    gathered: RefCell<HashMap<String, Batch>>,
    /// The calls that are not answered yet, by their numbers.
    unanswered: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    /// The number of the last call.
    number: Cell<u64>,
    /// The jobs whose payloads helpers have or were told to read, by the helpers' addresses.
    known_payloads: RefCell<HashMap<String, Recent<key::Job>>>,
    /// When helpers and workers last failed to answer, by their addresses.
    failed: RefCell<BTreeMap<String, Millis>>,
    /// The payloads that this daemon was sent.
    payloads: RefCell<Payloads>,
    /// The batches that this daemon lately received, by the numbers of their first calls.
    received: RefCell<Recent<u64>>,
    /// The answers that are gathered for owners, by the owners' addresses.
    answers: RefCell<HashMap<String, Vec<Numbered<Outcome>>>>,
}

impl Relays {
    /// new has no calls and no payloads. Calls are numbered from a random start, so that
    /// answers to an earlier process of this daemon match no call.
    pub(crate) fn new() -> Relays {
        Relays {
            direct: RefCell::new(Budget::new(DIRECT_SHARE)),
            payload_budget: RefCell::new(Budget::new(PAYLOAD_SHARE)),
            helpers: Cell::new(1),
            gathered: RefCell::default(),
            unanswered: RefCell::default(),
            number: Cell::new(u64::from(rand::random::<u32>()) << u32::BITS),
            known_payloads: RefCell::default(),
            failed: RefCell::default(),
            payloads: RefCell::default(),
            received: RefCell::new(Recent::new(MAX_RECEIVED)),
            answers: RefCell::default(),
        }
    }

    /// is_avoided reports whether a helper or worker lately did not answer.
    fn is_avoided(&self, address: &str, now: Millis) -> bool {
        let failed = self.failed.borrow();
        failed
            .get(address)
            .is_some_and(|at| now.since(*at) < AVOID_MS)
    }

    /// avoid records that a helper or worker did not answer.
    fn avoid(&self, address: &str, now: Millis) {
        let mut failed = self.failed.borrow_mut();
        failed.retain(|_, at| now.since(*at) < AVOID_MS);
        failed.insert(address.to_owned(), now);
    }

    /// record_failure records that a helper did not answer. It may have been restarted, so it is
    /// no longer expected to have any payloads.
    fn record_failure(&self, address: &str, now: Millis) {
        self.known_payloads.borrow_mut().remove(address);
        self.avoid(address, now);
    }

    /// register numbers a call, keeps the channel for its answer and returns the number.
    fn register(&self, answer: oneshot::Sender<Outcome>) -> u64 {
        let number = self.number.get() + 1;
        self.number.set(number);
        self.unanswered.borrow_mut().insert(number, answer);
        number
    }

    /// forget_payload records that a helper does not have the payload of a job.
    fn forget_payload(&self, address: &str, job: key::Job) {
        if let Some(known) = self.known_payloads.borrow_mut().get_mut(address) {
            known.remove(job);
        }
    }

    /// deliver_answers passes the answers from a helper to the calls that wait for them.
    pub(crate) fn deliver_answers(&self, answers: Vec<Numbered<Outcome>>) {
        for Numbered { number, item } in answers {
            if let Some(answer) = self.unanswered.borrow_mut().remove(&number) {
                // The send fails if the call has timed out.
                let _ = answer.send(item);
            }
        }
    }

    /// set_helper_count sets how many helpers the owner has in each data centre, by the size of
    /// the cell.
    pub(crate) fn set_helper_count(&self, workers: usize, data_centres: usize) {
        let each = workers / data_centres.max(1);
        self.helpers.set(each.div_ceil(WORKERS_PER_HELPER).max(1));
    }
}

/// Route is how a start reaches its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// This daemon calls the worker.
    Direct,
    /// A helper does.
    Forwarded {
        /// The address of the helper.
        helper: String,
        /// Whether the start carries its job's payload to the helper.
        carries_payload: bool,
    },
}

impl Route {
    /// link_bytes returns how many bytes a start with a payload of `payload` bytes puts on this
    /// daemon's link, or `None` if it sends the start to the worker itself.
    pub(crate) fn link_bytes(&self, payload: usize) -> Option<u64> {
        match self {
            Route::Direct => None,
            Route::Forwarded {
                carries_payload, ..
            } => Some(FORWARDED_START_BYTES + u64::from(*carries_payload) * payload as u64),
        }
    }
}

impl<P: Platform> Node<P> {
    /// update_helper_count sets how many helpers this daemon has, if it is the owner.
    pub(crate) fn update_helper_count(&self) {
        let owner = self.owner.borrow();
        if let Some(owner) = owner.as_ref() {
            let members = self.members.borrow();
            let data_centres = members.values().map(|entry| &entry.member.data_centre);
            let data_centres: BTreeSet<&String> = data_centres.collect();
            self.relays
                .set_helper_count(owner.cell.workers(), data_centres.len());
        }
    }

    /// choose_route returns how a start reaches its worker: through a helper if the share of this
    /// daemon's link and processor is used up.
    pub(crate) fn choose_route(&self, start: &Start) -> Route {
        let payload = start.payload.len();
        let worker = &start.order.address;
        let busy_ms = match payload {
            // A helper reads a payload that is not known here, so that this daemon's link does not
            // carry it twice.
            0 => f64::INFINITY,
            _ => self.settings.costs.start_ms(payload),
        };
        let Some(helper) = self.choose_helper(worker, &start.data_centre, busy_ms) else {
            return Route::Direct;
        };
        let is_new = self.record_payload(&helper, start.order.task.job);
        let carries_payload = is_new && payload > 0 && {
            let busy_ms = self.settings.costs.link_ms(payload);
            let mut budget = self.relays.payload_budget.borrow_mut();
            budget.try_spend(self.mono(), busy_ms)
        };
        Route::Forwarded {
            helper,
            carries_payload,
        }
    }

    /// record_payload records that a helper is sent a job's payload or told to read it, and reports
    /// whether it was not before.
    fn record_payload(&self, helper: &str, job: key::Job) -> bool {
        let mut known = self.relays.known_payloads.borrow_mut();
        let known = known
            .entry(helper.to_owned())
            .or_insert_with(|| Recent::new(MAX_PAYLOADS));
        known.insert(job)
    }

    /// deliver_start sends a start on a route and returns the worker's answer.
    pub(crate) async fn deliver_start(&self, route: &Route, start: &Start) -> Started {
        let Route::Forwarded {
            helper,
            carries_payload,
        } = route
        else {
            return self.start_directly(start).await;
        };
        let outcome = self.forward_start(helper, start, *carries_payload).await;
        self.count_forwarded("start", outcome != Started::Silent);
        if outcome == Started::Silent {
            self.relays.avoid(&start.order.address, self.mono());
        }
        outcome
    }

    /// start_directly sends a start to the worker itself. If this daemon was told of the job without
    /// its payload, it first reads that from the store.
    async fn start_directly(&self, start: &Start) -> Started {
        if !start.payload.is_empty() {
            return self.platform.start(start).await;
        }
        match self.find_payload(start.order.task.job).await {
            Some(payload) => {
                let start = Start {
                    payload,
                    ..start.clone()
                };
                self.platform.start(&start).await
            }
            None => Started::Unsent,
        }
    }

    /// renew_or_forward sends a lease renewal, through a helper under the same condition.
    pub(crate) async fn renew_or_forward(&self, renewal: &Renewal) -> Renewed {
        let busy_ms = self.settings.costs.renewal_ms();
        let Some(helper) = self.choose_helper(&renewal.address, &renewal.data_centre, busy_ms)
        else {
            return self.platform.renew(renewal).await;
        };
        let limit = Duration::from_millis(renewal.wait_ms + RENEWAL_MARGIN_MS);
        let outcome = self.forward(&helper, limit, GATHER_RENEWALS_MS, |number, batch| {
            batch.add_renewal(number, renewal);
        });
        let renewed = match outcome.await {
            Some(Outcome::Renewed(renewed)) => renewed,
            _ => Renewed::Silent,
        };
        let answered = !matches!(renewed, Renewed::Silent);
        self.count_forwarded("hold", answered);
        if !answered {
            self.relays.avoid(&renewal.address, self.mono());
        }
        renewed
    }

    fn count_forwarded(&self, call: &'static str, answered: bool) {
        let outcome = if answered { "answered" } else { "silent" };
        self.metrics.forwarded_calls.add(1, &labels(call, outcome));
    }

    /// choose_helper returns the address of the helper that calls a worker, or `None` if this
    /// daemon does so. The same helper is chosen for a worker as long as it answers, so that
    /// the worker has few connections.
    fn choose_helper(&self, worker: &str, data_centre: &str, busy_ms: f64) -> Option<String> {
        let now = self.mono();
        let relays = &self.relays;
        let direct = relays.direct.borrow_mut().try_spend(now, busy_ms);
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
            // If no helper answered lately, the likely cause is the owner's own link.
            helpers = others().filter(near).collect();
        }
        helpers.sort_by_key(|member| {
            let tie_breaker = key::weight(member.vm.as_bytes(), 0);
            (Reverse(member.milli_cores), tie_breaker)
        });
        let weight = |member: &&&Member| {
            key::weight(worker.as_bytes(), key::weight(member.vm.as_bytes(), 0))
        };
        let chosen = helpers.iter().take(relays.helpers.get().max(1));
        chosen
            .max_by_key(weight)
            .map(|member| member.address.clone())
    }

    /// forward_start makes a helper send a start, and returns the worker's answer. A helper that
    /// can't get the payload is sent it with a second attempt, if the owner has it.
    async fn forward_start(&self, helper: &str, start: &Start, carries_payload: bool) -> Started {
        let has_payload = !start.payload.is_empty();
        for carries_payload in [carries_payload, has_payload] {
            let outcome = self.forward(helper, START_LIMIT, GATHER_STARTS_MS, |number, batch| {
                batch.add_start(number, start, carries_payload);
            });
            match outcome.await {
                Some(Outcome::Started(outcome)) => return outcome,
                Some(Outcome::NoPayload) => {}
                // Without an answer the start may or may not have been sent.
                _ => return Started::Silent,
            }
        }
        self.relays.forget_payload(helper, start.order.task.job);
        Started::Unsent
    }

    /// forward makes a helper send a call. It returns the answer, or `None` if none arrives within
    /// the limit.
    async fn forward(
        &self,
        helper: &str,
        limit: Duration,
        gather_ms: u64,
        add: impl FnOnce(u64, &mut Batch),
    ) -> Option<Outcome> {
        let (answer, answered) = oneshot::channel();
        let number = self.relays.register(answer);
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
                self.relays.unanswered.borrow_mut().remove(&number);
                self.relays.record_failure(helper, self.mono());
                None
            }
        }
    }

    /// gather adds a call to the next batch for a helper, and returns whether it is the first
    /// start or the first renewal in the batch. If so, `forward` sends the batch after a pause.
    fn gather(&self, helper: &str, number: u64, add: impl FnOnce(u64, &mut Batch)) -> bool {
        let mut gathered = self.relays.gathered.borrow_mut();
        let batch = gathered.entry(helper.to_owned()).or_insert_with(|| {
            let owner = self.settings.advertised.to_string();
            Batch::new(owner)
        });
        let before = batch.count_kinds();
        add(number, batch);
        batch.count_kinds() > before
    }

    /// send_gathered sends the gathered calls to a helper, if there still are any.
    async fn send_gathered(&self, helper: &str) {
        let batch = self.relays.gathered.borrow_mut().remove(helper);
        let Some(batch) = batch else {
            return;
        };
        let numbers = batch.numbers();
        let request = Request::Calls(batch);
        let received = self.links.call(helper, &request, BATCH_LIMIT).await;
        if let Err(error) = received.and_then(Response::into_result) {
            let count = numbers.len();
            let text = format!("{helper} did not accept {count} forwarded calls: {error}");
            self.log_line("relay", &text);
            self.relays.record_failure(helper, self.mono());
            let mut unanswered = self.relays.unanswered.borrow_mut();
            // Dropping the channels ends the wait for the answers.
            numbers.iter().for_each(|number| {
                unanswered.remove(number);
            });
        }
    }
}
