// SPDX-License-Identifier: Apache-2.0
//! Learning from the latency of serving tasks, and slowing filling tasks down
//! where it nears its target.

use stackpier_core::Millis;

use crate::{
    Cell, Effect, Pace,
    arena::{RunKey, WorkerKey},
    interference::Load,
    job::{Phase, Run},
};

/// SETTLE_MS is how long after its start a run's figures are not learnt from:
/// they cover the last half second.
const SETTLE_MS: u64 = 600;
/// RESIDUAL_WEIGHT is the weight of a new sample in the smoothed difference
/// between a task's strain and the model's word.
const RESIDUAL_WEIGHT: f64 = 0.4;
/// SLOW_STRAIN is the strain above which filling tasks are slowed down: the
/// logarithm of 0.92 of the target.
const SLOW_STRAIN: f64 = -0.08;
/// AIM_STRAIN is the strain that slowing down aims at: 0.75 of the target.
const AIM_STRAIN: f64 = -0.29;
/// RAISE_STRAIN is the strain below which a slowed task is raised again: 0.65
/// of the target.
const RAISE_STRAIN: f64 = -0.43;
/// LEAST_PART is the least part of a strain that is worth slowing for.
const LEAST_PART: f64 = 0.04;
/// LEAST_CHANGE is the least change of a pace that is worth a call.
const LEAST_CHANGE: u8 = 10;
/// LOW_PACE is the pace below which a task is better moved.
const LOW_PACE: u8 = 45;
/// MOVE_AFTER_MS is how long a task stays slowed down before it is moved.
const MOVE_AFTER_MS: u64 = 200;
/// HARM_MS is how long a serving task may be over its target before all that
/// fills beside it is paused. Users count harm from four seconds.
const HARM_MS: u64 = 2_400;
/// WATCH_STRAIN is the strain above which the pace is looked at, half of the
/// target.
const WATCH_STRAIN: f64 = -0.7;

/// Strained is a serving task with its image and its expected strain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Strained {
    pub image: crate::arena::ImageKey,
    pub strain: f64,
}

impl Cell {
    /// loads returns what fills on a worker, at its present pace.
    pub(crate) fn loads(&self, worker: WorkerKey) -> Vec<Load> {
        let load = |run: &Run| Load {
            image: run.image,
            cores: run.cores(),
        };
        let runs = self.worker(worker).runs.iter();
        let runs = runs.filter_map(|key| self.runs.get(*key));
        let fills = |run: &&Run| run.fills && run.phase != Phase::Stopping;
        runs.filter(fills).map(load).collect()
    }

    fn serving(&self, worker: WorkerKey) -> Vec<RunKey> {
        let serves = |key: &RunKey| self.runs.get(*key).is_some_and(|run| run.serving);
        let runs = self.worker(worker).runs.iter().copied();
        runs.filter(serves).collect()
    }

    /// strained returns the serving tasks of a worker with the strain expected
    /// under `loads`.
    pub(crate) fn strained(&self, worker: WorkerKey, loads: &[Load]) -> Vec<Strained> {
        let task = |key: &RunKey| {
            let run = self.runs.get(*key).filter(|run| run.serving)?;
            let strain = self.model.predict(run.image, loads) + run.residual;
            Some(Strained {
                image: run.image,
                strain,
            })
        };
        self.worker(worker).runs.iter().filter_map(task).collect()
    }

    /// learn corrects the model by the report that was just taken in.
    pub(crate) fn learn(&mut self, worker: WorkerKey) {
        let serving = self.serving(worker);
        if serving.is_empty() {
            return;
        }
        let loads = self.loads(worker);
        let steady = self.is_steady(worker);
        for key in serving {
            let Some((image, strain)) = self.sample(key) else {
                continue;
            };
            if steady {
                self.model.observe(image, &loads, strain);
            }
            let surprise = strain - self.model.predict(image, &loads);
            if let Some(run) = self.runs.get_mut(key) {
                run.residual += RESIDUAL_WEIGHT * (surprise - run.residual);
            }
        }
    }

    fn sample(&self, key: RunKey) -> Option<(crate::arena::ImageKey, f64)> {
        let run = self.runs.get(key)?;
        Some((run.image, run.strain?))
    }

    /// is_steady tells whether what fills on a worker has not changed for as
    /// long as the figures of a report cover.
    fn is_steady(&self, worker: WorkerKey) -> bool {
        let now = self.now.mono;
        let settled = |key: &RunKey| {
            let run = self.runs.get(*key);
            run.is_none_or(|run| !run.fills || now.since(run.since) >= SETTLE_MS)
        };
        self.worker(worker).runs.iter().all(settled)
    }

