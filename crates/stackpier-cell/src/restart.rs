// SPDX-License-Identifier: Apache-2.0
//! Workers that restart under the same id.
//!
//! The new incarnation knows nothing about the earlier one, and its end numbers and its clock start
//! anew. So each incarnation is a separate worker in the arena, an id refers to the latest one, and
//! nothing known about the earlier incarnation applies to the new one.
//!
//! Incarnations are told apart by their start times. A wall clock may jump, so a smaller start time
//! means only a different incarnation, not an earlier one. Reports decide which incarnation is the
//! current one; an entry in the store may be older than the last report.

use stackpier_core::{Millis, Unix, incarnation::differ};

use crate::{
    Cell, Report,
    arena::{RunKey, WorkerKey},
    run::Phase,
    worker::{Clock, Info, Inheritance, Presence, Worker},
};

/// Announced is a list entry of an incarnation that is not known to be the current one.
#[derive(Debug)]
pub(crate) struct Announced {
    info: Info,
    /// When the entry was first seen. A report requested later shows which incarnation is current.
    at: Millis,
}

impl Worker {
    /// has_own_entry reports whether `info` is the entry of this incarnation. The entry of another
    /// one may describe a different kind of worker.
    pub(crate) fn has_own_entry(&self) -> bool {
        self.announced.is_none() && !differ(self.info.started_at, self.started_at)
    }

    /// is_listed reports whether the list has an entry of this incarnation.
    pub(crate) fn is_listed(&self) -> bool {
        self.unlisted_since.is_none() && self.has_own_entry()
    }

    /// matches_entry reports whether an entry is of this incarnation, as far as both give a start
    /// time.
    fn matches_entry(&self, info: &Info) -> bool {
        !differ(info.started_at, self.started_at)
    }
}

impl Cell {
    /// match_incarnation reports whether a report, requested at `sent`, is of the known
    /// incarnation. A report of another incarnation only makes that one the current one. Its
    /// contents are not applied, because the request relied on the state of the earlier
    /// incarnation.
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
                // The reports of the worker contain no start time, so the entry decides.
                self.replace_incarnation(key, announced.info.started_at, announced.info);
                false
            }
            _ => true,
        }
    }

    /// announce records an entry of an incarnation other than the known one. It reports whether the
    /// entry must not be applied to the known incarnation.
    pub(crate) fn announce(&mut self, key: WorkerKey, info: &Info) -> bool {
        let now = self.now.mono;
        if self.worker(key).matches_entry(info) {
            return false;
        }
        if self.was_ended(info) {
            // Later reports have superseded the entry.
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

    /// was_ended reports whether an entry is of an incarnation that is already known. It is called
    /// for entries that are not of the current incarnation, so the one found has ended.
    fn was_ended(&self, info: &Info) -> bool {
        let is_its =
            |worker: &Worker| worker.info.id == info.id && worker.started_at == info.started_at;
        self.workers.iter().any(is_its)
    }

    /// is_latest reports whether a worker is the latest incarnation of its id.
    pub(crate) fn is_latest(&self, key: WorkerKey) -> bool {
        self.worker_keys.get(&self.worker(key).info.id) == Some(&key)
    }

    /// begin_incarnation replaces an incarnation by another one that now answers at its address.
    fn begin_incarnation(&mut self, key: WorkerKey, started_at: Option<Unix>, clock_ms: u64) {
        self.log_misdirected_ack(key);
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
        // Orders meant for the earlier incarnation may have granted this one a lease of up to the
        // maximum length.
        worker.clock = Some(Clock { at, ms: clock_ms });
        worker.deadline_ms = clock_ms + max_lease_ms;
    }

    /// log_misdirected_ack logs that a new incarnation was sent an acknowledgement of ends of the
    /// earlier one: it may have forgotten some of its own.
    fn log_misdirected_ack(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        if worker.acking > 0 {
            let text = format!(
                "another incarnation of worker {} was told to forget ends up to {}",
                worker.incarnation(),
                worker.acking
            );
            self.log("report", None, text);
        }
    }

    /// replace_incarnation ends an incarnation and begins the next one of the same id.
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
            // This comes before runs are moved, because the runs that began last may have brought
            // the worker down.
            self.suspect_runs(key);
            self.worker_mut(key).silent_since = Some(now);
        }
        let later = self.add_incarnation(started_at, info);
        self.move_unreported_runs(key, later);
        self.block_unanswered(key, later);
        self.move_suspension(key, later);
        self.end_incarnation(key, "it restarted");
        if inherited {
            self.worker_mut(later).inheritance = Inheritance::Unreported;
        }
        later
    }

    /// move_unreported_runs moves runs that no report of the earlier incarnation has shown to the
    /// new one, which is then checked for them. Orders name a worker only by its id, so a start
    /// meant for the earlier incarnation may have reached the new one. If it has not, the earlier
    /// incarnation may have reported the end of the run to a successor.
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
        run.stop_accepted_at = None;
        if run.phase == Phase::Running {
            run.phase = Phase::Unsure(now);
        }
        self.workers[to.0 as usize].add(key, run);
    }
}
