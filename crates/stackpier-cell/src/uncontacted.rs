// SPDX-License-Identifier: Apache-2.0
//! Workers that an owner has not met: tasks of earlier jobs wait until each has answered twice.
//!
//! One answer that is lost holds all these tasks up. So such a worker is sent another hold before
//! the earlier one is given up.

use crate::{Cell, arena::WorkerKey, worker::Worker};

/// AGAIN_MS is after how long without an answer a worker is asked again.
const AGAIN_MS: u64 = 300;
/// MUTE_MS is for how long after a take-over that goes on with workers that have not answered
/// at all: most of these are gone.
const MUTE_MS: u64 = 4_000;
/// MAX_ASKED is how many workers are asked again in a tick.
const MAX_ASKED: usize = 16;
/// MAX_NAMED is how many workers a log line names.
const MAX_NAMED: usize = 8;

impl Cell {
    /// poll_uncontacted asks workers again that have not answered for a while, those asked longest ago
    /// first.
    pub(crate) fn poll_uncontacted(&mut self) {
        if !self.awaits_workers() {
            return;
        }
        let due = |key: &WorkerKey| self.is_due_again(self.worker(*key));
        let mut due: Vec<WorkerKey> = self.live_workers().filter(due).collect();
        due.sort_by_key(|key| self.worker(*key).renewal_sent);
        for key in due.into_iter().take(MAX_ASKED) {
            self.send_renewal(key, 0);
        }
    }

    /// log_uncontacted tells which workers tasks of earlier jobs wait for.
    pub(crate) fn log_uncontacted(&mut self) {
        if !self.awaits_workers() {
            return;
        }
        let workers = self.live_workers().map(|key| self.worker(key));
        let uncontacted: Vec<&Worker> = workers.filter(|worker| worker.is_inherited()).collect();
        let mute = uncontacted
            .iter()
            .filter(|worker| worker.clock.is_none())
            .count();
        let ids = uncontacted.iter().map(|worker| worker.info.id.as_str());
        let first: Vec<&str> = ids.take(MAX_NAMED).collect();
        let text = format!(
            "tasks of earlier jobs wait for {} workers, {mute} of which have not answered at all, \
             for {} ms more at most: {}",
            uncontacted.len(),
            self.ownership.inherited_until.since(self.now.mono),
            first.join(" ")
        );
        self.log("takeover", None, text);
    }

    /// awaits_workers tells whether tasks of earlier jobs wait for answers.
    fn awaits_workers(&self) -> bool {
        let leased = self.now.mono < self.ownership.inherited_until;
        leased && !self.has_contacted_all() && self.waits_inherited()
    }

    /// is_due_again tells whether a worker that was not met is to be asked again.
    fn is_due_again(&self, worker: &Worker) -> bool {
        let now = self.now.mono;
        let may_answer = worker.clock.is_some() || now < self.ownership.began.plus(MUTE_MS);
        worker.is_inherited() && may_answer && now >= worker.renewal_sent.plus(AGAIN_MS)
    }
}