    /// set_paces slows filling tasks down where a serving task nears its
    /// target, and raises them where there is room again.
    pub(crate) fn set_paces(&mut self, worker: WorkerKey) {
        let serving = self.serving(worker);
        if serving.is_empty() {
            self.raise_all(worker);
            return;
        }
        let runs = serving.iter().filter_map(|key| self.runs.get(*key));
        let worst = runs.filter_map(|run| run.strain).fold(f64::MIN, f64::max);
        if self.is_harmed(&serving) {
            self.pause_all(worker);
        } else if worst > SLOW_STRAIN {
            self.slow(worker);
        } else if worst < RAISE_STRAIN || worst < WATCH_STRAIN {
            self.raise(worker);
        }
        self.move_slowed(worker);
    }

    fn is_harmed(&self, serving: &[RunKey]) -> bool {
        let now = self.now.mono;
        let long = |since: Millis| now.since(since) >= HARM_MS;
        let runs = serving.iter().filter_map(|key| self.runs.get(*key));
        runs.filter_map(|run| run.over_since).any(long)
    }

    /// fillers returns the runs on a worker whose pace may be set.
    fn fillers(&self, worker: WorkerKey) -> Vec<RunKey> {
        let paced = |key: &RunKey| {
            let run = self.runs.get(*key);
            run.is_some_and(|run| run.fills && run.phase == Phase::Running)
        };
        let runs = self.worker(worker).runs.iter().copied();
        runs.filter(paced).collect()
    }

    /// slow lowers the pace of the filling tasks with the largest part in the
    /// worst strain until the model expects it to be well below the target.
    fn slow(&mut self, worker: WorkerKey) {
        let loads = self.loads(worker);
        let worst = self.strained(worker, &loads);
        let Some(worst) = worst
            .into_iter()
            .max_by(|a, b| a.strain.total_cmp(&b.strain))
        else {
            return;
        };
        let mut excess = worst.strain - AIM_STRAIN;
        let part = |key: &RunKey| {
            let run = self.runs.get(*key)?;
            Some((
                *key,
                self.model.pair(worst.image, run.image).mean * run.cores(),
            ))
        };
        let mut parts: Vec<(RunKey, f64)> = self.fillers(worker).iter().filter_map(part).collect();
        parts.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (key, part) in parts {
            if excess <= 0.0 || part < LEAST_PART {
                break;
            }
            let keep = (1.0 - excess / part).clamp(0.0, 1.0);
            excess -= part * (1.0 - keep);
            let pace = self.runs.get(key).map_or(0.0, |run| f64::from(run.pace));
            self.set_pace(key, (pace * keep) as u8);
        }
    }

    /// raise gives slowed tasks their full pace, the one with the smallest
    /// part first, as long as the model expects no strain near a target.
    fn raise(&mut self, worker: WorkerKey) {
        let slowed = |key: &RunKey| self.runs.get(*key).is_some_and(|run| run.pace < 100);
        for key in self
            .fillers(worker)
            .into_iter()
            .filter(slowed)
            .collect::<Vec<_>>()
        {
            let Some(run) = self.runs.get(key) else {
                continue;
            };
            let (image, size, pace) = (run.image, run.size, run.pace);
            let missing = f64::from(size.milli_cores) / 1_000.0 * f64::from(100 - pace) / 100.0;
            let mut loads = self.loads(worker);
            loads.push(Load {
                image,
                cores: missing,
            });
            let expected = self.strained(worker, &loads);
            if expected.iter().all(|task| task.strain < AIM_STRAIN) {
                self.set_pace(key, 100);
            }
        }
    }

    fn raise_all(&mut self, worker: WorkerKey) {
        for key in self.fillers(worker) {
            self.set_pace(key, 100);
        }
    }

    fn pause_all(&mut self, worker: WorkerKey) {
        for key in self.fillers(worker) {
            self.set_pace(key, 0);
        }
    }

    fn set_pace(&mut self, key: RunKey, percent: u8) {
        let now = self.now.mono;
        let authority = self.has_authority();
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let far = run.pace.abs_diff(percent) >= LEAST_CHANGE;
        let last = percent == 0 || percent == 100;
        if run.pace == percent || !(far || last) || !authority {
            return;
        }
        run.pace = percent;
        run.moved = now;
        run.slowed_since = match run.slowed_since {
            _ if percent >= LOW_PACE => None,
            None => Some(now),
            since => since,
        };
        let order = self.order(key);
        self.effects.push(Effect::Pace(Pace { order, percent }));
    }

    /// move_slowed stops tasks that have been slowed down for a while and
    /// whose progress is kept, so that they resume elsewhere.
    fn move_slowed(&mut self, worker: WorkerKey) {
        let now = self.now.mono;
        for key in self.fillers(worker) {
            let Some(run) = self.runs.get(key) else {
                continue;
            };
            let long = run
                .slowed_since
                .is_some_and(|since| now.since(since) >= MOVE_AFTER_MS);
            let shape = self.shape(run.step);
            let lost = u64::from(shape.estimate_ms) * u64::from(run.percent) / 100;
            let cheap = shape.checkpointing || lost <= self.options.move_loss_ms;
            if long && cheap {
                let name = self.name(run.task);
                let text = format!(
                    "moved: pace {} beside a serving task near its target",
                    run.pace
                );
                self.note("pace", Some(name), text);
                self.stop(key);
            }
        }
    }
}
