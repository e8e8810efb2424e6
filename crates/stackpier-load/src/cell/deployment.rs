// SPDX-License-Identifier: Apache-2.0
//! The workers and the kinds of jobs of a simulated deployment.

use std::f64::consts::TAU;

use rand::{Rng, RngExt};
use stackpier_core::Size;
use stackpier_state::job::{Queue, Spec, Step};

use super::ground_truth::{Pairs, Serving};

/// SERVICE is the name of the only service.
pub const SERVICE: &str = "service";
/// LATE_FACTOR is the time after its submission, as a multiple of its objective, until which a job
/// still earns something.
pub const LATE_FACTOR: f64 = 3.0;

/// Role is the type of a kind's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Short tasks with guaranteed capacity, which end by themselves.
    Short,
    /// Best-effort tasks, which use the capacity that others leave unused.
    BestEffort,
    /// Long-running tasks with a tail-latency target.
    Serving,
}

/// Kind describes one kind of jobs.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// The kind's name, also of its queue.
    pub name: &'static str,
    /// The type of its tasks.
    pub role: Role,
    /// Jobs per second.
    pub per_s: f64,
    /// Jobs that are submitted when the scenario begins.
    pub at_start: u32,
    /// The mean number of steps of a job; each step follows the one before.
    pub steps: f64,
    /// The mean and the maximum number of tasks of a step.
    pub width: (f64, u32),
    /// The mean work of a task, in milliseconds; for a serving job, the time until it is cancelled.
    pub work_ms: f64,
    /// The mean size of a task, in cores and GiB.
    pub size: (f64, f64),
    /// The largest error of run time estimates, as a share of the work.
    pub estimate_error: f64,
    /// The factor by which the total work of a job's steps is multiplied to get its objective.
    pub stretch: f64,
    /// The constant that is then added to the objective, in milliseconds.
    pub target_ms: u32,
    /// The priority of its queue; zero is the highest.
    pub priority: u8,
    /// The number of failed runs after which a job fails.
    pub attempts: u16,
    /// The value of a job that meets its deadline, or of a serving job for every two seconds.
    pub value: f64,
    /// The value of a job that misses its deadline but ends within `LATE_FACTOR`.
    pub late_value: f64,
    /// The number of images.
    pub images: usize,
    /// The share of steps of which a worker may run only one task at a time.
    pub one_per_worker: f64,
    /// The share of runs that fail through their own fault, not the worker's.
    pub failure_share: f64,
}

/// Deployment describes the workers and the traffic of a scenario.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The number of workers.
    pub workers: usize,
    /// The number of workers in a rack.
    pub per_rack: usize,
    /// The capacity of each worker.
    pub capacity: Size,
    /// The kinds of jobs: short, best-effort, serving.
    pub kinds: Vec<Kind>,
    /// How much best-effort images disturb serving ones.
    pub pairs: Pairs,
    /// The load and the latency of serving tasks.
    pub serving: Serving,
    /// How long jobs arrive, in milliseconds.
    pub length_ms: u64,
}

/// image_name returns the name of an image of a kind.
pub fn image_name(kind: &Kind, number: usize) -> String {
    format!("{}-{number}", kind.name)
}

/// size converts cores and GiB to a size.
fn size(cores: f64, gib: f64) -> Size {
    Size {
        milli_cores: (cores * 1_000.0) as u32,
        memory_mib: (gib * 1_000.0) as u32,
        accelerators: 0,
    }
}

/// draw_around draws a value with the given mean. The distribution is skewed, as the sizes of jobs
/// are: some values are several times the mean.
fn draw_around<R: Rng>(random: &mut R, mean: f64) -> f64 {
    let factor = -(1.0 - random.random::<f64>()).ln();
    mean * (0.5 + 0.5 * factor)
}

impl Kind {
    /// queue returns the queue of the kind.
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

    /// draw draws a random job: its description, and for each step its image and the work of its
    /// tasks.
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
        let is_serving = self.role == Role::Serving;
        Step {
            count: (draw_around(random, width) as u32).clamp(1, max_width),
            size: size(
                cores * random.random_range(0.7..=1.3),
                gib * random.random_range(0.7..=1.3),
            ),
            estimate_ms: (work_ms * (1.0 + error_share)).max(50.0) as u32,
            after: number.checked_sub(1).into_iter().collect(),
            checkpointing: self.role == Role::BestEffort,
            long_running: is_serving,
            image: image_name(self, image),
            target_ms: if is_serving { serving.target_ms() } else { 0 },
            best_effort: self.role == Role::BestEffort,
            may_miss: is_serving.then_some(1),
            most_per_worker: random.random_bool(self.one_per_worker).then_some(1),
            ..Step::default()
        }
    }
}

/// Drawn holds the random properties of a job.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// The submitted description.
    pub spec: Spec,
    /// The work of a task of each step, in milliseconds.
    pub work_ms: Vec<u64>,
    /// The number of the image of each step.
    pub images: Vec<usize>,
    /// The phase of its load's oscillation, for a serving job.
    pub phase: f64,
}
