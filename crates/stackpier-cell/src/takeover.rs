// SPDX-License-Identifier: Apache-2.0
//! Taking over from an earlier owner, and noticing a later one.
//!
//! Jobs accepted under an earlier fence may have runs on workers that have
//! not answered this owner yet. Their tasks wait until two reports of each such
//! worker have come, or until everything that the earlier owner leased has ended; and until
//! that owner was asked for what it could not save.
//!
//! A later owner may renew what this one takes for over, and note ends that
//! this one never sees. A worker that answers this owner has met no later one.
//! What is read from a silence counts only once the store has confirmed the
//! ownership after it, and only for a while: a later owner may hear the worker at
//! any time. A task may wait for room that long, so its start needs a fresh word.

use stackpier_core::Millis;

use crate::{
    Cell, Effect, Options,
    arena::{JobKey, RunKey, TaskKey, WorkerKey},
    worker::{CLOCK_ERROR_MILLI, Inheritance, Presence, Worker},
};

/// MARGIN_MS is added to the end of an earlier owner's leases, for the flight
/// of its last call.
const MARGIN_MS: u64 = 500;
/// GAP_MS is the time between two confirmations from which the store counts as having been
/// away: an idle owner asks each second, and an answer takes 0.6 s at most.
const GAP_MS: u64 = 2_500;
/// MAX_CONFIRMATION_AGE_MS is how old the last sign may be that no later owner has noted the end of a
/// run, for a start that relies on it. Users bear one within a second after that, and starts
/// take up to 0.2 s on their way.
pub(crate) const MAX_CONFIRMATION_AGE_MS: u64 = 800;
/// RUNS_PER_OWNER spaces the run numbers of successive owners, so that a new
/// owner's numbers are above those it can't know.
const RUNS_PER_OWNER: u64 = 200;

/// Ownership is what an owner knows of its ownership, and of what an earlier owner left.
#[derive(Debug)]
pub(crate) struct Ownership {
    /// When the ownership began.
    pub began: Millis,
    /// When the store last confirmed that this daemon owns the cell.
    pub confirmed: Millis,
    /// Since when the store has confirmed that without a gap.
    pub store_since: Millis,
    /// Whether the store is being asked.
    pub confirming: bool,
    /// Whether another daemon is known to own the cell.
    pub deposed: bool,
    /// Until when runs of an earlier owner may exist on workers that have not
    /// answered yet.
    pub inherited_until: Millis,
    /// Whether it can't be told which workers earlier owners used.
    pub roster_unknown: bool,
    /// Whether the earlier owner is being asked for what it could not save.
    pub awaits_handover: bool,
    /// Tasks of which a run was taken as ended by a silent worker's lease.
    pub presumed_ended: Vec<TaskKey>,
}

impl Ownership {
    /// new begins an ownership that the store has just confirmed.
    pub(crate) fn new(now: Millis, inherited_until: Millis) -> Ownership {
        Ownership {
            began: now,
            confirmed: now,
            store_since: now,
            confirming: false,
            deposed: false,
            inherited_until,
            roster_unknown: false,
            awaits_handover: false,
            presumed_ended: Vec::new(),
        }
    }

    /// had_store_at tells whether the store has confirmed the ownership without a gap until a
    /// time.
    fn had_store_at(&self, time: Millis) -> bool {
        time.since(self.confirmed) < GAP_MS
    }
}

impl Cell {
    /// inherited_until returns when everything has ended that an earlier owner
    /// leased, which may act for `acting_ms` more.
    pub(crate) fn inherited_until(options: &Options, now: Millis, acting_ms: u64) -> Millis {
        let lease = options.max_lease_ms + options.max_lease_ms * CLOCK_ERROR_MILLI / 1_000;
        now.plus(acting_ms + lease + MARGIN_MS)
    }

    /// first_run returns the number of a task's first run under this owner.
    pub(crate) fn first_run(&self) -> u32 {
        let earlier = self.fence.saturating_sub(1);
        (earlier * RUNS_PER_OWNER).min(u64::from(u32::MAX / 2)) as u32 + 1
    }

