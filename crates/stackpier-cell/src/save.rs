// SPDX-License-Identifier: Apache-2.0
//! Saving progress to the store. Changed jobs are saved together, one save at a time. Ends are
//! acknowledged only after the save that contains them.

use stackpier_core::Millis;
use stackpier_state::job::{Checkpoint, Failures, Progress, State};

use crate::{
    Cell, Effect, RosterEntry, Save,
    arena::{JobKey, RunKey, WorkerKey},
    worker::{Presence, Worker},
};

/// FORGOTTEN_PER_SAVE bounds the jobs removed from the store in one save.
const FORGOTTEN_PER_SAVE: usize = 20;
/// LEASE_MARGIN_DIVISOR sets the time waited beyond the end of a lease, one part in this many
/// of the lease: workers' clocks may be 2% slow, and the last call of an owner takes time.
const LEASE_MARGIN_DIVISOR: u64 = 10;
/// TRIMMED_PER_SAVE bounds the jobs trimmed in one save: one transaction takes no more.
const TRIMMED_PER_SAVE: usize = 30;

/// Saver tracks what must be saved and what is in flight.
#[derive(Debug, Default)]
pub(crate) struct Saver {
    /// Jobs whose progress must be saved.
    dirty: Vec<JobKey>,
    /// Jobs to remove from the store.
    forgotten: Vec<JobKey>,
    /// Jobs that are over but not yet trimmed in the store.
    ended: Vec<JobKey>,
    pub roster_changed: bool,
    pub maintenance_changed: bool,
    pub suspensions_changed: bool,
    /// The number of saves sent.
    sent: u64,
    /// The number of the last save that the store acknowledged.
    done: u64,
    in_flight: Option<InFlight>,
    /// The earliest time of the next save.
    not_before: Millis,
    /// Whether the last save failed.
    failed: bool,
    /// How long the last save that the store acknowledged took.
    took_ms: u64,
    /// Runs whose start waits for a save.
    pub deferred: Vec<RunKey>,
    /// Workers with ends that are not acknowledged.
    pub unacked: Vec<WorkerKey>,
}

/// Sent is a job in a save, with its state as saved.
#[derive(Clone, Copy, Debug)]
struct Sent {
    job: JobKey,
    state: State,
}

/// InFlight is a save that the store has not answered yet.
#[derive(Debug)]
struct InFlight {
    jobs: Vec<Sent>,
    trimmed: Vec<JobKey>,
    forgotten: Vec<JobKey>,
    roster: Vec<WorkerKey>,
    roster_sent: bool,
    maintenance_sent: bool,
    suspensions_sent: bool,
    downtimes_sent: bool,
    /// The workers whose suspension ends with this save.
    withdrawn: Vec<WorkerKey>,
    sent_at: Millis,
}

impl Saver {
    /// next returns the number of the save that will contain a change made now.
    pub(crate) fn next(&self) -> u64 {
        self.sent + 1
    }

    /// save_to_await returns the number of the save that a start made now waits for. There is
    /// none if the last save failed: the store may be unavailable for a long time.
    pub(crate) fn save_to_await(&self) -> Option<u64> {
        (!self.failed).then_some(self.next())
    }

    /// has_attempted reports whether a save was attempted, successfully or not.
    pub(crate) fn has_attempted(&self, number: u64) -> bool {
        self.sent > number || self.sent == number && !self.is_busy()
    }

    /// is_busy reports whether a save is in flight.
    pub(crate) fn is_busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// has_failed reports whether the last save failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// is_slow reports whether the last save failed or took longer than `ms`.
    pub(crate) fn is_slow(&self, ms: u64) -> bool {
        self.failed || self.took_ms > ms
    }

    /// is_idle reports whether nothing must be saved or is in flight.
    fn is_idle(&self) -> bool {
        self.is_empty() && !self.is_busy()
    }

