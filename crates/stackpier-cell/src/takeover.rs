// SPDX-License-Identifier: Apache-2.0
//! Taking over from a predecessor, and noticing a successor.
//!
//! Jobs accepted under an earlier fence may have runs on workers that have not answered this owner
//! yet. Their tasks wait until each such worker has sent two reports, or until everything leased by
//! the predecessor has expired. They also wait until the predecessor has been asked for progress
//! that it could not save. A long-running task waits for no other worker if this owner has seen its
//! run after all earlier owners had stopped acting, and has received its end: none of them can have
//! started it elsewhere.
//!
//! Where the assignments of long-running tasks are known (see `assignment`), such a task waits only
//! for the workers to which it is assigned.
//!
//! A successor may renew leases that this owner takes for expired, and may acknowledge ends that
//! this owner never receives. A worker that answers this owner has not been contacted by a
//! successor. A conclusion from the silence of a worker is valid only after the store has confirmed
//! the ownership at a later time, and only briefly, because a successor may contact the worker at
//! any moment. A task may wait for free capacity for longer than that, so its start needs a recent
//! confirmation.

use stackpier_core::Millis;
use stackpier_state::job::State;

use crate::{
    Cell, Effect, Options,
    arena::{JobKey, RunKey, StepKey, TaskKey, WorkerKey},
    downtime::Cause,
    job::Job,
    run::Run,
    worker::{Inheritance, LEASE_END_MARGIN_MS, Presence, Worker, with_clock_error},
};

/// MARGIN_MS is added to the end of the leases of a predecessor, for the time that its last call
/// may have been in flight.
const MARGIN_MS: u64 = 500;
/// GAP_MS is the time between two confirmations from which on the store counts as having been
/// unavailable: an idle owner asks every second, and an answer takes 0.6 s at most.
const GAP_MS: u64 = 2_500;
/// MAX_CONFIRMATION_AGE_MS is how old the confirmation may be on which a start relies, that is, the
/// latest sign that no successor has acknowledged the end of a run of the task. Client accounts
/// accept a repeated run up to one second after such an end, and a start takes up to 0.2 s to
/// arrive.
pub(crate) const MAX_CONFIRMATION_AGE_MS: u64 = 800;
/// TRANSIT_MS is how long a start takes to arrive.
const TRANSIT_MS: u64 = 200;
/// RUNS_PER_OWNER is the distance between the run numbers of successive owners, so that the numbers
/// of a new owner are above all those it can't know of.
const RUNS_PER_OWNER: u64 = 200;

/// Ownership is the state of this daemon's ownership of the cell, and of what a predecessor left
/// behind.
#[derive(Debug)]
pub(crate) struct Ownership {
    /// When the ownership began.
    pub began: Millis,
    /// When the request was sent that the store last answered by confirming that this daemon owns
    /// the cell.
    pub confirmed: Millis,
    /// Since when the store has confirmed the ownership without a gap.
    pub store_since: Millis,
    /// Whether the store is being asked.
    pub confirming: bool,
    /// Whether another daemon is known to own the cell.
    pub deposed: bool,
    /// Until when an earlier owner may act.
    pub acting_until: Millis,
    /// Until when runs of a predecessor may exist on workers that have not answered yet.
    pub inherited_until: Millis,
    /// Whether the workers that predecessors used are unknown.
    pub roster_unknown: bool,
    /// Whether the predecessor is being asked for progress that it could not save.
    pub awaits_handover: bool,
    /// Tasks with a run that is presumed to have ended because the worker fell silent and its lease
    /// expired.
    pub presumed_ended: Vec<TaskKey>,
}

impl Ownership {
    /// new returns an ownership that the store has just confirmed. An earlier owner may act until
    /// `acting_until`.
    pub(crate) fn new(options: &Options, now: Millis, acting_until: Millis) -> Ownership {
        Ownership {
            began: now,
            confirmed: now,
            store_since: now,
            confirming: false,
            deposed: false,
            acting_until,
            inherited_until: inherited_until(options, acting_until),
            roster_unknown: false,
            awaits_handover: false,
            presumed_ended: Vec::new(),
        }
    }

