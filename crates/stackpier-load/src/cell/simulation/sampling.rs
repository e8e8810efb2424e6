// SPDX-License-Identifier: Apache-2.0
//! Sampling of serving tasks: their tail latency, the value that they earn and the harm that they
//! suffer.

use std::collections::BTreeMap;

use stackpier_standin::fleet::Run;

use super::{
    super::{deployment::Role, outcome::Outcome},
    ScheduledEvent, Simulation,
    calls::is_serving,
};

/// SAMPLE_MS is the time between two samples of the serving tasks.
pub(super) const SAMPLE_MS: u64 = 250;
/// CREDIT_MS is the time between two credits of the value that serving jobs earned.
pub(super) const CREDIT_MS: u64 = 2_000;
/// MILLI_PER_CORE is the number of milli-cores in a core.
const MILLI_PER_CORE: f64 = 1_000.0;
/// PERCENT is the pace of a run that may use all of its processors.
const PERCENT: f64 = 100.0;
/// MS_PER_SECOND is the number of milliseconds in a second.
const MS_PER_SECOND: f64 = 1_000.0;

/// Load is the load of a serving run: its own, and the one that best-effort runs on its worker add.
struct Load {
    own: f64,
    added: f64,
}

impl Simulation {
    /// set_tails sets the tail latencies that the serving runs on a worker report from now on.
    pub(super) fn set_tails(&mut self, index: usize) {
        let loads = self.loads(index);
        let serving = self.ground_truth.serving;
        for (run, load) in self.workers[index].runs.iter_mut().zip(loads) {
            if let Some(Load { own, added }) = load {
                run.set_tail(serving.tail_at(own + added));
            }
        }
    }

    /// loads returns, for each run on a worker, its load if it is a serving run.
    fn loads(&self, index: usize) -> Vec<Option<Load>> {
        let runs = &self.workers[index].runs;
        let image = |run: &Run| {
            let job = &self.jobs[&run.task.job.0];
            job.drawn.images[usize::from(run.task.step)]
        };
        let mut cores: BTreeMap<usize, f64> = BTreeMap::new();
        for run in runs
            .iter()
            .filter(|run| run.behaviour().best_effort_milli > 0)
        {
            let used = f64::from(run.behaviour().best_effort_milli) / MILLI_PER_CORE
                * f64::from(run.pace)
                / PERCENT;
            *cores.entry(image(run)).or_default() += used;
        }
        let load = |run: &Run| {
            is_serving(run).then(|| Load {
                own: self.ground_truth.own_load(self.phase(run), self.now_ms),
                added: self.ground_truth.added_load(image(run), &cores),
            })
        };
        runs.iter().map(load).collect()
    }

    /// phase returns the phase of the oscillation of a serving run's load.
    fn phase(&self, run: &Run) -> f64 {
        self.jobs[&run.task.job.0].drawn.phase
    }

    /// sample adds the present state of all serving tasks to the tallies of their jobs.
    pub(super) fn sample(&mut self) {
        let limit = self.ground_truth.serving.load_at_target();
        let seconds = SAMPLE_MS as f64 / MS_PER_SECOND;
        for index in 0..self.workers.len() {
            self.workers[index].advance(self.now_ms);
            let loads = self.loads(index);
            let runs = self.workers[index].runs.iter().map(|run| run.task);
            for (task, load) in runs.collect::<Vec<_>>().into_iter().zip(loads) {
                let (Some(Load { own, added }), Some(job)) = (load, self.jobs.get_mut(&task.job.0))
                else {
                    continue;
                };
                let over = own + added > limit;
                let harmed = over && own <= limit;
                job.tally.running += 1;
                job.tally.over_target += u32::from(over);
                job.tally.harmed += u32::from(harmed);
                self.outcome.harmed_s += if harmed { seconds } else { 0.0 };
            }
        }
        for job in self.jobs.values_mut() {
            if job.accepted && !job.ended && job.kind.role == Role::Serving {
                job.tally.expected += job.drawn.spec.width();
            }
        }
        self.schedule(SAMPLE_MS, ScheduledEvent::Sample);
    }

    /// credit_serving_jobs credits the value that serving jobs earned since the last credit.
    pub(super) fn credit_serving_jobs(&mut self) {
        for job in self.jobs.values_mut() {
            let tally = std::mem::take(&mut job.tally);
            if tally.expected == 0 || self.now_ms > self.scenario.deployment.length_ms {
                continue;
            }
            let kind_outcome = self.outcome.kinds.entry(job.kind.name).or_default();
            kind_outcome.achievable += job.kind.value;
            kind_outcome.earned += job.kind.value * tally.goodput();
            let away = tally.expected.saturating_sub(tally.running);
            self.outcome.not_running_s += f64::from(away) * SAMPLE_MS as f64 / MS_PER_SECOND;
        }
        self.schedule(CREDIT_MS, ScheduledEvent::CreditServing);
    }

    /// into_outcome ends the simulation and returns its outcome.
    pub(super) fn into_outcome(self) -> Outcome {
        self.outcome
    }
}
