// SPDX-License-Identifier: Apache-2.0
//! Random jobs: their steps, the behaviour of their tasks, and when they are
//! submitted and cancelled.

use rand::RngExt;
use stackpier_cell::Event;
use stackpier_core::{Size, key};
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::{Record, Schedule, Spec, Step};

use super::{Faults, Message, START_UNIX_MS, Simulation, following::Change, queue};

/// LASTS_MS bounds the time from the last fault until a job of long-running tasks is cancelled.
const LASTS_MS: (u64, u64) = (5_000, 20_000);
/// FAILING is how many of a thousand long-running tasks fail again and again.
const FAILING: u32 = 400;

/// EVERY_OTHER is half of a thousand.
const EVERY_OTHER: u32 = 500;
/// RESUBMITTED_MS bounds the time until another job is submitted under the id of a removed one.
const RESUBMITTED_MS: u64 = 3_000;

impl Simulation {
    /// plan_jobs draws all jobs, and when each is submitted and cancelled.
    pub(super) fn plan_jobs(&mut self, length_ms: u64) {
        let count = length_ms / 400;
        for number in 0..count {
            let job = key::Job(number + 1);
            let mut spec = self.draw_spec(job);
            if self.draw_long_running(self.faults.long_running) {
                spec = self.long_running_spec(job);
                let after_ms = self.draw_long_running_range(LASTS_MS.0, LASTS_MS.1);
                self.send(length_ms + after_ms, Message::Cancel(job));
            }
            if self.draw_repeated(self.faults.repeated) {
                spec = self.repeated_spec(job, length_ms);
            }
            self.oracle.specs.insert(job, spec);
            let at = self.draw_range(500, length_ms);
            self.send(at, Message::Submit(job));
            if self.random.random_range(0..1_000) < self.faults.cancels {
                let after = self.draw_range(0, 3_000);
                self.send(at + after, Message::Cancel(job));
            }
        }
    }

    fn draw_spec(&mut self, job: key::Job) -> Spec {
        let mut steps = Vec::new();
        let mut behaviours = Vec::new();
        for number in 0..self.draw_range(1, 3) {
            let step = self.draw_step(number as u16);
            behaviours.push(self.draw_behaviours(&step));
            steps.push(step);
        }
        self.behaviours.insert(job, behaviours);
        Spec {
            payload: String::new(),
            steps,
            schedule: None,
        }
    }

    /// long_running_spec returns a job of long-running tasks, some of which fail again and again.
    fn long_running_spec(&mut self, job: key::Job) -> Spec {
        let size = Size {
            milli_cores: self.draw_long_running_range(500, 2_000) as u32,
            memory_mib: 1_000,
            accelerators: 0,
        };
        let step = Step {
            count: self.draw_long_running_range(1, 3) as u32,
            size,
            estimate_ms: 1_000,
            long_running: true,
            ..Step::default()
        };
        let mut behaviours = Vec::new();
        for _ in 0..step.count {
            behaviours.push(Behaviour {
                work_ms: self.draw_long_running_range(500, 9_000),
                fails: self.draw_long_running(FAILING),
                size,
                long_running: true,
                ..Behaviour::default()
            });
        }
        self.behaviours.insert(job, vec![behaviours]);
        Spec {
            payload: String::new(),
            steps: vec![step],
            schedule: None,
        }
    }

    /// repeated_spec returns a job of short tasks that repeats. Its rounds may overlap, and may be
    /// overdue when it is submitted.
    fn repeated_spec(&mut self, job: key::Job, length_ms: u64) -> Spec {
        let mut steps = Vec::new();
        let mut behaviours = Vec::new();
        for number in 0..self.draw_repeated_range(1, 2) as u16 {
            let size = Size {
                milli_cores: self.draw_repeated_range(200, 1_000) as u32,
                memory_mib: 500,
                accelerators: 0,
            };
            let step = Step {
                count: self.draw_repeated_range(1, 3) as u32,
                size,
                estimate_ms: self.draw_repeated_range(100, 1_500) as u32,
                after: (0..number).collect(),
                speculative: self.draw_repeated(self.faults.copies),
                checkpointing: self.draw_repeated(EVERY_OTHER),
                ..Step::default()
            };
            let behaviour = Behaviour {
                work_ms: u64::from(step.estimate_ms),
                size,
                saves: step.checkpointing,
                ..Behaviour::default()
            };
            behaviours.push(vec![behaviour; step.count as usize]);
            steps.push(step);
        }
        self.behaviours.insert(job, behaviours);
        let schedule = Schedule {
            rounds: self.draw_repeated_range(2, 40) as u32,
            first_ms: START_UNIX_MS + self.draw_repeated_range(0, length_ms),
            interval_ms: self.draw_repeated_range(1, 1_000),
        };
        Spec {
            payload: String::new(),
            steps,
            schedule: Some(schedule),
        }
    }

