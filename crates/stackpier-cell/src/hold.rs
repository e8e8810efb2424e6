// SPDX-License-Identifier: Apache-2.0
//! Holds: renewing a worker's lease, and taking in its report.

use stackpier_core::Millis;

use crate::{
    Cell, Effect, Held, Hold, Queue, Report, Row, TaskName,
    arena::{RunKey, WorkerKey},
    run::{Phase, Run},
    worker::{Clock, Life, Worker},
};

/// IDLE_MS is the pause between two holds on a worker that runs nothing. It
/// only has to keep the reading of its clock fresh.
const IDLE_MS: u64 = 5_000;
/// UNCLEAR_MS is how long a hold waits while a start there got no answer: reports tell
/// whether the run is there, and its task waits for two of them.
const UNCLEAR_MS: u64 = 50;
/// ISOLATED_MS is how long a hold waits while a task that may crash the worker was started
/// there: reports clear it, and other starts wait for that.
const ISOLATED_MS: u64 = 100;
/// PERCENT_DONE is the percent of a lasting task that is at work.
const PERCENT_DONE: u8 = 100;

impl Cell {
    /// hold_now sends a hold that does not wait, unless one is on its way.
    pub(crate) fn hold_now(&mut self, key: WorkerKey) {
        self.hold(key, 0);
    }

    /// hold_soon sends a hold that waits for an end, unless one is on its way.
    pub(crate) fn hold_soon(&mut self, key: WorkerKey) {
        let runs = self.worker(key).runs.iter();
        let mut wait_ms = self.options.hold_wait_ms;
        if self.worker(key).isolation.is_some() {
            wait_ms = wait_ms.min(ISOLATED_MS);
        }
        for run in runs.filter_map(|run| self.runs.get(*run)) {
            if run.is_unclear() {
                wait_ms = wait_ms.min(UNCLEAR_MS);
            } else if run.serving {
                wait_ms = wait_ms.min(self.options.sample_ms);
            }
        }
        self.hold(key, wait_ms);
    }

    fn hold(&mut self, key: WorkerKey, wait_ms: u64) {
        let (now, lease_ms) = (self.now.mono, self.options.lease_ms);
        let (fence, authority) = (self.fence, self.has_authority());
        let foreign = self.is_foreign(self.worker(key));
        let worker = self.worker_mut(key);
        if worker.holding || worker.life == Life::Over || foreign || !authority {
            return;
        }
        let unnoted = worker.has_unsaved_ends();
        worker.holding = true;
        // A hold without an answer may arrive late. One to a silent worker
        // renews nothing, or its lease would never be known to be over.
        let deadline_ms = match worker.silent_since {
            None => worker.lease(now, lease_ms),
            Some(_) => None,
        };
        let hold = Hold {
            worker: key,
            data_centre: worker.info.data_centre.clone(),
            address: worker.info.address.clone(),
            life: worker.info.id.clone(),
            fence,
            deadline_ms,
            noted: worker.noted,
            // Ends that are not noted are listed again at once.
            wait_ms: if unnoted { 0 } else { wait_ms },
        };
        self.effects.push(Effect::Hold(hold));
    }

    /// is_foreign tells whether a worker that this owner has not met is of no service that
    /// runs tasks: whoever is at its address is not called.
    fn is_foreign(&self, worker: &Worker) -> bool {
        let serves = |queue: &Queue| queue.service == worker.info.service;
        worker.life == Life::New && !worker.is_inherited() && !self.queues.values().any(serves)
    }

    pub(crate) fn held(&mut self, key: WorkerKey, sent: Millis, outcome: Held) {
        self.worker_mut(key).holding = false;
        match outcome {
            Held::Report(report) => self.take_report(key, sent, report),
            Held::Fenced => self.depose(),
            Held::OtherLife => self.end_life(key, "its address answers for another life"),
            Held::Silent => self.miss(key),
        }
    }

    fn miss(&mut self, key: WorkerKey) {
        let (now, retry) = (self.now.mono, self.options.retry_ms);
        let worker = self.worker_mut(key);
        worker.hold_after = now.plus(retry);
        if worker.silent_since.is_none() {
            worker.silent_since = Some(now);
            let text = format!("worker {} does not answer", worker.info.id);
            self.note("worker", None, text);
            self.suspect_runs(key);
        }
    }

    fn take_report(&mut self, key: WorkerKey, sent: Millis, report: Report) {
        let now = self.now.mono;
        let worker = self.worker_mut(key);
        worker.clock = Some(Clock {
            at: now,
            ms: report.clock_ms,
        });
        if worker.silent_since.take().is_some() {
            let text = format!("worker {} answers again", worker.info.id);
            self.note("worker", None, text);
        }
        let first = self.worker(key).life == Life::New;
        let worker = self.worker_mut(key);
        worker.life = Life::Met;
        // Its report tells better what runs there.
        worker.ended_unseen = None;
        let inherited = worker.is_inherited();
        let again = worker.inherit(sent, now, report.whole);
        self.place_wanted |= inherited && !self.worker(key).is_inherited();
        self.take_ends(key, sent, report.ended);
        for row in &report.running {
            self.take_row(key, sent, row);
        }
        if report.whole {
            self.miss_runs(key, sent, &report.running);
        }
        if first {
            self.meet(key);
        }
        // They start where an answer has just come from.
        self.place_wanted |= self.suspects_wait();
        self.learn(key);
        self.set_paces(key);
        if again {
            self.hold_now(key);
        } else {
            self.next_hold(key);
        }
    }

