// SPDX-License-Identifier: Apache-2.0
//! Jobs of the model from their hand-in to their end.

use stackpier_standin::fleet::Behaviour;

use super::deployment::{Drawn, Kind, LATE_FACTOR, Role};

/// Job is a job that a client account handed in, or tries to.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its kind.
    pub kind: Kind,
    /// What was drawn for it.
    pub drawn: Drawn,
    /// When it was first sent.
    pub sent_ms: u64,
    /// Whether it was accepted.
    pub accepted: bool,
    /// Whether it is over: done, cancelled or given up.
    pub over: bool,
    /// When a task of it first started.
    pub first_start_ms: Option<u64>,
    /// The tasks of the first step that have started, by their place.
    pub started: Vec<bool>,
    /// Sums over the samples of a serving job since it was last paid.
    pub tally: ServingTally,
}

/// ServingTally sums up the samples of a serving job.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServingTally {
    /// Tasks that were to be at work.
    pub expected: u32,
    /// Tasks at work.
    pub running: u32,
    /// Tasks over their target, or paced down.
    pub over: u32,
    /// Of these, tasks that would not be without what fills beside them.
    pub harmed: u32,
}

/// HARM_FACTOR is how many times a task counts that is over its target because of what
/// fills beside it.
const HARM_FACTOR: f64 = 4.0;

impl ServingTally {
    /// share returns the share of what was owed that was earned.
    pub fn share(&self) -> f64 {
        if self.expected == 0 {
            return 1.0;
        }
        let over = f64::from(self.over - self.harmed) + HARM_FACTOR * f64::from(self.harmed);
        ((f64::from(self.running) - over) / f64::from(self.expected)).max(0.0)
    }
}

impl Job {
    /// new is a job that is sent now.
    pub fn new(kind: Kind, drawn: Drawn, now_ms: u64) -> Job {
        let width = drawn.spec.steps[0].count as usize;
        Job {
            kind,
            drawn,
            sent_ms: now_ms,
            accepted: false,
            over: false,
            first_start_ms: None,
            started: vec![false; width],
            tally: ServingTally::default(),
        }
    }

    /// objective_ms returns within which time it should be done.
    pub fn objective_ms(&self) -> u64 {
        let chain: u64 = self.drawn.work_ms.iter().sum();
        (chain as f64 * self.kind.stretch) as u64 + u64::from(self.kind.target_ms)
    }

    /// value_after returns what it earns if it is done after some milliseconds.
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

    /// behaviour returns what a task of a step does.
    pub fn behaviour(&self, step: u16) -> Behaviour {
        let index = usize::from(step);
        let shape = &self.drawn.spec.steps[index];
        let mut size = shape.size;
        let mut fills_milli = 0;
        if shape.best_effort {
            fills_milli = std::mem::take(&mut size.milli_cores);
        }
        Behaviour {
            work_ms: self.drawn.work_ms[index],
            size,
            fills_milli,
            saves: shape.checkpointing,
            lasts: shape.long_running,
            tail_ms: (self.kind.role == Role::Serving).then_some(0),
            ..Behaviour::default()
        }
    }
}
