// SPDX-License-Identifier: Apache-2.0
//! Saving progress to the store: jobs that changed go together, one save at a
//! time. Ends are told to be noted only after the save that holds them.

use stackpier_core::Millis;
use stackpier_state::job::{Checkpoint, Failures, Progress, State};

use crate::{
    Cell, Effect, RosterEntry, Save,
    arena::{JobKey, RunKey, TaskKey, WorkerKey},
    worker::{Presence, Worker},
};

/// FORGOTTEN_PER_SAVE bounds the jobs removed from the store in one save.
const FORGOTTEN_PER_SAVE: usize = 20;
/// LEASE_MARGIN_PART is the part of a lease, one in so many, that is waited for beyond it:
/// workers' clocks may be 2% slow, and the last call of an owner takes its time.
const LEASE_MARGIN_PART: u64 = 10;
/// TRIMMED_PER_SAVE bounds the jobs trimmed in one save: what one transaction takes.
const TRIMMED_PER_SAVE: usize = 30;

/// Saver tracks what is to be saved and what is on its way.
#[derive(Debug, Default)]
pub(crate) struct Saver {
    dirty: Vec<JobKey>,
    /// Jobs whose removal from the store is due.
    forgotten: Vec<JobKey>,
    /// Jobs that are over and of which the store still keeps all.
    ended: Vec<JobKey>,
    pub roster_changed: bool,
    pub maintenance_changed: bool,
    /// Saves that were sent.
    sent: u64,
    /// Saves that were acknowledged.
    done: u64,
    in_flight: Option<InFlight>,
    not_before: Millis,
    /// Whether the last save failed.
    failed: bool,
    /// Runs whose start waits for a save.
    pub deferred: Vec<RunKey>,
    /// Workers with ends that are not noted.
    pub unacked: Vec<WorkerKey>,
}

/// Sent is a job in a save, with its state as it is saved.
#[derive(Clone, Copy, Debug)]
struct Sent {
    job: JobKey,
    state: State,
}

#[derive(Debug)]
struct InFlight {
    jobs: Vec<Sent>,
    trimmed: Vec<JobKey>,
    forgotten: Vec<JobKey>,
    roster: Vec<WorkerKey>,
    roster_sent: bool,
    maintenance_sent: bool,
    sent_at: Millis,
}

impl Saver {
    /// next returns the number of the save that will hold a change made now.
    pub(crate) fn next(&self) -> u64 {
        self.sent + 1
    }

    /// awaited returns the number of the save that a start made now has to wait for: none if
    /// the store did not take the last one, as it may be away for long.
    pub(crate) fn awaited(&self) -> Option<u64> {
        (!self.failed).then_some(self.next())
    }

    /// has_tried tells whether a save was made, successfully or not.
    pub(crate) fn has_tried(&self, number: u64) -> bool {
        self.sent >= number && !self.is_busy()
    }

    /// is_busy tells whether a save is on its way.
    pub(crate) fn is_busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// is_idle tells whether there is nothing to save, nor on its way.
    fn is_idle(&self) -> bool {
        self.is_empty() && !self.is_busy()
    }

    /// unsaved returns the jobs whose progress the store is not known to have.
    pub(crate) fn unsaved(&self) -> Vec<JobKey> {
        let under_way = self.in_flight.iter().flat_map(|sent| &sent.jobs);
        let mut jobs: Vec<JobKey> = under_way.map(|sent| sent.job).collect();
        jobs.extend(&self.dirty);
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    /// describe tells how far the saves are, for the log.
    pub(crate) fn describe(&self) -> String {
        let under_way = self.in_flight.as_ref().map_or(0, |sent| sent.jobs.len());
        format!(
            "save {} of {} is done, {} jobs wait for the next one and {under_way} are on their way",
            self.done,
            self.sent,
            self.dirty.len()
        )
    }

    fn is_empty(&self) -> bool {
        !self.roster_changed && self.is_empty_beside_roster()
    }

    fn is_empty_beside_roster(&self) -> bool {
        self.dirty.is_empty() && self.forgotten.is_empty() && !self.maintenance_changed
    }
}

impl Cell {
    /// mark_dirty notes that a job's progress must be saved.
    pub(crate) fn mark_dirty(&mut self, key: JobKey) {
        if !self.job(key).dirty {
            self.job_mut(key).dirty = true;
            self.saver.dirty.push(key);
        }
    }

    /// save sends what changed, if no save is on its way.
    pub(crate) fn save(&mut self) {
        let now = self.now.mono;
        if self.saver.is_busy() || now < self.saver.not_before {
            return;
        }
        let roster_sent = self.is_roster_due();
        if !roster_sent && self.saver.is_empty_beside_roster() {
            self.ack_all();
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
        let forgotten = std::mem::take(&mut self.saver.forgotten);
        let trimmed = self.take_trimmed(&keys);
        self.saver.roster_changed &= !roster_sent;
        let roster = if roster_sent {
            self.roster()
        } else {
            Vec::new()
        };
        let maintenance_sent = std::mem::take(&mut self.saver.maintenance_changed);
        let save = Save {
            jobs,
            memory: self.snapshot_if_due(),
            roster: roster_sent.then(|| roster.iter().map(|key| self.entry(*key)).collect()),
            maintenance: maintenance_sent.then(|| self.maintenance_records()),
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
            sent_at: now,
        });
        self.effects.push(Effect::Save(save));
    }

    /// is_roster_due tells whether the roster is to be saved. One that lacks workers which an
    /// earlier owner may have used would tell the next owner not to wait for them.
    fn is_roster_due(&self) -> bool {
        self.saver.roster_changed && self.knows_roster()
    }

