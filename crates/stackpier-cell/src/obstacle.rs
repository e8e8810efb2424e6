// SPDX-License-Identifier: Apache-2.0
//! Obstacles that keep waiting tasks from workers, and log lines on steps that
//! wait with nothing running.

use stackpier_state::explain::{self, Cause, Tally};

use crate::{
    Cell, TaskName,
    arena::{JobKey, StepKey, TaskKey},
};

/// IDLE_MS is how long a ready step may have nothing running before the log gives
/// the reason: client accounts count a job as lost from three seconds on.
const IDLE_MS: u64 = 2_000;
/// MAX_LOGGED is for how many such steps the log gives the reason at a time, those
/// that have waited longest first.
const MAX_LOGGED: usize = 3;

/// Obstacle is the reason why a worker cannot take a task.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) enum Obstacle {
    /// The worker belongs to another service, lacks the step's label or ticket, or
    /// has as many tasks of the step as allowed.
    Excluded,
    /// The worker gets no starts now: for example, it does not answer, is about to
    /// leave, or fails runs.
    Unusable,
    /// Operators have cordoned the worker's data centre.
    Cordoned,
    /// The worker runs serving tasks, and best-effort tasks may not run beside them.
    Apart,
    /// The worker lacks processors, memory or accelerators that are neither allocated nor
    /// reserved for another step.
    Full,
    /// The worker's free capacity is kept for short tasks: memory that best-effort
    /// tasks must leave free, or a dedicated worker.
    Reserve,
    /// Too few of the worker's processors are expected to be unused.
    Busy,
    /// A relaxed start on the worker was so recent that its effect has not been
    /// reported yet, or a serving task there has been over its target for long.
    Unsettled,
    /// The expected harm to the worker's serving tasks, which is above the limit.
    Harm(f64),
    /// The worker is not in the rack of the step's data, and there is time to wait
    /// for one that is.
    Far,
}

impl Obstacle {
    /// kind returns the kind of the obstacle, as operators are shown it.
    fn kind(self) -> explain::Obstacle {
        match self {
            Obstacle::Excluded => explain::Obstacle::Excluded,
            Obstacle::Unusable => explain::Obstacle::Unusable,
            Obstacle::Cordoned => explain::Obstacle::Cordoned,
            Obstacle::Apart => explain::Obstacle::Apart,
            Obstacle::Full => explain::Obstacle::Full,
            Obstacle::Reserve => explain::Obstacle::Reserve,
            Obstacle::Busy => explain::Obstacle::Busy,
            Obstacle::Unsettled => explain::Obstacle::Unsettled,
            Obstacle::Harm(_) => explain::Obstacle::Harm,
            Obstacle::Far => explain::Obstacle::Far,
        }
    }
}

/// count_worker adds a worker to a tally, as free or under its obstacle.
fn count_worker(tally: &mut Tally, rating: Result<f64, Obstacle>) {
    let Err(obstacle) = rating else {
        tally.free += 1;
        return;
    };
    tally.keep(obstacle.kind());
    if let Obstacle::Harm(harm) = obstacle {
        let min_harm = tally.least_harm.unwrap_or(f64::MAX);
        tally.least_harm = Some(min_harm.min(harm));
    }
}

/// IdleStep is a step with tasks to place, and for how long it has had nothing
/// running.
#[derive(Clone, Copy, Debug)]
struct IdleStep {
    step: StepKey,
    task: TaskKey,
    long_running: bool,
    waited_ms: u64,
}

impl Cell {
    /// longest_wait_ms returns the longest time for which a ready step has had
    /// nothing running, zero if there is no such step.
    pub fn longest_wait_ms(&self) -> u64 {
        let waits = self.idle_steps().map(|idle| idle.waited_ms);
        waits.max().unwrap_or(0)
    }

    /// log_idle logs why the longest waiting steps have nothing running, those of
    /// long-running tasks and the others separately.
    pub(crate) fn log_idle(&mut self) {
        let mut idle: Vec<IdleStep> = self.idle_steps().collect();
        idle.retain(|idle| idle.waited_ms >= IDLE_MS);
        idle.sort_by_key(|idle| std::cmp::Reverse(idle.waited_ms));
        let (long_running, others): (Vec<IdleStep>, Vec<IdleStep>) =
            idle.into_iter().partition(|idle| idle.long_running);
        self.log_longest("a long-running task has not run", &long_running);
        self.log_longest("no task of the step has run", &others);
    }

