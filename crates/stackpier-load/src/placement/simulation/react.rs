// SPDX-License-Identifier: Apache-2.0
//! What is learnt of usage samples, and what is done about them.

use stackpier_coordination::{
    interference::Sample,
    reaction::{self, Action, Suspect},
};
use stackpier_core::Millis;
use stackpier_protocol::sync::Clock;
use stackpier_state::work::Run;

use super::{
    super::{
        model::{LAG_S, WORKERS_PER_RACK, service_name},
        policy::Kind,
    },
    Observation, World, pair,
};

/// RESUME_S is the work lost by an eviction.
const RESUME_S: f64 = 5.0;

impl World {
    /// learn takes the samples that have arrived and reacts to them.
    pub(super) fn learn(&mut self, now: u64) {
        while self
            .samples
            .front()
            .is_some_and(|sample| sample.sampled_s + LAG_S <= now)
        {
            let Some(sample) = self.samples.pop_front() else {
                return;
            };
            match self.kind {
                Kind::Ours => self.react(now, sample),
                Kind::EvictOnBreach if sample.slowdown > reaction::Options::default().high => {
                    let newest = self.workers[sample.worker].batch.last().copied();
                    if let Some(task) = newest {
                        self.evict(sample.worker, task.run);
                    }
                }
                _ => {}
            }
        }
    }

    fn react(&mut self, now: u64, sample: Observation) {
        let worker = &mut self.workers[sample.worker];
        let victim = service_name(sample.service);
        if let Some(neighbours) = worker.history.at(Clock(sample.sampled_s * 1_000)) {
            self.model.observe(&Sample {
                victim,
                neighbours,
                load: sample.load,
                slowdown: sample.slowdown,
            });
        }
        let suspects: Vec<Suspect> = worker
            .batch
            .iter()
            .map(|task| Suspect {
                run: task.run,
                blame: self
                    .model
                    .estimate(pair(victim, self.jobs[task.job].kind))
                    .mean
                    * sample.load,
            })
            .collect();
        let budget = &mut self.budgets[sample.worker / WORKERS_PER_RACK];
        let options = reaction::Options::default();
        let now = Millis(now * 1_000);
        match worker
            .watch
            .sample(now, sample.slowdown, &suspects, options, budget)
        {
            Some(Action::Throttle(run)) => self.throttle(sample.worker, run, true),
            Some(Action::Release(run)) => self.throttle(sample.worker, run, false),
            Some(Action::Evict(run)) => self.evict(sample.worker, run),
            None => {}
        }
    }

    fn throttle(&mut self, worker: usize, run: Run, throttled: bool) {
        let batch = &mut self.workers[worker].batch;
        if let Some(task) = batch.iter_mut().find(|task| task.run == run) {
            task.throttled = throttled;
        }
    }

    fn evict(&mut self, worker: usize, run: Run) {
        let batch = &mut self.workers[worker].batch;
        let Some(place) = batch.iter().position(|task| task.run == run) else {
            return;
        };
        let task = batch.remove(place);
        self.outcome.evictions += 1;
        self.wait_again(task.job, run, (task.done_s - RESUME_S).max(0.0));
    }
}
