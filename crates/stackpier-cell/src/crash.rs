// SPDX-License-Identifier: Apache-2.0
//! Detection of tasks that crash the worker they start on.
//!
//! Such a task never reports an end: its worker stops answering soon after the start, and every
//! other run on that worker is lost too. The owner therefore records, per task, the worker
//! incarnations that started it and fell silent before the run had been there long enough to be
//! cleared. A worker has not crashed if it answers again, or if its entry is still in the list when
//! that of a crashed worker would have expired. It is then removed from the record, so network
//! partitions and frozen processes leave no trace.
//!
//! After the first crash the cause can be any of the recent starts on that worker, so all their
//! tasks become *suspects*. From then on each start of a suspect is *isolated*: it goes to a worker
//! on which nothing else has begun shortly before and nothing else starts for a while, and two
//! suspects never share a worker. The worker must also have answered a moment ago; otherwise one
//! that is already down would look as if the suspect had crashed it. A crash after an isolated
//! start counts against the suspect alone, and a start that the worker survives clears it. An
//! uninvolved neighbour is thus counted only once, for the first crash. When a whole rack goes
//! down, its tasks become suspects, and their next starts clear them.
//!
//! A task is given up and its job fails after [`MIN_CRASHES`] crashes if nothing else can have
//! caused the last one, and after [`MAX_CRASHES`] otherwise. Crashes are saved with the progress of
//! the job as soon as the worker is found silent, and each start of a suspect is saved before it is
//! sent, so that a successor continues the count.

mod cause;
mod deferred;
mod isolation;
mod record;

use stackpier_core::{Incarnation, Millis, incarnation};
use stackpier_state::job::{self, State};

use crate::{
    Cell, Mechanism,
    arena::{RunKey, TaskKey, WorkerKey},
    worker::Presence,
};

pub(crate) use isolation::Isolation;

/// CLEAR_AFTER_MS is how long after its start a run must still be reported to be ruled out as the
/// cause of a crash. Tasks that crash a process do so while they are loaded: the crashes observed
/// took 10 ms, far less than a second, and a second is short compared with the work of most tasks.
const CLEAR_AFTER_MS: u64 = 1_000;
/// QUIET_MS is how long before and after the start of a suspect with one crash no other run may
/// begin on its worker; after more crashes the rules are stricter. It is many times the time from a
/// start to its crash, and short enough that the suspects of a whole rack hardly delay other
/// starts.
const QUIET_MS: u64 = 200;
/// MIN_CRASHES is how many workers must have crashed under a task before it is given up. It is one
/// more than client accounts ask for, because the first crash counts against the neighbours too.
const MIN_CRASHES: usize = 3;
/// MAX_CRASHES is the limit for a task that was not the only possible cause of the last crash, or
/// whose worker may already have been down when the start was sent. Client accounts allow two
/// starts after the third crash; the limit uses one of them and leaves one for a crash that an
/// owner could not save before it ended.
const MAX_CRASHES: usize = 4;

/// Suspect holds the evidence against a task that may crash workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    /// The incarnations of workers that fell silent soon after they started the task.
    pub incarnations: Vec<Incarnation>,
    /// The longest time from a start until the worker was found silent, in milliseconds.
    pub span_ms: u64,
    /// Whether nothing else can have caused the last of these crashes.
    pub alone: bool,
    /// Whether at least one of the workers did not confirm the start, so that it may already have
    /// been down.
    pub unconfirmed: bool,
    /// When a worker was last polled for the next start of the task.
    pub polled_at: Millis,
}

impl Suspect {
    /// clear_after_ms returns how long after its start a run must still be reported to clear the
    /// task: twice the longest time that an earlier crash took, between [`QUIET_MS`] and
    /// [`CLEAR_AFTER_MS`].
    fn clear_after_ms(&self) -> u64 {
        (self.span_ms * 2).clamp(QUIET_MS, CLEAR_AFTER_MS)
    }

    /// reaches_limit reports whether the task is given up once all recorded incarnations are known
    /// to have crashed.
    fn reaches_limit(&self) -> bool {
        let needed = match self.alone && !self.unconfirmed {
            true => MIN_CRASHES,
            false => MAX_CRASHES,
        };
        self.incarnations.len() >= needed
    }
}

/// Liveness is what the owner knows about a worker incarnation that fell silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    /// It answers again, or its entry shows that it is alive.
    Alive,
    /// Not known yet.
    Unknown,
    /// It has ended.
    Dead,
}

