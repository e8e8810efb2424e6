// SPDX-License-Identifier: Apache-2.0
//! Taking in a worker's report: what runs there, what ended, and what it does not show.

use stackpier_core::Millis;

use crate::{
    Cell, Report, RunStatus, TaskName,
    arena::{RunKey, TaskKey, WorkerKey},
    run::{Phase, Run},
    worker::{Clock, Presence},
};

/// PERCENT_DONE is the percent of a lasting task that is at work.
const PERCENT_DONE: u8 = 100;

impl Cell {
    /// apply_report takes in a report that was asked for at `sent`.
    pub(crate) fn apply_report(&mut self, key: WorkerKey, sent: Millis, report: Report) {
        if !self.match_incarnation(key, sent, &report) {
            return;
        }
        self.record_contact(key, sent, report.clock_ms);
        self.apply_ends(key, sent, report.ended);
        let again = self.inherit(key, sent, report.whole);
        for status in &report.running {
            self.apply_run_status(key, sent, status);
        }
        if report.whole {
            self.miss_runs(key, sent, &report.running);
        }
        self.mark_contacted(key);
        // They start where an answer has just come from.
        self.place_wanted |= self.has_waiting_suspects();
        self.learn_from_report(key);
        self.adjust_paces(key);
        if again || self.worker(key).announced.is_some() {
            self.renew_now(key);
        } else {
            self.schedule_renewal(key);
        }
    }

    /// record_contact takes in that a worker answers, and what its clock shows.
    fn record_contact(&mut self, key: WorkerKey, sent: Millis, clock_ms: u64) {
        let at = self.now.mono;
        let worker = self.worker_mut(key);
        worker.clock = Some(Clock { at, ms: clock_ms });
        // Its report tells better what runs there.
        worker.presumed_ended = None;
        worker.reported = sent;
        worker.final_renewal = None;
        worker.ack_confirmed = worker.ack_confirmed.max(worker.acking);
        if worker.silent_since.take().is_some() {
            let text = format!("worker {} answers again", worker.info.id);
            self.log("worker", None, text);
        }
    }

    /// inherit takes in what a report shows of an earlier owner's runs, and tells whether
    /// another one is wanted at once.
    fn inherit(&mut self, key: WorkerKey, sent: Millis, whole: bool) -> bool {
        let now = self.now.mono;
        let worker = self.worker_mut(key);
        let before = worker.is_inherited();
        let again = worker.inherit(sent, now, whole);
        self.place_wanted |= before && !self.worker(key).is_inherited();
        again
    }

    /// mark_contacted notes that a worker has answered, if that is news.
    fn mark_contacted(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        if worker.presence == Presence::Contacted {
            return;
        }
        worker.presence = Presence::Contacted;
        let text = format!(
            "worker {} answered for the first time, {} runs there",
            worker.info.id,
            worker.runs.len()
        );
        self.log("worker", None, text);
        self.saver.roster_changed = true;
        self.place_wanted = true;
    }

    /// apply_run_status takes in one run that a worker reports.
    fn apply_run_status(&mut self, key: WorkerKey, sent: Millis, status: &RunStatus) {
        let Some(task) = self.find(status.task) else {
            self.report_unknown(key, status.task);
            return;
        };
        let run = match self.run_on(task, key, status.run) {
            Some(run) => run,
            None => {
                self.unqueue(task);
                let run = self.adopt(task, key, status.run);
                self.judge_adopted(task, run);
                run
            }
        };
        self.refresh(run, status);
        self.clear_run(run, sent);
    }

    fn report_unknown(&mut self, key: WorkerKey, name: TaskName) {
        let text = format!(
            "worker {} runs a task of a job that is not known",
            self.worker(key).info.id
        );
        self.log("worker", Some(name), text);
    }

    /// judge_adopted stops an adopted run that must not go on.
    fn judge_adopted(&mut self, task: TaskKey, run: RunKey) {
        let others = self.task(task).runs.len() > 1;
        let copies = self.step_spec(self.task(task).step).speculative;
        let over = self.task(task).done || self.job_of(task).state.is_final();
        let text = "run of an earlier owner taken over".to_owned();
        self.log("takeover", Some(self.name(task)), text);
        if over || (others && !copies) {
            self.stop(run);
        }
    }

    /// run_on returns the run of a task on a worker, by its number.
    pub(crate) fn run_on(&self, task: TaskKey, worker: WorkerKey, number: u32) -> Option<RunKey> {
        let here = |key: &&RunKey| {
            let run = self.runs.get(**key);
            run.is_some_and(|run| run.worker == worker && run.number == number)
        };
        self.task(task).runs.iter().find(here).copied()
    }

    fn refresh(&mut self, key: RunKey, status: &RunStatus) {
        let now = self.now.mono;
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (task, step) = (run.task, run.step);
        let target_ms = self.step_spec(step).target_ms;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if matches!(run.phase, Phase::Starting | Phase::Unsure(_)) {
            run.phase = Phase::Running;
            run.confirmed = Some(now);
        }
        run.reported = true;
        if run.percent != status.percent {
            run.percent = status.percent;
            run.progressed_at = now;
        }
        if run.saved != status.checkpoint {
            run.saved.clone_from(&status.checkpoint);
        }
        if run.serving {
            let tail = status.figure.filter(|_| status.percent == PERCENT_DONE);
            run.take_tail(now, tail, target_ms);
        } else {
            run.used_milli = status.figure;
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
    fn miss_runs(&mut self, key: WorkerKey, sent: Millis, statuses: &[RunStatus]) {
        for run in self.worker(key).runs.clone() {
            let Some(entry) = self.runs.get(run) else {
                continue;
            };
            let name = self.name(entry.task);
            let shown = |status: &RunStatus| status.task == name && status.run == entry.number;
            if statuses.iter().any(shown) {
                continue;
            }
            match entry.phase {
                Phase::Unsure(since) if sent > since => self.stop(run),
                Phase::Running if entry.confirmed.is_some_and(|at| sent > at) => {
                    let (number, worker) = (entry.number, self.worker(key));
                    let text = format!(
                        "run {number} is gone from worker {} without an end; ends up to {} are known",
                        worker.info.id,
                        worker.received.last_contiguous()
                    );
                    self.log("end", Some(name), text);
                    self.stop(run);
                }
                Phase::Stopping if self.is_stopped(entry, sent) => {
                    self.log("end", Some(name), "stopped run is not there".to_owned());
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
