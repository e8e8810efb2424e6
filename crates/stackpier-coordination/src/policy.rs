// SPDX-License-Identifier: Apache-2.0
//! The choice of a worker for a task.

use stackpier_core::{Name, Size};
use stackpier_state::work::{Class, Work};

/// SLOW_MILLI is the slowdown of services, in thousandths, above which batch
/// work avoids a worker.
pub const SLOW_MILLI: u32 = 1_250;

/// EXCESS_STEP_MILLI is the step, in thousandths, to which added slowdown is
/// rounded down when workers are compared for batch work.
const EXCESS_STEP_MILLI: u32 = 100;

/// Candidate is a worker that accepts tasks, as last reported.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The rack.
    pub rack: Name,
    /// The worker.
    pub worker: Name,
    /// Its total capacity.
    pub capacity: Size,
    /// Free capacity as reported, less what this placement attempt has claimed.
    pub free: Size,
    /// Slowdown of the services on it, in thousandths.
    pub slowdown_milli: u32,
    /// Slowdown that the task is expected to add to the services on it, in
    /// thousandths, summed over the pairs of its job and a service that have an
    /// estimate.
    pub excess_milli: u32,
    /// Tasks of the same intent on the rack.
    pub same_on_rack: u32,
    /// Tasks of the same intent on the worker.
    pub same_on_worker: u32,
}

/// Options balance the tail latency of services against batch throughput.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Largest slowdown, in thousandths, that batch work may add to the
    /// services of a worker; it waits rather than add more. A low limit favours
    /// tail latency, a high one batch throughput.
    pub max_excess_milli: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            max_excess_milli: 300,
        }
    }
}

/// choose returns the best candidate that the task fits on, if there is one.
///
/// Services spread over racks and workers and take the emptiest. Batch work
/// takes only workers whose services it slows down within the limit, prefers
/// those that it slows down least, and among equals takes the fullest.
pub fn choose(work: &Work, candidates: &[Candidate], options: Options) -> Option<Candidate> {
    let acceptable = |candidate: &&Candidate| {
        work.class == Class::Service || candidate.excess_milli <= options.max_excess_milli
    };
    candidates
        .iter()
        .filter(|candidate| work.size.fits(&candidate.free))
        .filter(acceptable)
        .min_by_key(|candidate| rank(work, candidate))
        .copied()
}

/// Rank orders candidates, the lowest first.
type Rank = (u32, u32, u32, u32, Name);

fn rank(work: &Work, candidate: &Candidate) -> Rank {
    let left = left_milli(&candidate.free.minus(&work.size), &candidate.capacity);
    match work.class {
        Class::Service => (
            candidate.same_on_rack,
            candidate.same_on_worker,
            candidate.slowdown_milli / 100,
            1_000 - left,
            candidate.worker,
        ),
        Class::Batch => (
            candidate.excess_milli / EXCESS_STEP_MILLI,
            u32::from(candidate.slowdown_milli > SLOW_MILLI),
            0,
            left,
            candidate.worker,
        ),
    }
}

/// left_milli returns the larger of the shares of processors and memory that
/// stay free, in thousandths.
fn left_milli(free: &Size, capacity: &Size) -> u32 {
    let share = |part: u32, whole: u32| {
        let milli = u64::from(part) * 1_000 / u64::from(whole.max(1));
        milli.min(1_000) as u32
    };
    let cores = share(free.milli_cores, capacity.milli_cores);
    let memory = share(free.memory_mib, capacity.memory_mib);
    cores.max(memory)
}
