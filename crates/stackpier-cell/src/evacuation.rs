// SPDX-License-Identifier: Apache-2.0
//! Evacuations: workers that are cleared of serving tasks while many best-effort tasks wait.
//!
//! Where most best-effort images disturb most serving images, a start does too much harm on any
//! worker with serving tasks, and rating starts one by one finds no worker for them. A worker
//! without serving tasks can take all of them. So while enough best-effort tasks wait to occupy a
//! whole worker, the workers with the fewest processors allocated to long-running tasks are
//! evacuated, a few at a time: these tasks move to other workers on which they fit, as far as
//! their steps allow it (`may_miss`).

use stackpier_core::{Millis, Size};

use crate::{
    Cell, Mechanism,
    arena::{ImageKey, RunKey, StepKey, WorkerKey},
    run::{Phase, cores},
    worker::Presence,
};

/// EVACUATE_AFTER_MS is how long best-effort tasks must have waited for a whole worker before
/// one is evacuated: shorter shortages end by themselves as runs end.
const EVACUATE_AFTER_MS: u64 = 1_000;
/// RESTORE_AFTER_MS is how long no best-effort tasks must have waited for a whole worker before
/// evacuated workers get serving tasks again.
const RESTORE_AFTER_MS: u64 = 6_000;
/// MAX_EVACUATION_MS is how long an evacuation may take before it is given up. A stop takes a
/// second, and a step that may miss one task at a time may have several on the worker.
const MAX_EVACUATION_MS: u64 = 6_000;
/// WORKERS_PER_EVACUATION is the number of workers of the cell for each further evacuation that
/// may be in progress besides the first.
const WORKERS_PER_EVACUATION: usize = 32;
/// HEAVY_LOAD is the added load from which a best-effort task disturbs a serving one heavily: a
/// fifth of the difference between the mean load of a serving task and the load at its target.
const HEAVY_LOAD: f64 = 0.08;
/// CONFIDENCE_DEVIATIONS is by how many standard deviations the added load must lie above
/// HEAVY_LOAD for the disturbance to count as known. An image that disturbs little seems to
/// disturb heavily at first, if it is observed beside images that do.
const CONFIDENCE_DEVIATIONS: f64 = 2.0;
/// MAJORITY_PERCENT is the share of all serving tasks, in percent, that a best-effort image
/// must disturb heavily before workers are evacuated for it.
const MAJORITY_PERCENT: u32 = 60;
/// MAX_MOVED_TASKS is the largest number of long-running tasks on a worker that is evacuated.
const MAX_MOVED_TASKS: usize = 6;

/// Evacuations holds the progress of evacuations, and how long best-effort tasks have waited
/// for them.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    /// Since when best-effort tasks have waited for a whole worker.
    waiting_since: Option<Millis>,
    /// When they last did.
    last_waiting_at: Millis,
    /// Evacuations that have not ended.
    in_progress: Vec<Evacuation>,
}

/// Evacuation is a worker that is being evacuated, and since when.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    worker: WorkerKey,
    since: Millis,
}

/// ServedImage is the image of serving tasks, with the number of these.
#[derive(Clone, Copy, Debug)]
struct ServedImage {
    image: ImageKey,
    tasks: u32,
}

/// Destination is a worker with its free capacity after the moves planned so far.
struct Destination {
    worker: WorkerKey,
    free: Size,
}

impl Cell {
    /// update_evacuations evacuates workers for best-effort tasks, or lets them run serving
    /// tasks again.
    pub(crate) fn update_evacuations(&mut self) {
        if !self.is_enabled(Mechanism::Spare) || !self.may_place() {
            return;
        }
        let now = self.now.mono;
        self.continue_evacuations();
        if self.needs_evacuation() {
            self.evacuations.last_waiting_at = now;
            let since = *self.evacuations.waiting_since.get_or_insert(now);
            if now.since(since) >= EVACUATE_AFTER_MS {
                self.evacuate_one();
            }
            return;
        }
        self.evacuations.waiting_since = None;
        if now.since(self.evacuations.last_waiting_at) >= RESTORE_AFTER_MS {
            for key in self.collect_live_workers() {
                self.worker_mut(key).evacuated = false;
            }
        }
    }

