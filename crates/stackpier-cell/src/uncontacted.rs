// SPDX-License-Identifier: Apache-2.0
//! Workers that a new owner has not contacted yet. The tasks of earlier jobs, those accepted under
//! a predecessor, wait until each of these workers has answered twice.
//!
//! A single lost answer would delay all these tasks. A worker that has not answered is therefore
//! sent another renewal before the previous one times out.

use crate::{
    Cell,
    arena::{TaskKey, WorkerKey},
    worker::Worker,
};

/// POLL_AGAIN_MS is the time without an answer after which a worker is polled again.
const POLL_AGAIN_MS: u64 = 150;
/// NEVER_ANSWERED_MS is how long after a takeover workers that have never answered are still polled
/// again. Later it is not worth it: most of them are gone.
const NEVER_ANSWERED_MS: u64 = 4_000;
/// MAX_POLLED is how many workers are polled again per tick, so that an owner with little processor
/// time or a slow link is not kept busy by it.
const MAX_POLLED: usize = 24;
/// MAX_NAMED_WORKERS is how many workers a log line names.
const MAX_NAMED_WORKERS: usize = 8;

impl Cell {
    /// poll_uncontacted polls workers again that have not answered for a while, starting with those
    /// polled longest ago.
    pub(crate) fn poll_uncontacted(&mut self) {
        if !self.delays_inherited() {
            return;
        }
        let due = |key: &WorkerKey| self.is_due_again(self.worker(*key));
        let mut due: Vec<WorkerKey> = self.live_workers().filter(due).collect();
        due.sort_by_key(|key| self.worker(*key).renewal_sent);
        for key in due.into_iter().take(MAX_POLLED) {
            self.send_renewal(key, 0);
        }
    }

    /// log_uncontacted logs which workers the tasks of earlier jobs wait for.
    pub(crate) fn log_uncontacted(&mut self) {
        if !self.delays_inherited() {
            return;
        }
        let workers = self.live_workers().map(|key| self.worker(key));
        let uncontacted: Vec<&Worker> = workers.filter(|worker| self.is_awaited(worker)).collect();
        let never_answered = uncontacted
            .iter()
            .filter(|worker| worker.clock.is_none())
            .count();
        let ids = uncontacted.iter().map(|worker| worker.info.id.as_str());
        let first: Vec<&str> = ids.take(MAX_NAMED_WORKERS).collect();
        let text = format!(
            "tasks of earlier jobs wait for {} workers, {never_answered} of which have not \
             answered at all, for {} ms more at most: {}",
            uncontacted.len(),
            self.ownership.inherited_until.since(self.now.mono),
            first.join(" ")
        );
        self.log("takeover", None, text);
    }

    /// describe_inherited returns what a task of an earlier job waits for, for the log.
    pub(crate) fn describe_inherited(&self, task: TaskKey) -> String {
        if self.ownership.awaits_handover {
            return "the predecessor has not answered yet".to_owned();
        }
        let awaited = self.workers.iter().filter(|worker| self.is_awaited(worker));
        let awaited = awaited.count();
        let named = self.is_named(task) && self.awaits_suspended(task);
        let left_ms = self.ownership.inherited_until.since(self.now.mono);
        format!(
            "any task may run on {awaited} workers, this one on others: {named}; earlier owners act \
             for {} ms more at most, and their leases end in {left_ms} ms",
            self.ownership.acting_until.since(self.now.mono)
        )
    }

    /// delays_inherited reports whether tasks of earlier jobs wait for answers of workers.
    fn delays_inherited(&self) -> bool {
        let leased = self.now.mono < self.ownership.inherited_until;
        leased && self.awaits_workers() && self.waits_inherited()
    }

    /// is_due_again reports whether a worker that has not yet answered twice is due to be polled
    /// again.
    fn is_due_again(&self, worker: &Worker) -> bool {
        let now = self.now.mono;
        let may_answer =
            worker.clock.is_some() || now < self.ownership.began.plus(NEVER_ANSWERED_MS);
        worker.is_inherited() && may_answer && now >= worker.renewal_sent.plus(POLL_AGAIN_MS)
    }
}