    /// unsaved returns the jobs whose progress the store may lack.
    pub(crate) fn unsaved(&self) -> Vec<JobKey> {
        let under_way = self.in_flight.iter().flat_map(|sent| &sent.jobs);
        let mut jobs: Vec<JobKey> = under_way.map(|sent| sent.job).collect();
        jobs.extend(&self.dirty);
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    /// describe describes the progress of the saves for the log.
    pub(crate) fn describe(&self) -> String {
        let under_way = self.in_flight.as_ref().map_or(0, |sent| sent.jobs.len());
        format!(
            "save {} of {} is done, {} jobs are queued for the next one and {under_way} are in flight",
            self.done,
            self.sent,
            self.dirty.len()
        )
    }

    /// is_sending reports whether a save that is in flight is about a job, or one that is queued removes
    /// it.
    pub(crate) fn is_sending(&self, job: JobKey) -> bool {
        let is_sent = |sent: &InFlight| {
            let removes = sent.trimmed.contains(&job) || sent.forgotten.contains(&job);
            removes || sent.jobs.iter().any(|sent| sent.job == job)
        };
        self.in_flight.as_ref().is_some_and(is_sent) || self.forgotten.contains(&job)
    }

    /// drop_ended drops some jobs that need not be trimmed any more.
    pub(crate) fn drop_ended(&mut self, jobs: &[JobKey]) {
        self.ended.retain(|key| !jobs.contains(key));
    }

    fn is_empty(&self) -> bool {
        !self.roster_changed && self.is_empty_except_roster()
    }

    fn is_empty_except_roster(&self) -> bool {
        let is_changed = self.maintenance_changed || self.suspensions_changed;
        self.dirty.is_empty() && self.forgotten.is_empty() && !is_changed
    }
}

impl Cell {
    /// mark_dirty records that a job's progress must be saved. That of a forgotten job is removed, and a
    /// later job may have its id.
    pub(crate) fn mark_dirty(&mut self, key: JobKey) {
        let job = self.job(key);
        if !job.dirty && !job.forgotten {
            self.job_mut(key).dirty = true;
            self.saver.dirty.push(key);
        }
    }

    /// save sends what changed, unless a save is in flight.
    pub(crate) fn save(&mut self) {
        let now = self.now.mono;
        if self.saver.is_busy() || now < self.saver.not_before {
            return;
        }
        let roster_sent = self.is_roster_due();
        let is_empty = self.saver.is_empty_except_roster() && !self.are_downtimes_due();
        if !roster_sent && is_empty {
            self.ack_saved_ends();
            return;
        }
        let keys = std::mem::take(&mut self.saver.dirty);
        for key in &keys {
            self.job_mut(*key).dirty = false;
        }
        let jobs = keys
            .iter()
            .map(|key| (self.job(*key).id, self.progress(*key)));
        let jobs = jobs.collect();
        let sent = keys.iter().map(|key| Sent {
            job: *key,
            state: self.job(*key).state,
        });
        let sent = sent.collect();
        let forgotten = self.take_forgotten();
        let trimmed = self.take_trimmed(&keys);
        self.saver.roster_changed &= !roster_sent;
        let roster = if roster_sent {
            self.roster()
        } else {
            Vec::new()
        };
        let maintenance_sent = std::mem::take(&mut self.saver.maintenance_changed);
        let suspensions_sent = std::mem::take(&mut self.saver.suspensions_changed);
        let withdrawn = if suspensions_sent {
            self.withdrawn()
        } else {
            Vec::new()
        };
        let downtimes = self.take_downtimes();
        let downtimes_sent = downtimes.is_some();
        let save = Save {
            jobs,
            memory: self.snapshot_if_due(),
            roster: roster_sent.then(|| roster.iter().map(|key| self.roster_entry(*key)).collect()),
            maintenance: maintenance_sent.then(|| self.maintenance_records()),
            suspensions: suspensions_sent.then(|| self.suspension_record()),
            downtimes,
            trimmed: trimmed.iter().map(|key| self.job(*key).id).collect(),
            forgotten: forgotten.iter().map(|key| self.job(*key).id).collect(),
        };
        self.saver.sent += 1;
        self.saver.in_flight = Some(InFlight {
            jobs: sent,
            trimmed,
            forgotten,
            roster,
            roster_sent,
            maintenance_sent,
            suspensions_sent,
            downtimes_sent,
            withdrawn,
            sent_at: now,
        });
        self.effects.push(Effect::Save(save));
    }