    /// needs_evacuation reports whether the waiting best-effort tasks that disturb most serving
    /// tasks need at least one whole worker more than the unused processors of evacuated
    /// workers.
    fn needs_evacuation(&self) -> bool {
        let served = self.count_served_images();
        let steps = self
            .queued()
            .filter(|step| self.disturbs_majority(*step, &served));
        let cores = |step: StepKey| {
            let tasks = self.step_of(step).ready.len() as u64;
            tasks * u64::from(self.step_spec(step).size.milli_cores)
        };
        let waiting: u64 = steps.map(cores).sum();
        let evacuated = self.live_workers().map(|key| self.worker(key));
        let evacuated = evacuated.filter(|worker| worker.evacuated);
        let unused = |worker: &crate::worker::Worker| {
            worker
                .expected_unused_milli(self.options.serving_usage_milli)
                .max(0) as u64
        };
        let unused: u64 = evacuated.map(unused).sum();
        waiting >= unused + self.largest_worker_milli()
    }

    /// count_served_images returns how many serving tasks each image has.
    fn count_served_images(&self) -> Vec<ServedImage> {
        let mut served: Vec<ServedImage> = Vec::new();
        for run in self.runs.values().filter(|run| run.serving) {
            match served.iter_mut().find(|other| other.image == run.image) {
                Some(other) => other.tasks += 1,
                None => served.push(ServedImage {
                    image: run.image,
                    tasks: 1,
                }),
            }
        }
        served
    }

    /// disturbs_majority reports whether one task of a best-effort step is known to disturb
    /// heavily at least MAJORITY_PERCENT of the serving tasks.
    fn disturbs_majority(&self, step: StepKey, served: &[ServedImage]) -> bool {
        let spec = self.step_spec(step);
        if !spec.best_effort {
            return false;
        }
        let image = self.step_of(step).image;
        let cores = cores(spec.size.milli_cores);
        let is_disturbed = |served: &&ServedImage| {
            let pair = self.model.pair(served.image, image);
            let lower_bound = pair.mean - CONFIDENCE_DEVIATIONS * pair.variance.sqrt();
            lower_bound * cores >= HEAVY_LOAD
        };
        let all: u32 = served.iter().map(|served| served.tasks).sum();
        let disturbed: u32 = served
            .iter()
            .filter(is_disturbed)
            .map(|served| served.tasks)
            .sum();
        disturbed * 100 >= all * MAJORITY_PERCENT
    }

    /// largest_worker_milli returns the processors of the largest worker, in thousandths of a
    /// core.
    pub(crate) fn largest_worker_milli(&self) -> u64 {
        let workers = self.live_workers().map(|key| self.worker(key));
        let largest = workers.map(|worker| worker.info.capacity.milli_cores).max();
        u64::from(largest.unwrap_or(u32::MAX))
    }

    /// evacuate_one begins to evacuate the worker with the fewest processors allocated to
    /// long-running tasks, of those whose tasks all fit elsewhere.
    fn evacuate_one(&mut self) {
        let limit = self.live_workers().count() / WORKERS_PER_EVACUATION;
        if self.evacuations.in_progress.len() > limit {
            return;
        }
        let mut candidates: Vec<(u32, WorkerKey)> = self
            .live_workers()
            .filter(|key| self.may_be_evacuated(*key))
            .map(|key| (self.worker(key).long_running_milli, key))
            .collect();
        candidates.sort_unstable();
        let found = candidates
            .into_iter()
            .find(|(_, key)| self.fits_elsewhere(*key));
        let Some((_, worker)) = found else {
            return;
        };
        let now = self.now.mono;
        self.worker_mut(worker).evacuated = true;
        self.evacuations
            .in_progress
            .push(Evacuation { worker, since: now });
        let text = format!(
            "worker {} is evacuated for best-effort tasks: {} long-running tasks are moved",
            self.worker(worker).info.id,
            self.long_running_on(worker).len()
        );
        self.log("spare", None, text);
        self.move_long_running(worker);
    }