    /// had_store_at reports whether the store had confirmed the ownership without a gap up to
    /// `time`.
    fn had_store_at(&self, time: Millis) -> bool {
        time.since(self.confirmed) < GAP_MS
    }
}

/// inherited_until returns when all leases of earlier owners have expired, if these owners may act
/// until `acting_until`.
fn inherited_until(options: &Options, acting_until: Millis) -> Millis {
    acting_until.plus(with_clock_error(options.max_lease_ms) + MARGIN_MS)
}

impl Cell {
    /// bound_inherited_leases records until when predecessors may have leased anything on a worker
    /// that answers for the first time: it refuses their orders from now on.
    pub(crate) fn bound_inherited_leases(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        if !worker.is_inherited() || worker.first_report_at.is_some() {
            return;
        }
        let inherited_until = self.ownership.inherited_until;
        let before = worker.leased_until.unwrap_or(inherited_until);
        let leased_until = self.now.mono.plus(self.longest_lease_ms()).min(before);
        self.worker_mut(key).leased_until = Some(leased_until);
    }

    /// longest_lease_ms returns the longest time until everything has ended that a worker leases now.
    pub(crate) fn longest_lease_ms(&self) -> u64 {
        with_clock_error(self.options.max_lease_ms) + LEASE_END_MARGIN_MS
    }

    /// shorten_inherited records that earlier owners may act for `acting_ms` more. It never makes
    /// tasks wait longer.
    pub(crate) fn shorten_inherited(&mut self, acting_ms: u64) {
        let now = self.now.mono;
        let before = self.ownership.inherited_until;
        self.bound_acting(acting_ms);
        let text = format!(
            "an earlier owner has stopped acting, others may act for {acting_ms} ms more: leases \
             of earlier owners end in {} ms instead of {} ms",
            self.ownership.inherited_until.since(now),
            before.since(now)
        );
        self.log("takeover", None, text);
    }

    /// bound_acting does the same without a log line.
    pub(crate) fn bound_acting(&mut self, acting_ms: u64) {
        let before = self.ownership.inherited_until;
        let end = self.now.mono.plus(acting_ms);
        let acting_until = self.ownership.acting_until.min(end);
        self.ownership.acting_until = acting_until;
        self.ownership.inherited_until = inherited_until(&self.options, acting_until).min(before);
        self.placement_due = true;
    }

    /// first_run returns the number of the first run of a task under this owner.
    pub(crate) fn first_run(&self) -> u32 {
        let earlier = self.fence.saturating_sub(1);
        (earlier * RUNS_PER_OWNER).min(u64::from(u32::MAX / 2)) as u32 + 1
    }

    /// may_start reports whether a task has no run that this owner can't know of, and no end that a
    /// successor may already have received.
    pub(crate) fn may_start(&self, task: TaskKey) -> bool {
        let job = self.step_of(self.task(task).step).job;
        self.may_start_given(task, self.may_start_all(job))
    }

    /// may_start_given does the same, if it is known whether `may_start_all` holds for the job.
    pub(crate) fn may_start_given(&self, task: TaskKey, all_may_start: bool) -> bool {
        let witnessed = self.is_end_witnessed(task) && !self.ownership.awaits_handover;
        if self.knows_assignments(task) {
            return witnessed || self.runs_nowhere(task);
        }
        witnessed || all_may_start && !self.awaits_suspended(task)
    }

    /// runs_nowhere reports whether a task of an earlier job has no run, by its assignments.
    pub(crate) fn runs_nowhere(&self, task: TaskKey) -> bool {
        !self.ownership.awaits_handover
            && !self.ownership.roster_unknown
            && !self.awaits_assigned(task)
            && !self.awaits_suspended(task)
    }

    /// is_end_witnessed reports whether this owner has received the end of a witnessed run of a task
    /// (see `is_witnessed`), and no run of it since was only presumed to have ended.
    pub(crate) fn is_end_witnessed(&self, task: TaskKey) -> bool {
        let entry = self.task(task);
        let spec = self.step_spec(entry.step);
        let may_have_others = spec.speculative || spec.gang || entry.had_parallel_runs;
        entry.end_witnessed && !entry.presumed_ended && !may_have_others
    }

