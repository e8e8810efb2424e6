// SPDX-License-Identifier: Apache-2.0
//! What a worker offers to the tasks of a step: whether it may take them, and
//! how well it suits.

use std::{cmp::Ordering, collections::BinaryHeap};

use stackpier_core::Size;

use crate::{
    Cell, Mechanism,
    arena::{ImageKey, StepKey, WorkerKey},
    interference::Estimate,
    obstacle::Obstacle,
    place::Budget,
    worker::{Presence, Worker},
};

/// FAR_MS is how long before its latest start a task stops waiting for a worker in
/// the rack of its data.
const FAR_MS: u64 = 300;
/// ALIKE_SCORE prefers a worker that serves only the image of a lasting task;
/// it is above any number of tasks on a worker.
const ALIKE_SCORE: f64 = 200.0;
/// EMPTY_SCORE prefers a worker that serves nothing over one that serves other
/// images.
const EMPTY_SCORE: f64 = 100.0;
/// EVACUATED_SCORE is taken off for a worker that is kept free of serving tasks: it is
/// below any other that has room.
const EVACUATED_SCORE: f64 = 10_000.0;
/// DEDICATED_SCORE prefers a worker that is dedicated to short tasks over any way of
/// packing.
const DEDICATED_SCORE: f64 = 2.0;
/// EXPOSURE_WEIGHT weighs what a lasting task adds to that which disturbs a
/// worker, in load for each core, against the number of tasks of its image.
const EXPOSURE_WEIGHT: f64 = 400.0;
/// SUSPECT_SCORE is taken off for a worker where runs failed or stood still.
pub(super) const SUSPECT_SCORE: f64 = 5.0;
/// UNUSED_PERCENT is the share of a filling task's processors that must be unused:
/// it may work a little slower.
const UNUSED_PERCENT: i64 = 80;
/// RACK_SCORE prefers the rack of a step's data over any way of packing.
const RACK_SCORE: f64 = 10.0;

/// Candidate is a worker with how well it suits: higher is better.
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

/// Demand is what the tasks of a step ask of a worker, looked up once for all
/// workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    pub step: StepKey,
    pub service: u16,
    pub priority: u8,
    /// What must be free; without processors for tasks that fill.
    pub size: Size,
    /// Memory that must be free besides, in MiB.
    pub reserve_mib: u32,
    /// What one task asks for.
    pub requested: Size,
    pub best_effort: bool,
    pub long_running: bool,
    pub image: ImageKey,
    pub gang: bool,
    pub same_rack: bool,
    /// The most tasks of the step on one worker.
    pub most: u32,
    pub labelled: bool,
    /// Whether a worker needs the adviser's ticket.
    pub advised: bool,
    /// The rack of the data.
    pub rack: Option<u16>,
    /// Whether there is time to wait for that rack.
    pub patient: bool,
    /// The most harm that a start may be expected to do.
    pub max_harm: f64,
    /// The share of the task's processors that must be unused, in percent.
    pub unused_percent: i64,
    /// Whether the bounds that protect others give way.
    pub relaxed: bool,
    /// Whether room on workers that are dedicated to short tasks may be taken.
    pub uses_dedicated: bool,
    /// For how long the first of the tasks has waited, if they count in a worker's room.
    pub waited_ms: u64,
}

impl Demand {
    /// is_plain tells whether only room decides which workers are allowed.
    pub(super) fn is_plain(&self) -> bool {
        !self.gang
            && !self.labelled
            && !self.advised
            && self.most == u32::MAX
            && self.rack.is_none()
    }

    /// is_shared_only tells whether workers that are dedicated to short tasks are no place for
    /// the tasks.
    pub(super) fn is_shared_only(&self) -> bool {
        self.long_running && !self.uses_dedicated
    }

    /// is_near tells whether a worker is in the rack of the data, if that is waited for.
    pub(crate) fn is_near(&self, worker: &Worker) -> bool {
        let near = |rack| rack == worker.rack || !self.patient;
        self.rack.is_none_or(near)
    }

    /// describe returns in words what a task asks for.
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

