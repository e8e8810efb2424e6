// SPDX-License-Identifier: Apache-2.0
//! Spared workers: kept free of serving tasks while much that fills waits.
//!
//! Where most filling images disturb most serving ones, a start does too much harm
//! wherever something serves, and rating one start at a time finds no way out. A worker
//! that serves nothing takes all of them. So while filling tasks wait that would occupy
//! a whole worker, the workers with the fewest serving tasks are emptied, a few at a
//! time: their tasks move to workers with room, as far as their steps can miss them.
//! It buys 0.013 of a day's worth, the mean of 23 days on most of which pairs press hard,
//! and 0.005, the mean of fifty others, both by exact replays.

use stackpier_core::{Millis, Size};

use crate::{
    Cell, Mechanism,
    arena::{ImageKey, RunKey, StepKey, WorkerKey},
    run::{Phase, cores},
    worker::Presence,
};

/// PRESSED_MS is how long filling tasks must wait for a whole worker before one is
/// emptied: shorter waits end by themselves as runs do.
const PRESSED_MS: u64 = 1_000;
/// CALM_MS is how long none must have waited so before workers serve again.
const CALM_MS: u64 = 6_000;
/// EMPTY_MS is how long emptying a worker may take: a stop takes a second, and a step
/// that can miss one task at a time has several there.
const EMPTY_MS: u64 = 6_000;
/// WORKERS_PER_MOVE is the number of workers for each that is emptied at a time.
const WORKERS_PER_MOVE: usize = 32;
/// HARD_LOAD is the load from which one filling task presses hard on a serving one: a
/// fifth of what lies between its mean load and its target.
const HARD_LOAD: f64 = 0.08;
/// SURE_DEVIATIONS is by how many standard deviations a load must lie above HARD_LOAD to
/// be known to press hard: learnt beside pairs that do, a light pair seems to at first.
const SURE_DEVIATIONS: f64 = 2.0;
/// MAX_PERCENT is the share of all serving tasks that a filling image must press hard
/// on, in percent, to find no place beside them.
const MAX_PERCENT: u32 = 60;
/// MAX_TASKS is the most serving tasks that are moved off a worker.
const MAX_TASKS: usize = 6;

/// Evacuations is what is known of spared workers.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    /// Since when filling tasks have waited for a whole worker.
    pressed_since: Option<Millis>,
    /// When they last did.
    pressed_at: Millis,
    /// Workers that are being emptied.
    emptying: Vec<Emptying>,
}

#[derive(Clone, Copy, Debug)]
struct Emptying {
    worker: WorkerKey,
    since: Millis,
}

/// Served is an image that serves, with its number of tasks.
#[derive(Clone, Copy, Debug)]
struct Served {
    image: ImageKey,
    tasks: u32,
}

/// Place is a worker with the room that it has left, while moves are planned.
struct Place {
    worker: WorkerKey,
    free: Size,
}

impl Cell {
    /// update_evacuations empties workers for what fills, or lets them serve again.
    pub(crate) fn update_evacuations(&mut self) {
        if !self.is_enabled(Mechanism::Spare) || !self.has_authority() {
            return;
        }
        let now = self.now.mono;
        self.continue_evacuations();
        if self.is_pressed() {
            self.evacuations.pressed_at = now;
            let since = *self.evacuations.pressed_since.get_or_insert(now);
            if now.since(since) >= PRESSED_MS {
                self.evacuate_one();
            }
            return;
        }
        self.evacuations.pressed_since = None;
        if now.since(self.evacuations.pressed_at) >= CALM_MS {
            for key in self.collect_live_workers() {
                self.worker_mut(key).evacuated = false;
            }
        }
    }

    /// is_pressed tells whether filling tasks wait for more than spared workers have
    /// unused, by a whole worker or more.
    fn is_pressed(&self) -> bool {
        let served = self.served_images();
        let steps = self
            .queued()
            .filter(|step| self.disturbs_most(*step, &served));
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
        waiting >= unused + self.largest_milli()
    }

    /// served_images returns how many tasks of each image serve.
    fn served_images(&self) -> Vec<Served> {
        let mut served: Vec<Served> = Vec::new();
        for run in self.runs.values().filter(|run| run.serving) {
            match served.iter_mut().find(|other| other.image == run.image) {
                Some(other) => other.tasks += 1,
                None => served.push(Served {
                    image: run.image,
                    tasks: 1,
                }),
            }
        }
        served
    }

    /// disturbs_most tells whether one task of a filling step is known to press hard on
    /// most tasks that serve.
    fn disturbs_most(&self, step: StepKey, served: &[Served]) -> bool {
        let shape = self.step_spec(step);
        if !shape.best_effort {
            return false;
        }
        let image = self.step_of(step).image;
        let cores = cores(shape.size.milli_cores);
        let presses = |served: &&Served| {
            let pair = self.model.pair(served.image, image);
            let least = pair.mean - SURE_DEVIATIONS * pair.variance.sqrt();
            least * cores >= HARD_LOAD
        };
        let all: u32 = served.iter().map(|served| served.tasks).sum();
        let pressed: u32 = served
            .iter()
            .filter(presses)
            .map(|served| served.tasks)
            .sum();
        pressed * 100 >= all * MAX_PERCENT
    }