    /// remove_job removes a job from the store that its owner has shown for long enough. Another one
    /// may be submitted under its id.
    pub(super) fn remove_job(&mut self, job: key::Job) {
        self.count("removed job");
        self.store.jobs.remove(&job);
        self.store.progress.remove(&job);
        self.store.cancelled.remove(&job);
        self.store.assignments.remove(&job);
        if self.now_ms < self.faults_until && self.draw_repeated(self.faults.resubmitted) {
            self.oracle.forget(job);
            let after_ms = self.draw_repeated_range(1, RESUBMITTED_MS);
            self.send(after_ms, Message::Submit(job));
        }
    }

    fn draw_step(&mut self, number: u16) -> Step {
        let best_effort = self.random.random_bool(0.5);
        let speculative = self.extra_random.random_range(0..1_000) < self.faults.copies;
        Step {
            count: self.draw_range(1, 5) as u32,
            size: Size {
                milli_cores: self.draw_range(500, 3_000) as u32,
                memory_mib: self.draw_range(500, 4_000) as u32,
                accelerators: 0,
            },
            estimate_ms: self.draw_estimate_ms(number),
            after: if number > 0 {
                vec![number - 1]
            } else {
                Vec::new()
            },
            checkpointing: self.random.random_bool(0.5),
            best_effort,
            most_per_worker: self.random.random_bool(0.3).then_some(2),
            image: format!("image-{}", self.draw_range(0, 3)),
            speculative,
            ..Step::default()
        }
    }

    /// draw_estimate_ms draws how long the tasks of a step work: most only a short
    /// time, and in one of five first steps longer than a lease.
    fn draw_estimate_ms(&mut self, step: u16) -> u32 {
        let (low, high) = if step == 0 && self.random.random_bool(0.2) {
            (7_000, 12_000)
        } else {
            (100, 2_500)
        };
        self.draw_range(low, high) as u32
    }

    fn draw_behaviours(&mut self, step: &Step) -> Vec<Behaviour> {
        let mut size = step.size;
        let mut best_effort_milli = 0;
        if step.best_effort {
            best_effort_milli = std::mem::take(&mut size.milli_cores);
        }
        let behaviour = |fails, crashes| Behaviour {
            work_ms: u64::from(step.estimate_ms),
            fails,
            crashes,
            size,
            best_effort_milli,
            saves: step.checkpointing,
            ..Behaviour::default()
        };
        let Faults {
            poison, crashing, ..
        } = self.faults;
        let mut draw = |thousandths| self.random.random_range(0..1_000) < thousandths;
        let mut next = || behaviour(draw(poison), draw(crashing));
        (0..step.count).map(|_| next()).collect()
    }

    /// submit stores a job and reports it to the newest owner.
    pub(super) fn submit(&mut self, job: key::Job) {
        if self.wait_for_store(Message::Submit(job)) {
            return;
        }
        let record = Record {
            queue: queue(),
            spec: self.oracle.specs[&job].clone(),
            fence: self.store.fence,
            accepted_ms: START_UNIX_MS + self.now_ms,
        };
        if self.oracle.is_forgotten(job) {
            self.count("id used again");
        }
        self.store.jobs.insert(job, record.clone());
        let event = Event::Accepted {
            job,
            record: Box::new(record),
            progress: None,
            cancelled: false,
        };
        let index = self.owners.len() - 1;
        self.watch_stale(&event);
        if self.follows_store() {
            self.write_change(Change::Accepted(job));
        } else {
            self.deliver(index, event);
        }
    }

    /// watch_stale reports a job to some of the replaced owners through their watch of the store,
    /// before another watch reports that they were replaced.
    fn watch_stale(&mut self, accepted: &Event) {
        for index in 0..self.owners.len() - 1 {
            if !self.owners[index].ended
                && self.reaches_store(index)
                && self.draw_extra_fault(self.faults.stale_watches)
            {
                self.count("job of a later owner seen by an earlier one");
                let delay_ms = self.draw_extra_range(1, 10);
                let event = Box::new(accepted.clone());
                self.send(delay_ms, Message::Event(index, event));
            }
        }
    }

    /// cancel cancels a job, if it was submitted.
    pub(super) fn cancel(&mut self, job: key::Job) {
        if self.wait_for_store(Message::Cancel(job)) {
            return;
        }
        if self.store.jobs.contains_key(&job) {
            self.count("cancel");
            self.store.cancelled.insert(job, ());
            if self.follows_store() {
                self.write_change(Change::Cancelled(job));
                return;
            }
            let index = self.owners.len() - 1;
            self.deliver(index, Event::Cancelled(job));
        }
    }
}
