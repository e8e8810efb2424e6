// SPDX-License-Identifier: Apache-2.0
//! Downtimes: for how long a long-running task has had no run, and how its last run ended.
//!
//! Client accounts count from the end of the run. The owner learns of the end later: with the next
//! report, or, if the worker has ended, once its lease has expired. So a downtime counts from when
//! the run was last known to run.
//!
//! A successor can't learn from workers for how long a task has had no run, or for how long it has had
//! one. So the owner saves the downtimes, those of tasks on silent workers included, and the time
//! slices when it releases the cell and at intervals before. What is read of them decides only which
//! tasks come first.

use std::{cmp::Reverse, collections::HashMap};

use serde::{Deserialize, Serialize};
use stackpier_core::Millis;

use crate::{
    Cell, Effect, EndCause, TaskName,
    arena::{RunKey, TaskKey},
    rotation,
    run::Run,
};

/// SAVE_INTERVAL_MS is the shortest time between two saves of downtimes.
const SAVE_INTERVAL_MS: u64 = 1_000;
/// MAX_SAVED is how many downtimes, and how many time slices, are saved at intervals: up to 10 kB. The
/// longest come first.
const MAX_SAVED: usize = 250;
/// MAX_RELEASED is the same at a release, up to 40 kB.
const MAX_RELEASED: usize = 1_000;

/// UNKNOWN_MS is the shortest downtime that is logged of a task whose last run is not known to have
/// ended, such as one that has had no run yet.
const UNKNOWN_MS: u64 = 1_000;

/// Record is what the store keeps of the downtimes and time slices of long-running tasks, and of the
/// workers that they make way on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The tasks without a run.
    pub entries: Vec<Entry>,
    /// The runs that may not be preempted yet.
    pub slices: Vec<Slice>,
    /// Whether these are all of them.
    pub has_all_slices: bool,
    /// The workers on which no long-running task starts.
    pub dedicated: Vec<Dedicated>,
}

/// Dedicated is a worker that is kept for short tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dedicated {
    /// The worker's id.
    pub worker: String,
    /// The priority of the queue whose short tasks it was dedicated to.
    pub priority: u8,
}

/// Slice is what is left of the time slice of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slice {
    /// The task.
    pub task: TaskName,
    /// For how long the run went on at least when the record was saved, in milliseconds.
    pub left_ms: u64,
}

/// Entry is the downtime of a task in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The task.
    pub task: TaskName,
    /// How its last run ended.
    pub cause: Cause,
    /// For how long it had had no run when the record was saved, in milliseconds.
    pub ms: u64,
}

/// Cause tells how the last run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// Its worker listed the end.
    Listed(EndCause),
    /// Its worker ended, or did not answer until the lease had expired.
    Died,
    /// Its worker neither showed the run nor listed its end.
    Missing,
    /// It has had no run yet, or its owner did not learn how the last one ended.
    Unknown,
}

impl Cause {
    /// label returns the cause as metrics and log lines name it.
    pub fn label(self) -> &'static str {
        match self {
            Cause::Listed(EndCause::Done) => "done",
            Cause::Listed(EndCause::Failed) => "failed",
            Cause::Listed(EndCause::Stopped) => "stopped",
            Cause::Listed(EndCause::Lapsed) => "lapsed",
            Cause::Listed(EndCause::Broken) => "broken",
            Cause::Listed(EndCause::Alone) => "alone",
            Cause::Died => "died",
            Cause::Missing => "missing",
            Cause::Unknown => "unknown",
        }
    }
}

/// Resumed is a long-running task that runs again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resumed {
    /// How the run before had ended.
    pub cause: Cause,
    /// For how long the task had no run, in milliseconds.
    pub after_ms: u64,
}

/// Downtime is the time since a task last ran.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Downtime {
    pub cause: Cause,
    /// When the owner learnt of the end.
    found: Millis,
    /// How long before that the run was last known to run.
    unseen_ms: u64,
    /// Whether the run ended under a predecessor.
    pub inherited: bool,
}

/// Downtimes holds what concerns no single task.
#[derive(Debug, Default)]
pub(crate) struct Downtimes {
    /// What the predecessor saved, for tasks whose jobs are not known yet.
    inherited: HashMap<TaskName, Downtime>,
    /// When the time slices end that the predecessor saved.
    slice_ends: HashMap<TaskName, Millis>,
    /// Whether these are all that were not over.
    knows_slices: bool,
    /// The workers that the predecessor had dedicated, by id, with the priorities.
    pub dedicated: HashMap<String, u8>,
    /// When they first changed after they were saved.
    changed_at: Option<Millis>,
    /// When they were last saved.
    saved_at: Millis,
}

impl Downtime {
    /// of returns the downtime that begins with the end of a run, of which the owner learns now.
    pub(crate) fn of(run: &Run, cause: Cause, now: Millis) -> Downtime {
        Downtime {
            cause,
            found: now,
            unseen_ms: now.since(run.known_at()),
            inherited: false,
        }
    }

