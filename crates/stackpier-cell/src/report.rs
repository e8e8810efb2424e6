// SPDX-License-Identifier: Apache-2.0
//! Handling of a worker's report: the runs it shows, the ends it lists, and the runs missing
//! from it.

use stackpier_core::Millis;

use crate::{
    Cell, Report, RunStatus, TaskName,
    arena::{RunKey, TaskKey, WorkerKey},
    downtime::Cause,
    run::{Phase, Run},
    worker::{Clock, Presence},
};

/// PERCENT_WORKING is the progress that a long-running task reports while it works.
const PERCENT_WORKING: u8 = 100;

impl Cell {
    /// apply_report applies a report that was requested at `sent`.
    pub(crate) fn apply_report(&mut self, key: WorkerKey, sent: Millis, report: Report) {
        if !self.match_incarnation(key, sent, &report) {
            return;
        }
        self.record_contact(key, sent, report.clock_ms);
        self.apply_ends(key, sent, report.ended);
        let report_needed = self.update_inheritance(key, sent, report.whole);
        for (position, status) in report.running.iter().enumerate() {
            self.apply_run_status(key, sent, status, position);
        }
        if report.whole {
            self.handle_missing_runs(key, sent, &report.running);
        }
        self.mark_contacted(key);
        // Suspects start on workers that have just answered.
        self.placement_due |= self.has_waiting_suspects();
        self.learn_from_report(key);
        self.adjust_paces(key);
        if report_needed || self.worker(key).announced.is_some() {
            self.renew_now(key);
        } else {
            self.schedule_renewal(key);
        }
    }

    /// record_contact records that a worker answered, and the reading of its clock.
    fn record_contact(&mut self, key: WorkerKey, sent: Millis, clock_ms: u64) {
        let at = self.now.mono;
        self.bound_inherited_leases(key);
        let worker = self.worker_mut(key);
        worker.clock = Some(Clock { at, ms: clock_ms });
        // The report shows what runs there, so nothing has to be presumed.
        worker.presumed_ended = None;
        worker.first_report_at.get_or_insert(at);
        worker.report_requested_at = sent;
        worker.final_renewal = None;
        worker.ack_confirmed = worker.ack_confirmed.max(worker.acking);
        if worker.silent_since.take().is_some() {
            let text = format!("worker {} answers again", worker.info.id);
            self.log("worker", None, text);
            self.record_downtime();
        }
        self.withdraw_suspension(key);
    }

    /// update_inheritance records that a report has arrived, which may complete what is known of a
    /// predecessor's runs and ends on a worker. It reports whether another one is needed at once.
    fn update_inheritance(&mut self, key: WorkerKey, sent: Millis, whole: bool) -> bool {
        let now = self.now.mono;
        let worker = self.worker_mut(key);
        let before = worker.is_inherited();
        let report_needed = worker.update_inheritance(sent, now, whole);
        self.placement_due |= before && !self.worker(key).is_inherited();
        report_needed
    }

    /// mark_contacted records that a worker has answered for the first time.
    fn mark_contacted(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        if worker.presence == Presence::Contacted {
            return;
        }
        worker.presence = Presence::Contacted;
        self.restore_dedication(key);
        let worker = self.worker_mut(key);
        let text = format!(
            "worker {} answered for the first time, {} runs there",
            worker.info.id,
            worker.runs.len()
        );
        self.log("worker", None, text);
        self.saver.roster_changed = true;
        self.placement_due = true;
    }

    /// find_shown_run returns the run of a worker that a status is of, if it is known. `position` is
    /// that of the status in its report: workers mostly list runs in the order of their starts. Most
    /// of a report is of known runs, and job, step and task are not looked up for these.
    fn find_shown_run(
        &self,
        worker: WorkerKey,
        status: &RunStatus,
        position: usize,
    ) -> Option<RunKey> {
        let runs = &self.worker(worker).runs;
        let (before, after) = runs.split_at(position.min(runs.len()));
        let is_shown = |key: &&RunKey| {
            let run = self.runs.get(**key);
            run.is_some_and(|run| {
                run.number == status.run && run.name == status.task && !run.superseded
            })
        };
        after.iter().chain(before).find(is_shown).copied()
    }

    /// find_or_adopt returns the run that a status is of, and adopts it if a predecessor started it.
    /// There is none if its job is unknown.
    fn find_or_adopt(&mut self, key: WorkerKey, status: &RunStatus) -> Option<RunKey> {
        let task = self.find_reported(status.task, status.run)?;
        let known = self.find_run(task, key, status.run);
        if known.is_some() {
            return known;
        }
        self.unqueue(task);
        let run = self.adopt(task, key, status.run);
        self.check_adopted(task, run);
        Some(run)
    }

