// SPDX-License-Identifier: Apache-2.0
//! Placement: which waiting task goes to which worker.
//!
//! Tasks that count in a worker's room go first, by priority and slack; they
//! are packed, so that whole workers stay free of serving tasks. Tasks that
//! fill follow: each goes where the model expects the least harm to serving
//! tasks, and waits where it would do too much.

use stackpier_core::{Millis, Size};

use crate::{
    Cell,
    arena::{StepKey, TaskKey, WorkerKey},
    ends::SICK_FAILURES,
    interference::{Load, gain},
    job::{Phase, Run},
    worker::{Life, Worker},
};

/// FILL_GAP_MS is the least time between two looks at the filling tasks.
const FILL_GAP_MS: u64 = 40;
/// MOST_TRIED is how many steps of filling tasks in a row may find no worker
/// before the look ends.
const MOST_TRIED: usize = 12;
/// NOW_SPREAD is the width of the strain around the target over which a serving
/// task goes from surely below to surely over it, at its present load.
const NOW_SPREAD: f64 = 0.12;
/// AHEAD_SPREAD is the same two seconds ahead: forecasts had a standard
/// deviation of 0.23 to 0.28 on samples of quiet days, which a logistic curve
/// of about half this width follows.
const AHEAD_SPREAD: f64 = 0.16;
/// NOW_WEIGHT is the weight of the present load against the foretold one, as a
/// filling task runs for two to three seconds.
const NOW_WEIGHT: f64 = 0.35;
/// UNSURE is taken off a coefficient: most pairs have none, and what is learnt
/// of them is noise of about this size, for one core.
const UNSURE: f64 = 0.015;
/// CENTRE is the strain at which a serving task is as likely over its target
/// as below: a tenth under it, as the figures lag.
const CENTRE: f64 = -0.1;
/// LATE_MS is added to the order of a step that can't be in time any more, so
/// that it comes after all that can.
const LATE_MS: u64 = 60_000;
/// FAR_MS is how long a task waits for a worker in the rack of its data.
const FAR_MS: u64 = 300;
/// TRUST_MS is how long a task that has only one failure left waits for a
/// worker that lately did work, before it goes to one that has not failed; it
/// waits as long again before it goes to any.
const TRUST_MS: u64 = 1_500;
/// ALIKE_SCORE prefers a worker that serves only the image of a lasting task;
/// it is above any number of tasks on a worker.
const ALIKE_SCORE: f64 = 200.0;
/// EMPTY_SCORE prefers a worker that serves nothing over one that serves other
/// images.
const EMPTY_SCORE: f64 = 100.0;
/// SCALE is the number of thousandths in one.
const SCALE: u64 = 1_000;

/// Choice is a worker with how well it fits: higher is better.
#[derive(Clone, Copy, Debug)]
struct Choice {
    worker: WorkerKey,
    score: f64,
}

impl Cell {
    /// place starts the waiting tasks that find a worker.
    pub(crate) fn place(&mut self) {
        if !self.place_wanted || !self.has_authority() {
            return;
        }
        self.place_wanted = false;
        self.place_counted();
        let now = self.now.mono;
        if now.since(self.filled_at) >= FILL_GAP_MS {
            self.filled_at = now;
            self.place_filling();
        } else {
            self.place_wanted = !self.filling.is_empty();
        }
    }

    /// sorted returns the steps of a queue in the order of placement, without
    /// those that have nothing to place.
    fn sorted(&mut self, queue: Vec<StepKey>) -> Vec<StepKey> {
        let mut keyed = Vec::with_capacity(queue.len());
        for step in queue {
            let over = self.job(self.step_of(step).job).state.is_final();
            if over || self.step_of(step).ready.is_empty() {
                self.step_mut(step).queued = false;
                continue;
            }
            keyed.push((self.order_of(step), step));
        }
        keyed.sort_unstable();
        keyed.into_iter().map(|(_, step)| step).collect()
    }

    /// order_of returns the place of a step in the order: its priority, then
    /// its latest start that is still in time.
    fn order_of(&self, step: StepKey) -> (u8, u64) {
        let entry = self.step_of(step);
        let job = self.job(entry.job);
        let priority = self
            .queues
            .get(&job.queue)
            .map_or(u8::MAX, |queue| queue.priority);
        let latest = job.objective.0.saturating_sub(entry.chain_ms);
        let late = latest < self.now.mono.0;
        (
            priority,
            if late {
                latest + LATE_MS
            } else {
                u64::from(job.left)
            },
        )
    }