    fn meet(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        let text = format!(
            "worker {} answered for the first time, {} runs there",
            worker.info.id,
            worker.runs.len()
        );
        self.note("worker", None, text);
        self.saver.roster_changed = true;
        self.place_wanted = true;
    }

    /// next_hold sends the next hold on a worker that runs something, or sets
    /// when it comes.
    fn next_hold(&mut self, key: WorkerKey) {
        let (now, retry_ms) = (self.now.mono, self.options.retry_ms);
        let worker = self.worker_mut(key);
        if worker.has_unsaved_ends() {
            // The save that is on its way sends the next hold.
            worker.hold_after = now.plus(retry_ms);
            return;
        }
        if worker.runs.is_empty() {
            worker.hold_after = now.plus(IDLE_MS);
            return;
        }
        self.hold_soon(key);
    }

    /// take_row takes in one run that a worker reports.
    fn take_row(&mut self, key: WorkerKey, sent: Millis, row: &Row) {
        let Some(task) = self.find(row.task) else {
            self.report_unknown(key, row.task);
            return;
        };
        let run = match self.run_on(task, key, row.run) {
            Some(run) => run,
            None => {
                self.unqueue(task);
                let run = self.adopt(task, key, row.run);
                self.judge_adopted(task, run);
                run
            }
        };
        self.refresh(run, row);
        self.prove(run, sent);
    }

    fn report_unknown(&mut self, key: WorkerKey, name: TaskName) {
        let text = format!(
            "worker {} runs a task of a job that is not known",
            self.worker(key).info.id
        );
        self.note("worker", Some(name), text);
    }

    /// judge_adopted stops an adopted run that must not go on.
    fn judge_adopted(&mut self, task: crate::TaskKey, run: RunKey) {
        let others = self.task(task).runs.len() > 1;
        let copies = self.shape(self.task(task).step).speculative;
        let over = self.task(task).done || self.job_of(task).state.is_final();
        let text = "run of an earlier owner taken over".to_owned();
        self.note("takeover", Some(self.name(task)), text);
        if over || (others && !copies) {
            self.stop(run);
        }
    }

    /// run_on returns the run of a task on a worker, by its number.
    pub(crate) fn run_on(
        &self,
        task: crate::TaskKey,
        worker: WorkerKey,
        number: u32,
    ) -> Option<RunKey> {
        let here = |key: &&RunKey| {
            let run = self.runs.get(**key);
            run.is_some_and(|run| run.worker == worker && run.number == number)
        };
        self.task(task).runs.iter().find(here).copied()
    }

    fn refresh(&mut self, key: RunKey, row: &Row) {
        let now = self.now.mono;
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (task, step) = (run.task, run.step);
        let target_ms = self.shape(step).target_ms;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if matches!(run.phase, Phase::Starting | Phase::Unsure(_)) {
            run.phase = Phase::Running;
            run.confirmed = Some(now);
        }
        if run.percent != row.percent {
            run.percent = row.percent;
            run.moved = now;
        }
        if run.saved != row.checkpoint {
            run.saved.clone_from(&row.checkpoint);
        }
        if run.serving {
            let tail = row.figure.filter(|_| row.percent == PERCENT_DONE);
            run.take_tail(now, tail, target_ms);
        } else {
            run.used_milli = row.figure;
        }
        self.begin(task);
    }

    /// miss_runs looks at the runs that a report does not show though it was asked for after
    /// they were known to be there, or known to be refused. Times are whole milliseconds, so
    /// the report must have been asked for in a later one.
    ///
    /// That a run is not shown does not tell how it ended: its end may be listed later, and
    /// may be that it is done. So it is told to stop, which bars its number, and its task is
    /// placed again only if no end is listed within the time that a stop takes. Tasks that
    /// were placed at once were done twice. A report that lists only some of the ends shows
    /// nothing of the kind.
    fn miss_runs(&mut self, key: WorkerKey, sent: Millis, rows: &[Row]) {
        for run in self.worker(key).runs.clone() {
            let Some(entry) = self.runs.get(run) else {
                continue;
            };
            let name = self.name(entry.task);
            let shown = |row: &Row| row.task == name && row.run == entry.number;
            if rows.iter().any(shown) {
                continue;
            }
            match entry.phase {
                Phase::Unsure(since) if sent > since => self.stop(run),
                Phase::Running if entry.confirmed.is_some_and(|at| sent > at) => {
                    let (number, worker) = (entry.number, self.worker(key));
                    let text = format!(
                        "run {number} is gone from worker {} without an end; ends up to {} are known",
                        worker.info.id,
                        worker.taken.complete()
                    );
                    self.note("end", Some(name), text);
                    self.stop(run);
                }
                Phase::Stopping if self.is_stopped(entry, sent) => {
                    self.note("end", Some(name), "stopped run is not there".to_owned());
                    self.requeue(run);
                }
                _ => {}
            }
        }
    }

    /// is_stopped tells whether a run that a report does not show has ended:
    /// one that was seen to work has the time a stop takes to list its end.
    fn is_stopped(&self, run: &Run, sent: Millis) -> bool {
        let wait_ms = if run.confirmed.is_some() {
            self.options.stop_ms
        } else {
            0
        };
        run.stop_taken.is_some_and(|at| sent > at.plus(wait_ms))
    }
}
