// SPDX-License-Identifier: Apache-2.0
//! Rejects jobs that can't be done in time, so that they never run.
//!
//! An earlier try of the same job may still be on its way to the store. So a rejection is a key in
//! the store, on the condition that the job is not there; and a job is accepted on the condition that
//! there is no rejection, or none but the one that the acceptance removes.

use std::cell::{Cell, RefCell};

use stackpier_cell::{
    Queue,
    outlook::{Outlook, Proposal},
};
use stackpier_core::{Error, Kind, Millis, Result, key};
use stackpier_state::job::Spec;

use crate::{
    Platform,
    admission::{Gate, Rejection},
    expiry::Expiry,
    keys::{self, REJECTIONS},
    link::{Request, Response},
    metrics,
    monitor::HEARTBEAT_TIMEOUT,
    node::Node,
    retry::Cause,
    store::Committed,
    submission,
};

/// KEPT_MS is how long a rejection stays in the store. A write without an answer may be done
/// seconds later.
const KEPT_MS: u64 = 15_000;
/// ASKED_MS is how long after a job came in a follower asks for outlooks.
const ASKED_MS: u64 = 3_000;
/// MAX_FAILURES is after how many questions without an answer an owner is not asked any more: one of
/// an earlier build can't decode them.
const MAX_FAILURES: u32 = 3;

/// Admissions holds what a daemon needs to decide on jobs.
pub(crate) struct Admissions {
    gate: RefCell<Gate>,
    /// When a job last came in.
    asked_at: Cell<Millis>,
    /// The owner, by its fence, that did not answer the last questions, and how many.
    failures: Cell<(u64, u32)>,
    /// The rejections in the store.
    kept: RefCell<Expiry>,
}

impl Admissions {
    /// new returns the state of a daemon that has received no outlook.
    pub(crate) fn new(objectives: f64) -> Admissions {
        Admissions {
            gate: RefCell::new(Gate::new(objectives)),
            asked_at: Cell::default(),
            failures: Cell::default(),
            kept: RefCell::new(Expiry::new(KEPT_MS)),
        }
    }

    fn keep(&self, now: Millis, job: key::Job, revision: u64) {
        let key = keys::rejection(job);
        self.kept.borrow_mut().add(now, key, revision);
    }

    fn record_failure(&self, fence: u64) {
        let (failed, count) = self.failures.get();
        let count = if failed == fence { count + 1 } else { 1 };
        self.failures.set((fence, count));
    }

    fn has_given_up(&self, fence: u64) -> bool {
        let (failed, count) = self.failures.get();
        failed == fence && count >= MAX_FAILURES
    }
}

impl<P: Platform> Node<P> {
    /// check_admission returns an error if a job can't be done in time and is rejected. It returns
    /// `Ok` for a job that is to be accepted, or that an earlier try has written.
    pub(crate) async fn check_admission(
        &self,
        job: key::Job,
        queue: &Queue,
        spec: &Spec,
    ) -> Result<()> {
        let Some(admissions) = &self.admissions else {
            return Ok(());
        };
        let now = self.mono();
        admissions.asked_at.set(now);
        let Some(proposal) = Proposal::new(queue, spec) else {
            return Ok(());
        };
        let daemons = self.members.borrow().len() as u64;
        let decided = admissions.gate.borrow_mut().decide(now, &proposal, daemons);
        let Err(rejection) = decided else {
            self.metrics
                .admissions
                .add(1, &metrics::admission("accepted", &queue.name));
            return Ok(());
        };
        let outcome = self.store_commit(&submission::rejection(job)).await;
        let Committed::Done(revision) = outcome else {
            // The job is there already, or the store does not answer: accepting it shows which.
            self.log_rejection(job, &proposal, rejection, false);
            self.metrics
                .admissions
                .add(1, &metrics::admission("not-rejected", &queue.name));
            return Ok(());
        };
        self.log_rejection(job, &proposal, rejection, true);
        self.metrics
            .admissions
            .add(1, &metrics::admission("rejected", &queue.name));
        admissions.keep(self.mono(), job, revision);
        let text = format!("no room for {} ms at least", rejection.wait_ms);
        let retry_ms = self.plan_retry(Cause::Room, Some(rejection.retry_ms), job);
        Err(Error::new(Kind::Overloaded, text).after(retry_ms))
    }