    /// may_start tells whether a job's tasks have no run that this owner can't know of, and no
    /// end that a later one may know.
    pub(crate) fn may_start(&self, job: JobKey) -> bool {
        if !self.job(job).inherited {
            return true;
        }
        let over =
            self.is_confirmed_after(self.ownership.inherited_until) && !self.awaits_earlier();
        let current =
            self.is_confirmed_lately() || self.has_contacted_all() && !self.has_lost_unheard();
        !self.ownership.awaits_handover && (over || self.has_contacted_all()) && current
    }

    /// awaits_earlier tells whether a silent worker may yet answer what an earlier owner has
    /// there.
    fn awaits_earlier(&self) -> bool {
        let mut workers = self.workers.iter();
        workers.any(|worker| self.may_tell_of_earlier(worker))
    }

    /// has_lost_unheard tells whether a worker died that this owner never heard. An earlier one
    /// may have heard it, and may tell a later owner.
    fn has_lost_unheard(&self) -> bool {
        let unheard = |worker: &Worker| worker.presence == Presence::Gone && worker.clock.is_none();
        self.workers.iter().any(unheard)
    }

    /// may_have_ended tells whether a later owner may know by now that a task is done, of
    /// which this one heard no end.
    pub(crate) fn may_have_ended(&self, task: TaskKey) -> bool {
        self.task(task).presumed_ended && !self.is_confirmed_lately()
    }

    /// is_confirmed_lately tells whether no later owner can have heard a worker some time
    /// ago that did not answer this one.
    fn is_confirmed_lately(&self) -> bool {
        self.now.mono.since(self.ownership.confirmed) < MAX_CONFIRMATION_AGE_MS
    }

    /// knows_roster tells whether the workers that an earlier owner may have used are known,
    /// as far as anything it leased there may go on.
    pub(crate) fn knows_roster(&self) -> bool {
        !self.ownership.roster_unknown || self.is_confirmed_after(self.ownership.inherited_until)
    }

    /// has_contacted_all tells whether all workers that an earlier owner may have
    /// used have answered or are dead. One that was given up may still answer a
    /// later owner.
    pub(crate) fn has_contacted_all(&self) -> bool {
        !self.ownership.roster_unknown && !self.workers.iter().any(Worker::is_inherited)
    }

    /// is_confirmed_after tells whether the store confirmed the ownership after a
    /// time: until then no later owner did anything. Times are whole
    /// milliseconds, so it must have been asked in a later one.
    pub(crate) fn is_confirmed_after(&self, time: Millis) -> bool {
        self.ownership.confirmed > time
    }

    /// presume_ended takes what runs on a worker as ended by a time, though the
    /// worker did not say so.
    pub(crate) fn presume_ended(&mut self, key: WorkerKey, time: Millis) {
        self.worker_mut(key).presumed_ended = Some(time);
        self.settle(key);
        self.check_confirmed();
    }

    /// settle makes the tasks ready that ran where all has ended unseen, as far
    /// as no later owner can prove that wrong.
    fn settle(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        let Some(time) = worker.presumed_ended else {
            return;
        };
        let owned = self.is_confirmed_after(time);
        let dead = worker.presence == Presence::Gone;
        for run in worker.runs.clone() {
            // A dead worker runs nothing, whoever owns it. All that a later
            // owner can know better is that a task was done before, and one
            // that lasts starts again in any case.
            let long_running = self.runs.get(run).is_some_and(|run| run.long_running);
            if owned && !dead && !long_running {
                self.presume_task_ended(run);
            }
            if owned || dead && long_running {
                self.requeue(run);
            }
        }
        if owned {
            let worker = self.worker_mut(key);
            worker.presumed_ended = None;
            if dead {
                worker.inheritance = Inheritance::None;
            }
            self.place_wanted = true;
        }
    }

