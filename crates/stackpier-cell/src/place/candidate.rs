// SPDX-License-Identifier: Apache-2.0
//! Candidates: whether a worker may take the tasks of a step, and how well it suits them.

use std::{cmp::Ordering, collections::BinaryHeap};

use stackpier_core::Size;

use crate::{
    Cell, Mechanism,
    arena::{ImageKey, StepKey, WorkerKey},
    interference::Estimate,
    obstacle::Obstacle,
    place::Budget,
    suspension::Suspension,
    worker::{Presence, Worker},
};

/// RACK_WAIT_MARGIN_MS is how long before its latest start a task stops waiting for a worker in
/// the rack of its data.
const RACK_WAIT_MARGIN_MS: u64 = 300;
/// SAME_IMAGE_SCORE favours a worker that serves only the image of a long-running task. It is
/// higher than the score of any worker with several images, which is a number of tasks.
const SAME_IMAGE_SCORE: f64 = 200.0;
/// EMPTY_SCORE favours a worker that serves nothing over one that serves other images.
const EMPTY_SCORE: f64 = 100.0;
/// EVACUATED_SCORE is deducted for an evacuated worker, so that any other with enough free capacity
/// comes first.
const EVACUATED_SCORE: f64 = 10_000.0;
/// DEDICATED_SCORE favours a worker that is dedicated to short tasks. It outweighs the packing
/// score.
const DEDICATED_SCORE: f64 = 2.0;
/// EXPOSURE_WEIGHT weighs what a long-running task adds to a worker's exposure to best-effort
/// tasks, in load per core, against the number of tasks of its image there.
const EXPOSURE_WEIGHT: f64 = 400.0;
/// RECENT_FAULTS_SCORE is deducted for a worker where runs recently failed or stalled.
pub(super) const RECENT_FAULTS_SCORE: f64 = 5.0;
/// MIN_UNUSED_PERCENT is the share of a best-effort task's processors that must be unused: the task
/// may run a little slower than requested.
const MIN_UNUSED_PERCENT: i64 = 80;
/// STEP_STRIDE is by how many workers the first one that is rated differs between successive steps,
/// if not all are rated.
const STEP_STRIDE: usize = 37;
/// RACK_SCORE favours the rack of a step's data. It outweighs the packing score.
const RACK_SCORE: f64 = 10.0;

/// Candidate is a worker and its score; higher is better.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub worker: WorkerKey,
    pub score: f64,
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Candidate) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Candidate) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Candidate) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score.then(other.worker.cmp(&self.worker))
    }
}

/// Demand is what the tasks of a step require of a worker, looked up once for all workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    pub step: StepKey,
    pub service: u16,
    pub priority: u8,
    /// Capacity that must be free; without processors for best-effort tasks.
    pub size: Size,
    /// Memory that must remain free besides, in MiB.
    pub reserve_mib: u32,
    /// The capacity that one task requests.
    pub requested: Size,
    pub best_effort: bool,
    pub long_running: bool,
    pub image: ImageKey,
    pub gang: bool,
    pub same_rack: bool,
    /// The maximum number of tasks of the step on one worker.
    pub max_per_worker: u32,
    /// Whether a worker needs the step's label.
    pub labelled: bool,
    /// Whether a worker needs a ticket from the adviser.
    pub advised: bool,
    /// The rack of the step's data.
    pub rack: Option<u16>,
    /// Whether there is time to wait for that rack.
    pub waits_for_rack: bool,
    /// The highest expected harm that a start may cause.
    pub max_harm: f64,
    /// The share of the task's processors that must be unused, in percent.
    pub min_unused_percent: i64,
    /// Whether the limits that protect other tasks are lifted.
    pub relaxed: bool,
    /// How many suitable workers are enough to choose from.
    pub max_candidates: usize,
    /// Whether the tasks may use workers that are dedicated to short tasks.
    pub uses_dedicated: bool,
    /// How long the first of the tasks has waited; zero for best-effort tasks.
    pub waited_ms: u64,
}

