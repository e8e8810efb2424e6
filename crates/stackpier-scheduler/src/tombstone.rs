// SPDX-License-Identifier: Apache-2.0
//! Tombstones: marks in the store that a job was cancelled before it was accepted.
//!
//! The acceptance of a job may still be on its way when its client account cancels it: a write
//! without an answer may be done seconds later, and a daemon that stood still may read the
//! submission only now. A tombstone takes the key of the job itself, on the condition that it is
//! absent. Each acceptance has the same condition, so that the store does only one of the two.
//!
//! Any client account can cancel ids that never existed. Each daemon writes the tombstones of
//! several jobs in one transaction, bounds the rate of these transactions, and refuses
//! cancellations of unknown jobs once it has written too many tombstones. The owner of the cell
//! removes all tombstones when their time is over.

mod backlog;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use opentelemetry::KeyValue;
use stackpier_core::{Error, Kind, Millis, key};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{
    Platform, keys,
    node::{Node, pause},
    retry::Cause,
    store::{Committed, Item},
    submission,
};

pub use backlog::{Backlog, INTERVAL_MS, MAX_BATCH, MAX_KEPT, MAX_SAVED, Step};

/// MAX_RETRY_MS is the longest time after which a client account is told to come back.
const MAX_RETRY_MS: u64 = 30_000;

/// Outcome is what became of the tombstone of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It is in the store: the job can't be accepted any more.
    Written,
    /// The store holds the job, which was accepted before.
    Accepted,
    /// The store does not accept writes.
    Refused,
}

impl Outcome {
    /// as_str returns the name of the outcome in metrics and log lines.
    fn as_str(self) -> &'static str {
        match self {
            Outcome::Written => "written",
            Outcome::Accepted => "job-accepted",
            Outcome::Refused => "refused",
        }
    }
}

/// Request is a tombstone that is to be written.
#[derive(Debug, Default)]
struct Request {
    /// The revision of the tombstone that is replaced, zero if there is none. An older tombstone may
    /// be removed at any time.
    revision: u64,
    /// Whether an earlier attempt may still be done later.
    unconfirmed: bool,
    /// Who waits for the outcome.
    answers: Vec<oneshot::Sender<Outcome>>,
}

impl Request {
    fn is_wanted(&self) -> bool {
        self.answers.iter().any(|answer| !answer.is_closed())
    }
}

/// Tombstones holds the tombstones that a daemon has to write.
pub(crate) struct Tombstones {
    backlog: RefCell<Backlog>,
    /// The requests, by their jobs. A job that is here waits in the backlog or is being written.
    requests: RefCell<HashMap<key::Job, Request>>,
    /// Whether the backlog is being worked off.
    is_writing: Cell<bool>,
}

impl Tombstones {
    /// new returns the state of a daemon that has written no tombstone. The store holds each one for
    /// `kept_ms` milliseconds.
    pub(crate) fn new(kept_ms: u64) -> Tombstones {
        Tombstones {
            backlog: RefCell::new(Backlog::new(kept_ms)),
            requests: RefCell::default(),
            is_writing: Cell::default(),
        }
    }

    /// add adds a request. It returns the channel for its outcome, or after how many milliseconds
    /// there is room for it.
    fn add(&self, now: Millis, job: key::Job) -> Result<oneshot::Receiver<Outcome>, u64> {
        let mut requests = self.requests.borrow_mut();
        if !requests.contains_key(&job) {
            self.backlog.borrow_mut().add(now, job)?;
        }
        let (answer, answered) = oneshot::channel();
        requests.entry(job).or_default().answers.push(answer);
        Ok(answered)
    }

    /// rows returns the jobs of a batch whose outcome somebody still waits for, with the revisions
    /// of the tombstones to replace. The others are dropped.
    fn rows(&self, jobs: &[key::Job]) -> Vec<(key::Job, u64)> {
        let mut requests = self.requests.borrow_mut();
        let mut rows = Vec::new();
        for job in jobs {
            match requests.get(job).filter(|request| request.is_wanted()) {
                Some(request) => rows.push((*job, request.revision)),
                None => {
                    requests.remove(job);
                }
            }
        }
        rows
    }

    fn answer(&self, job: key::Job, outcome: Outcome) {
        let request = self.requests.borrow_mut().remove(&job);
        for answer in request.into_iter().flat_map(|request| request.answers) {
            // The send fails if the request has timed out.
            let _ = answer.send(outcome);
        }
    }

    /// put_back changes a request and has it written again.
    fn put_back(&self, job: key::Job, update: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.borrow_mut().get_mut(&job) {
            update(request);
            self.backlog.borrow_mut().put_back(job);
        }
    }

    fn is_unconfirmed(&self, job: key::Job) -> bool {
        let requests = self.requests.borrow();
        requests
            .get(&job)
            .is_some_and(|request| request.unconfirmed)
    }

