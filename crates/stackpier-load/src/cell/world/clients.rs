// SPDX-License-Identifier: Apache-2.0
//! Client accounts: they hand jobs in, come back after a refusal, and cancel.

use rand::RngExt;
use stackpier_cell::{Event, TaskName};
use stackpier_core::{Unix, key};
use stackpier_state::job::{Record, State};

use super::{
    super::{fault::Fault, job::Job, site::Role},
    FENCE, Happening, START, World,
};

/// PATIENCE_MS is how long a client account tries to hand a job in.
const PATIENCE_MS: u64 = 3_000;
/// RETRY_MS is the pause before it comes back.
const RETRY_MS: u64 = 1_000;
/// CANCEL_MS is within which time jobs that are cancelled are.
const CANCEL_MS: u64 = 1_000;
/// FIRST_MS is when the jobs are sent that are there from the beginning: workers have
/// answered by then.
const FIRST_MS: u64 = 200;

impl World {
    /// plan_arrivals sends the jobs that are there from the beginning, and plans the
    /// first arrival of each kind.
    pub(super) fn plan_arrivals(&mut self) {
        for place in 0..self.day.site.kinds.len() {
            for _ in 0..self.day.site.kinds[place].at_start {
                let job = self.draw(place);
                self.send(FIRST_MS, Happening::Send(job));
            }
            let after = self.gap_ms(place);
            self.send(FIRST_MS + after, Happening::Arrive(place));
        }
    }

    /// gap_ms draws the time until the next job of a kind.
    fn gap_ms(&mut self, place: usize) -> u64 {
        let times: f64 = self
            .faults()
            .filter_map(|fault| match fault {
                Fault::Burst(kind, times) if kind == place => Some(times),
                _ => None,
            })
            .product();
        let per_s = self.day.site.kinds[place].per_s * times;
        let draws = -(1.0 - self.random.random::<f64>()).ln();
        (draws / per_s * 1_000.0) as u64 + 1
    }

    fn draw(&mut self, place: usize) -> u64 {
        let kind = self.day.site.kinds[place];
        let drawn = kind.draw(&mut self.random, &self.day.site.serving);
        let number = self.jobs.len() as u64 + 1;
        self.jobs.insert(number, Job::new(kind, drawn, self.now_ms));
        number
    }

    pub(super) fn arrive(&mut self, place: usize) {
        if self.now_ms >= self.day.site.length_ms {
            return;
        }
        let job = self.draw(place);
        self.hand_in(job);
        let after = self.gap_ms(place);
        self.send(after, Happening::Arrive(place));
    }

    /// hand_in sends a job. Without the store it is refused, and comes back for as long
    /// as its client account has patience.
    pub(super) fn hand_in(&mut self, number: u64) {
        let away = self.store_is_away();
        let (now_ms, now) = (self.now_ms, self.now());
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let by_kind = self.outcome.kinds.entry(job.kind.name).or_default();
        if away {
            if now_ms + RETRY_MS <= job.sent_ms + PATIENCE_MS {
                self.send(RETRY_MS, Happening::Send(number));
                return;
            }
            by_kind.jobs += 1;
            by_kind.refused += 1;
            by_kind.owed += job.kind.worth;
            job.over = true;
            return;
        }
        job.accepted = true;
        by_kind.jobs += 1;
        let serves = job.kind.role == Role::Serving;
        if !serves {
            by_kind.owed += job.kind.worth;
        }
        let record = Record {
            queue: job.kind.queue(),
            spec: job.drawn.spec.clone(),
            fence: FENCE,
            accepted_ms: Unix(START + now_ms).0,
        };
        debug_assert_eq!(now.unix, Unix(START + now_ms));
        let stay_ms = serves.then(|| job.drawn.work_ms[0]);
        self.feed(Event::Accepted {
            job: key::Job(number),
            record: Box::new(record),
            progress: None,
            cancelled: false,
        });
        self.plan_cancel(number, stay_ms);
    }

    /// plan_cancel plans the end of a job that lasts, and of one whose client account
    /// changes its mind.
    fn plan_cancel(&mut self, number: u64, stay_ms: Option<u64>) {
        let share: f64 = self
            .faults()
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
        self.send(after, Happening::Cancel(number));
    }

    pub(super) fn cancel(&mut self, number: u64) {
        if let Some(job) = self.jobs.get_mut(&number)
            && !job.over
        {
            job.over = true;
            if job.kind.role != Role::Serving {
                // Nothing is owed for a job that was cancelled.
                let by_kind = self.outcome.kinds.entry(job.kind.name).or_default();
                by_kind.owed -= job.kind.worth;
            }
            self.feed(Event::Cancelled(key::Job(number)));
        }
    }

    /// note_begin notes the first starts of a job.
    pub(super) fn note_begin(&mut self, task: TaskName) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&task.job.0) else {
            return;
        };
        let by_kind = self.outcome.kinds.entry(job.kind.name).or_default();
        let first_ms = *job.first_ms.get_or_insert(now_ms);
        if task.step > 0 || std::mem::replace(&mut job.begun[task.index as usize], true) {
            return;
        }
        if job.begun.iter().filter(|begun| **begun).count() == 1 {
            by_kind.first_ms.push(now_ms - job.sent_ms);
        }
        if job.begun.iter().all(|begun| *begun) {
            by_kind.spread_ms.push(now_ms - first_ms);
        }
    }

    /// see_ends pays for the jobs that have ended.
    pub(super) fn see_ends(&mut self) {
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
            let earned = job.earns(took_ms);
            by_kind.earned += earned;
            by_kind.in_time += u64::from(earned == job.kind.worth);
            by_kind.late += u64::from(earned == job.kind.late_worth);
        }
    }
}
