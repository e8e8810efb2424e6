// SPDX-License-Identifier: Apache-2.0
//! Assignments: the workers on which long-running tasks may run, as the store has them.
//!
//! A long-running task starts only on a worker to which the store has assigned it. Each write
//! requires the ownership, so earlier owners can't assign anything any more once there is a
//! successor. The successor therefore knows where a task may run without an answer of a silent
//! worker, whether or not earlier owners still act: a task that is assigned nowhere starts at once,
//! and any other waits only for its own workers.
//!
//! A start waits for one write, which other saves don't delay. While the store doesn't answer, a
//! task may start again on the standby worker of its job, which was assigned to all tasks of the job
//! that had a worker.
//!
//! A successor relies on the assignments only if all runs that may exist were assigned. After an
//! owner of a version that assigns nothing, this is so once its leases have expired.

mod state;
mod write;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use stackpier_core::key;

use crate::{
    Cell,
    arena::{JobKey, RunKey, TaskKey, WorkerKey},
    worker::Worker,
};

pub(crate) use self::{state::Assigned, write::Writer};

/// MAX_TASKS is how many tasks a job has at most whose long-running tasks are assigned, so that its
/// record takes up to 20 kB. Those of larger jobs may run anywhere, as far as a successor knows.
const MAX_TASKS: u32 = 1_000;

/// Record is what the store keeps of the assignments of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The workers with their tasks.
    pub entries: Vec<Entry>,
    /// The worker on which any task of an entry may run, too.
    pub standby: Option<String>,
}

/// Entry is the tasks that are assigned to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The worker's id.
    pub worker: String,
    /// The indices of the tasks among all tasks of the job.
    pub tasks: Vec<u32>,
}

/// Write is what an owner writes of the assignments, on the condition that it still owns the cell.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// The jobs whose assignments changed.
    pub jobs: Vec<(key::Job, Record)>,
    /// Whether a successor may rely on the assignments from now on.
    pub complete: bool,
}

impl Record {
    /// add assigns a task to a worker.
    fn add(&mut self, worker: &str, task: u32) {
        let entry = self.entries.iter_mut().find(|entry| entry.worker == worker);
        match entry {
            Some(entry) if entry.tasks.contains(&task) => {}
            Some(entry) => entry.tasks.push(task),
            None => self.entries.push(Entry {
                worker: worker.to_owned(),
                tasks: vec![task],
            }),
        }
    }

    /// has_task reports whether a task is assigned to any worker.
    fn has_task(&self, task: u32) -> bool {
        self.entries.iter().any(|entry| entry.tasks.contains(&task))
    }

    /// has_worker reports whether an entry is of a worker.
    fn has_worker(&self, worker: &str) -> bool {
        self.entries.iter().any(|entry| entry.worker == worker)
    }

    /// allows reports whether a task may start on a worker.
    fn allows(&self, worker: &str, task: u32) -> bool {
        let is_its = |entry: &Entry| entry.worker == worker && entry.tasks.contains(&task);
        let is_standby = self.standby.as_deref() == Some(worker);
        is_standby && self.has_task(task) || self.entries.iter().any(is_its)
    }

    /// common returns the starts that two records allow.
    fn common(&self, other: &Record) -> Record {
        let standby = self.standby.clone();
        let mut common = Record {
            standby: standby.filter(|_| self.standby == other.standby),
            ..Record::default()
        };
        for entry in &self.clone().spread().entries {
            let tasks = entry.tasks.iter();
            let shared = tasks.filter(|task| other.allows(&entry.worker, **task));
            shared.for_each(|task| common.add(&entry.worker, *task));
        }
        common
    }

    /// spread returns the record with the standby worker among the entries of its tasks.
    fn spread(mut self) -> Record {
        let Some(standby) = self.standby.take() else {
            return self;
        };
        let tasks: Vec<u32> = self
            .entries
            .iter()
            .flat_map(|entry| entry.tasks.iter().copied())
            .collect();
        for task in tasks {
            self.add(&standby, task);
        }
        self
    }

