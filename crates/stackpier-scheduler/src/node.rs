// SPDX-License-Identifier: Apache-2.0
//! State shared by all tasks of a daemon: settings, its view of the other daemons and of
//! the configuration, and the cell if this daemon owns it.

use std::{
    cell::{Cell as Slot, RefCell},
    collections::{BTreeMap, BTreeSet},
    ops::Deref,
    rc::Rc,
    time::Duration,
};

use slog::{Logger, info, warn};
use stackpier_cell::{Now, Unsaved, maintenance::Plan};
use stackpier_core::{Kind, Millis, Result, key::Boot};
use stackpier_transport::clock::{self, Steady, Uptime};
use tokio::sync::Notify;

use crate::{
    Platform, Settings,
    authority::{Authorities, Holder},
    backlog::Backlog,
    catalog::Config,
    detector::Detector,
    history::History,
    keys::{Coverage, Member, Ownership},
    link::Links,
    log::{Admission, RateLimit},
    metrics::{Metrics, labels},
    owner::Owner,
    rejection::Admissions,
    relay::Relays,
    retry::{Cause, Planner},
    store::{Committed, Item, Listing, Transaction, Watched},
    tombstone::Tombstones,
};

/// STORE_FRESH_MS is how long after its last answer the store counts as reachable.
const STORE_FRESH_MS: u64 = 1_000;

/// Node is a cheaply cloned handle on the daemon's shared state.
pub struct Node<P> {
    inner: Rc<Inner<P>>,
}

/// Owned is the ownership of the cell as last read from the store, with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Owned {
    pub ownership: Ownership,
    pub revision: u64,
}

impl Owned {
    /// holder returns the owner.
    pub(crate) fn holder(&self) -> Holder {
        Holder {
            vm: self.ownership.vm.clone(),
            boot: self.ownership.boot,
            address: self.ownership.address.clone(),
            fence: self.ownership.fence,
            revision: self.revision,
            answered: false,
        }
    }
}

/// Registered is a daemon's entry as last read from the store, with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Registered {
    pub member: Member,
    pub revision: u64,
}

/// Swap is this daemon's latest compare-and-swap of the ownership, whether or not it
/// succeeded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Swap {
    pub fence: u64,
    /// When it was first sent. If it took effect, it did so no earlier.
    pub sent: Millis,
}

/// Inner holds the state behind a [`Node`].
pub struct Inner<P> {
    pub(crate) settings: Settings,
    pub(crate) platform: P,
    pub(crate) boot: Boot,
    pub(crate) log: Logger,
    /// Limits the rate of log lines.
    pub(crate) limit: RateLimit,
    pub(crate) metrics: Metrics,
    pub(crate) links: Links,
    pub(crate) relays: Relays,
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    /// The maintenance plans that operators wrote.
    pub(crate) plans: RefCell<Vec<Plan>>,
    /// The data centres that operators have cordoned, once their entries have been read.
    pub(crate) cordons: RefCell<Option<BTreeSet<String>>>,
    /// The store's item of the configuration in force, as sent to peers that ask for it.
    pub(crate) config_item: RefCell<Option<Item>>,
    pub(crate) members: RefCell<BTreeMap<String, Registered>>,
    pub(crate) owned: RefCell<Option<Owned>>,
    /// Whether the assignments in the store cover all runs, as the store last showed it.
    pub(crate) coverage: Slot<Option<Coverage>>,
    pub(crate) owner: RefCell<Option<Owner>>,
    /// How long the owners before the present one may still act.
    pub(crate) authorities: RefCell<Authorities>,
    pub(crate) detector: RefCell<Detector>,
    /// Which revisions of the store this daemon has seen.
    pub(crate) history: RefCell<History>,
    /// What this daemon could not save while it owned the cell. It is kept until the
    /// successor has received it.
    pub(crate) unsaved: RefCell<Vec<Unsaved>>,
    /// The latest compare-and-swap of the ownership by this daemon.
    pub(crate) swap: Slot<Swap>,
    /// Whether this daemon owns the cell and is still reading it from the store.
    pub(crate) loading: Slot<bool>,
    /// Whether this daemon is releasing the cell.
    pub(crate) releasing: Slot<bool>,
    /// The highest fence with which this daemon owned the cell and lost it to a later one.
    pub(crate) outdated: Slot<u64>,
    pub(crate) store: StoreHealth,
    /// When the owner last answered a heartbeat, was last reported reachable by another
    /// daemon, or became known as the owner.
    pub(crate) last_contact: Slot<Millis>,
    /// The fence of the owner that last answered a heartbeat.
    pub(crate) answered: Slot<u64>,
    /// The cancellations of which no owner has been told yet.
    pub(crate) cancellations: RefCell<Backlog>,
    /// When client accounts that were refused may come back.
    pub(crate) planner: RefCell<Planner>,
    /// What is needed to reject jobs, if the settings allow it.
    pub(crate) admissions: Option<Admissions>,
    /// The tombstones that this daemon has to write.
    pub(crate) tombstones: Tombstones,
    pub(crate) stopping: Slot<bool>,
    /// When this daemon exits at the latest, set once it is stopping.
    pub(crate) ends_at: Slot<Option<Millis>>,
    pub(crate) open_requests: Slot<usize>,
    clock: Steady,
}

