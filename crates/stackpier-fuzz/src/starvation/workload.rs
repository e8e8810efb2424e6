// SPDX-License-Identifier: Apache-2.0
//! What is drawn for a seed: the workers, the jobs with the times at which they are submitted, the
//! limit on starts in flight, the time that answers take, and the faults.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpier_cell::{Info, Options};
use stackpier_core::Size;
use stackpier_state::job::{Spec, Step};

/// TARGET_MS is the tail-latency target of serving tasks.
pub(super) const TARGET_MS: u32 = 20;
/// BATCH_MS is when the first of the other jobs are submitted: serving tasks have started by then.
const BATCH_MS: u64 = 7_000;
/// ARRIVALS_MS is the period in which further jobs are submitted.
const ARRIVALS_MS: u64 = 20_000;
/// MIN_START_ALL_MS and MAX_START_ALL_MS bound the time in which the limit on starts in flight admits
/// one start for each job: all that waits could be started in time.
const MIN_START_ALL_MS: u64 = 200;
const MAX_START_ALL_MS: u64 = 500;
/// START_LONG_RUNNING_MS is the time in which the limit admits all long-running tasks.
const START_LONG_RUNNING_MS: u64 = 3_000;
/// START_OVERHEAD_BYTES is what a start counts in `Options::max_start_bytes` besides its payload.
const START_OVERHEAD_BYTES: u64 = 450;
/// FAULTS_MS is when the first fault occurs.
const FAULTS_MS: u64 = 9_000;
/// FAULT_INTERVAL_MS is the time between two faults. A lease ends and tasks start elsewhere within
/// it, and there is a calm period after that.
const FAULT_INTERVAL_MS: u64 = 12_000;
/// LENGTH_MS is the length of a simulation.
const LENGTH_MS: u64 = 34_000;
/// LONG_RUNNING_SHARE is the share of the later jobs that are of long-running tasks.
const LONG_RUNNING_SHARE: f64 = 0.06;
/// SERVING_IMAGES and BEST_EFFORT_IMAGES are the numbers of images.
const SERVING_IMAGES: usize = 3;
const BEST_EFFORT_IMAGES: usize = 8;

/// Fault is something that happens to the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The owner is killed: a successor can't know that it has stopped acting.
    Kill,
    /// The owner exits and tells its successor.
    Exit,
    /// A worker is lost for good.
    LoseWorker(usize),
    /// A worker announces that it drains, and leaves later.
    Drain(usize),
}

/// Submission is a job with the time at which it is submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// When it is submitted.
    pub at_ms: u64,
    /// The job.
    pub spec: Spec,
}

/// Workload is what is drawn for a seed.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The workers.
    pub workers: Vec<Info>,
    /// The jobs; the number of a job is its position.
    pub submissions: Vec<Submission>,
    /// The faults, with their times.
    pub faults: Vec<(u64, Fault)>,
    /// The options of the owners.
    pub options: Options,
    /// How many starts may be in flight by these options.
    pub max_starts: u64,
    /// The longest time that the answer to a start takes.
    pub answer_ms: u64,
    /// The longest time that a save takes.
    pub save_ms: u64,
    /// The tail latency of serving tasks with nothing beside them.
    pub tail_ms: u32,
    /// By how much each core that best-effort tasks use raises it, by image of the serving task.
    pub tail_per_core: [f64; SERVING_IMAGES],
    /// The length of the simulation.
    pub length_ms: u64,
}

impl Workload {
    /// draw draws the workload of a seed.
    pub fn draw(seed: u64) -> Workload {
        let random = &mut ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(16..=40);
        let cores = [8_000, 16_000, 32_000][random.random_range(0..3)];
        let capacity = size(cores, cores * random.random_range(2..=4));
        let workers: Vec<Info> = (0..count).map(|place| worker(place, capacity)).collect();
        let payload = random.random_range(0..=3_000);
        let reserved = random.random_range(200..=750) * u64::from(cores) * count as u64 / 1_000;
        let mut submissions = draw_serving(random, reserved, cores, payload);
        let long_running: u64 = submissions
            .iter()
            .map(|job| u64::from(job.spec.width()))
            .sum();
        let jobs: u64 = random.random_range(10..=120);
        let batch = Batch {
            cores,
            payload,
            max_count: [20, 60, 120][random.random_range(0..3)],
            at_once: random.random_range(0.4..=1.0),
            max_estimate_ms: random.random_range(400..=2_500),
        };
        for _ in 0..jobs {
            submissions.push(batch.draw_job(random));
        }
        let answer_ms: u64 = random.random_range(1..=600);
        let start_all_ms = random.random_range(MIN_START_ALL_MS..=MAX_START_ALL_MS);
        let for_jobs = (jobs * answer_ms).div_ceil(start_all_ms);
        let for_long_running = (long_running * answer_ms).div_ceil(START_LONG_RUNNING_MS);
        let max_starts = for_jobs.max(for_long_running) + 2;
        let mut options = Options {
            max_lease_ms: 6_000,
            ratings_per_ms: random.random_range(40..=1_000),
            ..Options::default()
        };
        match random.random_bool(0.5) {
            true => options.max_starts = max_starts as usize,
            false => options.max_start_bytes = max_starts * (payload + START_OVERHEAD_BYTES),
        }
        // In some seeds best-effort tasks disturb serving tasks so much that limits on expected harm
        // keep them from most workers.
        let max_per_core = [4.0, 4.0, 40.0][random.random_range(0..3)];
        Workload {
            faults: draw_faults(random, count),
            workers,
            submissions,
            options,
            max_starts,
            answer_ms,
            save_ms: random.random_range(2..=60),
            tail_ms: random.random_range(4..=17),
            tail_per_core: [0; SERVING_IMAGES].map(|_| random.random_range(0.0..=max_per_core)),
            length_ms: LENGTH_MS,
        }
    }
}