    /// presume_task_ended notes of a run's task that its worker may still tell of its end.
    pub(crate) fn presume_task_ended(&mut self, run: RunKey) {
        let Some(task) = self.runs.get(run).map(|run| run.task) else {
            return;
        };
        if !self.task(task).presumed_ended {
            self.task_mut(task).presumed_ended = true;
            self.ownership.presumed_ended.push(task);
        }
    }

    /// settle_all does so for all workers.
    pub(crate) fn settle_all(&mut self) {
        for key in self.incarnations() {
            self.settle(key);
        }
    }

    /// has_authority tells whether the store confirmed the ownership lately
    /// enough to give orders.
    pub(crate) fn has_authority(&self) -> bool {
        self.now.mono.since(self.ownership.confirmed) < self.options.authority_ms
    }

    /// set_confirmed sets when the store was asked that last confirmed the
    /// ownership before the cell was read.
    pub fn set_confirmed(&mut self, sent: Millis) {
        self.ownership.confirmed = sent;
    }

    pub(crate) fn apply_confirmation(&mut self, sent: Millis) {
        self.ownership.confirming = false;
        self.record_confirmation(sent);
    }

    /// record_confirmation takes in that the store confirmed the ownership when asked at a time.
    pub(crate) fn record_confirmation(&mut self, sent: Millis) {
        if !self.ownership.had_store_at(sent) {
            self.ownership.store_since = self.now.mono;
        }
        self.place_wanted |= self.waits_for_store();
        self.ownership.confirmed = self.ownership.confirmed.max(sent);
        self.settle_all();
    }

    /// has_store tells whether the store has confirmed the ownership without a gap until now.
    pub(crate) fn has_store(&self) -> bool {
        self.ownership.had_store_at(self.now.mono)
    }

    /// store_silent_ms returns how long ago the store was asked that last confirmed the ownership.
    pub(crate) fn store_silent_ms(&self) -> u64 {
        self.now.mono.since(self.ownership.confirmed)
    }

    /// check_confirmed asks the store who owns the cell, if that is due.
    pub(crate) fn check_confirmed(&mut self) {
        let idle = self.now.mono.since(self.ownership.confirmed) >= self.options.confirm_ms;
        let due = idle || self.waits_for_store();
        if due && !self.ownership.confirming && !self.saver.is_busy() {
            self.ownership.confirming = true;
            self.effects.push(Effect::Confirm);
        }
    }

    /// waits_for_store tells whether tasks wait for nothing but the store's
    /// word.
    fn waits_for_store(&self) -> bool {
        let now = self.now.mono;
        let over = now >= self.ownership.inherited_until;
        let leases = over && !self.is_confirmed_after(self.ownership.inherited_until);
        let lost = self.has_lost_unheard() && self.waits_inherited();
        let unheard = self.waits_presumed_ended() || lost || over && !self.has_contacted_all();
        leases
            || unheard && !self.is_confirmed_lately()
            || self
                .workers
                .iter()
                .any(|worker| worker.presumed_ended.is_some())
    }

    /// waits_inherited tells whether a task of a job of an earlier owner waits to be placed.
    pub(crate) fn waits_inherited(&self) -> bool {
        self.queued()
            .any(|step| self.job(self.step_of(step).job).inherited)
    }

    /// waits_presumed_ended tells whether a task whose end was not seen waits to be placed.
    fn waits_presumed_ended(&self) -> bool {
        self.ownership
            .presumed_ended
            .iter()
            .any(|task| self.task(*task).ready)
    }

    /// prune_presumed_ended drops the tasks whose end was not seen once they are over.
    pub(crate) fn prune_presumed_ended(&mut self) {
        let mut presumed_ended = std::mem::take(&mut self.ownership.presumed_ended);
        presumed_ended
            .retain(|task| !self.task(*task).done && !self.job_of(*task).state.is_final());
        self.ownership.presumed_ended = presumed_ended;
    }

    /// confirm_failed notes that the question to the store got no answer.
    pub fn confirm_failed(&mut self) {
        self.ownership.confirming = false;
    }

    /// depose notes that another daemon owns the cell.
    pub fn depose(&mut self) {
        self.ownership.deposed = true;
        self.effects.clear();
    }
}