    fn log_rejection(&self, job: key::Job, proposal: &Proposal, rejection: Rejection, done: bool) {
        let Rejection {
            wait_ms,
            retry_ms,
            age_ms,
        } = rejection;
        let outcome = if done {
            "rejected"
        } else {
            "not rejected, the store did not take it"
        };
        let text = format!(
            "job of {} tasks, {} thousandths of a core at most, {outcome}: waits {wait_ms} ms at least, \
             {} ms are allowed, retry in {retry_ms} ms, outlook {age_ms} ms old",
            proposal.tasks, proposal.largest_milli, proposal.objective_ms,
        );
        self.log_about("admission", Some(keys::hex(job)), &text);
    }

    /// is_rejecting reports whether this daemon may reject jobs.
    pub(crate) fn is_rejecting(&self) -> bool {
        self.admissions.is_some()
    }

    /// update_gate gives the gate of the owner its own outlook.
    pub(crate) fn update_gate(&self) {
        let owner = self.owner.borrow();
        let (Some(admissions), Some(owner)) = (&self.admissions, owner.as_ref()) else {
            return;
        };
        let outlook = owner.cell.outlook().cloned();
        let fence = owner.fence;
        self.receive_outlook(admissions, fence, outlook);
    }

    /// receive_outlook passes an outlook to the gate, and reports whether it was dropped. Once room
    /// is not short any more, those that were rejected may come back.
    fn receive_outlook(
        &self,
        admissions: &Admissions,
        fence: u64,
        outlook: Option<Outlook>,
    ) -> bool {
        if outlook
            .as_ref()
            .is_some_and(|outlook| outlook.lanes.is_empty())
        {
            self.end_cause(Cause::Room);
        }
        let mut gate = admissions.gate.borrow_mut();
        gate.receive(self.mono(), fence, outlook)
    }

    /// refresh_outlook asks the owner for its outlook, if jobs have come in lately.
    pub(crate) fn refresh_outlook(&self, address: &str, fence: u64) {
        let Some(admissions) = &self.admissions else {
            return;
        };
        let is_idle = self.mono().since(admissions.asked_at.get()) >= ASKED_MS;
        if is_idle || admissions.has_given_up(fence) {
            return;
        }
        let (node, address) = (self.clone(), address.to_owned());
        tokio::task::spawn_local(async move { node.fetch_outlook(&address, fence).await });
    }

    async fn fetch_outlook(&self, address: &str, fence: u64) {
        let Some(admissions) = &self.admissions else {
            return;
        };
        let answer = self
            .links
            .call(address, &Request::Outlook, HEARTBEAT_TIMEOUT)
            .await;
        let outlook = match answer {
            Ok(Response::Outlook(outlook)) => outlook,
            Ok(Response::NotOwner) => None,
            Ok(other) => {
                self.log_line(
                    "admission",
                    &format!("{address} gave no outlook: {other:?}"),
                );
                None
            }
            Err(error) => {
                admissions.record_failure(fence);
                self.log_line("admission", &format!("{address} gave no outlook: {error}"));
                return;
            }
        };
        admissions.failures.set((fence, 0));
        if self.receive_outlook(admissions, fence, outlook) {
            self.log_line(
                "admission",
                &format!("the outlook of {address} is of another owner or version"),
            );
        }
    }

    /// record_outlook_age records the age of the outlook in the metrics.
    pub(crate) fn record_outlook_age(&self) {
        let Some(admissions) = &self.admissions else {
            return;
        };
        let age_ms = admissions.gate.borrow().age_ms(self.mono());
        self.metrics.outlook_age.record(age_ms.unwrap_or(0), &[]);
    }

    /// adopt_rejections has the rejections of daemons that have ended removed later. A new owner
    /// does so.
    pub(crate) async fn adopt_rejections(&self) {
        let Some(admissions) = &self.admissions else {
            return;
        };
        match self.store_list(REJECTIONS).await {
            Ok(listing) => {
                for item in &listing.items {
                    if let Some(job) = keys::rejected(&item.key) {
                        admissions.keep(self.mono(), job, item.revision);
                    }
                }
            }
            Err(error) => {
                let text = format!("rejections of earlier daemons stay in the store: {error}");
                self.log_line("admission", &text);
            }
        }
    }

    /// remove_rejections removes the oldest rejections that have expired.
    pub(crate) async fn remove_rejections(&self) {
        let Some(admissions) = &self.admissions else {
            return;
        };
        let removal = admissions.kept.borrow().removal(self.mono());
        if let Some(removal) = removal {
            let outcome = self.store_commit(&removal).await;
            admissions.kept.borrow_mut().record(&removal, &outcome);
        }
    }
}