impl Demand {
    /// needs_only_capacity reports whether free capacity alone decides which workers are eligible.
    pub(super) fn needs_only_capacity(&self) -> bool {
        !self.gang
            && !self.labelled
            && !self.advised
            && self.max_per_worker == u32::MAX
            && self.rack.is_none()
    }

    /// excludes_dedicated reports whether the tasks may not use workers that are dedicated to short
    /// tasks.
    pub(super) fn excludes_dedicated(&self) -> bool {
        self.long_running && !self.uses_dedicated
    }

    /// meets_rack reports whether a worker is in the rack of the step's data, or that rack is
    /// not waited for.
    pub(crate) fn meets_rack(&self, worker: &Worker) -> bool {
        let suits = |rack| rack == worker.rack || !self.waits_for_rack;
        self.rack.is_none_or(suits)
    }

    /// describe returns in words what a task requests.
    pub(crate) fn describe(&self) -> String {
        let Size {
            milli_cores,
            memory_mib,
            accelerators,
        } = self.requested;
        let harm = match self.relaxed {
            true => "any harm allowed".to_owned(),
            false => format!("harm of {} allowed", self.max_harm),
        };
        format!(
            "asks for {milli_cores} thousandths of a core, {memory_mib} MiB and \
             {accelerators} accelerators, {harm}"
        )
    }

    /// is_ruled_out_by reports whether any worker that is unsuitable for the best-effort tasks of
    /// an earlier demand is unsuitable for these, too: they require at least as much.
    pub(super) fn is_ruled_out_by(&self, earlier: &Demand) -> bool {
        self.requests_at_least(earlier)
            && self.image == earlier.image
            && self.max_harm <= earlier.max_harm
    }

    /// requests_at_least reports whether the tasks request at least as much capacity as others, of
    /// the same service.
    pub(super) fn requests_at_least(&self, other: &Demand) -> bool {
        self.service == other.service && other.requested.fits(&self.requested)
    }

    /// relaxed returns the same demand without the limits that protect other tasks.
    pub(crate) fn relaxed(self) -> Demand {
        Demand {
            reserve_mib: 0,
            max_harm: f64::MAX,
            min_unused_percent: 0,
            relaxed: true,
            ..self
        }
    }
}

impl Cell {
    /// demand looks up what a step's tasks require, or returns `None` if the queue of its job
    /// is unknown.
    pub(crate) fn demand(&mut self, step: StepKey) -> Option<Demand> {
        let entry = self.step_of(step);
        let job = self.job(entry.job);
        let queue = self.queues.get(&job.queue)?;
        let (service, advised) = (queue.service.clone(), queue.advised);
        let priority = queue.priority;
        let service = self.services.intern(&service);
        let entry = self.step_of(step);
        let job = self.job(entry.job);
        let step_spec = &job.spec.steps[usize::from(step.number)];
        let mut size = step_spec.size;
        let mut reserve_mib = 0;
        if step_spec.best_effort {
            size.milli_cores = 0;
            reserve_mib = match self.is_enabled(Mechanism::Reserve) {
                true => self.short_task_memory.mean_mib(),
                false => 0,
            };
        }
        let latest_start = job.objective.0.saturating_sub(entry.chain_ms);
        let slack = latest_start.saturating_sub(self.now.mono.0);
        let late = latest_start < self.now.mono.0;
        let has_slack = late || slack * 2 > entry.chain_ms;
        let max_harm = if !self.is_enabled(Mechanism::Harm) {
            f64::MAX
        } else if has_slack && self.is_enabled(Mechanism::LowerHarm) {
            self.options.max_harm_with_slack
        } else {
            self.options.max_harm
        };
        let mut demand = Demand {
            step,
            service,
            priority,
            size,
            reserve_mib,
            requested: step_spec.size,
            best_effort: step_spec.best_effort,
            long_running: step_spec.long_running,
            image: entry.image,
            gang: step_spec.gang,
            same_rack: step_spec.same_rack,
            max_per_worker: step_spec.most_per_worker.unwrap_or(u32::MAX),
            labelled: step_spec.label.is_some(),
            advised,
            rack: None,
            waits_for_rack: self.now.mono.0 + RACK_WAIT_MARGIN_MS < latest_start,
            max_harm,
            min_unused_percent: match self.is_enabled(Mechanism::Unused) {
                true => MIN_UNUSED_PERCENT,
                false => 0,
            },
            relaxed: false,
            max_candidates: usize::MAX,
            uses_dedicated: step_spec.long_running && self.may_use_dedicated(step),
            waited_ms: match step_spec.best_effort {
                true => 0,
                false => self.step_wait_ms(step),
            },
        };
        if let Some(rack) = step_spec.rack.clone() {
            demand.rack = Some(self.racks.intern(&rack));
        }
        Some(demand)
    }