    /// apply_run_status applies the status of one run at a position in a report.
    fn apply_run_status(
        &mut self,
        key: WorkerKey,
        sent: Millis,
        status: &RunStatus,
        position: usize,
    ) {
        let known = self.find_shown_run(key, status, position);
        let Some(run) = known.or_else(|| self.find_or_adopt(key, status)) else {
            self.log_unknown_run(key, status.task);
            return;
        };
        let shown = self.runs.get(run);
        let witnessed = shown.is_some_and(|run| self.is_witnessed(key, run, sent));
        if let Some(run) = self.runs.get_mut(run) {
            run.witnessed |= witnessed;
        }
        self.update_run(run, status);
        self.clear_run(run, sent);
    }

    fn log_unknown_run(&mut self, key: WorkerKey, name: TaskName) {
        let text = format!(
            "worker {} runs a task of an unknown or earlier job",
            self.worker(key).info.id
        );
        self.log("worker", Some(name), text);
    }

    /// check_adopted logs a run that was adopted from a predecessor. It stops the run if its task or
    /// job is over, or if the task has another run and allows no copies.
    fn check_adopted(&mut self, task: TaskKey, run: RunKey) {
        let others = self.task(task).runs.len() > 1;
        self.task_mut(task).had_parallel_runs |= others;
        let copies = self.step_spec(self.task(task).step).speculative;
        let over = self.task(task).done || self.job_of(task).state.is_final();
        let text = "adopted a run of a predecessor".to_owned();
        self.log("takeover", Some(self.name(task)), text);
        if over || (others && !copies) {
            self.stop(run);
        }
    }

    /// find_run returns the run of a task on a worker, by its number.
    pub(crate) fn find_run(&self, task: TaskKey, worker: WorkerKey, number: u32) -> Option<RunKey> {
        let here = |key: &&RunKey| {
            let run = self.runs.get(**key);
            run.is_some_and(|run| run.worker == worker && run.number == number)
        };
        self.task(task).runs.iter().find(here).copied()
    }

    fn update_run(&mut self, key: RunKey, status: &RunStatus) {
        let now = self.now.mono;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let (task, is_first) = (run.task, !run.reported);
        let is_confirmed = run.confirmed.is_some();
        if matches!(run.phase, Phase::Starting | Phase::Unsure(_)) {
            run.phase = Phase::Running;
            run.confirmed = Some(now);
        }
        run.shown_at = Some(now);
        run.reported = true;
        if run.percent != status.percent {
            run.percent = status.percent;
            run.progressed_at = now;
        }
        if run.saved != status.checkpoint {
            run.saved.clone_from(&status.checkpoint);
        }
        if run.serving {
            let tail = status.figure.filter(|_| status.percent == PERCENT_WORKING);
            run.record_tail(now, tail, run.target_ms);
        } else {
            run.used_milli = status.figure;
        }
        if is_first {
            self.mark_running(task);
        }
        if !is_confirmed {
            self.record_resumed(key);
        }
    }

    /// handle_missing_runs handles runs that a report lacks though it was requested after they
    /// were confirmed, after their start got no answer, or after the worker accepted an order
    /// to stop them. Times are whole milliseconds, so the report must have been requested in a
    /// later one.
    ///
    /// A missing run may have ended in any way, and may still be listed as done. So it is
    /// ordered to stop, which makes the worker refuse its number, and its task is placed again
    /// only if no end is listed within the time that a stop takes. Tasks that were placed again
    /// at once were done twice. A report that lists only some of the ends says nothing about
    /// missing runs.
    fn handle_missing_runs(&mut self, key: WorkerKey, sent: Millis, statuses: &[RunStatus]) {
        for run in self.worker(key).runs.clone() {
            let Some(entry) = self.runs.get(run) else {
                continue;
            };
            let name = entry.name;
            let shown = |status: &RunStatus| status.task == name && status.run == entry.number;
            if statuses.iter().any(shown) {
                continue;
            }
            match entry.phase {
                Phase::Unsure(since) if sent > since => self.stop(run),
                Phase::Running if entry.confirmed.is_some_and(|at| sent > at) => {
                    let (number, worker) = (entry.number, self.worker(key));
                    let text = format!(
                        "run {number} is missing from the report of worker {} and has no listed end; ends up to {} are known",
                        worker.info.id,
                        worker.received.last_contiguous()
                    );
                    self.log("end", Some(name), text);
                    self.stop(run);
                }
                Phase::Stopping if self.has_ended(entry, sent) => {
                    self.log(
                        "end",
                        Some(name),
                        "stopped run is no longer on its worker".to_owned(),
                    );
                    self.requeue(run, Cause::Missing);
                }
                _ => {}
            }
        }
    }

    /// has_ended reports whether a stopped run that a report lacks has ended. A run that was
    /// confirmed gets the time that a stop takes, in which its end may still be listed.
    fn has_ended(&self, run: &Run, sent: Millis) -> bool {
        let wait_ms = if run.confirmed.is_some() {
            self.options.stop_ms
        } else {
            0
        };
        run.stop_accepted_at
            .is_some_and(|at| sent > at.plus(wait_ms))
    }
}
