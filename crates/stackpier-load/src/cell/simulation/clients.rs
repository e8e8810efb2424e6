// SPDX-License-Identifier: Apache-2.0
//! Client accounts: they submit jobs, retry after a refusal, and cancel.

use rand::RngExt;
use stackpier_cell::{Event, TaskName};
use stackpier_core::{Unix, key};
use stackpier_state::job::{Record, State};

use super::{
    super::{deployment::Role, fault::Fault, job::Job},
    FENCE, START_UNIX_MS, ScheduledEvent, Simulation,
};

/// PATIENCE_MS is how long a client account tries to submit a job.
const PATIENCE_MS: u64 = 3_000;
/// RETRY_MS is the time between two tries.
const RETRY_MS: u64 = 1_000;
/// CANCEL_MS bounds the time from the acceptance of a job to its cancellation.
const CANCEL_MS: u64 = 1_000;
/// FIRST_SUBMIT_MS is when the initial jobs are submitted. All workers have answered by then.
const FIRST_SUBMIT_MS: u64 = 200;

impl Simulation {
    /// schedule_arrivals schedules the initial jobs and the first later arrival of each kind.
    pub(super) fn schedule_arrivals(&mut self) {
        for index in 0..self.scenario.deployment.kinds.len() {
            for _ in 0..self.scenario.deployment.kinds[index].at_start {
                let job = self.draw(index);
                self.schedule(FIRST_SUBMIT_MS, ScheduledEvent::Send(job));
            }
            let after = self.gap_ms(index);
            self.schedule(FIRST_SUBMIT_MS + after, ScheduledEvent::Arrive(index));
        }
    }

    /// gap_ms draws the time until the next job of a kind arrives.
    fn gap_ms(&mut self, index: usize) -> u64 {
        let factor: f64 = self
            .active_faults()
            .filter_map(|fault| match fault {
                Fault::Burst(kind, factor) if kind == index => Some(factor),
                _ => None,
            })
            .product();
        let per_s = self.scenario.deployment.kinds[index].per_s * factor;
        let gap = -(1.0 - self.random.random::<f64>()).ln();
        (gap / per_s * 1_000.0) as u64 + 1
    }

    /// draw draws a job of the kind with this index, and returns the job's number.
    fn draw(&mut self, index: usize) -> u64 {
        let kind = self.scenario.deployment.kinds[index];
        let drawn = kind.draw(&mut self.random, &self.scenario.deployment.serving);
        let number = self.jobs.len() as u64 + 1;
        self.jobs.insert(number, Job::new(kind, drawn, self.now_ms));
        number
    }

    pub(super) fn arrive(&mut self, index: usize) {
        if self.now_ms >= self.scenario.deployment.length_ms {
            return;
        }
        let job = self.draw(index);
        self.submit(job);
        let after = self.gap_ms(index);
        self.schedule(after, ScheduledEvent::Arrive(index));
    }

    /// submit sends a job to the owner. While the store is unavailable the job is refused, and its
    /// client account retries for `PATIENCE_MS`.
    pub(super) fn submit(&mut self, number: u64) {
        let away = self.is_store_unavailable();
        let (now_ms, now) = (self.now_ms, self.now());
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let kind_outcome = self.outcome.kinds.entry(job.kind.name).or_default();
        if away {
            if now_ms + RETRY_MS <= job.sent_ms + PATIENCE_MS {
                self.schedule(RETRY_MS, ScheduledEvent::Send(number));
                return;
            }
            kind_outcome.jobs += 1;
            kind_outcome.refused += 1;
            kind_outcome.achievable += job.kind.value;
            job.ended = true;
            return;
        }
        job.accepted = true;
        kind_outcome.jobs += 1;
        let is_serving = job.kind.role == Role::Serving;
        if !is_serving {
            kind_outcome.achievable += job.kind.value;
        }
        let record = Record {
            queue: job.kind.queue(),
            spec: job.drawn.spec.clone(),
            fence: FENCE,
            accepted_ms: Unix(START_UNIX_MS + now_ms).0,
        };
        debug_assert_eq!(now.unix, Unix(START_UNIX_MS + now_ms));
        let stay_ms = is_serving.then(|| job.drawn.work_ms[0]);
        self.feed_owner(Event::Accepted {
            job: key::Job(number),
            record: Box::new(record),
            progress: None,
            cancelled: false,
        });
        self.schedule_cancel(number, stay_ms);
    }

    /// schedule_cancel schedules the cancellation of a serving job after `stay_ms`, and of a share
    /// of the other jobs while `Fault::Cancels` is active.
    fn schedule_cancel(&mut self, number: u64, stay_ms: Option<u64>) {
        let share: f64 = self
            .active_faults()
            .filter_map(|fault| match fault {
                Fault::Cancels(share) => Some(share),
                _ => None,
            })
            .sum();
        let cancels = self.random.random_bool(share.min(1.0));
        let after = match stay_ms {
            Some(stay_ms) => stay_ms,
            None if cancels => self.random.random_range(1..CANCEL_MS),
            None => return,
        };
        self.schedule(after, ScheduledEvent::Cancel(number));
    }

    pub(super) fn cancel(&mut self, number: u64) {
        if let Some(job) = self.jobs.get_mut(&number)
            && !job.ended
        {
            job.ended = true;
            if job.kind.role != Role::Serving {
                // A cancelled job does not count towards the achievable value.
                let kind_outcome = self.outcome.kinds.entry(job.kind.name).or_default();
                kind_outcome.achievable -= job.kind.value;
            }
            self.feed_owner(Event::Cancelled(key::Job(number)));
        }
    }

    /// record_first_start records when the tasks of a job's first step first started.
    pub(super) fn record_first_start(&mut self, task: TaskName) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&task.job.0) else {
            return;
        };
        let kind_outcome = self.outcome.kinds.entry(job.kind.name).or_default();
        let first_ms = *job.first_ms.get_or_insert(now_ms);
        if task.step > 0 || std::mem::replace(&mut job.started[task.index as usize], true) {
            return;
        }
        if job.started.iter().filter(|started| **started).count() == 1 {
            kind_outcome.first_ms.push(now_ms - job.sent_ms);
        }
        if job.started.iter().all(|started| *started) {
            kind_outcome.spread_ms.push(now_ms - first_ms);
        }
    }

    /// record_finished_jobs credits the value of jobs that have completed since the last call.
    pub(super) fn record_finished_jobs(&mut self) {
        let now_ms = self.now_ms;
        for (number, job) in &mut self.jobs {
            if !job.accepted || job.ended || job.kind.role == Role::Serving {
                continue;
            }
            let state = self.cell.state(key::Job(*number));
            if !state.is_some_and(State::is_final) {
                continue;
            }
            job.ended = true;
            let kind_outcome = self.outcome.kinds.entry(job.kind.name).or_default();
            if state != Some(State::Completed) {
                continue;
            }
            let took_ms = now_ms - job.sent_ms;
            let earned = job.value_after(took_ms);
            kind_outcome.earned += earned;
            kind_outcome.in_time += u64::from(earned == job.kind.value);
            kind_outcome.late += u64::from(earned == job.kind.late_value);
        }
    }
}