    /// take_forgotten returns the jobs to remove from the store in a save. One whose id is that of a
    /// later job has been removed by a save without an answer: else the later job would not have been
    /// accepted.
    fn take_forgotten(&mut self) -> Vec<JobKey> {
        let forgotten = std::mem::take(&mut self.saver.forgotten);
        let (due, removed): (Vec<_>, Vec<_>) = forgotten
            .into_iter()
            .partition(|key| self.job_keys.get(&self.job(*key).id) == Some(key));
        self.forgotten.record_removed(removed);
        due
    }

    /// is_roster_due reports whether the roster must be saved. A roster that lacks workers
    /// which a predecessor may have used is not saved: the successor would not wait for them.
    fn is_roster_due(&self) -> bool {
        self.saver.roster_changed && self.knows_roster()
    }

    /// queue_trim records that a job is over. Once its state is saved and none of its runs is
    /// left, the store needs to keep only the state. A successor reads 2 kB for each job that
    /// is not trimmed: 195 such jobs took 2.4 s on a link of 2 Mbit/s, during which it did not
    /// answer and lost the cell to the next owner.
    pub(crate) fn queue_trim(&mut self, key: JobKey) {
        self.saver.ended.push(key);
    }

    /// take_trimmed returns jobs to trim in a save, except those whose state is in that save.
    fn take_trimmed(&mut self, saved: &[JobKey]) -> Vec<JobKey> {
        let ended = std::mem::take(&mut self.saver.ended);
        let is_due = |key: &JobKey| !saved.contains(key) && self.is_trimmable(*key);
        let (mut due, mut later): (Vec<_>, Vec<_>) = ended.into_iter().partition(is_due);
        later.extend(due.drain(due.len().min(TRIMMED_PER_SAVE)..));
        later.retain(|key| !self.job(*key).forgotten);
        self.saver.ended = later;
        due
    }

    /// is_trimmable reports whether nothing of a job can run any more, even on workers that this
    /// owner can't see: once the job is trimmed, a successor could not stop its runs. Runs that
    /// only a predecessor knew, and runs on workers that do not answer, end with their leases.
    fn is_trimmable(&self, key: JobKey) -> bool {
        let job = self.job(key);
        let lease_ms = self.options.max_lease_ms + self.options.max_lease_ms / LEASE_MARGIN_DIVISOR;
        let expired = |at: Millis| self.is_confirmed_after(at.plus(lease_ms));
        if !self.is_confirmed_after(self.ownership.inherited_until)
            || !job.ended_at.is_some_and(expired)
        {
            return false;
        }
        !job.forgotten && !job.dirty && self.steps_of(key).all(|step| step.runs == 0)
    }

    /// roster returns the workers that a successor must wait for, because they may run something
    /// or list ends that the store lacks.
    pub(crate) fn roster(&self) -> Vec<WorkerKey> {
        let used = |worker: &Worker| match worker.presence {
            Presence::Contacted => !self.has_left(worker),
            Presence::New => worker.is_inherited(),
            Presence::Gone => false,
        };
        let known = |key: &WorkerKey| used(self.worker(*key));
        self.live_workers().filter(known).collect()
    }

    pub(crate) fn roster_entry(&self, key: WorkerKey) -> RosterEntry {
        let info = &self.worker(key).info;
        RosterEntry {
            id: info.id.clone(),
            address: info.address.clone(),
        }
    }

    /// progress returns what the store must keep of a job.
    pub(crate) fn progress(&self, key: JobKey) -> Progress {
        let job = self.job(key);
        let mut progress = Progress {
            state: job.state,
            ended_ms: job.ended_unix_ms,
            ..Progress::default()
        };
        let width = job.spec.width();
        for range in job.rounds.done().iter() {
            progress.set_done_in(range.start * width..range.end * width);
        }
        for key in self.tasks_of(key) {
            let (task, position) = (self.task(key), self.index_of(key));
            if task.done {
                progress.set_done(position);
                continue;
            }
            if !task.failed_runs.is_empty() {
                progress.failures.push(Failures {
                    task: position,
                    runs: task.failed_runs.clone(),
                });
            }
            let wanted = !job.state.is_final();
            if wanted {
                progress.suspects.extend(self.saved_suspect(key, position));
            }
            if let Some(text) = task.checkpoint.clone().filter(|_| wanted) {
                progress.checkpoints.push(Checkpoint {
                    task: position,
                    text,
                });
            }
        }
        progress
    }