    /// is_witnessed reports whether a report that was requested at `sent` shows that no other run of
    /// the task exists, and that no earlier owner will start one before or after this run ends. That
    /// holds if the worker refused orders of earlier owners by then and these had stopped acting. One
    /// that still acts may receive the end by a poll that has waited at the worker since before the
    /// takeover, or it may find the worker dead; in both cases it starts a long-running task again
    /// elsewhere. Short tasks are excluded: a silent worker may list failed runs of them, which count
    /// against their attempts.
    pub(crate) fn is_witnessed(&self, worker: WorkerKey, run: &Run, sent: Millis) -> bool {
        run.long_running
            && sent >= self.ownership.acting_until
            && self.worker(worker).refused_others(sent)
    }

    /// visible_state returns the state that client accounts are shown for a job. Just after a takeover
    /// an earlier owner may still start tasks of its jobs, relying on its last confirmation, so none
    /// that has ended since is shown as completed yet.
    pub(crate) fn visible_state(&self, job: &Job) -> State {
        let state = job.visible_state();
        let settled_at = self
            .ownership
            .began
            .plus(MAX_CONFIRMATION_AGE_MS + TRANSIT_MS);
        let ended_since = job.inherited && job.ended_here && self.now.mono < settled_at;
        match state {
            State::Completed if ended_since => State::Running,
            _ => state,
        }
    }

    /// may_start_any reports whether `may_start` holds for some waiting task of a step.
    pub(crate) fn may_start_any(&self, step: StepKey) -> bool {
        self.count_startable(step) > 0
    }

    /// count_startable returns for how many waiting tasks of a step `may_start` holds.
    pub(crate) fn count_startable(&self, step: StepKey) -> usize {
        let all_may_start = self.may_start_all(self.step_of(step).job);
        self.count_startable_given(step, all_may_start)
    }

    /// count_startable_given does the same, if it is known whether `may_start_all` holds for the job.
    pub(crate) fn count_startable_given(&self, step: StepKey, all_may_start: bool) -> usize {
        let entry = self.step_of(step);
        if all_may_start && !self.has_named_tasks() {
            return entry.ready.len();
        }
        let ready = entry.ready.iter();
        let startable = |task: &&TaskKey| self.may_start_given(**task, all_may_start);
        ready.filter(startable).count()
    }

    /// may_start_all reports whether `may_start` holds for all tasks of a job, except those that
    /// wait for suspended workers.
    pub(crate) fn may_start_all(&self, job: JobKey) -> bool {
        !self.job(job).inherited || self.may_start_inherited()
    }

    /// awaits_leases reports whether all tasks of a step wait until `may_start_inherited` holds.
    pub(crate) fn awaits_leases(&self, step: StepKey) -> bool {
        let entry = self.step_of(step);
        let may_start = |task: &TaskKey| self.may_start_given(*task, false);
        self.job(entry.job).inherited
            && !(self.step_spec(step).long_running && entry.ready.iter().any(may_start))
    }

    /// may_start_inherited reports whether `may_start_all` holds for inherited jobs.
    pub(crate) fn may_start_inherited(&self) -> bool {
        let over = self.is_confirmed_after(self.ownership.inherited_until)
            && !self.awaits_inherited_reports();
        let current =
            self.is_confirmed_lately() || self.has_contacted_all() && !self.has_lost_uncontacted();
        !self.ownership.awaits_handover && (over || !self.awaits_workers()) && current
    }

    /// awaits_workers reports whether a predecessor may have started any task on a worker that has
    /// not answered.
    pub(crate) fn awaits_workers(&self) -> bool {
        self.ownership.roster_unknown || self.workers.iter().any(|worker| self.is_awaited(worker))
    }

    /// is_awaited reports whether any task may run on a worker, or may have ended there unseen.
    pub(crate) fn is_awaited(&self, worker: &Worker) -> bool {
        worker.is_inherited() && worker.inherited_tasks.is_none() && !self.has_outlived(worker)
    }