    fn log_longest(&mut self, what: &str, idle: &[IdleStep]) {
        let count = idle.len();
        for idle in idle.iter().take(MAX_LOGGED) {
            let why = self.obstacles(idle.step);
            let mut text = format!(
                "{what} for {} ms, one of {count} such steps: {why}",
                idle.waited_ms
            );
            if why == Cause::Predecessor {
                text = format!("{text}; {}", self.describe_inherited(idle.task));
            }
            let name: TaskName = self.name(idle.task);
            self.log("wait", Some(name), text);
        }
    }

    /// log_stranded logs tasks that could run and are neither done, nor running, nor
    /// waiting to be placed. There are none unless the scheduler made an error.
    pub(crate) fn log_stranded(&mut self) {
        let stranded: Vec<TaskKey> = self.stranded_tasks().collect();
        let Some(first) = stranded.first() else {
            return;
        };
        let name = self.name(*first);
        let text = format!(
            "{} tasks could run, but are neither running nor waiting to be placed",
            stranded.len()
        );
        self.log("wait", Some(name), text);
    }

    /// stranded_tasks returns the tasks that could run and that no list holds.
    fn stranded_tasks(&self) -> impl Iterator<Item = TaskKey> + '_ {
        let open = self.jobs.iter().filter(|(_, job)| !job.state.is_final());
        let tasks = open.flat_map(|(key, _)| self.tasks_of(JobKey(key)));
        tasks.filter(|key| {
            let task = self.task(*key);
            let accounted_for = task.done || task.ready || !task.runs.is_empty();
            let may_start =
                || self.step_of(task.step).blocked_by == 0 && self.round(key.round).released;
            !accounted_for && may_start()
        })
    }

    /// obstacles returns what keeps the tasks of a step from starting.
    pub(crate) fn obstacles(&mut self, step: StepKey) -> Cause {
        if !self.has_authority() {
            return Cause::Unconfirmed;
        }
        if !self.knows_cordons() {
            return Cause::Unread;
        }
        if !self.knows_jobs() {
            return Cause::StaleJobs(self.jobs_age_ms());
        }
        if !self.knows_workers() {
            return Cause::StaleWorkers(self.workers_age_ms());
        }
        if !self.may_start_any(step) {
            return Cause::Predecessor;
        }
        let Some(mut demand) = self.demand(step) else {
            return Cause::UnknownQueue(self.job(self.step_of(step).job).queue.clone());
        };
        if demand.best_effort && self.is_starving(&demand) {
            demand = demand.relaxed();
        }
        let mut tally = Tally {
            asks: demand.describe(),
            ..Tally::default()
        };
        for worker in self.live_workers() {
            let rating = self
                .rate_worker(&demand, worker)
                .map_err(|obstacle| match obstacle {
                    // `rate_worker` stops adding up harm at the limit; this is all of it.
                    Obstacle::Harm(_) => Obstacle::Harm(self.harm(
                        worker,
                        demand.image,
                        demand.requested.milli_cores,
                        f64::MAX,
                    )),
                    other => other,
                });
            count_worker(&mut tally, rating);
        }
        tally
            .kept
            .sort_by_key(|kept| std::cmp::Reverse(kept.workers));
        Cause::Workers(tally)
    }

    /// idle_steps returns the steps with tasks to place, and for how long each has had
    /// nothing running; a step of long-running tasks, for how long one of them has
    /// not run.
    fn idle_steps(&self) -> impl Iterator<Item = IdleStep> + '_ {
        self.queued().filter_map(|key| {
            let step = self.step_of(key);
            let task = *step.ready.first()?;
            let over = self.job(step.job).state.is_final();
            (!over).then(|| IdleStep {
                step: key,
                task,
                long_running: self.step_spec(key).long_running,
                waited_ms: self.idle_ms(key),
            })
        })
    }
}
