// SPDX-License-Identifier: Apache-2.0
//! The world of the placement experiment: workers, services, jobs, and how
//! much each job slows each service down.

use rand::{Rng, RngExt};
use stackpier_core::{Name, Size};

use crate::label::name;

/// WORKERS is the count of workers.
pub const WORKERS: usize = 48;
/// WORKERS_PER_RACK is the users' count.
pub const WORKERS_PER_RACK: usize = 8;
/// CAPACITY is what each worker offers.
pub const CAPACITY: Size = Size {
    milli_cores: 32_000,
    memory_mib: 125_000,
    accelerators: 0,
};
/// SERVICES is the count of services.
pub const SERVICES: usize = 12;
/// REPLICAS is the count of replicas of each.
pub const REPLICAS: usize = 12;
/// SERVICE_SIZE is the size of a replica.
pub const SERVICE_SIZE: Size = Size {
    milli_cores: 4_000,
    memory_mib: 8_000,
    accelerators: 0,
};
/// TYPES is the count of kinds of batch jobs.
pub const TYPES: usize = 16;
/// LENGTH_S is how long the experiment runs.
pub const LENGTH_S: u64 = 7_200;
/// LAG_S is how late usage samples arrive.
pub const LAG_S: u64 = 10;
/// SAMPLE_EVERY_S is the time between usage samples.
pub const SAMPLE_EVERY_S: u64 = 5;
/// FAILING are the workers that fail all they start for a while.
pub const FAILING: [usize; 2] = [5, 23];
/// BAD_SHARE is the share of pairs that interfere badly.
const BAD_SHARE: f64 = 0.2;
/// JOB_EVERY_S is the mean time between jobs.
const JOB_EVERY_S: f64 = 9.0;
/// IMPOSSIBLE_SHARE is the share of jobs that fit no worker.
const IMPOSSIBLE_SHARE: f64 = 0.02;
/// CANCELS are the times at which a third of the jobs is cancelled.
pub const CANCELS: [u64; 2] = [2_500, 5_000];

/// Season is the shape of the services' load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Season {
    /// One long surge.
    Tuition,
    /// Two short, sharp ones.
    Travel,
}

impl Season {
    /// ALL lists the seasons.
    pub const ALL: [Season; 2] = [Season::Tuition, Season::Travel];

    /// as_str returns the name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Season::Tuition => "tuition",
            Season::Travel => "travel",
        }
    }

    /// load returns the services' load from 0 to 1.
    pub fn load(self, now_s: u64) -> f64 {
        let share = now_s as f64 / LENGTH_S as f64;
        let bump = |middle: f64, width: f64| (-((share - middle) / width).powi(2)).exp();
        match self {
            Season::Tuition => 0.35 + 0.6 * bump(0.55, 0.18),
            Season::Travel => 0.3 + 0.65 * bump(0.3, 0.06) + 0.65 * bump(0.75, 0.06),
        }
    }
}

/// Truth is how much each kind of job slows each service, at full load.
pub struct Truth {
    excess: Vec<Vec<f64>>,
}

impl Truth {
    /// new draws all pairs.
    pub fn new<R: Rng>(rng: &mut R) -> Truth {
        let mut pair = || match rng.random_bool(BAD_SHARE) {
            true => rng.random_range(0.4..1.5),
            false => rng.random_range(0.0..0.03),
        };
        let excess = (0..SERVICES)
            .map(|_| (0..TYPES).map(|_| pair()).collect())
            .collect();
        Truth { excess }
    }

    /// excess returns one pair's. Half-way through, one kind of job turns
    /// noisy for every service.
    pub fn excess(&self, service: usize, kind: usize, now_s: u64) -> f64 {
        let noise = if kind == 0 && now_s > LENGTH_S / 2 {
            0.6
        } else {
            0.0
        };
        self.excess[service][kind] + noise
    }
}

/// Job is one batch job.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Its kind.
    pub kind: usize,
    /// When it arrives, in seconds.
    pub arrives_s: u64,
    /// Count of tasks.
    pub tasks: usize,
    /// Size that was declared, and is committed.
    pub size: Size,
    /// How long a task runs alone, in seconds.
    pub run_s: f64,
    /// When it should be done, in seconds.
    pub deadline_s: u64,
}

/// jobs draws all jobs, in order of arrival. Declared run times, from which
/// deadlines are made, are off by up to a half.
pub fn jobs<R: Rng>(rng: &mut R) -> Vec<Job> {
    let mut jobs = Vec::new();
    let mut now = 0.0;
    while now < LENGTH_S as f64 {
        let run_s = rng.random_range(60.0..600.0);
        let declared = run_s * rng.random_range(0.5..1.5);
        let impossible = rng.random_bool(IMPOSSIBLE_SHARE);
        let cores = if impossible {
            64
        } else {
            rng.random_range(1..5)
        };
        jobs.push(Job {
            kind: rng.random_range(0..TYPES),
            arrives_s: now as u64,
            tasks: rng.random_range(4..20),
            size: Size {
                milli_cores: cores * 1_000,
                memory_mib: cores * 3_000,
                accelerators: 0,
            },
            run_s,
            deadline_s: (now + 2.0 * declared + 120.0) as u64,
        });
        now += -(1.0 - rng.random::<f64>()).ln() * JOB_EVERY_S;
    }
    jobs
}

/// service_name names a service.
pub fn service_name(service: usize) -> Name {
    name(&format!("service-{service}"))
}

/// kind_name names a kind of job.
pub fn kind_name(kind: usize) -> Name {
    name(&format!("batch-{kind}"))
}

/// worker_name names a worker.
pub fn worker_name(worker: usize) -> Name {
    name(&format!("worker-{worker:02}"))
}

/// rack_name names a worker's rack.
pub fn rack_name(worker: usize) -> Name {
    name(&format!("rack-{}", worker / WORKERS_PER_RACK))
}
