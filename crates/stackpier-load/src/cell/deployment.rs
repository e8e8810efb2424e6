// SPDX-License-Identifier: Apache-2.0
//! The workers and the kinds of jobs of a deployment in the model.

use std::f64::consts::TAU;

use rand::{Rng, RngExt};
use stackpier_core::Size;
use stackpier_state::job::{Queue, Spec, Step};

use super::ground_truth::{Pairs, Serving};

/// SERVICE names the only service.
pub const SERVICE: &str = "service";
/// LATE_FACTOR is how many objectives after its hand-in a job still earns something.
pub const LATE_FACTOR: f64 = 3.0;

/// Role is what a kind's tasks are to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// They count in a worker's room and end by themselves.
    Short,
    /// They use what others leave unused.
    BestEffort,
    /// They last and serve.
    Serving,
}

/// Kind is one kind of jobs.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// The kind's name, also of its queue.
    pub name: &'static str,
    /// What its tasks are.
    pub role: Role,
    /// Jobs a second.
    pub per_s: f64,
    /// Jobs that are there when the day begins.
    pub at_start: u32,
    /// The mean number of steps, each after the one before.
    pub steps: f64,
    /// The mean number of tasks of a step, and the most.
    pub width: (f64, u32),
    /// The mean work of a task, in milliseconds; how long a serving job stays.
    pub work_ms: f64,
    /// The mean size of a task, in cores and GiB.
    pub size: (f64, f64),
    /// How far estimates are off, as a share.
    pub estimate_error: f64,
    /// The objective over the chain of work.
    pub stretch: f64,
    /// What the objective allows besides, in milliseconds.
    pub target_ms: u32,
    /// The priority of its queue: zero goes first.
    pub priority: u8,
    /// How many failed runs fail a job.
    pub attempts: u16,
    /// What a job earns in time, or a serving one every two seconds.
    pub value: f64,
    /// What it earns late.
    pub late_value: f64,
    /// The number of images.
    pub images: usize,
    /// The share of steps of which a worker may have one task only.
    pub one_per_worker: f64,
    /// The share of runs that fail by their own fault.
    pub failure_share: f64,
}

/// Deployment is a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The number of workers.
    pub workers: usize,
    /// Workers in a rack.
    pub per_rack: usize,
    /// What each offers.
    pub capacity: Size,
    /// The kinds of jobs: short, filling, serving.
    pub kinds: Vec<Kind>,
    /// How filling images press on serving ones.
    pub pairs: Pairs,
    /// How serving tasks behave.
    pub serving: Serving,
    /// How long the traffic goes on, in milliseconds.
    pub length_ms: u64,
}

/// image_name names an image of a kind.
pub fn image_name(kind: &Kind, number: usize) -> String {
    format!("{}-{number}", kind.name)
}

/// size returns a size of some cores and GiB.
fn size(cores: f64, gib: f64) -> Size {
    Size {
        milli_cores: (cores * 1_000.0) as u32,
        memory_mib: (gib * 1_000.0) as u32,
        accelerators: 0,
    }
}

/// draw_around draws a value around a mean, skewed as sizes of jobs are: some are several
/// times the mean.
fn draw_around<R: Rng>(random: &mut R, mean: f64) -> f64 {
    let factor = -(1.0 - random.random::<f64>()).ln();
    mean * (0.5 + 0.5 * factor)
}

impl Kind {
    /// queue returns its queue.
    pub fn queue(&self) -> Queue {
        Queue {
            name: self.name.to_owned(),
            service: SERVICE.to_owned(),
            priority: self.priority,
            attempts: self.attempts,
            stretch: self.stretch,
            target_ms: u64::from(self.target_ms),
            guarded: true,
            advised: false,
        }
    }

    /// draw draws a job: its description, and the work of a task of each step.
    pub fn draw<R: Rng>(&self, random: &mut R, serving: &Serving) -> Drawn {
        let count = draw_around(random, self.steps).round().max(1.0) as u16;
        let mut steps = Vec::new();
        let mut work_ms = Vec::new();
        let mut images = Vec::new();
        for number in 0..count {
            let image = random.random_range(0..self.images);
            let work = draw_around(random, self.work_ms).max(50.0);
            steps.push(self.draw_step(random, number, image, work, serving));
            work_ms.push(work as u64);
            images.push(image);
        }
        let spec = Spec {
            payload: "payload".to_owned(),
            steps,
            schedule: None,
        };
        Drawn {
            spec,
            work_ms,
            images,
            phase: random.random_range(0.0..TAU),
        }
    }

    fn draw_step<R: Rng>(
        &self,
        random: &mut R,
        number: u16,
        image: usize,
        work_ms: f64,
        serving: &Serving,
    ) -> Step {
        let (width, max_width) = self.width;
        let (cores, gib) = self.size;
        let error_share = random.random_range(-self.estimate_error..=self.estimate_error);
        let lasts = self.role == Role::Serving;
        Step {
            count: (draw_around(random, width) as u32).clamp(1, max_width),
            size: size(
                cores * random.random_range(0.7..=1.3),
                gib * random.random_range(0.7..=1.3),
            ),
            estimate_ms: (work_ms * (1.0 + error_share)).max(50.0) as u32,
            after: number.checked_sub(1).into_iter().collect(),
            checkpointing: self.role == Role::BestEffort,
            long_running: lasts,
            image: image_name(self, image),
            target_ms: if lasts { serving.target_ms() } else { 0 },
            best_effort: self.role == Role::BestEffort,
            may_miss: lasts.then_some(1),
            most_per_worker: random.random_bool(self.one_per_worker).then_some(1),
            ..Step::default()
        }
    }
}

/// Drawn is a job that was drawn.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// What is handed in.
    pub spec: Spec,
    /// The work of a task of each step, in milliseconds.
    pub work_ms: Vec<u64>,
    /// The image of each step, by its number.
    pub images: Vec<usize>,
    /// The phase of the swing of its load, if it serves.
    pub phase: f64,
}