    /// record handles the outcome of a transaction for one of its jobs, and returns what became of
    /// the job's tombstone, if that is known.
    fn record(&self, job: key::Job, committed: &Committed) -> Option<Outcome> {
        let outcome = match committed {
            Committed::Done(_) => Outcome::Written,
            Committed::Conflict(items) => match submission::find(items, &keys::job(job)) {
                Some(item) if submission::is_tombstone(item) => {
                    let revision = item.revision;
                    self.put_back(job, |request| request.revision = revision);
                    return None;
                }
                Some(_) => Outcome::Accepted,
                None => {
                    self.put_back(job, |request| request.revision = 0);
                    return None;
                }
            },
            Committed::Refused if !self.is_unconfirmed(job) => Outcome::Refused,
            Committed::Refused => {
                self.put_back(job, |_| ());
                return None;
            }
            Committed::Unknown => {
                self.put_back(job, |request| request.unconfirmed = true);
                return None;
            }
        };
        self.answer(job, outcome);
        Some(outcome)
    }
}

impl<P: Platform> Node<P> {
    /// write_tombstone writes the tombstone of a job, and reports whether it is in the store. If it
    /// is not, the store holds the job.
    pub(crate) async fn write_tombstone(
        &self,
        job: key::Job,
        end: Instant,
    ) -> stackpier_core::Result<bool> {
        let answered = match self.tombstones.add(self.mono(), job) {
            Ok(answered) => answered,
            Err(wait_ms) => return Err(self.refuse_tombstone(wait_ms)),
        };
        self.start_writing();
        let outcome = match timeout_at(end, answered).await {
            Ok(Ok(Outcome::Written)) => return Ok(true),
            Ok(Ok(Outcome::Accepted)) => return Ok(false),
            Ok(Ok(Outcome::Refused)) => ("the store did not take the cancellation", false),
            Ok(Err(_)) | Err(_) => ("the store did not confirm the cancellation in time", true),
        };
        let (why, unconfirmed) = outcome;
        Err(self.refuse_for(Cause::Store, job, why, unconfirmed))
    }

    /// refuse_tombstone builds the error for the cancellation of an unknown job if this daemon has
    /// written too many tombstones.
    fn refuse_tombstone(&self, wait_ms: u64) -> Error {
        self.count_tombstone("too-many");
        let why = "too many unknown jobs were cancelled lately";
        Error::new(Kind::Overloaded, why).after(wait_ms.min(MAX_RETRY_MS))
    }

    fn count_tombstone(&self, outcome: &'static str) {
        let label = [KeyValue::new("outcome", outcome)];
        self.metrics.tombstones.add(1, &label);
    }

    /// start_writing works off the backlog unless that is being done.
    fn start_writing(&self) {
        if !self.tombstones.is_writing.replace(true) {
            let node = self.clone();
            tokio::task::spawn_local(async move { node.write_tombstones().await });
        }
    }

    /// write_tombstones writes tombstones until none waits.
    async fn write_tombstones(&self) {
        loop {
            let step = self.tombstones.backlog.borrow_mut().step(self.mono());
            match step {
                Step::Idle => break,
                Step::Pause(ms) => pause(ms).await,
                Step::Write(jobs) => {
                    let node = self.clone();
                    tokio::task::spawn_local(async move { node.write_batch(&jobs).await });
                }
            }
        }
        self.tombstones.is_writing.set(false);
    }

    async fn write_batch(&self, jobs: &[key::Job]) {
        let rows = self.tombstones.rows(jobs);
        if rows.is_empty() {
            return;
        }
        let sent = self.mono();
        let transaction = submission::tombstones(&rows);
        let committed = self.commit(&transaction, self.write_deadline()).await;
        if let Committed::Done(_) = committed {
            let mut backlog = self.tombstones.backlog.borrow_mut();
            backlog.record_written(self.mono(), rows.len());
        }
        for (job, revision) in &rows {
            let outcome = self.tombstones.record(*job, &committed);
            let name = outcome.map_or("retried", Outcome::as_str);
            self.count_tombstone(name);
            let text = format!(
                "tombstone {name}, with {} others, after {} ms, replaces revision {revision}",
                rows.len() - 1,
                self.mono().since(sent),
            );
            self.log_about("cancellation", Some(keys::hex(*job)), &text);
        }
        self.start_writing();
    }

    /// keep_tombstone has the owner remove a tombstone once its time is over.
    pub(crate) fn keep_tombstone(&self, fence: u64, item: &Item) {
        let now = self.mono();
        let mut owner = self.owner.borrow_mut();
        if let Some(owner) = owner.as_mut().filter(|owner| owner.fence == fence) {
            owner.tombstones.add(now, item.key.clone(), item.revision);
        }
    }

    /// remove_tombstones removes the oldest tombstones that have expired, if this daemon owns the
    /// cell.
    pub(crate) async fn remove_tombstones(&self) {
        let (fence, removal) = {
            let owner = self.owner.borrow();
            let Some(owner) = owner.as_ref() else {
                return;
            };
            (owner.fence, owner.tombstones.removal(self.mono()))
        };
        let Some(removal) = removal else {
            return;
        };
        let outcome = self.store_commit(&removal).await;
        let mut owner = self.owner.borrow_mut();
        if let Some(owner) = owner.as_mut().filter(|owner| owner.fence == fence) {
            owner.tombstones.record(&removal, &outcome);
        }
    }
}