    /// workers_of returns the workers to which a task is assigned, without the standby worker.
    fn workers_of(&self, task: u32) -> impl Iterator<Item = &str> {
        let its = self
            .entries
            .iter()
            .filter(move |entry| entry.tasks.contains(&task));
        its.map(|entry| entry.worker.as_str())
    }
}

impl Cell {
    /// restore_assignments adds the assignments that predecessors wrote, which include all runs of
    /// long-running tasks that may exist. Jobs must not have been added before.
    pub fn restore_assignments(&mut self, records: HashMap<key::Job, Record>) {
        let text = format!(
            "the runs of long-running tasks of {} jobs are assigned to workers; all others run nowhere",
            records.len()
        );
        self.log("takeover", None, text);
        self.assignments.restore(records);
    }

    /// ignore_assignments records that the assignments of a job can't be read. This owner writes none
    /// for it, so that later owners see the same.
    pub fn ignore_assignments(&mut self, job: key::Job) {
        self.assignments.ignore(job);
    }

    /// init_assignments gives a new job its assignments: none, or those that predecessors wrote.
    pub(crate) fn init_assignments(&mut self, key: JobKey) {
        let job = self.job(key);
        let has_long_running = job.spec.steps.iter().any(|step| step.long_running);
        if !has_long_running || job.tasks > MAX_TASKS {
            return;
        }
        let (id, inherited) = (job.id, job.inherited);
        if self.assignments.ignores(id) {
            return;
        }
        let record = self.assignments.take_inherited(id).filter(|_| inherited);
        self.job_mut(key).assigned = Some(Box::new(Assigned::new(record.unwrap_or_default())));
    }

    /// assigned_of returns the assignments of the job of a long-running task, if they are written.
    fn assigned_of(&self, task: TaskKey) -> Option<&Assigned> {
        let is_long_running = self.step_spec(self.task(task).step).long_running;
        let assigned = self.job_of(task).assigned.as_deref();
        assigned.filter(|_| is_long_running)
    }

    /// knows_assignments reports whether it is known to which workers predecessors assigned a task.
    pub(crate) fn knows_assignments(&self, task: TaskKey) -> bool {
        self.job_of(task).inherited
            && self.assignments.are_inherited()
            && self.assigned_of(task).is_some()
    }

    /// awaits_assigned reports whether a task may still run on a worker to which a predecessor
    /// assigned it.
    pub(crate) fn awaits_assigned(&self, task: TaskKey) -> bool {
        let index = self.index_of(task);
        self.assigned_of(task).is_some_and(|assigned| {
            let mut workers = assigned.inherited.workers_of(index);
            workers.any(|id| self.may_run_unseen(task, id))
        })
    }

    /// may_have_run_on_lost reports whether a predecessor assigned a task to a worker that this owner
    /// has not received a report from.
    pub(crate) fn may_have_run_on_lost(&self, task: TaskKey) -> bool {
        let index = self.index_of(task);
        let is_lost = |id: &str| {
            let worker = self.find_worker_by_id(id);
            worker.is_some_and(|worker| worker.is_inherited() || worker.is_lost_uncontacted())
        };
        self.assigned_of(task)
            .is_some_and(|assigned| assigned.inherited.workers_of(index).any(is_lost))
    }

    /// find_worker_by_id returns the latest incarnation of the worker with an id.
    fn find_worker_by_id(&self, id: &str) -> Option<&Worker> {
        let key = self.worker_keys.get(id)?;
        Some(self.worker(*key))
    }

    /// may_run_unseen reports whether predecessors may have left a task on the worker with an id, to
    /// which it was assigned. Workers that are not in the roster run nothing.
    fn may_run_unseen(&self, task: TaskKey, id: &str) -> bool {
        let Some(worker) = self.find_worker_by_id(id) else {
            return false;
        };
        let tasks = worker.inherited_tasks.as_ref();
        let is_named = tasks.is_none_or(|tasks| tasks.contains(&self.name(task)));
        is_named && worker.is_inherited() && !self.have_leases_ended(worker)
    }

