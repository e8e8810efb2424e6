// SPDX-License-Identifier: Apache-2.0
//! How owners follow the jobs in the store, if watches may be late: as a daemon does. A new owner
//! lists the jobs, and installs the cell when it has read the rest. From then on it watches for
//! changes. The messages of the daemons that write jobs and cancellations may be lost.
//!
//! If watches are never late, owners know all changes at once.

use std::collections::BTreeSet;

use stackpier_cell::Event;
use stackpier_core::{Millis, key};

use super::{CALL_TIMEOUT_MS, Message, Simulation};

/// WAIT_MS is how long the store holds a watch until there is a change.
const WAIT_MS: u64 = 400;
/// PAUSE_MS is the pause after an answer with changes.
const PAUSE_MS: u64 = 300;
/// RETRY_MS is the pause after a failed call.
const RETRY_MS: u64 = 250;
/// ANSWER_MS bounds the time that the usual answer takes.
const ANSWER_MS: (u64, u64) = (1, 60);
/// LATE_MS bounds the time that a late answer takes, and the time to read a cell over a slow link.
const LATE_MS: (u64, u64) = (1_000, 6_000);
/// MESSAGE_MS bounds the time that a message of another daemon takes.
const MESSAGE_MS: (u64, u64) = (1, 60);
/// LOST_MESSAGES is how many of a thousand such messages are lost.
const LOST_MESSAGES: u64 = 500;
/// STORE_FRESH_MS is how long after its last answer the store counts as reachable.
const STORE_FRESH_MS: u64 = 1_000;

/// Change is a write to the jobs in the store.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    Accepted(key::Job),
    Cancelled(key::Job),
}

impl Change {
    fn accepted(self) -> Option<key::Job> {
        match self {
            Change::Accepted(job) => Some(job),
            Change::Cancelled(_) => None,
        }
    }

    fn cancelled(self) -> Option<key::Job> {
        match self {
            Change::Cancelled(job) => Some(job),
            Change::Accepted(_) => None,
        }
    }
}

/// Watch is a watch of the jobs that the store holds until there is a change.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watch {
    owner: usize,
    sent: Millis,
    /// How long its answer is under way.
    answer_ms: u64,
}

/// View is what an owner knows of the jobs in the store.
#[derive(Debug)]
pub(super) struct View {
    /// Whether the owner has read the cell.
    pub(super) installed: bool,
    /// How many changes of the store's history it has seen.
    seen: usize,
    /// Whether a watch has been answered since it listed the jobs.
    pub(super) watched: bool,
    /// When the store last answered it.
    answered_ms: u64,
    /// The draining workers that it knows of from the list of workers.
    pub(super) draining: BTreeSet<String>,
    /// Whether the cell counts the store as reachable.
    store_answers: bool,
}

impl View {
    pub(super) fn new(now_ms: u64) -> View {
        View {
            installed: false,
            seen: 0,
            watched: false,
            draining: BTreeSet::new(),
            answered_ms: now_ms,
            store_answers: true,
        }
    }
}

impl Simulation {
    /// follows_store reports whether owners learn of changes by watches.
    pub(super) fn follows_store(&self) -> bool {
        self.faults.late_watches > 0
    }

    /// load has a new owner list the jobs and read the rest of the cell.
    pub(super) fn load(&mut self, index: usize) {
        if self.postpone(index, Message::Load(index)) {
            return;
        }
        if !self.reaches_store(index) {
            self.send(RETRY_MS, Message::Load(index));
            return;
        }
        self.owners[index].view.seen = self.store.history.len();
        let load_ms = self.draw_answer_ms("slow load");
        let requested = self.now().mono;
        self.send(load_ms, Message::Loaded(index, requested));
    }

    /// finish_load installs the cell of an owner that requested the jobs at `requested`.
    pub(super) fn finish_load(&mut self, index: usize, requested: Millis) {
        if self.postpone(index, Message::Loaded(index, requested)) {
            return;
        }
        if !self.reaches_store(index) {
            self.send(RETRY_MS, Message::Load(index));
        } else if self.owners[index].fence < self.store.fence {
            self.count("replaced while it loads");
            self.end_owner(index);
        } else {
            let seen = self.owners[index].view.seen;
            let history = &self.store.history[..seen];
            let jobs = history.iter().copied().filter_map(Change::accepted);
            let jobs: Vec<key::Job> = jobs.collect();
            let cancelled = history.iter().copied().filter_map(Change::cancelled);
            let cancelled: Vec<key::Job> = cancelled.collect();
            self.owners[index].view.answered_ms = self.now_ms;
            self.install(index, &jobs, &cancelled);
            self.deliver(index, Event::JobsKnown(requested));
            if self.follows_drains() {
                self.deliver(index, Event::WorkersKnown(requested));
            }
            self.watch(index);
            if self.follows_drains() {
                self.read_workers(index);
            }
        }
    }

    /// postpone sends a message again for when a frozen owner continues, and reports whether the
    /// message must not be handled now.
    pub(super) fn postpone(&mut self, index: usize, message: Message) -> bool {
        let owner = &self.owners[index];
        let wait_ms = owner.frozen_until.saturating_sub(self.now_ms);
        if !owner.ended && wait_ms > 0 {
            self.send(wait_ms, message);
            return true;
        }
        owner.ended
    }