    /// asks_no_less tells whether a worker that is no place for the filling
    /// tasks of an earlier look is none for these.
    pub(super) fn asks_no_less(&self, earlier: &Demand) -> bool {
        self.is_as_large(earlier)
            && self.image == earlier.image
            && self.max_harm <= earlier.max_harm
    }

    /// is_as_large tells whether the tasks ask for as much room as others, of the
    /// same service.
    pub(super) fn is_as_large(&self, other: &Demand) -> bool {
        self.service == other.service && other.requested.fits(&self.requested)
    }

    /// relaxed returns the same need without the bounds that protect others.
    pub(crate) fn relaxed(self) -> Demand {
        Demand {
            reserve_mib: 0,
            max_harm: f64::MAX,
            unused_percent: 0,
            relaxed: true,
            ..self
        }
    }
}

impl Cell {
    /// demand looks up what a step's tasks ask for, or `None` if no queue of its
    /// name is known.
    pub(crate) fn demand(&mut self, step: StepKey) -> Option<Demand> {
        let entry = self.step_of(step);
        let job = self.job(entry.job);
        let queue = self.queues.get(&job.queue)?;
        let (service, advised) = (queue.service.clone(), queue.advised);
        let priority = queue.priority;
        let service = self.services.intern(&service);
        let entry = self.step_of(step);
        let job = self.job(entry.job);
        let shape = &job.spec.steps[usize::from(entry.number)];
        let mut size = shape.size;
        let mut reserve_mib = 0;
        if shape.best_effort {
            size.milli_cores = 0;
            reserve_mib = match self.is_enabled(Mechanism::Reserve) {
                true => self.short_task_memory.mean_mib(),
                false => 0,
            };
        }
        let latest = job.objective.0.saturating_sub(entry.chain_ms);
        let slack = latest.saturating_sub(self.now.mono.0);
        let late = latest < self.now.mono.0;
        let patient = late || slack * 2 > entry.chain_ms;
        let max_harm = if !self.is_enabled(Mechanism::Harm) {
            f64::MAX
        } else if patient && self.is_enabled(Mechanism::LowerHarm) {
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
            requested: shape.size,
            best_effort: shape.best_effort,
            long_running: shape.long_running,
            image: entry.image,
            gang: shape.gang,
            same_rack: shape.same_rack,
            most: shape.most_per_worker.unwrap_or(u32::MAX),
            labelled: shape.label.is_some(),
            advised,
            rack: None,
            patient: self.now.mono.0 + FAR_MS < latest,
            max_harm,
            unused_percent: match self.is_enabled(Mechanism::Unused) {
                true => UNUSED_PERCENT,
                false => 0,
            },
            relaxed: false,
            uses_dedicated: shape.long_running && self.may_use_dedicated(step),
            waited_ms: match shape.best_effort {
                true => 0,
                false => self.step_wait_ms(step),
            },
        };
        if let Some(rack) = shape.rack.clone() {
            demand.rack = Some(self.racks.intern(&rack));
        }
        Some(demand)
    }

    /// candidates rates all workers that offer room to a step.
    pub(crate) fn candidates(&self, demand: &Demand) -> BinaryHeap<Candidate> {
        let rate = |worker| {
            let score = self.rate_worker(demand, worker).ok()?;
            Some(Candidate { worker, score })
        };
        self.live_workers().filter_map(rate).collect()
    }

    fn budget_of(&self, demand: &Demand) -> &Budget {
        if demand.best_effort {
            &self.best_effort_pass.budget
        } else {
            &self.guaranteed_pass.budget
        }
    }