    /// have_leases_ended reports whether all leases of earlier owners on a worker that does not answer
    /// have expired, and no successor had acted by then.
    fn have_leases_ended(&self, worker: &Worker) -> bool {
        let over = self.is_confirmed_after(self.ownership.inherited_until);
        self.has_outlived(worker) || over && !self.may_report_inherited(worker)
    }

    /// is_assigned reports whether the store has a task assigned to a worker, whichever of the writes
    /// in flight takes effect. Tasks that are never assigned may start anywhere.
    pub(crate) fn is_assigned(&self, task: TaskKey, worker: WorkerKey) -> bool {
        let (index, id) = (self.index_of(task), &self.worker(worker).info.id);
        self.assigned_of(task)
            .is_none_or(|assigned| assigned.allows(id, index))
    }

    /// needs_assigned reports whether a task can only start on workers to which it is assigned
    /// already, because the store does not answer.
    pub(crate) fn needs_assigned(&self, task: TaskKey) -> bool {
        self.assignments.has_failed() && self.assigned_of(task).is_some()
    }

    /// assign has a run wait until the store has its task assigned to its worker.
    pub(crate) fn assign(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (task, worker) = (run.task, run.worker);
        if self.is_assigned(task, worker) {
            return;
        }
        if let Some(run) = self.runs.get_mut(key) {
            run.unassigned = true;
        }
        self.change_assignments(task);
        self.assignments.hurry();
    }

    /// change_assignments records that a task's runs have changed.
    pub(crate) fn change_assignments(&mut self, task: TaskKey) {
        if self.assigned_of(task).is_some() {
            let job = self.step_of(self.task(task).step).job;
            self.assignments.mark(job);
        }
    }

    /// record_of returns the assignments of a job to write: the workers of all runs, those of starts
    /// that may still be carried out, and those on which predecessors may have left its tasks.
    fn record_of(&self, key: JobKey) -> Record {
        let mut record = Record::default();
        let job = self.job(key);
        let Some(assigned) = &job.assigned else {
            return record;
        };
        for task in self.tasks_of(key) {
            let index = self.index_of(task);
            if !self.step_spec(self.task(task).step).long_running {
                continue;
            }
            for run in &self.task(task).runs {
                if let Some(run) = self.runs.get(*run) {
                    record.add(&self.worker(run.worker).info.id, index);
                }
            }
            for id in assigned.inherited.workers_of(index) {
                if self.may_run_unseen(task, id) {
                    record.add(id, index);
                }
            }
        }
        self.add_unanswered(key, &mut record);
        record.standby = self.standby_of(key, &record);
        record
    }

    /// add_unanswered adds the starts of a job's tasks that got no answer.
    fn add_unanswered(&self, key: JobKey, record: &mut Record) {
        let id = self.job(key).id;
        for worker in &self.workers {
            let starts = worker.unanswered.iter();
            let possible = starts.filter(|start| start.is_possible(self.now.mono));
            for start in possible.filter(|start| start.task().job == id) {
                if let Some(task) = self.find(start.task()) {
                    record.add(&worker.info.id, self.index_of(task));
                }
            }
        }
    }

    /// standby_of returns the standby worker of a job: one that runs none of its tasks and has the
    /// most room. It stays the same while it can be used.
    fn standby_of(&self, key: JobKey, record: &Record) -> Option<String> {
        if record.entries.is_empty() {
            return None;
        }
        let job = self.job(key);
        let queue = self.queues.get(&job.queue)?;
        let service = queue.service.as_str();
        let suits = |worker: &Worker| {
            self.is_available(worker)
                && worker.rostered
                && worker.is_responsive()
                && worker.info.service == service
                && !record.has_worker(&worker.info.id)
        };
        let before = job
            .assigned
            .as_ref()
            .and_then(|assigned| assigned.standby());
        let before = before.filter(|id| self.find_worker_by_id(id).is_some_and(suits));
        if let Some(id) = before {
            return Some(id.to_owned());
        }
        let workers = self.live_workers().map(|key| self.worker(key));
        let roomiest = workers
            .filter(|worker| suits(worker))
            .max_by_key(|worker| worker.free().milli_cores);
        roomiest.map(|worker| worker.info.id.clone())
    }
}