    /// watch sends an owner's next watch.
    pub(super) fn watch(&mut self, index: usize) {
        if self.postpone(index, Message::Watch(index)) {
            return;
        }
        if !self.reaches_store(index) {
            self.send(RETRY_MS, Message::Watch(index));
            return;
        }
        let watch = Watch {
            owner: index,
            sent: self.now().mono,
            answer_ms: self.draw_answer_ms("late watch"),
        };
        if self.owners[index].view.seen < self.store.history.len() {
            self.answer_watch(watch);
        } else {
            self.store.watches.push(watch);
            self.send(WAIT_MS, Message::WatchEnds(index, watch.sent));
        }
    }

    /// end_watch answers a watch that has waited long enough.
    pub(super) fn end_watch(&mut self, index: usize, sent: Millis) {
        let mut watches = self.store.watches.iter();
        let is_it = |watch: &Watch| watch.owner == index && watch.sent == sent;
        if let Some(position) = watches.position(is_it) {
            let watch = self.store.watches.swap_remove(position);
            self.answer_watch(watch);
        }
    }

    fn answer_watch(&mut self, watch: Watch) {
        let Watch {
            owner,
            sent,
            answer_ms,
        } = watch;
        if self.reaches_store(owner) {
            let until = self.store.history.len();
            self.send(answer_ms, Message::Watched(owner, sent, until));
        } else {
            self.send(CALL_TIMEOUT_MS, Message::Watch(owner));
        }
    }

    /// finish_watch passes the changes up to `until`, the answer to a watch, to an owner.
    pub(super) fn finish_watch(&mut self, index: usize, sent: Millis, until: usize) {
        if self.postpone(index, Message::Watched(index, sent, until)) {
            return;
        }
        if !self.reaches_store(index) {
            self.send(RETRY_MS, Message::Watch(index));
            return;
        }
        let view = &mut self.owners[index].view;
        view.watched = true;
        let seen = std::mem::replace(&mut view.seen, until);
        let changes = self.store.history[seen..until].to_vec();
        for change in &changes {
            if let Some(event) = self.event(*change) {
                self.deliver(index, event);
            }
        }
        self.deliver(index, Event::JobsKnown(sent));
        let pause_ms = if changes.is_empty() { 0 } else { PAUSE_MS };
        self.send(pause_ms, Message::Watch(index));
    }

    /// event returns the event of a change, unless its job was removed since.
    fn event(&self, change: Change) -> Option<Event> {
        Some(match change {
            Change::Cancelled(job) => Event::Cancelled(job),
            Change::Accepted(job) => Event::Accepted {
                job,
                record: Box::new(self.store.jobs.get(&job)?.clone()),
                progress: None,
                cancelled: false,
            },
        })
    }

    /// write_change records a write to the store, answers the watches that wait for one, and sends
    /// the newest owner a message about it.
    pub(super) fn write_change(&mut self, change: Change) {
        self.store.history.push(change);
        if let Change::Cancelled(job) = change {
            self.oracle.record_cancelled(self.now_ms, job);
        }
        for watch in std::mem::take(&mut self.store.watches) {
            self.answer_watch(watch);
        }
        let newest = self.owners.len() - 1;
        let isolated = self.is_isolated(self.owners[newest].data_centre);
        if self.draw_watch_range(0, 999) < LOST_MESSAGES || isolated {
            self.count("lost message about a job");
            return;
        }
        let message_ms = self.draw_watch_range(MESSAGE_MS.0, MESSAGE_MS.1);
        if let Some(event) = self.event(change) {
            self.send(message_ms, Message::Event(newest, Box::new(event)));
        }
    }

    /// wait_for_store sends a message again for when the store is available, and reports whether
    /// nothing can be written now.
    pub(super) fn wait_for_store(&mut self, message: Message) -> bool {
        let wait_ms = self.store.unavailable_until.saturating_sub(self.now_ms);
        let waits = self.follows_store() && wait_ms > 0;
        if waits {
            let delay_ms = self.draw_watch_range(MESSAGE_MS.0, MESSAGE_MS.1);
            self.send(wait_ms + delay_ms, message);
        }
        waits
    }

    /// check_store tells an owner when an outage of the store begins or ends. After a freeze it has
    /// had no answers either, but the peers that it asks have.
    pub(super) fn check_store(&mut self, index: usize) {
        if !self.follows_store() || self.now_ms < self.owners[index].frozen_until {
            return;
        }
        let reaches_store = self.reaches_store(index);
        let now_ms = self.now_ms;
        let view = &mut self.owners[index].view;
        let answers = reaches_store || now_ms - view.answered_ms < STORE_FRESH_MS;
        let changed = answers != std::mem::replace(&mut view.store_answers, answers);
        if reaches_store {
            view.answered_ms = now_ms;
        }
        if changed {
            self.deliver(index, Event::Outage(!answers));
        }
    }

    /// draw_answer_ms draws how long an answer takes, and counts `what` if that is long.
    pub(super) fn draw_answer_ms(&mut self, what: &'static str) -> u64 {
        let late = self.draw_watch_fault(self.faults.late_watches);
        let (low, high) = if late { LATE_MS } else { ANSWER_MS };
        if late {
            self.count(what);
        }
        self.draw_watch_range(low, high)
    }
}
