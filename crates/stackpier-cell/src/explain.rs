// SPDX-License-Identifier: Apache-2.0
//! Why a task is where it is, or still waits, in words.

use stackpier_core::key;

use crate::{
    Cell,
    arena::{RunKey, TaskKey},
};

impl Cell {
    /// explain returns a line for each task of a job that is not done.
    pub fn explain(&mut self, job: key::Job) -> Vec<String> {
        let Some(key) = self.job_keys.get(&job) else {
            return Vec::new();
        };
        let job = self.job(*key);
        let tasks = (job.first_task.0..job.first_task.0 + job.tasks).map(TaskKey);
        let open: Vec<TaskKey> = tasks.filter(|task| !self.task(*task).done).collect();
        open.into_iter()
            .map(|task| self.explain_task(task))
            .collect()
    }

    fn explain_task(&mut self, key: TaskKey) -> String {
        let name = self.name(key);
        let task = self.task(key);
        let step = self.step_of(task.step);
        if !task.runs.is_empty() {
            let runs: Vec<String> = task.runs.iter().map(|run| self.explain_run(*run)).collect();
            return format!("{name}: {}", runs.join(", "));
        }
        if step.blocked_by > 0 {
            return format!("{name}: waits for {} earlier steps", step.blocked_by);
        }
        if !task.ready {
            return format!(
                "{name}: not due, or its job is {:?}",
                self.job(step.job).state
            );
        }
        let (key, queued, failed) = (task.step, step.queued, task.failed_runs.len());
        let why = self.obstacles(key);
        format!("{name}: waits, step queued {queued}, failed runs {failed}: {why}")
    }

    fn explain_run(&self, key: RunKey) -> String {
        let Some(run) = self.runs.get(key) else {
            return "run is over".to_owned();
        };
        let worker = self.worker(run.worker);
        format!(
            "run {} on worker {} {:?} at {}%, pace {}, worker {:?}, silent since {:?}, holding {}",
            run.number,
            worker.info.id,
            run.phase,
            run.percent,
            run.pace,
            worker.life,
            worker.silent_since,
            worker.holding
        )
    }
}