    /// rate_worker returns how well a worker suits a task of a step, or what keeps the
    /// task from it.
    pub(crate) fn rate_worker(&self, demand: &Demand, key: WorkerKey) -> Result<f64, Obstacle> {
        let worker = self.worker(key);
        self.budget_of(demand).spend(1);
        let free = worker.unreserved(demand);
        if !demand.size.fits(&free) {
            return Err(Obstacle::Full);
        }
        self.check_eligibility(demand, key)?;
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

    /// check_eligibility tells whether a worker may take tasks of a step at all, whatever
    /// its room.
    pub(crate) fn check_eligibility(
        &self,
        demand: &Demand,
        key: WorkerKey,
    ) -> Result<(), Obstacle> {
        let worker = self.worker(key);
        if worker.service != demand.service {
            return Err(Obstacle::Excluded);
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
        if demand.most != u32::MAX && self.count_runs_on(demand.step, worker) >= demand.most {
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
                || worker.health.allows_start(now, || self.unproved(worker)))
    }

    /// is_available tells whether a worker answers and is not about to leave.
    pub(crate) fn is_available(&self, worker: &Worker) -> bool {
        let now = self.now.mono;
        let listed = worker
            .unlisted_since
            .is_none_or(|since| now.since(since) < self.options.unlisted_ms);
        worker.presence == Presence::Contacted
            && worker.has_own_entry()
            && !worker.info.draining
            && !worker.unreadable
            && !worker.cordoned
            && listed
            && worker.silent_since.is_none()
    }

    /// unproved returns how many runs on a worker have shown no progress.
    fn unproved(&self, worker: &Worker) -> usize {
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        runs.filter(|run| run.percent == 0).count()
    }

    pub(crate) fn count_runs_on(&self, step: StepKey, worker: &Worker) -> u32 {
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        runs.filter(|run| run.step == step).count() as u32
    }

    /// serving_score keeps lasting tasks of one image together, as they are
    /// disturbed by the same filling tasks, then packs them.
    fn serving_score(&self, demand: &Demand, worker: &Worker) -> f64 {
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        let (mut alike, mut others) = (0, 0);
        for run in runs.filter(|run| run.serving) {
            if run.image == demand.image {
                alike += 1;
            } else {
                others += 1;
            }
        }
        let company = match (alike, others) {
            _ if !self.is_enabled(Mechanism::SameImage) => 0.0,
            (0, 0) => EMPTY_SCORE,
            (_, 0) => ALIKE_SCORE,
            _ => f64::from(alike - others) - EXPOSURE_WEIGHT * self.exposure(demand.image, worker),
        };
        let evacuated = if worker.evacuated {
            EVACUATED_SCORE
        } else {
            0.0
        };
        company - evacuated + self.pack_score(worker, demand.size)
    }

    /// exposure returns by how much a lasting task would widen what disturbs a
    /// worker: the sum, over filling images, of its coefficient above those of
    /// the tasks that serve there.
    fn exposure(&self, image: ImageKey, worker: &Worker) -> f64 {
        if !self.is_enabled(Mechanism::Exposure) {
            return 0.0;
        }
        let serving: Vec<ImageKey> = worker
            .predictions
            .iter()
            .map(|prediction| prediction.image)
            .collect();
        let most = |best_effort: ImageKey| {
            let means = serving
                .iter()
                .map(|other| self.model.pair(*other, best_effort).mean);
            means.fold(0.0, f64::max)
        };
        let wider =
            |(best_effort, pair): (ImageKey, Estimate)| (pair.mean - most(best_effort)).max(0.0);
        self.model.pairs_of(image).map(wider).sum()
    }

    /// pack_score prefers the worker that is left with the least room.
    fn pack_score(&self, worker: &Worker, size: Size) -> f64 {
        let suspect = if worker.health.has_recent_faults() {
            SUSPECT_SCORE
        } else {
            0.0
        };
        if !self.is_enabled(Mechanism::Packing) {
            return -suspect;
        }
        let free = worker.free().minus(&size);
        let capacity = f64::from(worker.info.capacity.milli_cores.max(1));
        -f64::from(free.milli_cores) / capacity - suspect
    }
}

/// rack_score prefers the rack of a step's data. A task waits for that rack as long
/// as it can be in time, then it goes elsewhere.
fn rack_score(demand: &Demand, worker: &Worker) -> Option<f64> {
    let Some(rack) = demand.rack else {
        return Some(0.0);
    };
    if rack == worker.rack {
        return Some(RACK_SCORE);
    }
    (!demand.patient).then_some(0.0)
}