/// StoreHealth records when the store last answered and last failed.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    answered: Slot<Millis>,
    failed: Slot<Millis>,
    lost: Slot<bool>,
    /// Whether a read got no answer since the store last answered. Watches that were sent meanwhile
    /// may never be answered. Refused calls and lost writes say nothing about them.
    silent: Slot<bool>,
    regained: Notify,
}

impl<P> Clone for Node<P> {
    fn clone(&self) -> Node<P> {
        Node {
            inner: Rc::clone(&self.inner),
        }
    }
}

impl<P> Deref for Node<P> {
    type Target = Inner<P>;

    fn deref(&self) -> &Inner<P> {
        &self.inner
    }
}

impl<P: Platform> Node<P> {
    /// new creates the state of a daemon that has just started.
    pub fn new(settings: Settings, platform: P, log: Logger) -> anyhow::Result<Node<P>> {
        let limit = RateLimit::new(settings.milli_cores);
        let admissions = settings.admission_objectives.map(Admissions::new);
        let tombstones = Tombstones::new(settings.cell.show_ms);
        let inner = Inner {
            settings,
            platform,
            boot: Boot(rand::random()),
            log,
            limit,
            metrics: Metrics::new()?,
            links: Links::default(),
            relays: Relays::new(),
            config: RefCell::default(),
            plans: RefCell::default(),
            cordons: RefCell::default(),
            config_item: RefCell::default(),
            members: RefCell::default(),
            coverage: Slot::default(),
            owned: RefCell::default(),
            owner: RefCell::default(),
            authorities: RefCell::default(),
            detector: RefCell::default(),
            history: RefCell::default(),
            unsaved: RefCell::default(),
            swap: Slot::default(),
            loading: Slot::default(),
            releasing: Slot::default(),
            outdated: Slot::default(),
            store: StoreHealth::default(),
            last_contact: Slot::default(),
            answered: Slot::default(),
            cancellations: RefCell::default(),
            planner: RefCell::default(),
            admissions,
            tombstones,
            stopping: Slot::default(),
            ends_at: Slot::default(),
            open_requests: Slot::default(),
            clock: Steady::new(Uptime),
        };
        Ok(Node {
            inner: Rc::new(inner),
        })
    }

    /// now returns the current time on the steady clock and on the Unix clock.
    pub(crate) fn now(&self) -> Now {
        Now {
            mono: self.mono(),
            unix: clock::unix(),
        }
    }

    /// mono returns the time on this daemon's steady clock. The clock starts above zero, so
    /// that zero can stand for "never".
    pub(crate) fn mono(&self) -> Millis {
        self.clock.now()
    }

    /// record_swap records the time at which the swap of the ownership to `fence` is first
    /// sent. A retry with the same fence keeps that time.
    pub(crate) fn record_swap(&self, fence: u64) {
        if self.swap.get().fence != fence {
            let sent = self.mono();
            self.swap.set(Swap { fence, sent });
        }
    }

    /// owned_since returns the latest time at which this daemon is known to have owned the
    /// cell with `fence`. A new owner uses it before it has confirmed its ownership with
    /// the store.
    pub(crate) fn owned_since(&self, fence: u64) -> Millis {
        let swap = self.swap.get();
        if swap.fence == fence {
            swap.sent
        } else {
            Millis::default()
        }
    }

    /// log_line writes a log line for a part, within the part's rate limit.
    pub(crate) fn log_line(&self, part: &'static str, text: &str) {
        self.log_about(part, None, text);
    }

    /// log_about writes a log line about a subject, such as a job or a task, within the same
    /// limit.
    pub(crate) fn log_about(&self, part: &'static str, subject: Option<String>, text: &str) {
        match self.limit.check(self.mono(), part) {
            Admission::Drop => {}
            Admission::Write(dropped) => {
                if dropped > 0 {
                    warn!(
                        self.log,
                        "log: {} lines of part {} dropped by the rate limit", dropped, part
                    );
                }
                let subject = subject.unwrap_or_default();
                info!(self.log, "{}: {}", part, text; "subject" => subject, "at_ms" => self.mono().0);
            }
        }
    }

    /// is_ready reports whether this daemon can accept jobs now.
    pub fn is_ready(&self) -> bool {
        let known = self.config.borrow().is_some() && self.owned.borrow().is_some();
        known && !self.stopping.get() && self.store_answers()
    }

    /// store_answers reports whether the store answered within [`STORE_FRESH_MS`].
    pub(crate) fn store_answers(&self) -> bool {
        let answered = self.store.answered.get();
        answered > Millis(0) && self.mono().since(answered) < STORE_FRESH_MS
    }

    /// is_gone reports whether an owner's process has ended: a new process has registered on its VM
    /// since. An entry that is older than the ownership proves nothing, as a daemon may read the
    /// two from the store in either order.
    pub(crate) fn is_gone(&self, holder: &Holder) -> bool {
        let members = self.members.borrow();
        let entry = members.get(&holder.vm);
        let restarted = |entry: &Registered| entry.member.boot != holder.boot;
        entry.is_some_and(|entry| entry.revision > holder.revision && restarted(entry))
    }