fn worker(place: usize, capacity: Size) -> Info {
    Info {
        id: format!("w{place}"),
        started_at: None,
        service: super::simulation::SERVICE.to_owned(),
        address: format!("address-{place}"),
        data_centre: "dc".to_owned(),
        capacity,
        labels: Vec::new(),
        rack: format!("r{}", place / 4),
        host: format!("h{place}"),
        draining: false,
        remaining_ms: None,
    }
}

/// draw_serving draws jobs of long-running tasks that reserve some processors in total. Most are of
/// serving tasks.
fn draw_serving(
    random: &mut ChaCha8Rng,
    reserved: u64,
    cores: u32,
    payload: u64,
) -> Vec<Submission> {
    let mut left = reserved;
    let mut submissions = Vec::new();
    loop {
        let milli_cores = random.random_range(cores / 12..=cores / 3);
        let count = random.random_range(1..=12);
        let asked = u64::from(milli_cores * count);
        if asked > left {
            return submissions;
        }
        left -= asked;
        let image = random.random_range(0..SERVING_IMAGES);
        let step = Step {
            count,
            long_running: true,
            target_ms: if random.random_bool(0.8) {
                TARGET_MS
            } else {
                0
            },
            image: format!("serving-{image}"),
            size: size(milli_cores, milli_cores * 2),
            ..Step::default()
        };
        submissions.push(submission(
            random.random_range(0..1_000),
            payload,
            vec![step],
        ));
    }
}

/// Batch is what the jobs of a seed have in common that are submitted after the serving tasks.
struct Batch {
    /// The processors of a worker, in thousandths of a core.
    cores: u32,
    payload: u64,
    /// The largest number of tasks of a step.
    max_count: u32,
    /// The share of the jobs that are submitted at the same time.
    at_once: f64,
    max_estimate_ms: u32,
}

impl Batch {
    /// draw_job draws a job whose steps follow one another. Most are best-effort.
    fn draw_job(&self, random: &mut ChaCha8Rng) -> Submission {
        let steps = random.random_range(1..=4);
        let draw_step = |number| self.draw_step(random, number);
        let mut steps: Vec<Step> = (0..steps).map(draw_step).collect();
        if random.random_bool(LONG_RUNNING_SHARE) {
            steps = vec![self.draw_long_running(random)];
        }
        let at_ms = match random.random_bool(self.at_once) {
            true => BATCH_MS,
            false => BATCH_MS + random.random_range(0..ARRIVALS_MS),
        };
        submission(at_ms, self.payload, steps)
    }

    /// draw_long_running draws a step of a few long-running tasks.
    fn draw_long_running(&self, random: &mut ChaCha8Rng) -> Step {
        let milli_cores = random.random_range(self.cores / 50..=self.cores / 5);
        Step {
            count: random.random_range(1..=3),
            long_running: true,
            image: "serving-0".to_owned(),
            target_ms: TARGET_MS,
            size: size(milli_cores, milli_cores),
            ..Step::default()
        }
    }

    fn draw_step(&self, random: &mut ChaCha8Rng, number: u16) -> Step {
        let best_effort = random.random_bool(0.85);
        let wide = random.random_bool(0.1);
        let milli_cores = match wide {
            true => random.random_range(self.cores / 4..=self.cores * 4 / 5),
            false => random.random_range(self.cores / 200..=self.cores / 30),
        };
        let count = match wide || !best_effort {
            true => random.random_range(1..=8),
            false => random.random_range(1..=self.max_count),
        };
        let image = random.random_range(0..BEST_EFFORT_IMAGES);
        Step {
            count,
            best_effort,
            checkpointing: random.random_bool(0.5),
            image: format!("batch-{image}"),
            estimate_ms: random.random_range(200..=self.max_estimate_ms),
            after: number.checked_sub(1).into_iter().collect(),
            size: size(milli_cores, milli_cores),
            ..Step::default()
        }
    }
}

fn size(milli_cores: u32, memory_mib: u32) -> Size {
    Size {
        milli_cores,
        memory_mib,
        accelerators: 0,
    }
}

fn submission(at_ms: u64, payload: u64, steps: Vec<Step>) -> Submission {
    Submission {
        at_ms,
        spec: Spec {
            payload: "x".repeat(payload as usize),
            steps,
            schedule: None,
        },
    }
}

/// draw_faults draws at most one fault for each interval.
fn draw_faults(random: &mut ChaCha8Rng, workers: usize) -> Vec<(u64, Fault)> {
    let mut faults = Vec::new();
    for at_ms in (FAULTS_MS..LENGTH_MS).step_by(FAULT_INTERVAL_MS as usize) {
        let at_ms = at_ms + random.random_range(0..1_000);
        let place = random.random_range(0..workers);
        let fault = match random.random_range(0..7) {
            0 => Fault::Kill,
            1 => Fault::Exit,
            2 => Fault::LoseWorker(place),
            3 => Fault::Drain(place),
            _ => continue,
        };
        faults.push((at_ms, fault));
    }
    faults
}