    pub(crate) fn handle_save_answer(&mut self, done: bool) {
        let now = self.now.mono;
        let Some(sent) = self.saver.in_flight.take() else {
            return;
        };
        self.saver.failed = !done;
        if !done {
            self.requeue_save(sent);
            self.send_deferred();
            return;
        }
        self.saver.done = self.saver.sent;
        self.saver.took_ms = now.since(sent.sent_at);
        self.saver.not_before = now.plus(self.options.save_gap_ms);
        self.record_confirmation(sent.sent_at);
        for Sent { job, state } in sent.jobs {
            self.job_mut(job).stored = state;
        }
        self.forgotten.record_removed(sent.forgotten);
        for key in sent.roster {
            let worker = self.worker_mut(key);
            if !worker.rostered && worker.presence == Presence::Contacted {
                worker.rostered = true;
                self.placement_due = true;
            }
        }
        for key in sent.withdrawn {
            self.end_suspension(key);
        }
        self.ack_saved_ends();
        self.send_deferred();
    }

    /// requeue_save keeps the contents of a failed save for the next one.
    fn requeue_save(&mut self, sent: InFlight) {
        for Sent { job, .. } in sent.jobs {
            self.mark_dirty(job);
        }
        self.saver.ended.extend(sent.trimmed);
        self.saver.forgotten.extend(sent.forgotten);
        self.saver.roster_changed |= sent.roster_sent;
        self.saver.maintenance_changed |= sent.maintenance_sent;
        self.saver.suspensions_changed |= sent.suspensions_sent;
        if sent.downtimes_sent {
            self.record_downtime();
        }
        self.saver.not_before = self.now.mono.plus(self.options.save_retry_ms);
        // The ends in the failed save wait for the next one.
        let next = self.saver.next();
        for worker in &mut self.workers {
            if worker.has_unacked_ends() {
                worker.ack_after_save = next;
            }
        }
    }

    /// has_stored_ends reports whether the store has all ends that a worker has listed. The
    /// worker may have to keep them all the same, if ends with lower numbers are missing.
    pub(crate) fn has_stored_ends(&self, worker: &Worker) -> bool {
        self.saver.is_idle() || worker.ack_after_save <= self.saver.done
    }

    /// ack_saved_ends acknowledges the ends that are saved, so that workers may forget them.
    fn ack_saved_ends(&mut self) {
        if self.saver.unacked.is_empty() {
            return;
        }
        for key in std::mem::take(&mut self.saver.unacked) {
            let stored = self.has_stored_ends(self.worker(key));
            let worker = self.worker_mut(key);
            if stored {
                worker.unstored.clear();
            }
            if !worker.has_unacked_ends() {
                continue;
            }
            if stored {
                worker.acked = worker.received.last_contiguous();
                self.renew_with_wait(key);
            } else {
                self.saver.unacked.push(key);
            }
        }
    }

    /// forget_jobs removes jobs that were shown for long enough.
    pub(crate) fn forget_jobs(&mut self) {
        let now = self.now.mono;
        let show_ms = self.options.show_ms;
        let due = |job: &crate::job::Job| {
            !job.forgotten && job.ended_at.is_some_and(|at| now.since(at) > show_ms)
        };
        let due = self.jobs.iter().filter(|(_, job)| due(job));
        let due: Vec<JobKey> = due
            .map(|(key, _)| JobKey(key))
            .take(FORGOTTEN_PER_SAVE)
            .collect();
        for key in due {
            self.job_mut(key).forgotten = true;
            self.saver.forgotten.push(key);
        }
    }
}