    /// candidates rates the workers and returns those that may take a task of a step: all of them, or
    /// as many as are enough. Each step begins with another worker.
    pub(crate) fn candidates(&self, demand: &Demand) -> BinaryHeap<Candidate> {
        let rate = |worker| {
            let score = self.rate_worker(demand, worker).ok()?;
            Some(Candidate { worker, score })
        };
        if demand.max_candidates == usize::MAX {
            return self.live_workers().filter_map(rate).collect();
        }
        let workers = self.collect_live_workers();
        let first = demand.step.place() * STEP_STRIDE % workers.len().max(1);
        let (before, after) = workers.split_at(first);
        let suitable = after.iter().chain(before).copied().filter_map(rate);
        suitable.take(demand.max_candidates).collect()
    }

    fn budget_of(&self, demand: &Demand) -> &Budget {
        if demand.best_effort {
            &self.best_effort_pass.budget
        } else {
            &self.guaranteed_pass.budget
        }
    }

    /// rate_worker returns the score of a worker for a task of a step, or what prevents a start
    /// there.
    pub(crate) fn rate_worker(&self, demand: &Demand, key: WorkerKey) -> Result<f64, Obstacle> {
        let worker = self.worker(key);
        self.budget_of(demand).spend(1);
        let free = self.unreserved(worker, demand);
        if !demand.size.fits(&free) {
            return Err(Obstacle::Full);
        }
        self.check_eligibility(demand, key)?;
        if self.is_kept_quiet(worker, demand) {
            return Err(Obstacle::Reserve);
        }
        if demand.long_running && !self.admits_long_running(worker, demand) {
            return Err(Obstacle::Reserve);
        }
        if free.minus(&demand.size).memory_mib < demand.reserve_mib {
            return Err(Obstacle::Reserve);
        }
        let rack = rack_score(demand, worker).ok_or(Obstacle::Far)?;
        let own = if demand.best_effort {
            self.best_effort_score(demand, key)?
        } else if demand.long_running {
            self.serving_score(demand, worker)
        } else {
            let dedicated = worker.dedicated.map_or(0.0, |_| DEDICATED_SCORE);
            self.pack_score(worker, demand.size) + dedicated
        };
        Ok(own + rack)
    }

    /// check_eligibility returns what rules a worker out for all tasks of a step, regardless of
    /// its free capacity.
    pub(crate) fn check_eligibility(
        &self,
        demand: &Demand,
        key: WorkerKey,
    ) -> Result<(), Obstacle> {
        let worker = self.worker(key);
        if worker.service != demand.service {
            return Err(Obstacle::Excluded);
        }
        if worker.data_centre_cordoned {
            return Err(Obstacle::Cordoned);
        }
        if !self.is_usable(worker) {
            return Err(Obstacle::Unusable);
        }
        if demand.labelled
            && let Some(label) = &self.step_spec(demand.step).label
            && !worker.info.labels.contains(label)
        {
            return Err(Obstacle::Excluded);
        }
        if demand.advised && self.ticket(demand.step, key).is_none() {
            return Err(Obstacle::Excluded);
        }
        if demand.max_per_worker != u32::MAX
            && self.count_runs_on(demand.step, worker) >= demand.max_per_worker
        {
            return Err(Obstacle::Excluded);
        }
        Ok(())
    }

