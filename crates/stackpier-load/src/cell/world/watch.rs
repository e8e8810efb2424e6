// SPDX-License-Identifier: Apache-2.0
//! What serves: tails, what is earned, and what was harmed.

use std::collections::BTreeMap;

use stackpier_standin::fleet::Run;

use super::{
    super::{outcome::Outcome, site::Role},
    Happening, World,
    calls::serves,
};

/// SAMPLE_MS is the time between two looks at what serves.
pub(super) const SAMPLE_MS: u64 = 250;
/// PAY_MS is the time after which serving jobs earn.
pub(super) const PAY_MS: u64 = 2_000;
/// CORE is the number of thousandths in a core.
const CORE: f64 = 1_000.0;
/// PERCENT is the number of hundredths in a whole.
const PERCENT: f64 = 100.0;
/// SECOND is the number of milliseconds in a second.
const SECOND: f64 = 1_000.0;

/// Load is the load of a serving run.
struct Load {
    own: f64,
    added: f64,
}

impl World {
    /// set_tails sets the tails that the serving runs on a worker report now.
    pub(super) fn set_tails(&mut self, place: usize) {
        let loads = self.loads(place);
        let serving = self.truth.serving;
        for (run, load) in self.workers[place].runs.iter_mut().zip(loads) {
            if let Some(Load { own, added }) = load {
                run.set_tail(serving.tail_at(own + added));
            }
        }
    }

    /// loads returns the load of each run on a worker that serves.
    fn loads(&self, place: usize) -> Vec<Option<Load>> {
        let runs = &self.workers[place].runs;
        let image = |run: &Run| {
            let job = &self.jobs[&run.task.job.0];
            job.drawn.images[usize::from(run.task.step)]
        };
        let mut cores: BTreeMap<usize, f64> = BTreeMap::new();
        for run in runs
            .iter()
            .filter(|run| run.behaviour().best_effort_milli > 0)
        {
            let used =
                f64::from(run.behaviour().best_effort_milli) / CORE * f64::from(run.pace) / PERCENT;
            *cores.entry(image(run)).or_default() += used;
        }
        let load = |run: &Run| {
            serves(run).then(|| Load {
                own: self.truth.own_load(self.phase(run), self.now_ms),
                added: self.truth.added(image(run), &cores),
            })
        };
        runs.iter().map(load).collect()
    }

    /// phase returns the phase of the swing of a serving run's load.
    fn phase(&self, run: &Run) -> f64 {
        self.jobs[&run.task.job.0].drawn.phase
    }

    /// sample looks at all that serves.
    pub(super) fn sample(&mut self) {
        let limit = self.truth.serving.load_at_target();
        let seconds = SAMPLE_MS as f64 / SECOND;
        for place in 0..self.workers.len() {
            self.workers[place].advance(self.now_ms);
            let loads = self.loads(place);
            let runs = self.workers[place].runs.iter().map(|run| run.task);
            for (task, load) in runs.collect::<Vec<_>>().into_iter().zip(loads) {
                let (Some(Load { own, added }), Some(job)) = (load, self.jobs.get_mut(&task.job.0))
                else {
                    continue;
                };
                let over = own + added > limit;
                let harmed = over && own <= limit;
                job.served.at_work += 1;
                job.served.over += u32::from(over);
                job.served.harmed += u32::from(harmed);
                self.outcome.harmed_s += if harmed { seconds } else { 0.0 };
            }
        }
        for job in self.jobs.values_mut() {
            if job.accepted && !job.over && job.kind.role == Role::Serving {
                job.served.asked += job.drawn.spec.width();
            }
        }
        self.send(SAMPLE_MS, Happening::Sample);
    }

    /// pay lets serving jobs earn what they did since they last were paid.
    pub(super) fn pay(&mut self) {
        for job in self.jobs.values_mut() {
            let served = std::mem::take(&mut job.served);
            if served.asked == 0 || self.now_ms > self.day.site.length_ms {
                continue;
            }
            let by_kind = self.outcome.kinds.entry(job.kind.name).or_default();
            by_kind.owed += job.kind.worth;
            by_kind.earned += job.kind.worth * served.share();
            let away = served.asked.saturating_sub(served.at_work);
            self.outcome.away_s += f64::from(away) * SAMPLE_MS as f64 / SECOND;
        }
        self.send(PAY_MS, Happening::Pay);
    }

    /// close returns what came of the day.
    pub(super) fn close(self) -> Outcome {
        self.outcome
    }
}