    /// awaits_inherited_reports reports whether a silent worker may still report runs or ends of a
    /// predecessor.
    fn awaits_inherited_reports(&self) -> bool {
        let mut workers = self.workers.iter();
        workers.any(|worker| self.may_report_inherited(worker))
    }

    /// has_lost_uncontacted reports whether a worker ended without ever answering this owner. A
    /// predecessor may have received its reports and may pass them on to a successor.
    fn has_lost_uncontacted(&self) -> bool {
        self.workers.iter().any(Worker::is_lost_uncontacted)
    }

    /// may_have_ended reports whether a successor may already know that a task is done of which
    /// this owner received no end.
    pub(crate) fn may_have_ended(&self, task: TaskKey) -> bool {
        self.task(task).presumed_ended && !self.is_confirmed_lately()
    }

    /// is_confirmed_lately reports whether the last confirmation is recent enough to rule out that
    /// a successor contacted, some time ago, a worker that did not answer this owner.
    pub(crate) fn is_confirmed_lately(&self) -> bool {
        self.now.mono.since(self.ownership.confirmed) < MAX_CONFIRMATION_AGE_MS
    }

    /// knows_roster reports whether this owner knows all workers on which a lease of a predecessor
    /// may still be valid.
    pub(crate) fn knows_roster(&self) -> bool {
        !self.ownership.roster_unknown || self.is_confirmed_after(self.ownership.inherited_until)
    }

    /// has_contacted_all reports whether all workers that a predecessor may have used have answered
    /// or are dead. A worker that was given up may still answer a successor.
    pub(crate) fn has_contacted_all(&self) -> bool {
        !self.ownership.roster_unknown && !self.workers.iter().any(Worker::is_inherited)
    }

    /// is_confirmed_after reports whether the store was asked after `time` and confirmed the
    /// ownership, so that no successor had acted by then. Times are whole milliseconds, so it must
    /// have been asked in a later millisecond.
    pub(crate) fn is_confirmed_after(&self, time: Millis) -> bool {
        self.ownership.confirmed > time
    }

    /// presume_ended marks the runs on a worker as ended by `time`, although the worker has not
    /// reported their ends.
    pub(crate) fn presume_ended(&mut self, key: WorkerKey, time: Millis) {
        self.worker_mut(key).presumed_ended = Some(time);
        self.requeue_presumed_ended(key);
        self.check_confirmed();
    }

    /// requeue_presumed_ended makes tasks ready again whose runs on a worker are presumed to have
    /// ended, once the store has confirmed that no successor can know otherwise. A long-running
    /// task of a dead worker does not wait for that.
    fn requeue_presumed_ended(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        let Some(time) = worker.presumed_ended else {
            return;
        };
        let owned = self.is_confirmed_after(time);
        let dead = worker.presence == Presence::Gone;
        for run in worker.runs.clone() {
            // A dead worker runs nothing, whoever owns the cell. A successor can know at most that
            // a task was done before, and a long-running task is started again in any case.
            let long_running = self.runs.get(run).is_some_and(|run| run.long_running);
            if owned && !dead && !long_running {
                self.presume_task_ended(run);
            }
            if owned || dead && long_running {
                self.requeue(run, Cause::Died);
            }
        }
        if owned {
            let worker = self.worker_mut(key);
            worker.presumed_ended = None;
            if dead {
                worker.inheritance = Inheritance::None;
            }
            self.placement_due = true;
        }
    }

    /// presume_task_ended records that the run of a task is presumed to have ended, though its
    /// worker may still report the end.
    pub(crate) fn presume_task_ended(&mut self, run: RunKey) {
        let Some(task) = self.runs.get(run).map(|run| run.task) else {
            return;
        };
        if !self.task(task).presumed_ended {
            self.task_mut(task).presumed_ended = true;
            self.ownership.presumed_ended.push(task);
        }
    }

    /// requeue_all_presumed_ended does what `requeue_presumed_ended` does, for all workers.
    pub(crate) fn requeue_all_presumed_ended(&mut self) {
        for key in self.incarnations() {
            self.requeue_presumed_ended(key);
        }
    }

    /// has_authority reports whether the store confirmed the ownership recently enough to send
    /// orders.
    pub(crate) fn has_authority(&self) -> bool {
        self.now.mono.since(self.ownership.confirmed) < self.options.authority_ms
    }

