// SPDX-License-Identifier: Apache-2.0
//! What keeps a waiting task from the workers, and which steps wait with nothing
//! running.

use stackpier_state::explain::{self, Cause, Tally};

use crate::{
    Cell, TaskName,
    arena::{StepKey, TaskKey},
};

/// IDLE_MS is how long a step may have nothing running, though its turn has come,
/// before the log says why: users call a job lost from three seconds on.
const IDLE_MS: u64 = 2_000;
/// MOST_NOTED is for how many such steps the log says why at a time, the longest
/// waiting first.
const MAX_LOGGED: usize = 3;

/// Obstacle is what keeps a task from a worker.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) enum Obstacle {
    /// It is of another service, lacks the step's label or ticket, or has as
    /// many tasks of the step as it may.
    Excluded,
    /// It gets no starts now: it does not answer, leaves, or fails runs.
    Unusable,
    /// It runs tasks that serve, and nothing is to fill beside these.
    Apart,
    /// It lacks free processors, memory or accelerators.
    Full,
    /// It lacks the memory that is kept free of filling tasks.
    Reserve,
    /// Too few of its processors are expected to be unused.
    Busy,
    /// The effect of the last start in spite of these bounds was not seen yet.
    Unsettled,
    /// The expected harm to its serving tasks is this high.
    Harm(f64),
    /// It is not in the rack of the data, and there is time to wait for one.
    Far,
}

impl Obstacle {
    fn kind(self) -> explain::Obstacle {
        match self {
            Obstacle::Excluded => explain::Obstacle::Excluded,
            Obstacle::Unusable => explain::Obstacle::Unusable,
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

/// count counts a worker by what keeps a task from it.
fn count(tally: &mut Tally, offer: Result<f64, Obstacle>) {
    let Err(obstacle) = offer else {
        tally.free += 1;
        return;
    };
    tally.keep(obstacle.kind());
    if let Obstacle::Harm(harm) = obstacle {
        let least = tally.least_harm.unwrap_or(f64::MAX);
        tally.least_harm = Some(least.min(harm));
    }
}

/// Idle is a step whose turn has come and that has nothing running.
#[derive(Clone, Copy, Debug)]
struct Idle {
    step: StepKey,
    task: TaskKey,
    long_running: bool,
    waits_ms: u64,
}

impl Cell {
    /// longest_wait_ms returns for how long a step has had nothing running though
    /// its turn has come: of all steps the longest time, zero if there is none.
    pub fn longest_wait_ms(&self) -> u64 {
        let waits = self.idle().map(|idle| idle.waits_ms);
        waits.max().unwrap_or(0)
    }

    /// log_idle writes what keeps the longest waiting steps without a run, those of
    /// tasks that last and the others by themselves.
    pub(crate) fn log_idle(&mut self) {
        let mut idle: Vec<Idle> = self.idle().collect();
        idle.retain(|idle| idle.waits_ms >= IDLE_MS);
        idle.sort_by_key(|idle| std::cmp::Reverse(idle.waits_ms));
        let (long_running, others): (Vec<Idle>, Vec<Idle>) =
            idle.into_iter().partition(|idle| idle.long_running);
        self.log_longest("a task that lasts has not run", &long_running);
        self.log_longest("nothing of the step has run", &others);
    }

    fn log_longest(&mut self, what: &str, idle: &[Idle]) {
        let count = idle.len();
        for idle in idle.iter().take(MAX_LOGGED) {
            let why = self.obstacles(idle.step);
            let text = format!(
                "{what} for {} ms, one of {count} such: {why}",
                idle.waits_ms
            );
            let name: TaskName = self.name(idle.task);
            self.log("wait", Some(name), text);
        }
    }

    /// log_stranded writes which tasks could run and stand in no list: they are
    /// neither done, running nor waiting to be placed. There are none unless a
    /// decision went wrong.
    pub(crate) fn log_stranded(&mut self) {
        let stranded: Vec<TaskKey> = self.stranded().collect();
        let Some(first) = stranded.first() else {
            return;
        };
        let name = self.name(*first);
        let text = format!("{} tasks that could run are in no list", stranded.len());
        self.log("wait", Some(name), text);
    }

    fn stranded(&self) -> impl Iterator<Item = TaskKey> + '_ {
        let open = self.jobs.iter().filter(|job| !job.state.is_final());
        let tasks = open.flat_map(|job| job.first_task.0..job.first_task.0 + job.tasks);
        tasks.map(TaskKey).filter(|key| {
            let task = self.task(*key);
            let step = self.step_of(task.step);
            let due = step.due_unix_ms <= self.now.unix.0;
            let listed = task.done || task.ready || !task.runs.is_empty();
            !listed && step.blocked_by == 0 && due
        })
    }

    /// obstacles returns what keeps the tasks of a step from starting.
    pub(crate) fn obstacles(&mut self, step: StepKey) -> Cause {
        if !self.has_authority() {
            return Cause::Unconfirmed;
        }
        let job = self.step_of(step).job;
        if !self.may_start(job) {
            return Cause::Predecessor;
        }
        let Some(mut demand) = self.demand(step) else {
            return Cause::UnknownQueue(self.job(job).queue.clone());
        };
        if demand.best_effort && self.is_starving(&demand) {
            demand = demand.relaxed();
        }
        let mut tally = Tally {
            asks: demand.describe(),
            ..Tally::default()
        };
        for worker in self.live_workers() {
            let offer = self
                .rate_worker(&demand, worker)
                .map_err(|obstacle| match obstacle {
                    // What it would be in all, not only as far as it was looked at.
                    Obstacle::Harm(_) => Obstacle::Harm(self.harm(
                        worker,
                        demand.image,
                        demand.requested.milli_cores,
                        f64::MAX,
                    )),
                    other => other,
                });
            count(&mut tally, offer);
        }
        tally
            .kept
            .sort_by_key(|kept| std::cmp::Reverse(kept.workers));
        Cause::Workers(tally)
    }

    /// idle returns the steps with tasks to place and nothing running; of tasks that
    /// last, those with one that does not run.
    fn idle(&self) -> impl Iterator<Item = Idle> + '_ {
        self.queued().filter_map(|key| {
            let step = self.step_of(key);
            let task = *step.ready.first()?;
            let over = self.job(step.job).state.is_final();
            (!over).then(|| Idle {
                step: key,
                task,
                long_running: self.step_spec(key).long_running,
                waits_ms: self.idle_ms(key),
            })
        })
    }
}
