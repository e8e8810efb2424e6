// SPDX-License-Identifier: Apache-2.0
//! Workers that start again under the id that they had.
//!
//! The later life knows nothing of the earlier one and counts its ends and its time anew. So
//! each life is a worker of its own in the arena, and an id leads to the latest one: nothing
//! that was known of the earlier life counts for the later one.
//!
//! When a life was started tells it apart. A wall clock may jump, so a smaller value is only
//! another one, not an earlier life. Which life is the present one is what its reports say:
//! an entry in the store may be older than the last report.

use stackpier_core::{Millis, Unix, incarnation::differ};

use crate::{
    Cell, Report,
    arena::{RunKey, WorkerKey},
    run::Phase,
    worker::{Clock, Info, Inheritance, Presence, Worker},
};

/// Announced is the entry of a life that is not known to be the present one.
#[derive(Debug)]
pub(crate) struct Announced {
    info: Info,
    /// When the entry showed. A report asked for later tells which life is the present one.
    at: Millis,
}

impl Worker {
    /// has_own_entry tells whether its entry is of this life: another one may be of another kind.
    pub(crate) fn has_own_entry(&self) -> bool {
        self.announced.is_none() && !differ(self.info.started_at, self.started_at)
    }

    /// is_listed tells whether the list shows an entry of this life.
    pub(crate) fn is_listed(&self) -> bool {
        self.unlisted_since.is_none() && self.has_own_entry()
    }

    /// is_of tells whether a description is of this life, as far as either tells.
    fn is_of(&self, info: &Info) -> bool {
        !differ(info.started_at, self.started_at)
    }
}

impl Cell {
    /// match_incarnation takes in which life a report is of, asked for at `sent`, and tells whether it
    /// is the known one. A report of another one only begins that: it was asked for with what
    /// was known of the earlier one.
    pub(crate) fn match_incarnation(
        &mut self,
        key: WorkerKey,
        sent: Millis,
        report: &Report,
    ) -> bool {
        if !self.is_latest(key) {
            return false;
        }
        let worker = self.worker_mut(key);
        if differ(report.started_at, worker.started_at) {
            self.begin_incarnation(key, report.started_at, report.clock_ms);
            return false;
        }
        worker.started_at = worker.started_at.or(report.started_at);
        let answered = worker.announced.take_if(|announced| sent > announced.at);
        match answered {
            Some(announced) if report.started_at.is_none() => {
                // Its reports do not tell which life it is, so the entry does.
                self.replace_incarnation(key, announced.info.started_at, announced.info);
                false
            }
            _ => true,
        }
    }

    /// announce takes in an entry of a life that is not the one known. It returns whether the
    /// entry is not to be taken for that of the known life.
    pub(crate) fn announce(&mut self, key: WorkerKey, info: &Info) -> bool {
        let now = self.now.mono;
        if self.worker(key).is_of(info) {
            return false;
        }
        if self.was_ended(info) {
            // It is older than what reports have told since.
            return true;
        }
        let worker = self.worker_mut(key);
        let unused =
            worker.presence == Presence::New && !worker.is_inherited() && worker.runs.is_empty();
        if unused || worker.presence == Presence::Gone {
            self.replace_incarnation(key, info.started_at, info.clone());
        } else {
            worker.announced = Some(Announced {
                info: info.clone(),
                at: now,
            });
            self.renew_now(key);
        }
        true
    }

    /// was_ended tells whether a description is of a life that is over.
    fn was_ended(&self, info: &Info) -> bool {
        let is_its =
            |worker: &Worker| worker.info.id == info.id && worker.started_at == info.started_at;
        self.workers.iter().any(is_its)
    }

    /// is_latest tells whether a worker is the latest life of its id.
    pub(crate) fn is_latest(&self, key: WorkerKey) -> bool {
        self.worker_keys.get(&self.worker(key).info.id) == Some(&key)
    }

    /// begin_incarnation has a later life take the place of one whose address answers for it.
    fn begin_incarnation(&mut self, key: WorkerKey, started_at: Option<Unix>, clock_ms: u64) {
        self.log_acking(key);
        let worker = self.worker_mut(key);
        let (unlisted_since, unreadable) = (worker.unlisted_since, worker.unreadable);
        let announced = worker.announced.take().map(|announced| announced.info);
        let entry = announced.filter(|info| info.started_at == started_at);
        let is_listed = entry.is_some();
        let info = entry.unwrap_or_else(|| worker.info.clone());
        let (at, max_lease_ms) = (self.now.mono, self.options.max_lease_ms);
        let later = self.replace_incarnation(key, started_at, info);
        let worker = self.worker_mut(later);
        if !is_listed {
            worker.unlisted_since = unlisted_since;
            worker.unreadable = unreadable;
        }
        // Orders that were meant for the earlier life may have leased as much here.
        worker.clock = Some(Clock { at, ms: clock_ms });
        worker.deadline_ms = clock_ms + max_lease_ms;
    }

    /// log_acking tells of a later life that was told to forget ends of the earlier one: it may
    /// have forgotten some of its own.
    fn log_acking(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        if worker.acking > 0 {
            let text = format!(
                "another life of worker {} was told to forget ends up to {}",
                worker.incarnation(),
                worker.acking
            );
            self.log("report", None, text);
        }
    }

    /// replace_incarnation ends a life and begins the next one of the same id.
    fn replace_incarnation(
        &mut self,
        key: WorkerKey,
        started_at: Option<Unix>,
        info: Info,
    ) -> WorkerKey {
        let now = self.now.mono;
        let worker = self.worker(key);
        let inherited = worker.is_inherited();
        if worker.is_responsive() && !worker.cordoned {
            // Before runs move away: what began last may have brought it down.
            self.suspect_runs(key);
            self.worker_mut(key).silent_since = Some(now);
        }
        let later = self.add_incarnation(started_at, info);
        self.move_unreported_runs(key, later);
        self.block_unanswered(key, later);
        self.end_incarnation(key, "it started again");
        if inherited {
            self.worker_mut(later).inheritance = Inheritance::Unreported;
        }
        later
    }

    /// move_unreported_runs has the later life looked at for runs that no report of the earlier
    /// one has shown. Orders name a worker by its id, so one that was meant for the earlier
    /// life may have reached the later one. If it has not, a later owner may have heard of the
    /// run's end from the earlier one.
    fn move_unreported_runs(&mut self, earlier: WorkerKey, later: WorkerKey) {
        for key in self.worker(earlier).runs.clone() {
            if self.is_sent(key) && !self.is_reported(key) {
                self.move_run(key, later);
                self.presume_task_ended(key);
            }
        }
    }

    fn is_reported(&self, key: RunKey) -> bool {
        self.runs.get(key).is_some_and(|run| run.reported)
    }

    fn move_run(&mut self, key: RunKey, to: WorkerKey) {
        let now = self.now.mono;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        self.workers[run.worker.0 as usize].remove(key, run);
        run.worker = to;
        run.stop_accepted = None;
        if run.phase == Phase::Running {
            run.phase = Phase::Unsure(now);
        }
        self.workers[to.0 as usize].add(key, run);
    }
}