    /// acting_ms returns how long owners before the present one may still act.
    pub(crate) fn acting_ms(&self) -> u64 {
        let now = self.mono();
        let mut authorities = self.authorities.borrow_mut();
        authorities.prune(now, |holder| self.is_gone(holder));
        authorities.acting_ms(now)
    }

    /// is_owner reports whether this daemon owns the cell and has loaded it.
    pub(crate) fn is_owner(&self) -> bool {
        self.owner.borrow().is_some()
    }

    fn record_store_result<T>(&self, call: &'static str, result: Result<T>) -> Result<T> {
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        self.metrics.store_calls.add(1, &labels(call, outcome));
        match &result {
            Ok(_) => self.record_store_answer(),
            Err(error) if error.kind == Kind::Unreachable => {
                self.store.silent.set(!self.platform.is_receiving());
                self.record_store_timeout(call, &error.message)
            }
            Err(error) => self.record_store_failure(call, &error.message),
        }
        result
    }

    fn record_store_answer(&self) {
        self.store.answered.set(self.mono());
        if self.store.lost.replace(false) {
            self.log_line("store", "the store answers again");
        }
        if self.store.silent.replace(false) {
            self.store.regained.notify_waiters();
        }
        self.end_cause(Cause::Store);
    }

    /// record_store_timeout records that a call was not answered in time. If a long answer
    /// is being received, the call only waited behind it on the link and the store counts
    /// as reachable. Treating it as lost would restart the transfer from the beginning, and
    /// a large configuration would never arrive over a slow link.
    fn record_store_timeout(&self, call: &'static str, why: &str) {
        if self.platform.is_receiving() {
            self.store.answered.set(self.mono());
        } else {
            self.record_store_failure(call, why);
        }
    }

    fn record_store_failure(&self, call: &'static str, why: &str) {
        self.store.failed.set(self.mono());
        if !self.store.lost.replace(true) {
            self.begin_cause(Cause::Store);
            let since = self.mono().since(self.store.answered.get());
            let text = format!("store call {call} failed: {why}; last answer {since} ms ago");
            self.log_line("store", &text);
        }
    }

    /// wait_for_store waits until the store answers again after a read without an answer.
    pub(crate) async fn wait_for_store(&self) {
        self.store.regained.notified().await;
    }

    pub(crate) async fn store_get(&self, key: &str) -> Result<Option<Item>> {
        let result = self.platform.get(key).await;
        self.record_store_result("get", result)
    }

    pub(crate) async fn store_probe(&self, key: &str) -> Result<()> {
        let result = self.platform.probe(key).await;
        self.record_store_result("probe", result)
    }

    pub(crate) async fn store_list(&self, prefix: &str) -> Result<Listing> {
        let result = self.platform.list(prefix).await;
        if let Ok(listing) = &result {
            self.record_revision(listing.at);
        }
        self.record_store_result("list", result)
    }

    pub(crate) async fn store_watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Watched> {
        let result = self.platform.watch(prefix, after, wait_ms).await;
        if let Ok(Watched::Changes(_, at)) = &result {
            self.record_revision(*at);
        }
        self.record_store_result("watch", result)
    }

    fn record_revision(&self, revision: u64) {
        let now = self.mono();
        self.history.borrow_mut().record(now, revision);
    }

    pub(crate) async fn store_commit(&self, transaction: &Transaction) -> Committed {
        let committed = self.platform.commit(transaction).await;
        let outcome = match &committed {
            Committed::Done(_) => "done",
            Committed::Conflict(_) => "conflict",
            Committed::Refused => "refused",
            Committed::Unknown => "unknown",
        };
        self.metrics.store_calls.add(1, &labels("commit", outcome));
        match committed {
            Committed::Done(_) | Committed::Conflict(_) => self.record_store_answer(),
            Committed::Refused => self.record_store_failure("commit", outcome),
            Committed::Unknown => self.record_store_timeout("commit", outcome),
        }
        committed
    }
}

/// pause sleeps for `ms` milliseconds.
pub(crate) async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// OpenRequest is a request that is being answered, with the time at which it came in.
#[derive(Clone, Copy, Debug)]
pub struct OpenRequest {
    start: Millis,
}

impl<P: Platform> Node<P> {
    /// begin counts a request that came in and starts its timing.
    pub fn begin(&self) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest { start: self.mono() }
    }

    /// finish logs the answer to a request and records its status and latency.
    pub fn finish(&self, open_request: OpenRequest, request: &str, status: u16, why: &str) {
        self.open_requests.set(self.open_requests.get() - 1);
        let took_ms = self.mono().since(open_request.start);
        self.metrics.latency.record(took_ms as f64 / 1_000.0, &[]);
        let status_label = opentelemetry::KeyValue::new("status", i64::from(status));
        self.metrics.answers.add(1, &[status_label]);
        let text = format!("{status} after {took_ms} ms {why}");
        self.log_about("request", Some(request.to_owned()), &text);
    }
}