    /// set_confirmed sets when the request was sent that the store last answered by confirming the
    /// ownership, before the cell was read.
    pub fn set_confirmed(&mut self, sent: Millis) {
        self.ownership.confirmed = sent;
    }

    pub(crate) fn apply_confirmation(&mut self, sent: Millis) {
        self.ownership.confirming = false;
        self.record_confirmation(sent);
        self.send_deferred();
    }

    /// record_confirmation records that the store, asked at `sent`, confirmed the ownership.
    pub(crate) fn record_confirmation(&mut self, sent: Millis) {
        if !self.ownership.had_store_at(sent) {
            self.ownership.store_since = self.now.mono;
        }
        self.placement_due |= self.waits_for_store();
        self.ownership.confirmed = self.ownership.confirmed.max(sent);
        self.requeue_all_presumed_ended();
    }

    /// has_store reports whether the store has confirmed the ownership without a gap until now.
    pub(crate) fn has_store(&self) -> bool {
        self.ownership.had_store_at(self.now.mono)
    }

    /// store_silent_ms returns the time since the request was sent that the store last answered by
    /// confirming the ownership.
    pub(crate) fn store_silent_ms(&self) -> u64 {
        self.now.mono.since(self.ownership.confirmed)
    }

    /// check_confirmed asks the store who owns the cell, if that is due.
    pub(crate) fn check_confirmed(&mut self) {
        let old = self.now.mono.since(self.ownership.confirmed) >= self.options.confirm_ms;
        // The answer to a save confirms the ownership too, but may take long.
        let idle = old && !self.saver.is_busy();
        let due = idle || self.waits_for_store();
        if due && !self.ownership.confirming {
            self.ownership.confirming = true;
            self.effects.push(Effect::Confirm);
        }
    }

    /// waits_for_store reports whether tasks wait only for a confirmation of the store.
    fn waits_for_store(&self) -> bool {
        let now = self.now.mono;
        let over = now >= self.ownership.inherited_until;
        let leases = over && !self.is_confirmed_after(self.ownership.inherited_until);
        let lost = self.has_lost_uncontacted() && self.waits_inherited();
        let waits_for_none = || self.waits_inherited() && !self.awaits_workers();
        let silent = !self.has_contacted_all() && (over || waits_for_none());
        let uncertain = self.waits_presumed_ended() || lost || silent;
        let suspended = self.workers.iter().any(|worker| {
            let expired = |until: Millis| now >= until && !self.is_confirmed_after(until);
            worker.is_inherited() && worker.leased_until.is_some_and(expired)
        });
        leases
            || suspended
            || self.holds_starts()
            || uncertain && !self.is_confirmed_lately()
            || self
                .workers
                .iter()
                .any(|worker| worker.presumed_ended.is_some())
    }

    /// waits_inherited reports whether a task of a predecessor's job waits to be placed.
    pub(crate) fn waits_inherited(&self) -> bool {
        self.queued()
            .any(|step| self.job(self.step_of(step).job).inherited)
    }

    /// waits_presumed_ended reports whether a task with a run that is presumed to have ended waits
    /// to be placed.
    fn waits_presumed_ended(&self) -> bool {
        self.ownership
            .presumed_ended
            .iter()
            .any(|task| self.task(*task).ready)
    }

    /// prune_presumed_ended drops finished tasks from the list of those with a run presumed to have
    /// ended.
    pub(crate) fn prune_presumed_ended(&mut self) {
        let mut presumed_ended = std::mem::take(&mut self.ownership.presumed_ended);
        presumed_ended
            .retain(|task| !self.task(*task).done && !self.job_of(*task).state.is_final());
        self.ownership.presumed_ended = presumed_ended;
    }

    /// confirm_failed records that the store did not answer when asked who owns the cell.
    pub fn confirm_failed(&mut self) {
        self.ownership.confirming = false;
    }

    /// depose records that another daemon owns the cell, and drops all pending effects.
    pub fn depose(&mut self) {
        self.ownership.deposed = true;
        self.effects.clear();
    }
}
