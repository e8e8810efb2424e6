// SPDX-License-Identifier: Apache-2.0
//! Evacuations: workers that are cleared of serving tasks while many best-effort tasks wait.
//!
//! Where most best-effort images disturb most serving images, a start does too much harm on any
//! worker with serving tasks, and rating starts one by one finds no worker for them. A worker
//! without serving tasks can take all of them. So while enough best-effort tasks wait to occupy a
//! whole worker, the workers with the fewest processors allocated to long-running tasks are
//! evacuated, a few at a time: these tasks move to other workers on which they fit, as far as
//! their steps allow it (`may_miss`). None is evacuated while long-running tasks wait for capacity or
//! are about to: these would take the place of the tasks that are moved.

use stackpier_core::{Millis, Size};

use crate::{
    Cell, Mechanism,
    arena::{ImageKey, RunKey, StepKey, WorkerKey},
    run::{Phase, Run, cores},
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
    /// How many workers were looked at so far as destinations of tasks.
    looked_at: u64,
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

/// Disturbance tells how much one core of a best-effort image adds at least to the load of the
/// serving tasks of each image.
struct Disturbance {
    best_effort: ImageKey,
    /// The lower bound of the added load, with the number of serving tasks.
    added: Vec<(f64, u32)>,
}

impl Disturbance {
    /// affects_majority reports whether a task of some cores is known to disturb heavily at least
    /// MAJORITY_PERCENT of the serving tasks.
    fn affects_majority(&self, cores: f64) -> bool {
        let heavily = self
            .added
            .iter()
            .filter(|(load, _)| load * cores >= HEAVY_LOAD);
        let disturbed: u32 = heavily.map(|(_, tasks)| tasks).sum();
        let all: u32 = self.added.iter().map(|(_, tasks)| tasks).sum();
        disturbed * 100 >= all * MAJORITY_PERCENT
    }
}

/// Destination is a worker with its free capacity after the moves planned so far.
struct Destination {
    worker: WorkerKey,
    free: Size,
}

/// Destinations are the workers that tasks may move to.
struct Destinations {
    workers: Vec<Destination>,
    /// The maximum of each resource that is free on any of them.
    max_free: Size,
    /// How many of them were looked at.
    looked_at: u64,
}

impl Cell {
    /// destinations_looked_at returns how many workers were looked at so far as destinations of
    /// tasks on workers that may be evacuated, for measurements.
    pub fn destinations_looked_at(&self) -> u64 {
        self.evacuations.looked_at
    }

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
            let is_due = now.since(since) >= EVACUATE_AFTER_MS;
            if is_due && !self.has_waiting_long_running() && !self.is_recovering() {
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
        let mut known = Vec::new();
        let steps = self
            .queued()
            .filter(|step| self.disturbs_majority(*step, &served, &mut known));
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
    /// heavily at least MAJORITY_PERCENT of the serving tasks. It keeps what the model tells of the
    /// step's image in `known`: hundreds of steps share some tens of images.
    fn disturbs_majority(
        &self,
        step: StepKey,
        served: &[ServedImage],
        known: &mut Vec<Disturbance>,
    ) -> bool {
        let spec = self.step_spec(step);
        if !spec.best_effort {
            return false;
        }
        let image = self.step_of(step).image;
        let cores = cores(spec.size.milli_cores);
        let found = known.iter().find(|known| known.best_effort == image);
        if let Some(disturbance) = found {
            return disturbance.affects_majority(cores);
        }
        let disturbance = self.disturbance(image, served);
        let affects = disturbance.affects_majority(cores);
        known.push(disturbance);
        affects
    }

    /// disturbance returns what the model tells of a best-effort image beside the serving ones.
    fn disturbance(&self, best_effort: ImageKey, served: &[ServedImage]) -> Disturbance {
        let lower_bound = |served: &ServedImage| {
            let pair = self.model.pair(served.image, best_effort);
            let lower_bound = pair.mean - CONFIDENCE_DEVIATIONS * pair.variance.sqrt();
            (lower_bound, served.tasks)
        };
        Disturbance {
            best_effort,
            added: served.iter().map(lower_bound).collect(),
        }
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
            .map(|key| (self.worker(key).long_running_milli, key))
            .collect();
        candidates.sort_unstable();
        let mut destinations = self.destinations();
        let found = candidates.into_iter().find(|(_, key)| {
            self.may_be_evacuated(*key) && self.fits_elsewhere(*key, &mut destinations)
        });
        self.evacuations.looked_at += destinations.looked_at;
        let Some((_, worker)) = found else {
            return;
        };
        let now = self.now.mono;
        self.worker_mut(worker).evacuated = true;
        let evacuation = Evacuation { worker, since: now };
        self.evacuations.in_progress.push(evacuation);
        let text = format!(
            "worker {} is evacuated for best-effort tasks: {} long-running tasks are moved",
            self.worker(worker).info.id,
            self.long_running_on(worker).len()
        );
        self.log("spare", None, text);
        self.move_long_running(&evacuation);
    }

    fn may_be_evacuated(&self, key: WorkerKey) -> bool {
        let worker = self.worker(key);
        if worker.evacuated
            || worker.presence != Presence::Contacted
            || !self.is_available(worker)
            || worker.health.has_recent_faults()
        {
            return false;
        }
        let long_running = self.long_running_on(key);
        let is_running = |run: &RunKey| {
            let run = self.runs.get(*run);
            run.is_some_and(|run| run.phase == Phase::Running)
        };
        long_running.len() <= MAX_MOVED_TASKS && long_running.iter().all(is_running)
    }

    /// long_running_on returns the runs of long-running tasks on a worker.
    pub(crate) fn long_running_on(&self, key: WorkerKey) -> Vec<RunKey> {
        let is_long_running =
            |key: &RunKey| self.runs.get(*key).is_some_and(|run| run.long_running);
        let runs = self.worker(key).runs.iter().copied();
        runs.filter(is_long_running).collect()
    }

    /// destinations returns the workers that already have long-running tasks and may get others.
    fn destinations(&self) -> Destinations {
        let serves = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.long_running_milli > 0 && !worker.evacuated && self.is_available(worker)
        };
        let destination = |worker| Destination {
            worker,
            free: self.worker(worker).free(),
        };
        let workers: Vec<Destination> = self
            .live_workers()
            .filter(serves)
            .map(destination)
            .collect();
        let free = workers.iter().map(|destination| destination.free);
        let max_free = free.fold(Size::default(), |max, free| max.max_each(&free));
        Destinations {
            looked_at: workers.len() as u64,
            workers,
            max_free,
        }
    }

    /// fits_elsewhere reports whether all long-running tasks of a worker fit on other workers
    /// that already have such tasks. It leaves the destinations as they were.
    fn fits_elsewhere(&self, key: WorkerKey, destinations: &mut Destinations) -> bool {
        let mut moved = Vec::new();
        let mut fits = true;
        for run in self.long_running_on(key) {
            let Some(run) = self.runs.get(run) else {
                continue;
            };
            let Some(position) = self.find_destination(run, destinations) else {
                fits = false;
                break;
            };
            let destination = &mut destinations.workers[position];
            moved.push((position, destination.free));
            destination.free = destination.free.minus(&run.size);
        }
        for (position, free) in moved.into_iter().rev() {
            destinations.workers[position].free = free;
        }
        fits
    }

    /// find_destination returns the position of the first destination on which a run fits.
    fn find_destination(&self, run: &Run, destinations: &mut Destinations) -> Option<usize> {
        // Where the cell is full, this spares a look at each worker for each run.
        if !run.size.fits(&destinations.max_free) {
            return None;
        }
        let spec = self.step_spec(run.step);
        let limit = spec.most_per_worker.unwrap_or(u32::MAX);
        let service = self.worker(run.worker).service;
        let found = destinations.workers.iter().position(|destination| {
            run.size.fits(&destination.free)
                && destination.worker != run.worker
                && self.worker(destination.worker).service == service
                && self.has_label(spec, destination.worker)
                && self.count_runs_on(run.step, self.worker(destination.worker)) < limit
        });
        let looked_at = found.map_or(destinations.workers.len(), |position| position + 1);
        destinations.looked_at += looked_at as u64;
        found
    }

    /// has_label reports whether a worker has the label that a step asks for, if any.
    fn has_label(&self, spec: &stackpier_state::job::Step, key: WorkerKey) -> bool {
        let labels = &self.worker(key).info.labels;
        spec.label
            .as_ref()
            .is_none_or(|label| labels.contains(label))
    }

    /// continue_evacuations moves the long-running tasks that are left on workers being
    /// evacuated, and ends the evacuations that are complete or have taken too long, or while
    /// tasks of dead workers look for room.
    fn continue_evacuations(&mut self) {
        let now = self.now.mono;
        let is_recovering = self.is_recovering();
        for evacuation in std::mem::take(&mut self.evacuations.in_progress) {
            let Evacuation { worker, since } = evacuation;
            let is_over = now.since(since) >= MAX_EVACUATION_MS;
            if is_over || is_recovering {
                self.worker_mut(worker).evacuated = false;
                continue;
            }
            if self.left_to_move(&evacuation).is_empty() {
                continue;
            }
            self.move_long_running(&evacuation);
            self.evacuations.in_progress.push(evacuation);
        }
    }

    /// left_to_move returns the long-running runs that were on a worker when its evacuation began.
    /// One that has started there since found no other worker.
    fn left_to_move(&self, evacuation: &Evacuation) -> Vec<RunKey> {
        let mut runs = self.long_running_on(evacuation.worker);
        runs.retain(|run| {
            let run = self.runs.get(*run);
            run.is_some_and(|run| run.since <= evacuation.since)
        });
        runs
    }

    /// move_long_running stops the long-running tasks of a worker, as far as their steps allow
    /// it, so that they start elsewhere.
    fn move_long_running(&mut self, evacuation: &Evacuation) {
        for key in self.left_to_move(evacuation) {
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