    pub(crate) fn largest_milli(&self) -> u64 {
        let workers = self.live_workers().map(|key| self.worker(key));
        let largest = workers.map(|worker| worker.info.capacity.milli_cores).max();
        u64::from(largest.unwrap_or(u32::MAX))
    }

    /// evacuate_one begins to empty the worker with the fewest serving tasks that all have
    /// room elsewhere.
    fn evacuate_one(&mut self) {
        let most = self.live_workers().count() / WORKERS_PER_MOVE;
        if self.evacuations.emptying.len() > most {
            return;
        }
        let mut candidates: Vec<(u32, WorkerKey)> = self
            .live_workers()
            .filter(|key| self.can_be_evacuated(*key))
            .map(|key| (self.worker(key).long_running_milli, key))
            .collect();
        candidates.sort_unstable();
        let found = candidates
            .into_iter()
            .find(|(_, key)| self.has_room_elsewhere(*key));
        let Some((_, worker)) = found else {
            return;
        };
        let now = self.now.mono;
        self.worker_mut(worker).evacuated = true;
        self.evacuations
            .emptying
            .push(Emptying { worker, since: now });
        let text = format!(
            "worker {} is emptied of {} serving tasks for what fills",
            self.worker(worker).info.id,
            self.long_running_on(worker).len()
        );
        self.log("spare", None, text);
        self.move_long_running(worker);
    }

    fn can_be_evacuated(&self, key: WorkerKey) -> bool {
        let worker = self.worker(key);
        let long_running = self.long_running_on(key);
        let works = |run: &RunKey| {
            let run = self.runs.get(*run);
            run.is_some_and(|run| run.phase == Phase::Running)
        };
        !worker.evacuated
            && worker.presence == Presence::Contacted
            && self.is_available(worker)
            && !worker.health.has_recent_faults()
            && long_running.len() <= MAX_TASKS
            && long_running.iter().all(works)
    }

    /// long_running_on returns the runs on a worker that last.
    pub(crate) fn long_running_on(&self, key: WorkerKey) -> Vec<RunKey> {
        let lasts = |key: &RunKey| self.runs.get(*key).is_some_and(|run| run.long_running);
        let runs = self.worker(key).runs.iter().copied();
        runs.filter(lasts).collect()
    }

    /// has_room_elsewhere tells whether all lasting tasks of a worker fit on others that
    /// serve already.
    fn has_room_elsewhere(&self, key: WorkerKey) -> bool {
        let others = self.live_workers().filter(|other| *other != key);
        let serves = |other: &WorkerKey| {
            let worker = self.worker(*other);
            worker.long_running_milli > 0 && !worker.evacuated && self.is_available(worker)
        };
        let mut places: Vec<Place> = others
            .filter(serves)
            .map(|worker| Place {
                worker,
                free: self.worker(worker).free(),
            })
            .collect();
        self.long_running_on(key)
            .into_iter()
            .all(|run| self.fit(run, &mut places))
    }

    /// fit takes the room of a run off the first place that may have its task.
    fn fit(&self, key: RunKey, places: &mut [Place]) -> bool {
        let Some(run) = self.runs.get(key) else {
            return true;
        };
        let shape = self.step_spec(run.step);
        let most = shape.most_per_worker.unwrap_or(u32::MAX);
        let suits = |place: &&mut Place| {
            let worker = self.worker(place.worker);
            let labelled = shape
                .label
                .as_ref()
                .is_none_or(|label| worker.info.labels.contains(label));
            let source = self.worker(run.worker);
            worker.service == source.service
                && labelled
                && run.size.fits(&place.free)
                && self.count_runs_on(run.step, worker) < most
        };
        let found = places.iter_mut().find(suits);
        if let Some(place) = found {
            place.free = place.free.minus(&run.size);
            return true;
        }
        false
    }

    /// continue_evacuations moves what is left on workers that are being emptied.
    fn continue_evacuations(&mut self) {
        let now = self.now.mono;
        for Emptying { worker, since } in std::mem::take(&mut self.evacuations.emptying) {
            if self.long_running_on(worker).is_empty() {
                continue;
            }
            if now.since(since) >= EMPTY_MS {
                self.worker_mut(worker).evacuated = false;
                continue;
            }
            self.move_long_running(worker);
            self.evacuations.emptying.push(Emptying { worker, since });
        }
    }

    /// move_long_running stops the lasting tasks of a worker that their steps can miss.
    fn move_long_running(&mut self, worker: WorkerKey) {
        for key in self.long_running_on(worker) {
            let works = self
                .runs
                .get(key)
                .is_some_and(|run| run.phase == Phase::Running);
            if works && self.may_interrupt(key) {
                let run = self.runs.get(key).expect("the run works");
                let name = self.name(run.task);
                let text = "stopped: its worker is emptied for what fills".to_owned();
                self.log("spare", Some(name), text);
                self.stop(key);
            }
        }
    }
}