    fn place_counted(&mut self) {
        let queue = std::mem::take(&mut self.waiting);
        let queue = self.sorted(queue);
        for step in queue {
            self.place_step(step);
            self.requeue_step(step, false);
        }
    }

    fn place_filling(&mut self) {
        let queue = std::mem::take(&mut self.filling);
        let queue = self.sorted(queue);
        let mut failed = 0;
        for step in queue {
            if failed < MOST_TRIED {
                let placed = self.place_step(step);
                failed = if placed { 0 } else { failed + 1 };
            }
            self.requeue_step(step, true);
        }
    }

    fn requeue_step(&mut self, step: StepKey, fills: bool) {
        if self.step_of(step).ready.is_empty() {
            self.step_mut(step).queued = false;
            return;
        }
        let queue = if fills {
            &mut self.filling
        } else {
            &mut self.waiting
        };
        queue.push(step);
    }

    /// place_step places what it can of a step, and tells whether that was
    /// anything.
    fn place_step(&mut self, step: StepKey) -> bool {
        if !self.may_start(self.step_of(step).job) {
            return false;
        }
        if self.shape(step).gang {
            return self.place_gang(step);
        }
        let now = self.now.mono;
        let mut placed = false;
        let ready = std::mem::take(&mut self.step_mut(step).ready);
        let mut left = Vec::new();
        let mut full = false;
        for task in ready {
            if self.task(task).done || !self.task(task).ready {
                continue;
            }
            let worker = if full {
                None
            } else {
                self.find_room(task, now)
            };
            match worker {
                Some(worker) => {
                    self.task_mut(task).ready = false;
                    self.start(task, worker);
                    placed = true;
                }
                None => {
                    // Tasks of a step are alike, but for those that failed.
                    full |=
                        self.task(task).failed_runs.is_empty() && now >= self.task(task).not_before;
                    left.push(task);
                }
            }
        }
        let entry = self.step_mut(step);
        entry.ready.append(&mut left);
        placed
    }

    /// place_gang places all tasks of a gang or none.
    fn place_gang(&mut self, step: StepKey) -> bool {
        let entry = self.step_of(step);
        let tasks: Vec<TaskKey> = entry.ready.clone();
        if (tasks.len() as u32) < entry.left {
            return false;
        }
        let Some(chosen) = self.room_for_gang(step, &tasks) else {
            return false;
        };
        let run = tasks
            .iter()
            .map(|task| self.task(*task).next_run)
            .max()
            .unwrap_or(1);
        self.step_mut(step).ready.clear();
        for (task, worker) in tasks.into_iter().zip(chosen) {
            let entry = self.task_mut(task);
            entry.ready = false;
            entry.next_run = run;
            self.start(task, worker);
        }
        true
    }

    /// room_for_gang returns a worker for each task. It prefers a single rack
    /// where the step asks for one.
    fn room_for_gang(&self, step: StepKey, tasks: &[TaskKey]) -> Option<Vec<WorkerKey>> {
        if self.shape(step).same_rack {
            let racks: std::collections::BTreeSet<u16> =
                self.live().map(|key| self.worker(key).rack).collect();
            let found = racks
                .into_iter()
                .find_map(|rack| self.fit_gang(step, tasks, Some(rack)));
            if found.is_some() {
                return found;
            }
        }
        self.fit_gang(step, tasks, None)
    }

    fn fit_gang(
        &self,
        step: StepKey,
        tasks: &[TaskKey],
        rack: Option<u16>,
    ) -> Option<Vec<WorkerKey>> {
        let now = self.now.mono;
        let shape = self.shape(step);
        let most = shape.most_per_worker.unwrap_or(u32::MAX);
        let mut chosen = Vec::new();
        for key in self.live() {
            let worker = self.worker(key);
            if rack.is_some_and(|rack| rack != worker.rack) || !self.allows(step, key, now) {
                continue;
            }
            let mut free = worker.free();
            let mut here = 0;
            while chosen.len() < tasks.len() && here < most && shape.size.fits(&free) {
                free = free.minus(&shape.size);
                here += 1;
                chosen.push(key);
            }
        }
        (chosen.len() == tasks.len()).then_some(chosen)
    }

