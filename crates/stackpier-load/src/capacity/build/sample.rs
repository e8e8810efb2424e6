// SPDX-License-Identifier: Apache-2.0
//! Sample names, tasks and daemons, derived from a number. Their encoded lengths are realistic,
//! since they decide the measured sizes.

use stackpier_core::{
    Name, Size,
    key::{Attempt, Boot, Job, Task, Write},
};
use stackpier_state::{
    holders::Member,
    work::{Class, Run, Work},
};

use crate::label::name;

/// WORKERS_PER_RACK is the number of workers per rack in the operators' deployments.
pub(super) const WORKERS_PER_RACK: usize = 8;
/// TASKS_PER_JOB is the number of tasks of every job.
pub(super) const TASKS_PER_JOB: usize = 8;
/// UNIX_MS is a time with a realistic number of digits, in milliseconds since 1970.
pub(super) const UNIX_MS: u64 = 1_780_000_000_000;
/// DAEMON_BOOT is a boot number of a daemon with a realistic number of digits.
const DAEMON_BOOT: u64 = UNIX_MS << 20;
/// WORKER_BOOT is a boot number of a worker: nanoseconds since 1970.
pub(super) const WORKER_BOOT: u64 = UNIX_MS * 1_000_000;
/// RUN_TIME_MS is the declared run time of a batch task: an hour.
pub(super) const RUN_TIME_MS: u64 = 3_600_000;
/// GOLDEN_RATIO is 2^64 divided by the golden ratio; multiples of it spread over 64 bits.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// WRITE is a write number with a realistic number of digits.
pub(super) const WRITE: Write = Write {
    boot: Boot(DAEMON_BOOT),
    number: 12_345,
};
/// CAPACITY is the capacity of each worker.
pub(super) const CAPACITY: Size = Size {
    milli_cores: 3_200_000,
    memory_mib: 125_000_000,
    accelerators: 2,
};

/// numbered returns a name that ends in a number of at least four digits.
pub(super) fn numbered(text: &str, number: usize) -> Name {
    name(&format!("{text}-{number:04}"))
}

/// data_centre returns the name of the only data centre.
pub(super) fn data_centre() -> Name {
    name("dc-lagos-1")
}

/// task returns a task whose job number uses all 64 bits.
pub(super) fn task(number: usize) -> Task {
    Task {
        job: Job(GOLDEN_RATIO.wrapping_mul(1 + (number / TASKS_PER_JOB) as u64)),
        index: (number % TASKS_PER_JOB) as u32,
    }
}

/// run returns the second attempt at a task.
pub(super) fn run(number: usize) -> Run {
    Run {
        task: task(number),
        attempt: Attempt(2),
    }
}

/// work returns the description of a task: every sixth belongs to a service, the others to batch
/// jobs.
pub(super) fn work(number: usize) -> Work {
    Work {
        task: task(number),
        name: numbered("ledger-reconciliation", number / TASKS_PER_JOB),
        generation: 1,
        urgent: false,
        class: if number.is_multiple_of(6) {
            Class::Service
        } else {
            Class::Batch
        },
        size: Size {
            milli_cores: 2_000,
            memory_mib: 4_096,
            accelerators: 0,
        },
        run_time_ms: RUN_TIME_MS,
    }
}

/// worker returns the name of a worker; the names repeat for every rack.
pub(super) fn worker(number: usize) -> Name {
    numbered("worker", number % WORKERS_PER_RACK)
}

/// member returns the membership entry of a daemon.
pub(super) fn member(number: usize) -> Member {
    Member {
        vm: numbered("entry", number),
        boot: Boot(DAEMON_BOOT + number as u64),
    }
}

/// rack_name returns the name of a rack.
pub fn rack_name() -> Name {
    numbered("rack", 0)
}
