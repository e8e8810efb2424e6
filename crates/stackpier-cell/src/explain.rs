// SPDX-License-Identifier: Apache-2.0
//! Explains where the tasks of a job run, or why they wait.

use std::collections::HashMap;

use stackpier_core::key;
use stackpier_state::explain::{Cause, Job, Phase, Run, Standing, Task, Wait};

use crate::{
    Cell, TaskName,
    arena::{RunKey, StepKey, TaskKey},
    run,
    worker::Presence,
};

/// MAX_TASKS is how many tasks of a job are explained at a time: more than an
/// operator reads.
pub const MAX_TASKS: usize = 100;
/// MAX_STEPS is for how many waiting steps of a job all workers are rated, so that
/// an explanation costs no more than placing as many tasks.
const MAX_STEPS: usize = 20;

/// Causes holds the cause found for each step: its tasks are alike.
type Causes = HashMap<StepKey, Cause>;

impl Cell {
    /// explain returns where the unfinished tasks of a job run or what keeps them
    /// from starting, for up to [`MAX_TASKS`] tasks. A running job without
    /// unfinished tasks waits for the store.
    pub fn explain(&mut self, job: key::Job) -> Option<Job> {
        let key = *self.job_keys.get(&job)?;
        let job = self.job(key);
        let state = self.visible_state(job);
        let keys: Vec<TaskKey> = self.tasks_of(key).collect();
        let (open, over) = (job.left, state.is_final());
        let mut causes = Causes::new();
        let mut tasks = Vec::new();
        for key in keys {
            if !self.task(key).done && tasks.len() < MAX_TASKS {
                tasks.extend(self.explain_task(key, &mut causes));
            }
        }
        if !over {
            let undue = |name: TaskName| Task {
                name: name.to_string(),
                standing: Standing::Undue,
            };
            let left = MAX_TASKS - tasks.len();
            tasks.extend(self.tasks_to_come(key).take(left).map(undue));
        }
        Some(Job {
            state,
            open,
            left_out: open - tasks.len() as u32,
            tasks,
        })
    }

    /// explain_task returns the standing of a task, or `None` if it waits and the
    /// causes of `MAX_STEPS` other steps have been found already.
    fn explain_task(&mut self, key: TaskKey, causes: &mut Causes) -> Option<Task> {
        let standing = match self.standing(key) {
            Some(standing) => standing,
            None => Standing::Waits(self.explain_wait(key, causes)?),
        };
        Some(Task {
            name: self.name(key).to_string(),
            standing,
        })
    }

    /// standing returns the standing of a task, or `None` if it waits for a
    /// worker.
    fn standing(&self, key: TaskKey) -> Option<Standing> {
        let task = self.task(key);
        let step = self.step_of(task.step);
        let runs = task.runs.iter().filter_map(|run| self.explain_run(*run));
        let runs: Vec<Run> = runs.collect();
        if !runs.is_empty() {
            return Some(Standing::Runs(runs));
        }
        if self.job(step.job).state.is_final() {
            return Some(Standing::Ended);
        }
        if step.blocked_by > 0 {
            return Some(Standing::Blocked(step.blocked_by));
        }
        if task.ready {
            return None;
        }
        Some(match self.round(key.round).released {
            true => Standing::Stranded,
            false => Standing::Undue,
        })
    }

    fn explain_wait(&mut self, key: TaskKey, causes: &mut Causes) -> Option<Wait> {
        let step = self.task(key).step;
        let cause = if self.has_authority() && !self.may_start(key) {
            // Other tasks of the step may start.
            Cause::Predecessor
        } else {
            self.explain_step(step, causes)?
        };
        Some(Wait {
            queued: self.step_of(step).queued,
            failed_runs: self.task(key).failed_runs.len() as u32,
            crashes: self.count_crashes(key),
            cause,
        })
    }

    /// explain_step returns what keeps the tasks of a step from starting that need not wait for an
    /// earlier owner.
    fn explain_step(&mut self, step: StepKey, causes: &mut Causes) -> Option<Cause> {
        if !causes.contains_key(&step) {
            if causes.len() == MAX_STEPS {
                return None;
            }
            let cause = self.obstacles(step);
            causes.insert(step, cause);
        }
        causes.get(&step).cloned()
    }

    fn explain_run(&self, key: RunKey) -> Option<Run> {
        let run = self.runs.get(key)?;
        let worker = self.worker(run.worker);
        let silent = |since| self.now.mono.since(since);
        Some(Run {
            number: run.number,
            worker: worker.info.id.clone(),
            phase: run.phase.into(),
            percent: run.percent,
            pace: run.pace,
            silent_ms: worker.silent_since.map(silent),
            met: worker.presence != Presence::New,
        })
    }
}

impl From<run::Phase> for Phase {
    fn from(phase: run::Phase) -> Phase {
        match phase {
            run::Phase::Starting => Phase::Starting,
            run::Phase::Unsure(_) => Phase::Unsure,
            run::Phase::Running => Phase::Running,
            run::Phase::Stopping => Phase::Stopping,
        }
    }
}