    /// find_room returns the best worker for a task, if one is good enough.
    pub(crate) fn find_room(&self, task: TaskKey, now: Millis) -> Option<WorkerKey> {
        if now < self.task(task).not_before {
            return None;
        }
        let step = self.task(task).step;
        let mut best: Option<Choice> = None;
        for key in self.live() {
            if !self.allows(step, key, now)
                || self.task(task).failed_on.contains(&key) && self.has_other(step, task, now)
            {
                continue;
            }
            if !self.trusts(task, key) {
                continue;
            }
            let Some(score) = self.score(step, key) else {
                continue;
            };
            if best.is_none_or(|best| score > best.score) {
                best = Some(Choice { worker: key, score });
            }
        }
        best.map(|best| best.worker)
    }

    /// has_other tells whether a worker is left that a task has not failed on.
    fn has_other(&self, step: StepKey, task: TaskKey, now: Millis) -> bool {
        let failed_on = &self.task(task).failed_on;
        let other = |key: WorkerKey| !failed_on.contains(&key) && self.allows(step, key, now);
        self.live().any(other)
    }

    /// trusts tells whether a worker's standing is good enough for a task: one
    /// that has only a failure left goes where work was lately done.
    fn trusts(&self, task: TaskKey, key: WorkerKey) -> bool {
        let failures = self.task(task).failed_runs.len() as u16;
        if failures == 0 {
            return true;
        }
        let job = self.step_of(self.task(task).step).job;
        let left = self.attempts(job).saturating_sub(failures);
        let waited = self.now.mono.since(self.task(task).failed_at);
        let health = self.worker(key).health;
        left > SICK_FAILURES
            || health.is_proved()
            || waited >= TRUST_MS && !health.is_suspect()
            || waited >= 2 * TRUST_MS
    }

    /// allows tells whether a worker may take tasks of a step at all, whatever
    /// its room.
    fn allows(&self, step: StepKey, key: WorkerKey, now: Millis) -> bool {
        let worker = self.worker(key);
        let entry = self.step_of(step);
        let job = self.job(entry.job);
        let Some(queue) = self.queues.get(&job.queue) else {
            return false;
        };
        let shape = self.shape(step);
        if worker.info.service != queue.service || !self.is_usable(worker, now) {
            return false;
        }
        if let Some(label) = &shape.label
            && !worker.info.labels.contains(label)
        {
            return false;
        }
        let most = shape.most_per_worker.unwrap_or(u32::MAX);
        most == u32::MAX || self.members_on(step, worker) < most
    }

    fn is_usable(&self, worker: &Worker, now: Millis) -> bool {
        let listed = worker
            .unlisted_since
            .is_none_or(|since| now.since(since) < self.options.unlisted_ms);
        worker.life == Life::Met
            && worker.rostered
            && !worker.info.draining
            && listed
            && worker.silent_since.is_none()
            && now >= worker.full_until
            && worker.health.takes(now, self.unproved(worker))
    }

    /// unproved returns how many runs on a worker have shown no progress.
    fn unproved(&self, worker: &Worker) -> usize {
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        runs.filter(|run| run.percent == 0).count()
    }

    fn members_on(&self, step: StepKey, worker: &Worker) -> u32 {
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        runs.filter(|run| run.step == step).count() as u32
    }

    /// score returns how well a worker suits a task of a step, or `None` if
    /// there is no room or too much harm.
    fn score(&self, step: StepKey, key: WorkerKey) -> Option<f64> {
        let worker = self.worker(key);
        let shape = self.shape(step);
        let mut needed = shape.size;
        if shape.fills {
            needed.milli_cores = 0;
            needed.memory_mib += self.options.fill_reserve_mib;
        }
        if !needed.fits(&worker.free()) {
            return None;
        }
        let rack = self.rack_score(step, worker)?;
        let own = if shape.fills {
            self.fill_score(step, key)?
        } else if shape.lasting {
            self.serving_score(step, worker)
        } else {
            self.pack_score(worker, shape.size)
        };
        Some(own + rack)
    }

    /// rack_score prefers the rack of a step's data. A task waits a short time
    /// for that rack before it goes elsewhere.
    fn rack_score(&self, step: StepKey, worker: &Worker) -> Option<f64> {
        let shape = self.shape(step);
        let Some(rack) = &shape.rack else {
            return Some(0.0);
        };
        if *rack == worker.info.rack {
            return Some(10.0);
        }
        let entry = self.step_of(step);
        let latest = self
            .job(entry.job)
            .objective
            .0
            .saturating_sub(entry.chain_ms);
        let patient = self.now.mono.0 + FAR_MS < latest;
        (!patient).then_some(0.0)
    }

