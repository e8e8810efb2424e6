// SPDX-License-Identifier: Apache-2.0
//! Jobs of the simulation, from their submission to their end.

use stackpier_standin::fleet::Behaviour;

use super::deployment::{Drawn, Kind, LATE_FACTOR, Role};

/// Job is a job that a client account has submitted or tries to submit.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its kind.
    pub kind: Kind,
    /// Its random properties.
    pub drawn: Drawn,
    /// When it was first sent, in milliseconds.
    pub sent_ms: u64,
    /// Whether it was accepted.
    pub accepted: bool,
    /// Whether it is completed, failed, cancelled or given up by its client account.
    pub ended: bool,
    /// When its first task started, in milliseconds.
    pub first_ms: Option<u64>,
    /// Which tasks of the first step have started, by index.
    pub started: Vec<bool>,
    /// Sums over the samples of a serving job since its value was last credited.
    pub tally: ServingTally,
}

/// ServingTally counts the tasks of a serving job, summed over samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServingTally {
    /// Tasks that should have been running.
    pub expected: u32,
    /// Tasks that were running.
    pub running: u32,
    /// Tasks over their latency target.
    pub over_target: u32,
    /// Of these, tasks that would meet the target without the best-effort tasks on their worker.
    pub harmed: u32,
}

/// HARM_FACTOR is the weight of a task that is over its target because of best-effort tasks on its
/// worker.
const HARM_FACTOR: f64 = 4.0;

impl ServingTally {
    /// goodput returns the share of the achievable value that was earned.
    pub fn goodput(&self) -> f64 {
        if self.expected == 0 {
            return 1.0;
        }
        let over = f64::from(self.over_target - self.harmed) + HARM_FACTOR * f64::from(self.harmed);
        ((f64::from(self.running) - over) / f64::from(self.expected)).max(0.0)
    }
}

impl Job {
    /// new creates a job that is first sent now.
    pub fn new(kind: Kind, drawn: Drawn, now_ms: u64) -> Job {
        let width = drawn.spec.steps[0].count as usize;
        Job {
            kind,
            drawn,
            sent_ms: now_ms,
            accepted: false,
            ended: false,
            first_ms: None,
            started: vec![false; width],
            tally: ServingTally::default(),
        }
    }

    /// objective_ms returns the time after its submission within which the job should complete.
    pub fn objective_ms(&self) -> u64 {
        let total_work_ms: u64 = self.drawn.work_ms.iter().sum();
        (total_work_ms as f64 * self.kind.stretch) as u64 + u64::from(self.kind.target_ms)
    }

    /// value_after returns the value that the job earns if it completes after `took_ms`.
    pub fn value_after(&self, took_ms: u64) -> f64 {
        let objective = self.objective_ms();
        if took_ms <= objective {
            self.kind.value
        } else if took_ms as f64 <= objective as f64 * LATE_FACTOR {
            self.kind.late_value
        } else {
            0.0
        }
    }

    /// behaviour returns the simulated behaviour of a task of a step.
    pub fn behaviour(&self, step: u16) -> Behaviour {
        let index = usize::from(step);
        let step_spec = &self.drawn.spec.steps[index];
        let mut size = step_spec.size;
        let mut best_effort_milli = 0;
        if step_spec.best_effort {
            best_effort_milli = std::mem::take(&mut size.milli_cores);
        }
        Behaviour {
            work_ms: self.drawn.work_ms[index],
            size,
            best_effort_milli,
            saves: step_spec.checkpointing,
            long_running: step_spec.long_running,
            tail_ms: (self.kind.role == Role::Serving).then_some(0),
            ..Behaviour::default()
        }
    }
}
