// SPDX-License-Identifier: Apache-2.0
//! Client accounts: they hand jobs in, come back after a refusal, and cancel.

use rand::RngExt;
use stackpier_cell::{Event, TaskName};
use stackpier_core::{Unix, key};
use stackpier_state::job::{Record, State};

use super::{
    super::{deployment::Role, fault::Fault, job::Job},
    FENCE, START_UNIX_MS, ScheduledEvent, Simulation,
};

/// PATIENCE_MS is how long a client account tries to hand a job in.
const PATIENCE_MS: u64 = 3_000;
/// RETRY_MS is the pause before it comes back.
const RETRY_MS: u64 = 1_000;
/// CANCEL_MS is within which time jobs that are cancelled are.
const CANCEL_MS: u64 = 1_000;
/// FIRST_SUBMIT_MS is when the jobs are sent that are there from the beginning: workers have
/// answered by then.
const FIRST_SUBMIT_MS: u64 = 200;

impl Simulation {
    /// schedule_arrivals sends the jobs that are there from the beginning, and plans the
    /// first arrival of each kind.
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

    /// gap_ms draws the time until the next job of a kind.
    fn gap_ms(&mut self, index: usize) -> u64 {
        let times: f64 = self
            .active_faults()
            .filter_map(|fault| match fault {
                Fault::Burst(kind, times) if kind == index => Some(times),
                _ => None,
            })
            .product();
        let per_s = self.scenario.deployment.kinds[index].per_s * times;
        let draws = -(1.0 - self.random.random::<f64>()).ln();
        (draws / per_s * 1_000.0) as u64 + 1
    }

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

    /// submit sends a job. Without the store it is refused, and comes back for as long
    /// as its client account has patience.
    pub(super) fn submit(&mut self, number: u64) {
        let away = self.store_is_away();
        let (now_ms, now) = (self.now_ms, self.now());
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let by_kind = self.outcome.kinds.entry(job.kind.name).or_default();
        if away {
            if now_ms + RETRY_MS <= job.sent_ms + PATIENCE_MS {
                self.schedule(RETRY_MS, ScheduledEvent::Send(number));
                return;
            }
            by_kind.jobs += 1;
            by_kind.refused += 1;
            by_kind.achievable += job.kind.value;
            job.over = true;
            return;
        }
        job.accepted = true;
        by_kind.jobs += 1;
        let is_serving = job.kind.role == Role::Serving;
        if !is_serving {
            by_kind.achievable += job.kind.value;
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

    /// schedule_cancel plans the end of a job that lasts, and of one whose client account
    /// changes its mind.
    fn schedule_cancel(&mut self, number: u64, stay_ms: Option<u64>) {
        let share: f64 = self
            .active_faults()
            .filter_map(|fault| match fault {
                Fault::Cancels(share) => Some(share),
                _ => None,
            })
            .sum();
        let changes = self.random.random_bool(share.min(1.0));
        let after = match stay_ms {
            Some(stay_ms) => stay_ms,
            None if changes => self.random.random_range(1..CANCEL_MS),
            None => return,
        };
        self.schedule(after, ScheduledEvent::Cancel(number));
    }

    pub(super) fn cancel(&mut self, number: u64) {
        if let Some(job) = self.jobs.get_mut(&number)
            && !job.over
        {
            job.over = true;
            if job.kind.role != Role::Serving {
                // Nothing is owed for a job that was cancelled.
                let by_kind = self.outcome.kinds.entry(job.kind.name).or_default();
                by_kind.achievable -= job.kind.value;
            }
            self.feed_owner(Event::Cancelled(key::Job(number)));
        }
    }

    /// record_first_start notes the first starts of a job.
    pub(super) fn record_first_start(&mut self, task: TaskName) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&task.job.0) else {
            return;
        };
        let by_kind = self.outcome.kinds.entry(job.kind.name).or_default();
        let first_start_ms = *job.first_start_ms.get_or_insert(now_ms);
        if task.step > 0 || std::mem::replace(&mut job.started[task.index as usize], true) {
            return;
        }
        if job.started.iter().filter(|started| **started).count() == 1 {
            by_kind.first_start_ms.push(now_ms - job.sent_ms);
        }
        if job.started.iter().all(|started| *started) {
            by_kind.spread_ms.push(now_ms - first_start_ms);
        }
    }

    /// record_finished_jobs pays for the jobs that have ended.
    pub(super) fn record_finished_jobs(&mut self) {
        let now_ms = self.now_ms;
        for (number, job) in &mut self.jobs {
            if !job.accepted || job.over || job.kind.role == Role::Serving {
                continue;
            }
            let state = self.cell.state(key::Job(*number));
            if !state.is_some_and(State::is_final) {
                continue;
            }
            job.over = true;
            let by_kind = self.outcome.kinds.entry(job.kind.name).or_default();
            if state != Some(State::Completed) {
                continue;
            }
            let took_ms = now_ms - job.sent_ms;
            let earned = job.value_after(took_ms);
            by_kind.earned += earned;
            by_kind.in_time += u64::from(earned == job.kind.value);
            by_kind.late += u64::from(earned == job.kind.late_value);
        }
    }
}