    /// ms returns how long the task has not run, in milliseconds.
    pub(crate) fn ms(&self, now: Millis) -> u64 {
        self.unseen_ms.saturating_add(self.known_ms(now))
    }

    /// known_ms returns how long the owner has known that the run has ended, in milliseconds.
    pub(crate) fn known_ms(&self, now: Millis) -> u64 {
        now.since(self.found)
    }
}

impl Cell {
    /// record_resumed logs and counts the downtime before a run of a long-running task. If it is not
    /// known how the last run ended, the downtime is what this owner knows of it.
    pub(crate) fn record_resumed(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key).filter(|run| run.long_running) else {
            return;
        };
        let (task, name, number) = (run.task, run.name, run.number);
        let worker = self.worker(run.worker).info.id.clone();
        self.record_downtime();
        let now = self.now.mono;
        let downtime = self.task(task).downtime;
        let downtime = downtime.filter(|downtime| downtime.cause != Cause::Unknown);
        let (after_ms, cause) = match downtime {
            Some(downtime) => (downtime.ms(now), downtime.cause),
            None => (now.since(self.task(task).ready_since), Cause::Unknown),
        };
        if cause == Cause::Unknown && after_ms < UNKNOWN_MS {
            return;
        }
        let known = match downtime {
            Some(downtime) => format!("known after {} ms", downtime.unseen_ms),
            None => "counted from when this owner knew of the task".to_owned(),
        };
        let text = format!(
            "run {number} on worker {worker} after {after_ms} ms without a run: {}, {known}; it could \
             start since {} ms, this owner took over {} ms ago",
            cause.label(),
            self.task(task).startable_at.map_or(0, |at| now.since(at)),
            now.since(self.ownership.began)
        );
        self.log("resume", Some(name), text);
        self.effects
            .push(Effect::Resumed(Resumed { cause, after_ms }));
    }

    /// record_downtime records that a downtime has begun or ended, or that a worker has fallen silent
    /// or answers again.
    pub(crate) fn record_downtime(&mut self) {
        let now = self.now.mono;
        self.downtimes.changed_at.get_or_insert(now);
    }

    /// take_downtimes returns the downtimes to add to a save, if they have changed.
    pub(crate) fn take_downtimes(&mut self) -> Option<Record> {
        let now = self.now.mono;
        let is_soon = now.since(self.downtimes.saved_at) < SAVE_INTERVAL_MS;
        if is_soon || self.downtimes.changed_at.take().is_none() {
            return None;
        }
        self.downtimes.saved_at = now;
        Some(self.downtime_record(MAX_SAVED))
    }

    /// are_downtimes_due reports whether the downtimes are to be saved though nothing else is. Such a
    /// save delays others, so it waits for one of these, and is not tried while the store does not
    /// answer.
    pub(crate) fn are_downtimes_due(&self) -> bool {
        let is_due = |at: Millis| self.now.mono.since(at) >= SAVE_INTERVAL_MS;
        self.downtimes.changed_at.is_some_and(is_due)
            && is_due(self.downtimes.saved_at)
            && self.is_confirmed_lately()
    }

    /// released_downtimes returns the record to save with a release.
    pub(crate) fn released_downtimes(&self) -> Record {
        self.downtime_record(MAX_RELEASED)
    }

    /// downtime_record returns the record to save, with up to `limit` downtimes and as many slices.
    fn downtime_record(&self, limit: usize) -> Record {
        let steps = self
            .queued()
            .filter(|step| self.step_spec(*step).long_running);
        let ready = steps.flat_map(|step| &self.step_of(step).ready);
        let has_no_run = ready.filter(|task| self.is_known_to_wait(**task));
        let waiting = has_no_run.map(|task| Entry {
            task: self.name(*task),
            cause: self.cause_of(*task),
            ms: self.wait_ms(*task),
        });
        let runs = self.runs.values().filter(|run| run.long_running);
        let absent = runs.filter_map(|run| self.absence(run));
        let mut entries: Vec<Entry> = waiting.chain(absent).collect();
        entries.sort_unstable_by_key(|entry| (Reverse(entry.ms), entry.task));
        entries.truncate(limit);
        let mut slices = self.slices();
        let knows_all = self.has_contacted_all() || self.downtimes.knows_slices;
        let has_all_slices = knows_all && slices.len() <= limit;
        slices.truncate(limit);
        Record {
            entries,
            slices,
            has_all_slices,
            dedicated: self.dedications(),
        }
    }

    /// is_known_to_wait reports whether a task has no run. Those of earlier jobs that this owner has just
    /// read may have one that no worker has reported yet.
    fn is_known_to_wait(&self, task: TaskKey) -> bool {
        self.task(task).downtime.is_some()
            || self.absent_since_release_ms(task).is_some()
            || !self.job_of(task).inherited
            || self.knows_assignments(task) && !self.awaits_assigned(task)
            || self.has_contacted_all()
    }

    /// cause_of returns how the last run of a task ended, if that is known.
    fn cause_of(&self, task: TaskKey) -> Cause {
        let downtime = self.task(task).downtime;
        match downtime.map(|downtime| downtime.cause) {
            Some(cause) => cause,
            None if self.absent_since_release_ms(task).is_some() => Cause::Died,
            None => Cause::Unknown,
        }
    }

    /// absence returns the downtime of a task with a run that is on a silent worker, or that no worker
    /// has confirmed.
    fn absence(&self, run: &Run) -> Option<Entry> {
        let is_silent = self.worker(run.worker).silent_since.is_some();
        let cause = match run.confirmed {
            Some(_) if is_silent => Cause::Died,
            Some(_) => return None,
            None => self.cause_of(run.task),
        };
        Some(Entry {
            task: run.name,
            cause,
            ms: self.absent_ms(run),
        })
    }

    /// slices returns the time slices that are not over, the longest first, with those that the
    /// predecessor saved for runs which no worker has reported yet.
    fn slices(&self) -> Vec<Slice> {
        let now = self.now.mono;
        let runs = self.runs.values().filter(|run| run.long_running);
        let slices = runs.filter(|run| run.slice_end() > now).map(|run| Slice {
            task: run.name,
            left_ms: run.slice_end().since(now),
        });
        let adopted = |name: &TaskName| {
            let task = self.find(*name);
            task.is_some_and(|task| !self.task(task).runs.is_empty())
        };
        let inherited = self.downtimes.slice_ends.iter();
        let inherited = inherited.filter(|(name, end)| **end > now && !adopted(name));
        let inherited = inherited.map(|(name, end)| Slice {
            task: *name,
            left_ms: end.since(now),
        });
        let mut slices: Vec<Slice> = slices.chain(inherited).collect();
        slices.sort_unstable_by_key(|slice| (Reverse(slice.left_ms), slice.task));
        slices
    }

    /// record_unseen_end records that a task of an earlier job waits whose last run ended without this
    /// owner ever seeing it run. It has waited for as long as was assumed until now.
    pub(crate) fn record_unseen_end(&mut self, task: TaskKey, cause: EndCause) {
        let entry = self.task(task);
        let is_long_running = self.step_spec(entry.step).long_running;
        if !is_long_running || entry.downtime.is_some() || !entry.runs.is_empty() {
            return;
        }
        let downtime = Downtime {
            cause: Cause::Listed(cause),
            found: self.now.mono,
            unseen_ms: self.wait_ms(task),
            inherited: true,
        };
        self.task_mut(task).downtime = Some(downtime);
    }

    /// inherited_slice_ms returns for how long an adopted run of a task goes on at least before it is
    /// preempted. It has just begun if the predecessor saved that the task had no run.
    pub(crate) fn inherited_slice_ms(&self, task: TaskKey, number: u32) -> u64 {
        let (name, downtime) = (self.name(task), self.task(task).downtime);
        if downtime.is_some_and(|downtime| downtime.inherited) {
            return rotation::MIN_RUN_MS;
        }
        let end = self.downtimes.slice_ends.get(&name);
        match end {
            Some(end) => end.since(self.now.mono),
            None if self.downtimes.knows_slices => 0,
            None => rotation::assumed_slice_ms(name, number),
        }
    }

    /// restore_downtimes adds the downtimes and time slices in a record that has been in the store for `age_ms` at
    /// least. Jobs must not have been added before.
    pub fn restore_downtimes(&mut self, record: &Record, age_ms: u64) {
        let now = self.now.mono;
        let downtime = |entry: &Entry| Downtime {
            cause: entry.cause,
            found: now,
            unseen_ms: entry.ms.saturating_add(age_ms),
            inherited: true,
        };
        let entries = record.entries.iter();
        let inherited = entries.map(|entry| (entry.task, downtime(entry)));
        self.downtimes.inherited = inherited.collect();
        let end = |slice: &Slice| now.plus(slice.left_ms.saturating_sub(age_ms));
        let ends = record.slices.iter();
        let ends = ends.map(|slice| (slice.task, end(slice)));
        self.downtimes.slice_ends = ends.collect();
        self.downtimes.knows_slices = record.has_all_slices;
        let dedicated = record.dedicated.iter();
        let dedicated = dedicated.map(|entry| (entry.worker.clone(), entry.priority));
        self.downtimes.dedicated = dedicated.collect();
    }

    /// restore_downtime gives a task of an earlier job the downtime that the predecessor saved.
    pub(crate) fn restore_downtime(&mut self, task: TaskKey) {
        if !self.downtimes.inherited.is_empty() {
            let name = self.name(task);
            self.task_mut(task).downtime = self.downtimes.inherited.remove(&name);
        }
    }
}
