// SPDX-License-Identifier: Apache-2.0
//! One second of the workers: latencies, samples, failures and progress.

use std::collections::BTreeMap;

use rand::RngExt;
use stackpier_core::{Millis, Name};
use stackpier_protocol::sync::Clock;

use super::{
    super::model::{SAMPLE_EVERY_S, WORKERS, kind_name},
    MICROS, Observation, Running, World,
};

/// BASE_MS is the latency of a request alone, half fixed and half exponential.
const BASE_MS: f64 = 10.0;
/// THROTTLED is the speed of a throttled task, and its share of interference.
const THROTTLED: f64 = 0.5;
/// SAMPLE_NOISE is the standard noise of a slowdown sample.
const SAMPLE_NOISE: f64 = 0.05;

impl World {
    /// serve draws the services' latencies, and samples of their slowdown.
    pub(super) fn serve(&mut self, now: u64) {
        let load = self.season.load(now);
        for number in 0..WORKERS {
            self.record(now, number);
            for place in 0..self.workers[number].services.len() {
                let service = self.workers[number].services[place];
                let slowdown = 1.0 + load * self.excess(now, number, service);
                let varying = -(1.0 - self.rng.random::<f64>()).ln();
                let latency = BASE_MS * slowdown * (0.5 + 0.5 * varying);
                self.outcome
                    .latency
                    .saturating_record((latency * MICROS) as u64);
                if (now + number as u64).is_multiple_of(SAMPLE_EVERY_S) {
                    let noise = self.rng.random_range(-SAMPLE_NOISE..SAMPLE_NOISE);
                    self.samples.push_back(Observation {
                        worker: number,
                        service,
                        sampled_s: now,
                        load,
                        slowdown: slowdown + noise,
                    });
                }
            }
        }
    }

    fn record(&mut self, now: u64, number: usize) {
        let mut by_kind: BTreeMap<Name, u32> = BTreeMap::new();
        for task in &self.workers[number].batch {
            *by_kind
                .entry(kind_name(self.jobs[task.job].kind))
                .or_default() += 1;
        }
        self.workers[number]
            .history
            .record(Clock(now * 1_000), by_kind);
    }

    fn excess(&self, now: u64, worker: usize, service: usize) -> f64 {
        let share = |task: &Running| if task.throttled { THROTTLED } else { 1.0 };
        let batch = self.workers[worker].batch.iter();
        batch
            .map(|task| self.truth.excess(service, self.jobs[task.job].kind, now) * share(task))
            .sum()
    }

    /// fail ends the starts that fail now.
    pub(super) fn fail(&mut self, now: u64) {
        for number in 0..WORKERS {
            let fails = |task: &Running| task.fails_s == Some(now);
            let failed: Vec<Running> = self.workers[number]
                .batch
                .extract_if(.., |task| fails(task))
                .collect();
            for task in failed {
                self.outcome.failed_starts += 1;
                self.workers[number]
                    .breaker
                    .failed(Millis(now * 1_000), true);
                self.wait_again(task.job, task.run, task.done_s);
            }
        }
    }

    pub(super) fn progress(&mut self, now: u64) {
        let (jobs, outcome) = (&self.jobs, &mut self.outcome);
        for worker in &mut self.workers {
            let mut finished = false;
            worker.batch.retain_mut(|task| {
                task.done_s += if task.throttled { THROTTLED } else { 1.0 };
                let job = &jobs[task.job];
                let done = task.done_s >= job.run_s;
                outcome.finished += u64::from(done);
                outcome.in_time += u64::from(done && now <= job.deadline_s);
                finished |= done;
                !done
            });
            if finished {
                worker.breaker.succeeded();
            }
        }
    }
}
