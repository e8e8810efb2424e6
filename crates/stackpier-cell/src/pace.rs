// SPDX-License-Identifier: Apache-2.0
//! Learning from the latency of serving tasks, and slowing filling tasks down
//! where it nears its target.

use stackpier_core::Millis;

use crate::{
    Cell, Effect, Pace,
    arena::{ImageKey, RunKey, WorkerKey},
    interference::{Load, Sample, gain},
    job::{Phase, Run},
};

/// SETTLE_MS is how long after its start a run's figures are not learnt from:
/// they cover the last half second.
const SETTLE_MS: u64 = 600;
/// APART_MS is the time between two samples that are compared.
const APART_MS: u64 = 900;
/// RESIDUAL_WEIGHT is the weight of a new sample in the smoothed difference
/// between a task's strain and the model's word.
const RESIDUAL_WEIGHT: f64 = 0.6;
/// RAISE_STRAIN is the strain, now and expected, below which a paused task is
/// raised again: 0.75 of the target.
const RAISE_STRAIN: f64 = -0.29;
/// HARM_MS is how long a serving task may be over its target before all that
/// fills beside it is paused or moved. Users count harm from four seconds; the
/// order, its effect and the report that shows it take about one.
const HARM_MS: u64 = 2_400;
/// MOVE_PART is the part of a strain from which a filling task is moved rather
/// than paused.
const MOVE_PART: f64 = 0.1;
/// MOVE_AFTER_MS is how long a paused task may wait for its worker to calm
/// down before it is moved as well.
const MOVE_AFTER_MS: u64 = 1_200;

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

    /// strained returns the strains expected under `loads` on a worker.
    fn strained(&self, worker: WorkerKey, loads: &[Load]) -> Vec<f64> {
        let runs = self.worker(worker).runs.iter();
        let runs = runs.filter_map(|key| self.runs.get(*key));
        let serving = runs.filter(|run| run.serving);
        let strain = |run: &Run| self.model.predict(run.image, loads, run.residual);
        serving.map(strain).collect()
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
            let own = self.runs.get(key).map_or(0.0, |run| run.residual);
            let sample = Sample {
                strain,
                loads: loads.clone(),
            };
            if let Some(earlier) = self.earlier(key, &sample)
                && steady
            {
                self.model.observe(image, &earlier, &sample, own);
            }
            let seen = strain - self.model.predict(image, &loads, own) + own;
            self.trace(key, seen);
        }
    }

    /// earlier returns the sample of a task from about a second ago, and keeps
    /// the present one.
    fn earlier(&mut self, key: RunKey, sample: &Sample) -> Option<Sample> {
        let now = self.now.mono;
        let run = self.runs.get_mut(key)?;
        run.samples.push_back((now, sample.clone()));
        let old = |(at, _): &(Millis, Sample)| now.since(*at) >= APART_MS;
        let mut earlier = None;
        while run.samples.front().is_some_and(old) {
            earlier = run.samples.pop_front();
        }
        earlier.map(|(_, sample)| sample)
    }

    /// trace takes in a reading of a task's own load.
    fn trace(&mut self, key: RunKey, seen: f64) {
        let now = self.now.mono;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.residual += RESIDUAL_WEIGHT * (seen - run.residual);
        let value = run.residual;
        if run.trace.push(now, value) {
            self.forecast.learn(&run.trace);
        }
    }

    fn sample(&self, key: RunKey) -> Option<(ImageKey, f64)> {
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

    /// set_paces pauses what fills beside a serving task that has been over its
    /// target for a while, and raises it again where there is room. Slowing
    /// down earlier was tried: it cost more work than it saved latency.
    pub(crate) fn set_paces(&mut self, worker: WorkerKey) {
        match self.harmed(worker) {
            Some(harmed) => self.relieve(worker, harmed),
            None => self.raise(worker),
        }
    }

    /// harmed returns the serving task that has been over its target for the
    /// longest, if that is too long.
    fn harmed(&self, worker: WorkerKey) -> Option<RunKey> {
        let now = self.now.mono;
        let over = |key: &RunKey| {
            let since = self.runs.get(*key)?.over_since?;
            (now.since(since) >= HARM_MS).then_some((since, *key))
        };
        let serving = self.serving(worker);
        let longest = serving
            .iter()
            .filter_map(over)
            .min_by_key(|(since, _)| *since);
        longest.map(|(_, key)| key)
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

    /// relieve moves what presses hardest on a serving task, and pauses the
    /// rest: together the small parts may keep it over its target.
    fn relieve(&mut self, worker: WorkerKey, harmed: RunKey) {
        let Some(serving) = self.runs.get(harmed) else {
            return;
        };
        let (image, gain) = (serving.image, gain(serving.residual));
        for key in self.fillers(worker) {
            let Some(run) = self.runs.get(key) else {
                continue;
            };
            let part = self.model.pair(image, run.image).mean * gain * run.cores();
            if part >= MOVE_PART && self.is_cheap(run) {
                self.relocate(key);
            } else {
                self.set_pace(key, 0);
            }
        }
    }

    /// raise gives paused tasks their full pace, as long as neither the last
    /// report nor the model shows a strain near a target.
    fn raise(&mut self, worker: WorkerKey) {
        let paused = |key: &RunKey| self.runs.get(*key).is_some_and(|run| run.pace < 100);
        let paused: Vec<RunKey> = self.fillers(worker).into_iter().filter(paused).collect();
        if paused.is_empty() {
            return;
        }
        let runs = self.worker(worker).runs.iter();
        let runs = runs.filter_map(|key| self.runs.get(*key));
        let calm = runs
            .filter_map(|run| run.strain)
            .all(|strain| strain < RAISE_STRAIN);
        for key in paused {
            if calm && self.is_light(worker, key) {
                self.set_pace(key, 100);
            } else {
                self.relocate_late(key);
            }
        }
    }

    /// is_light tells whether a paused task could work without a serving task
    /// coming near its target.
    fn is_light(&self, worker: WorkerKey, key: RunKey) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        let mut loads = self.loads(worker);
        loads.push(Load {
            image: run.image,
            cores: f64::from(run.size.milli_cores) / 1_000.0,
        });
        let expected = self.strained(worker, &loads);
        expected.iter().all(|strain| *strain < RAISE_STRAIN)
    }

    fn set_pace(&mut self, key: RunKey, percent: u8) {
        let now = self.now.mono;
        let authority = self.has_authority();
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.pace == percent || !authority {
            return;
        }
        run.pace = percent;
        run.moved = now;
        run.slowed_since = (percent < 100).then_some(now);
        let order = self.order(key);
        self.effects.push(Effect::Pace(Pace { order, percent }));
    }

    /// is_cheap tells whether little work is lost by moving a run.
    fn is_cheap(&self, run: &Run) -> bool {
        let shape = self.shape(run.step);
        let lost = u64::from(shape.estimate_ms) * u64::from(run.percent) / 100;
        shape.checkpointing || lost <= self.options.move_loss_ms
    }

    /// relocate_late moves a task that has been paused for long.
    fn relocate_late(&mut self, key: RunKey) {
        let now = self.now.mono;
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let long = run
            .slowed_since
            .is_some_and(|since| now.since(since) >= MOVE_AFTER_MS);
        if long && self.is_cheap(run) {
            self.relocate(key);
        }
    }

    /// relocate stops a task, so that it resumes elsewhere.
    fn relocate(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let name = self.name(run.task);
        let text = "moved: a serving task beside it is over its target".to_owned();
        self.note("pace", Some(name), text);
        self.stop(key);
    }
}