impl Cell {
    /// suspect_runs records suspicion against the runs that may have brought down a worker that has
    /// just fallen silent.
    pub(crate) fn suspect_runs(&mut self, key: WorkerKey) {
        if !self.is_enabled(Mechanism::Suspects) {
            return;
        }
        let others = self.find_lately_silent(key);
        for other in &others {
            self.unset_alone(*other);
        }
        let mut uncleared = self.uncleared_runs(key);
        uncleared.retain(|run| self.is_sent(*run));
        let alone = uncleared.len() == 1 && others.is_empty();
        for run in self.likely_causes(uncleared) {
            self.suspect(key, run, alone);
        }
    }

    /// suspect counts the silence of a worker as a crash against the task of one of its runs.
    fn suspect(&mut self, key: WorkerKey, run: RunKey, alone: bool) {
        let Some(run) = self.runs.get(run) else {
            return;
        };
        let (task, number, unconfirmed) = (run.task, run.number, run.confirmed.is_none());
        let age_ms = self.now.mono.since(run.since);
        if self.task(task).done || self.job_of(task).state.is_final() {
            return;
        }
        let silent_worker = self.worker(key).incarnation();
        let runs = self.worker(key).runs.len();
        let suspect = self.task_mut(task).suspect.get_or_insert_default();
        if suspect.incarnations.contains(&silent_worker) {
            return;
        }
        suspect.incarnations.push(silent_worker.clone());
        suspect.span_ms = suspect.span_ms.max(age_ms);
        suspect.alone = alone;
        suspect.unconfirmed |= unconfirmed;
        let crashes = suspect.incarnations.len();
        let text = format!(
            "run {number} began {age_ms} ms before worker {silent_worker} was found silent, with \
             {runs} runs there; suspected of {crashes} crashes, alone {alone}, confirmed {}",
            !unconfirmed
        );
        self.watch_suspect(task);
        let name = self.name(task);
        self.log("crash", Some(name), text);
        self.mark_dirty(self.step_of(self.task(task).step).job);
    }

    /// unset_alone records for the suspects of a silent worker that something else may have caused
    /// the crash, because another worker fell silent at about the same time: a failure that both
    /// share may be the cause.
    fn unset_alone(&mut self, key: WorkerKey) {
        let silent_worker = self.worker(key).incarnation();
        for task in self.suspects.clone() {
            let Some(suspect) = self.task_mut(task).suspect.as_mut() else {
                continue;
            };
            if suspect.alone && suspect.incarnations.last() == Some(&silent_worker) {
                suspect.alone = false;
                self.mark_dirty(self.step_of(self.task(task).step).job);
            }
        }
    }

    /// restore_suspect restores the evidence that a predecessor saved against a task.
    pub(crate) fn restore_suspect(&mut self, task: TaskKey, saved: &job::Suspect) {
        let suspect = Suspect {
            incarnations: saved.incarnations.clone(),
            span_ms: saved.span_ms,
            alone: saved.alone,
            unconfirmed: saved.unconfirmed,
            polled_at: Millis(0),
        };
        self.task_mut(task).suspect = Some(Box::new(suspect));
        self.watch_suspect(task);
    }

    /// watch_suspect has `check_suspects` examine a task until it is cleared or given up.
    fn watch_suspect(&mut self, task: TaskKey) {
        if !self.suspects.contains(&task) {
            self.suspects.push(task);
        }
    }

    /// clear_run records that a report, requested at `sent`, still shows a run. If the run began
    /// long enough before, it and its task are cleared of crashes.
    pub(crate) fn clear_run(&mut self, key: RunKey, sent: Millis) {
        let Some(run) = self.runs.get(key).filter(|run| !run.cleared) else {
            return;
        };
        let (task, worker, age_ms) = (run.task, run.worker, sent.since(run.since));
        let suspect = self.task(task).suspect.as_ref();
        let clear_after_ms = suspect.map_or(CLEAR_AFTER_MS, |suspect| suspect.clear_after_ms());
        if age_ms < clear_after_ms {
            return;
        }
        let recorded = run.is_recorded();
        if let Some(run) = self.runs.get_mut(key) {
            run.cleared = true;
        }
        self.worker_mut(worker).end_isolation(key);
        if recorded {
            self.mark_dirty(self.step_of(self.task(task).step).job);
        }
        if self.task_mut(task).suspect.take().is_some() {
            let name = self.name(task);
            let text = "cleared of crashes: its worker is still alive".to_owned();
            self.log("crash", Some(name), text);
            self.mark_dirty(self.step_of(self.task(task).step).job);
        }
    }