    fn may_be_evacuated(&self, key: WorkerKey) -> bool {
        let worker = self.worker(key);
        let long_running = self.long_running_on(key);
        let is_running = |run: &RunKey| {
            let run = self.runs.get(*run);
            run.is_some_and(|run| run.phase == Phase::Running)
        };
        !worker.evacuated
            && worker.presence == Presence::Contacted
            && self.is_available(worker)
            && !worker.health.has_recent_faults()
            && long_running.len() <= MAX_MOVED_TASKS
            && long_running.iter().all(is_running)
    }

    /// long_running_on returns the runs of long-running tasks on a worker.
    pub(crate) fn long_running_on(&self, key: WorkerKey) -> Vec<RunKey> {
        let is_long_running =
            |key: &RunKey| self.runs.get(*key).is_some_and(|run| run.long_running);
        let runs = self.worker(key).runs.iter().copied();
        runs.filter(is_long_running).collect()
    }

    /// fits_elsewhere reports whether all long-running tasks of a worker fit on other workers
    /// that already have such tasks.
    fn fits_elsewhere(&self, key: WorkerKey) -> bool {
        let others = self.live_workers().filter(|other| *other != key);
        let serves = |other: &WorkerKey| {
            let worker = self.worker(*other);
            worker.long_running_milli > 0 && !worker.evacuated && self.is_available(worker)
        };
        let mut destinations: Vec<Destination> = others
            .filter(serves)
            .map(|worker| Destination {
                worker,
                free: self.worker(worker).free(),
            })
            .collect();
        self.long_running_on(key)
            .into_iter()
            .all(|run| self.assign_destination(run, &mut destinations))
    }

    /// assign_destination takes the size of a run off the first destination on which it fits,
    /// and reports whether there is one.
    fn assign_destination(&self, key: RunKey, destinations: &mut [Destination]) -> bool {
        let Some(run) = self.runs.get(key) else {
            return true;
        };
        let spec = self.step_spec(run.step);
        let limit = spec.most_per_worker.unwrap_or(u32::MAX);
        let suits = |destination: &&mut Destination| {
            let worker = self.worker(destination.worker);
            let labelled = spec
                .label
                .as_ref()
                .is_none_or(|label| worker.info.labels.contains(label));
            let source = self.worker(run.worker);
            worker.service == source.service
                && labelled
                && run.size.fits(&destination.free)
                && self.count_runs_on(run.step, worker) < limit
        };
        let found = destinations.iter_mut().find(suits);
        if let Some(destination) = found {
            destination.free = destination.free.minus(&run.size);
            return true;
        }
        false
    }

    /// continue_evacuations moves the long-running tasks that are left on workers being
    /// evacuated, and ends the evacuations that are complete or have taken too long.
    fn continue_evacuations(&mut self) {
        let now = self.now.mono;
        for Evacuation { worker, since } in std::mem::take(&mut self.evacuations.in_progress) {
            if self.long_running_on(worker).is_empty() {
                continue;
            }
            if now.since(since) >= MAX_EVACUATION_MS {
                self.worker_mut(worker).evacuated = false;
                continue;
            }
            self.move_long_running(worker);
            self.evacuations
                .in_progress
                .push(Evacuation { worker, since });
        }
    }

    /// move_long_running stops the long-running tasks of a worker, as far as their steps allow
    /// it, so that they start elsewhere.
    fn move_long_running(&mut self, worker: WorkerKey) {
        for key in self.long_running_on(worker) {
            let is_running = self
                .runs
                .get(key)
                .is_some_and(|run| run.phase == Phase::Running);
            if is_running && self.may_interrupt(key) {
                let run = self.runs.get(key).expect("the run exists");
                let name = self.name(run.task);
                let text = "stopped: its worker is evacuated for best-effort tasks".to_owned();
                self.log("spare", Some(name), text);
                self.stop(key);
            }
        }
    }
}
