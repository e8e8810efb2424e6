// SPDX-License-Identifier: Apache-2.0
//! The oracle: for how long what could run has had nothing running.
//!
//! Client accounts count a job as lost that has nothing running for three seconds while the turn of
//! one of its tasks has come, there is capacity for the task twice over, and under half of the
//! service is in use. Of long-running jobs they count each task, from six seconds after its last
//! run, and however full the service is.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use stackpier_cell::{EndCause, TaskName};
use stackpier_core::{Size, key};
use stackpier_standin::fleet::{Run, Worker};
use stackpier_state::job::{Progress, Record, Step};

/// LOST_MS is how long a job may have nothing running although it could run.
const LOST_MS: u64 = 3_000;
/// LONG_RUNNING_LOST_MS is how long ago the last run of a long-running task may have ended.
const LONG_RUNNING_LOST_MS: u64 = 6_000;
/// CALM_MS is the time after a takeover or a lost worker from which waits count: client accounts ask
/// for four calm seconds before them.
const CALM_MS: u64 = 4_000;
/// LEASE_MS is added for a lost worker: its tasks can't start elsewhere before its lease, a call in
/// flight and the end of the runs are over.
const LEASE_MS: u64 = 6_900;
/// ROOMY_WORKERS is on how many workers there must be room for a task: the capacity for it twice
/// over.
const ROOMY_WORKERS: usize = 2;
/// LONG_RUNNING_USE_PERCENT is the share of its processors that a long-running task uses.
const LONG_RUNNING_USE_PERCENT: u64 = 45;
/// PERCENT is the number of hundredths in a whole.
const PERCENT: u64 = 100;

/// Cluster is what the oracle looks at.
pub(super) struct Cluster<'a> {
    pub now_ms: u64,
    pub workers: &'a [Worker],
    /// Whether each worker is lost.
    pub lost: &'a [bool],
    /// The accepted jobs. Each of their steps follows the one before it.
    pub jobs: &'a BTreeMap<key::Job, Record>,
    /// What owners have saved of them.
    pub progress: &'a BTreeMap<key::Job, Progress>,
}

impl Cluster<'_> {
    /// usable_workers returns the workers that take starts.
    fn usable_workers(&self) -> impl Iterator<Item = &Worker> {
        self.live_workers().filter(|worker| !worker.info.draining)
    }

    fn live_workers(&self) -> impl Iterator<Item = &Worker> {
        let workers = self.workers.iter().zip(self.lost);
        workers
            .filter(|(_, lost)| !**lost)
            .map(|(worker, _)| worker)
    }

    fn runs(&self) -> impl Iterator<Item = &Run> {
        self.live_workers().flat_map(|worker| &worker.runs)
    }

    /// is_half_free reports whether under half of the processors are in use.
    fn is_half_free(&self) -> bool {
        let capacity = |worker: &Worker| u64::from(worker.info.capacity.milli_cores);
        let capacity: u64 = self.usable_workers().map(capacity).sum();
        let runs = self.usable_workers().flat_map(|worker| &worker.runs);
        let used: u64 = runs.map(used_milli).sum();
        used * 2 < capacity
    }

    /// free returns the free capacity of each worker that takes starts.
    fn free(&self) -> Vec<Size> {
        let free = |worker: &Worker| {
            let reserved: Size = worker.runs.iter().map(|run| run.behaviour().size).sum();
            worker.info.capacity.minus(&reserved)
        };
        self.usable_workers().map(free).collect()
    }
}

/// has_room reports whether enough workers have room for a task of a step.
fn has_room(free: &[Size], step: &Step) -> bool {
    let mut size = step.size;
    if step.best_effort {
        size.milli_cores = 0;
    }
    free.iter().filter(|free| size.fits(free)).count() >= ROOMY_WORKERS
}

/// used_milli returns the processors that a run uses, in thousandths of a core.
fn used_milli(run: &Run) -> u64 {
    let behaviour = run.behaviour();
    let requested = u64::from(behaviour.size.milli_cores);
    let best_effort = u64::from(behaviour.best_effort_milli) * u64::from(run.pace) / PERCENT;
    match behaviour.long_running {
        true => requested * LONG_RUNNING_USE_PERCENT / PERCENT,
        false => requested + best_effort,
    }
}

/// Waiting is something that has nothing running: a long-running task, or the first open task of a
/// step.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// The task.
    pub task: TaskName,
    /// For how long there has been nothing running.
    pub waited_ms: u64,
    /// For how long, until now, it could have run.
    pub could_run_ms: u64,
}