    /// count_crashes returns how many crashes count against a task.
    pub(crate) fn count_crashes(&self, task: TaskKey) -> u32 {
        let suspect = self.task(task).suspect.as_ref();
        suspect.map_or(0, |suspect| suspect.incarnations.len() as u32)
    }

    /// awaits_crash_check reports whether a task must not start because it has reached the limit
    /// and it is not yet known whether all the workers counted against it have crashed.
    pub(crate) fn awaits_crash_check(&self, task: TaskKey) -> bool {
        let suspect = self.task(task).suspect.as_ref();
        suspect.is_some_and(|suspect| suspect.reaches_limit())
    }

    /// check_suspects drops crashes that have turned out not to be any, and gives up tasks under
    /// which enough workers have crashed.
    pub(crate) fn check_suspects(&mut self) {
        for task in std::mem::take(&mut self.suspects) {
            if self.review_suspect(task) {
                self.suspects.push(task);
            }
        }
    }

    /// review_suspect updates the evidence against a task, gives the task up if enough workers have
    /// crashed under it, and reports whether it is still under suspicion.
    fn review_suspect(&mut self, task: TaskKey) -> bool {
        if self.task(task).done || self.job_of(task).state.is_final() {
            self.task_mut(task).suspect = None;
            return false;
        }
        let Some(mut suspect) = self.task_mut(task).suspect.take() else {
            return false;
        };
        let job = self.step_of(self.task(task).step).job;
        let before = suspect.incarnations.len();
        suspect
            .incarnations
            .retain(|silent_worker| self.liveness(silent_worker) != Liveness::Alive);
        if suspect.incarnations.len() < before {
            self.mark_dirty(job);
            self.placement_due = true;
        }
        let crashed = suspect
            .incarnations
            .iter()
            .all(|silent_worker| self.liveness(silent_worker) == Liveness::Dead);
        if suspect.reaches_limit() && crashed {
            self.give_up_task(task, &suspect);
            return false;
        }
        let stays = !suspect.incarnations.is_empty();
        self.task_mut(task).suspect = stays.then_some(suspect);
        stays
    }

    /// liveness returns what is known about an incarnation that fell silent.
    fn liveness(&self, silent_worker: &Incarnation) -> Liveness {
        // Every worker that may be alive is in the list or in the roster.
        let Some(key) = self.worker_keys.get(&silent_worker.id) else {
            return Liveness::Dead;
        };
        let worker = self.worker(*key);
        if incarnation::differ(worker.started_at, silent_worker.started_at) {
            // Only an answer shows which of the two incarnations is the later one.
            return match worker.presence {
                Presence::New => Liveness::Unknown,
                Presence::Contacted | Presence::Gone => Liveness::Dead,
            };
        }
        match (worker.presence, worker.silent_since) {
            (Presence::Gone, _) => Liveness::Dead,
            (Presence::Contacted, None) => Liveness::Alive,
            // The store would have removed the entry of a crashed worker by now, if it was
            // available.
            (_, Some(since)) if worker.is_listed() && self.entry_would_have_expired(since) => {
                Liveness::Alive
            }
            _ => Liveness::Unknown,
        }
    }

    /// entry_would_have_expired reports whether an entry that is in the list now would have expired
    /// if its worker had crashed at `silent_since`. Entries do not expire while the store is
    /// unavailable, and an owner whose process was paused still has the old list, so the time
    /// counts only since the store has been available.
    fn entry_would_have_expired(&self, silent_since: Millis) -> bool {
        let since = silent_since.max(self.ownership.store_since);
        self.has_store() && self.now.mono.since(since) >= self.options.stale_entry_ms
    }

    fn give_up_task(&mut self, task: TaskKey, suspect: &Suspect) {
        let job = self.step_of(self.task(task).step).job;
        let name = self.name(task);
        let incarnations: Vec<String> = suspect
            .incarnations
            .iter()
            .map(Incarnation::to_string)
            .collect();
        let text = format!(
            "job failed: workers {} crashed when they started this task",
            incarnations.join(", ")
        );
        self.end_job(job, State::Failed);
        self.log("job", Some(name), text);
    }
}