    fn is_usable(&self, worker: &Worker) -> bool {
        let now = self.now.mono;
        self.is_available(worker)
            && worker.rostered
            && worker.allows_other_starts(now)
            && now >= worker.full_until
            && (!self.is_enabled(Mechanism::Health)
                || worker
                    .health
                    .allows_start(now, || self.count_without_progress(worker)))
    }

    /// is_available reports whether a worker answers and is not about to leave.
    pub(crate) fn is_available(&self, worker: &Worker) -> bool {
        let now = self.now.mono;
        let listed = worker
            .unlisted_since
            .is_none_or(|since| now.since(since) < self.options.unlisted_ms);
        worker.presence == Presence::Contacted
            && worker.suspension == Suspension::None
            && worker.has_own_entry()
            && !worker.info.draining
            && !worker.unreadable
            && !worker.cordoned
            && !worker.data_centre_cordoned
            && listed
            && worker.silent_since.is_none()
    }

    /// count_without_progress returns how many runs on a worker have shown no progress.
    fn count_without_progress(&self, worker: &Worker) -> usize {
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        runs.filter(|run| run.percent == 0).count()
    }

    pub(crate) fn count_runs_on(&self, step: StepKey, worker: &Worker) -> u32 {
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        runs.filter(|run| run.step == step).count() as u32
    }

    /// serving_score keeps long-running tasks of one image together, as the same best-effort
    /// tasks disturb them, then packs them.
    fn serving_score(&self, demand: &Demand, worker: &Worker) -> f64 {
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        let (mut same_image, mut others) = (0, 0);
        for run in runs.filter(|run| run.serving) {
            if run.image == demand.image {
                same_image += 1;
            } else {
                others += 1;
            }
        }
        let affinity = match (same_image, others) {
            _ if !self.is_enabled(Mechanism::SameImage) => 0.0,
            (0, 0) => EMPTY_SCORE,
            (_, 0) => SAME_IMAGE_SCORE,
            _ => {
                f64::from(same_image - others)
                    - EXPOSURE_WEIGHT * self.exposure(demand.image, worker)
            }
        };
        let evacuated = if worker.evacuated {
            EVACUATED_SCORE
        } else {
            0.0
        };
        affinity - evacuated + self.pack_score(worker, demand.size)
    }

    /// exposure returns by how much a long-running task would make a worker more sensitive to
    /// best-effort tasks: the sum, over their images, of how far its interference coefficient
    /// exceeds the highest among the tasks that serve there already.
    fn exposure(&self, image: ImageKey, worker: &Worker) -> f64 {
        if !self.is_enabled(Mechanism::Exposure) {
            return 0.0;
        }
        let serving: Vec<ImageKey> = worker
            .predictions
            .iter()
            .map(|prediction| prediction.image)
            .collect();
        let highest = |best_effort: ImageKey| {
            let means = serving
                .iter()
                .map(|other| self.model.pair(*other, best_effort).mean);
            means.fold(0.0, f64::max)
        };
        let excess =
            |(best_effort, pair): (ImageKey, Estimate)| (pair.mean - highest(best_effort)).max(0.0);
        self.model.pairs_of(image).map(excess).sum()
    }

    /// pack_score favours the worker that is left with the fewest free processors.
    fn pack_score(&self, worker: &Worker, size: Size) -> f64 {
        let recent_faults = if worker.health.has_recent_faults() {
            RECENT_FAULTS_SCORE
        } else {
            0.0
        };
        if !self.is_enabled(Mechanism::Packing) {
            return -recent_faults;
        }
        let free = worker.free().minus(&size);
        let capacity = f64::from(worker.info.capacity.milli_cores.max(1));
        -f64::from(free.milli_cores) / capacity - recent_faults
    }
}

/// rack_score favours the rack of a step's data. A task waits for that rack while it can still
/// meet its deadline, then it goes elsewhere.
fn rack_score(demand: &Demand, worker: &Worker) -> Option<f64> {
    let Some(rack) = demand.rack else {
        return Some(0.0);
    };
    if rack == worker.rack {
        return Some(RACK_SCORE);
    }
    (!demand.waits_for_rack).then_some(0.0)
}