/// Violation is a wait that was too long.
#[derive(Clone, Debug)]
pub struct Violation {
    /// When it was found.
    pub at_ms: u64,
    /// What waited.
    pub waiting: Waiting,
    /// What the owner says about the job.
    pub explained: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Waiting {
            task,
            waited_ms,
            could_run_ms,
        } = self.waiting;
        write!(
            f,
            "at {} ms: {task} has had nothing running for {waited_ms} ms, in the last \
             {could_run_ms} ms of which it could have run; {}",
            self.at_ms, self.explained
        )
    }
}

/// Wait holds the times of something that waits.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since_ms: u64,
    /// Since when it could have run; none if it can't now.
    could_run_since_ms: Option<u64>,
}

/// Oracle measures the waits.
pub(super) struct Oracle {
    waits: BTreeMap<TaskName, Wait>,
    calm_from_ms: u64,
    /// The longest wait of something that could have run.
    pub longest_ms: u64,
}

impl Oracle {
    pub(super) fn new() -> Oracle {
        Oracle {
            waits: BTreeMap::new(),
            calm_from_ms: 0,
            longest_ms: 0,
        }
    }

    /// record_fault records that a fault occurs. Waits count again after a calm time, which begins
    /// when the tasks of a lost worker may start elsewhere.
    pub(super) fn record_fault(&mut self, now_ms: u64, loses_worker: bool) {
        let lease_ms = if loses_worker { LEASE_MS } else { 0 };
        let calm_from_ms = now_ms + lease_ms + CALM_MS;
        self.calm_from_ms = self.calm_from_ms.max(calm_from_ms);
    }

    /// observe looks at the workers. It returns whether something waits that could run, and what has
    /// waited for too long.
    pub(super) fn observe(&mut self, cluster: &Cluster) -> (bool, Option<Waiting>) {
        let idle = find_idle(cluster);
        self.waits.retain(|task, _| idle.contains_key(task));
        let calm = cluster.now_ms >= self.calm_from_ms;
        let half_free = cluster.is_half_free();
        let free = cluster.free();
        let mut overdue = None;
        let mut waits = false;
        for (task, step) in idle {
            let wait = self.waits.entry(task).or_insert(Wait {
                since_ms: cluster.now_ms,
                could_run_since_ms: None,
            });
            let quiet = half_free || step.long_running;
            if !calm || !quiet || !has_room(&free, step) {
                wait.could_run_since_ms = None;
                continue;
            }
            let could_run_since_ms = wait.could_run_since_ms.get_or_insert(cluster.now_ms);
            let waiting = Waiting {
                task,
                waited_ms: cluster.now_ms - wait.since_ms,
                could_run_ms: cluster.now_ms - *could_run_since_ms,
            };
            self.longest_ms = self.longest_ms.max(waiting.could_run_ms);
            waits = true;
            let least_ms = if step.long_running {
                LONG_RUNNING_LOST_MS
            } else {
                LOST_MS
            };
            if waiting.could_run_ms > LOST_MS && waiting.waited_ms > least_ms {
                overdue = overdue.or(Some(waiting));
            }
        }
        (waits, overdue)
    }
}

/// find_idle returns what has nothing running although its turn has come: each such long-running
/// task, and the first open task of every other job.
fn find_idle<'a>(cluster: &Cluster<'a>) -> BTreeMap<TaskName, &'a Step> {
    let running: BTreeSet<TaskName> = cluster.runs().map(|run| run.task).collect();
    let jobs: BTreeSet<key::Job> = running.iter().map(|task| task.job).collect();
    let listed = cluster.live_workers().flat_map(|worker| &worker.ends);
    let listed = listed.filter(|end| end.cause == EndCause::Done);
    let listed: BTreeSet<TaskName> = listed.map(|end| end.task).collect();
    let mut idle = BTreeMap::new();
    for (job, record) in cluster.jobs {
        let tasks = tasks(*job, record);
        if record.spec.steps[0].long_running {
            idle.extend(tasks.filter(|(task, _)| !running.contains(task)));
        } else if !jobs.contains(job) {
            let progress = cluster.progress.get(job);
            if progress.is_some_and(|progress| progress.state.is_final()) {
                continue;
            }
            let is_saved = |number| progress.is_some_and(|progress| progress.is_done(number));
            let is_open = |(number, (task, _)): &(u32, (TaskName, &Step))| {
                !is_saved(*number) && !listed.contains(task)
            };
            // As each step follows the one before it, the turn of the first open task has come.
            let first = (0..).zip(tasks).find(is_open);
            idle.extend(first.map(|(_, task)| task));
        }
    }
    idle
}

/// tasks returns the tasks of a job with their steps.
fn tasks(job: key::Job, record: &Record) -> impl Iterator<Item = (TaskName, &Step)> {
    let steps = record.spec.steps.iter().enumerate();
    steps.flat_map(move |(number, step)| {
        let name = move |index| TaskName {
            job,
            round: 0,
            step: number as u16,
            index,
        };
        (0..step.count).map(move |index| (name(index), step))
    })
}