    /// trim_later notes that a job is over: once its state is saved and nothing runs of it any
    /// more, the store needs to keep no more than that. A successor reads two kilobytes for
    /// each job that is not trimmed: 195 jobs took it 2.4 s on a link of 2 Mbit/s, while it
    /// was silent and lost the cell to the next.
    pub(crate) fn trim_later(&mut self, key: JobKey) {
        self.saver.ended.push(key);
    }

    /// take_trimmed returns jobs to trim with a save, other than those whose state is in it.
    fn take_trimmed(&mut self, saved: &[JobKey]) -> Vec<JobKey> {
        let ended = std::mem::take(&mut self.saver.ended);
        let may = |key: &JobKey| !saved.contains(key) && self.is_trimmable(*key);
        let (mut due, mut later): (Vec<_>, Vec<_>) = ended.into_iter().partition(may);
        later.extend(due.drain(due.len().min(TRIMMED_PER_SAVE)..));
        later.retain(|key| !self.job(*key).forgotten);
        self.saver.ended = later;
        due
    }

    /// is_trimmable tells whether nothing runs of a job, also where this owner can't see
    /// it: a successor could not stop it. Runs that only an earlier owner knew, or that are
    /// on workers that do not answer, end with their leases.
    fn is_trimmable(&self, key: JobKey) -> bool {
        let job = self.job(key);
        let lease_ms = self.options.max_lease_ms + self.options.max_lease_ms / LEASE_MARGIN_PART;
        let lapsed = |at: Millis| self.is_confirmed_after(at.plus(lease_ms));
        if !self.is_confirmed_after(self.ownership.inherited_until)
            || !job.ended_at.is_some_and(lapsed)
        {
            return false;
        }
        let mut tasks = (job.first_task.0..job.first_task.0 + job.tasks).map(TaskKey);
        !job.forgotten && !job.dirty && tasks.all(|task| self.task(task).runs.is_empty())
    }

    fn roster(&self) -> Vec<WorkerKey> {
        let used = |worker: &Worker| match worker.presence {
            Presence::Contacted => !self.has_left(worker),
            Presence::New => worker.is_inherited(),
            Presence::Gone => false,
        };
        let known = |key: &WorkerKey| used(self.worker(*key));
        self.live_workers().filter(known).collect()
    }

    fn entry(&self, key: WorkerKey) -> RosterEntry {
        let info = &self.worker(key).info;
        RosterEntry {
            id: info.id.clone(),
            address: info.address.clone(),
        }
    }

    /// progress returns what the store is to keep of a job.
    pub(crate) fn progress(&self, key: JobKey) -> Progress {
        let job = self.job(key);
        let mut progress = Progress {
            state: job.state,
            ended_ms: job.ended_unix_ms,
            ..Progress::default()
        };
        for place in 0..job.tasks {
            let key = TaskKey(job.first_task.0 + place);
            let task = self.task(key);
            if task.done {
                progress.set_done(place);
                continue;
            }
            if !task.failed_runs.is_empty() {
                progress.failures.push(Failures {
                    task: place,
                    runs: task.failed_runs.clone(),
                });
            }
            let wanted = !job.state.is_final();
            if wanted {
                progress.suspects.extend(self.saved_suspect(key, place));
            }
            if let Some(text) = task.checkpoint.clone().filter(|_| wanted) {
                progress.checkpoints.push(Checkpoint { task: place, text });
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
            self.resave(sent);
            self.send_deferred();
            return;
        }
        self.saver.done = self.saver.sent;
        self.saver.not_before = now.plus(self.options.save_gap_ms);
        self.record_confirmation(sent.sent_at);
        for Sent { job, state } in sent.jobs {
            self.job_mut(job).stored = state;
        }
        for key in sent.roster {
            let worker = self.worker_mut(key);
            if !worker.rostered && worker.presence == Presence::Contacted {
                worker.rostered = true;
                self.place_wanted = true;
            }
        }
        self.ack_all();
        self.send_deferred();
    }

    /// resave keeps what a failed save held for the next one.
    fn resave(&mut self, sent: InFlight) {
        for Sent { job, .. } in sent.jobs {
            self.mark_dirty(job);
        }
        self.saver.ended.extend(sent.trimmed);
        self.saver.forgotten.extend(sent.forgotten);
        self.saver.roster_changed |= sent.roster_sent;
        self.saver.maintenance_changed |= sent.maintenance_sent;
        self.saver.not_before = self.now.mono.plus(self.options.save_retry_ms);
        // The ends it held wait for the next save.
        let next = self.saver.next();
        for worker in &mut self.workers {
            if worker.has_unacked_ends() {
                worker.ack_after_save = next;
            }
        }
    }

    /// has_stored_ends tells whether the store has all ends that a worker has listed. It may
    /// have to keep them still, where others are missing below them.
    pub(crate) fn has_stored_ends(&self, worker: &Worker) -> bool {
        self.saver.is_idle() || worker.ack_after_save <= self.saver.done
    }

    /// ack_all lets workers forget the ends that are saved.
    fn ack_all(&mut self) {
        if self.saver.unacked.is_empty() {
            return;
        }
        for key in std::mem::take(&mut self.saver.unacked) {
            let stored = self.has_stored_ends(self.worker(key));
            let worker = self.worker_mut(key);
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
        let due: Vec<JobKey> = (0..self.jobs.len() as u32)
            .map(JobKey)
            .filter(|key| due(self.job(*key)))
            .take(FORGOTTEN_PER_SAVE)
            .collect();
        for key in due {
            self.job_mut(key).forgotten = true;
            self.saver.forgotten.push(key);
        }
    }
}