    /// pack_score prefers the worker that is left with the least room.
    fn pack_score(&self, worker: &Worker, size: Size) -> f64 {
        let free = worker.free().minus(&size);
        let suspect = if worker.health.is_suspect() { 5.0 } else { 0.0 };
        -f64::from(free.milli_cores) / f64::from(worker.info.capacity.milli_cores.max(1)) - suspect
    }

    /// serving_score keeps lasting tasks of one image together, as they are
    /// disturbed by the same filling tasks, then packs them.
    fn serving_score(&self, step: StepKey, worker: &Worker) -> f64 {
        let image = self.step_of(step).image;
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        let (mut alike, mut others) = (0, 0);
        for run in runs.filter(|run| run.serving) {
            if run.image == image {
                alike += 1;
            } else {
                others += 1;
            }
        }
        let company = match (alike, others) {
            (0, 0) => EMPTY_SCORE,
            (_, 0) => ALIKE_SCORE,
            _ => f64::from(alike - others),
        };
        company + self.pack_score(worker, self.shape(step).size)
    }

    /// fill_score prefers workers where the model expects the least harm to
    /// serving tasks, then those with most processors unused.
    fn fill_score(&self, step: StepKey, key: WorkerKey) -> Option<f64> {
        let spare = self.spare_milli(key);
        let size = self.shape(step).size;
        if spare < i64::from(size.milli_cores) * 8 / 10 {
            return None;
        }
        let worker = self.worker(key);
        let load = Load {
            image: self.step_of(step).image,
            cores: f64::from(size.milli_cores) / SCALE as f64,
        };
        let harm = self.harm(key, load);
        if harm > self.options.most_harm {
            return None;
        }
        let suspect = if worker.health.is_suspect() { 5.0 } else { 0.0 };
        let room = spare as f64 / f64::from(worker.info.capacity.milli_cores.max(1));
        Some(room - 20.0 * harm - suspect)
    }

    /// spare_milli returns the processors that are expected to be unused, in
    /// thousandths of a core.
    fn spare_milli(&self, key: WorkerKey) -> i64 {
        let worker = self.worker(key);
        let mut spare = i64::from(worker.info.capacity.milli_cores);
        for run in worker.runs.iter().filter_map(|key| self.runs.get(*key)) {
            let declared = i64::from(run.size.milli_cores);
            let used = if run.lasting {
                declared * i64::from(self.options.serving_use_milli) / SCALE as i64
            } else {
                declared
            };
            spare -= used;
        }
        spare
    }

    /// harm returns the expected rise in the number of serving tasks over
    /// their targets if a load comes to a worker, over the next seconds.
    fn harm(&self, key: WorkerKey, load: Load) -> f64 {
        let loads = self.expected_loads(key);
        let runs = self.worker(key).runs.iter();
        let runs = runs.filter_map(|key| self.runs.get(*key));
        let serving = runs.filter(|run| run.serving);
        serving.map(|run| self.harm_to(run, &loads, load)).sum()
    }

    /// harm_to returns the expected rise for one serving task: by its own load
    /// now, and by the one foretold.
    fn harm_to(&self, run: &Run, loads: &[Load], load: Load) -> f64 {
        if !self.options.colocate {
            return f64::MAX;
        }
        let base = self.model.base(run.image).mean;
        let before = self.model.pressure(run.image, loads);
        let coefficient = self.model.pair(run.image, load.image).mean;
        let added = (coefficient - UNSURE).max(0.0) * load.cores;
        let rise = |own: f64, spread: f64| {
            let strain = base + own + gain(own) * before;
            over(strain + gain(own) * added, spread) - over(strain, spread)
        };
        let ahead = self.forecast.ahead(&run.trace, run.residual);
        NOW_WEIGHT * rise(run.residual, NOW_SPREAD) + (1.0 - NOW_WEIGHT) * rise(ahead, AHEAD_SPREAD)
    }

    /// expected_loads returns what fills on a worker, those that have just
    /// started at what they asked for.
    fn expected_loads(&self, key: WorkerKey) -> Vec<Load> {
        let runs = self.worker(key).runs.iter();
        let runs = runs.filter_map(|key| self.runs.get(*key));
        let fills = runs.filter(|run| run.fills && run.phase != Phase::Stopping);
        let load = |run: &Run| Load {
            image: run.image,
            cores: f64::from(run.size.milli_cores) / SCALE as f64,
        };
        fills.map(load).collect()
    }
}

/// over returns how likely a serving task with this strain is over its target.
fn over(strain: f64, spread: f64) -> f64 {
    1.0 / (1.0 + (-(strain - CENTRE) / spread).exp())
}
