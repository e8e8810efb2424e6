// SPDX-License-Identifier: Apache-2.0
//! The outlook: what the owner of a cell can tell of jobs that are yet to come. Daemons decide by it
//! whether they accept a job.
//!
//! All estimates err towards accepting: the room is what the workers have, not what they lately
//! did, and the work before a job leaves out what may come and overtake it.

mod proposal;

use serde::{Deserialize, Serialize};
use stackpier_core::Millis;

use crate::{
    Cell,
    arena::JobKey,
    duration::Factor,
    place::Demand,
    worker::{Presence, Worker},
};

pub use proposal::Proposal;

/// VERSION is the version of the format. A daemon ignores an outlook of any other version.
pub const VERSION: u8 = 1;
/// SIZES is the number of classes of jobs by size.
pub const SIZES: usize = 8;
/// SHORTAGE_MS is how long room counts as short after a task found none. The passes over waiting
/// tasks take less.
const SHORTAGE_MS: u64 = 500;
/// UPDATE_MS is the time between two outlooks.
const UPDATE_MS: u64 = 200;
/// MIN_CONTACTED_PERCENT is the share of the workers whose reports an owner must have before it
/// tells what they can do.
const MIN_CONTACTED_PERCENT: usize = 90;
/// MILLI is the number of thousandths in a whole.
const MILLI: u64 = 1_000;

/// Outlook is what the owner of a cell expects of new jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outlook {
    /// The version of the format.
    pub version: u8,
    /// The owner's fence.
    pub fence: u64,
    /// The lanes in which room is short. There is room in all others.
    pub lanes: Vec<Lane>,
}

/// Lane is the work of one kind: tasks that use the same room, in the order of their priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lane {
    /// The service whose workers run it.
    pub service: String,
    /// Whether it consists of best-effort tasks.
    pub best_effort: bool,
    /// The priority of its queues.
    pub priority: u8,
    /// Tasks that ask for as much found no worker lately, in thousandths of a core.
    pub short_from_milli: u32,
    /// The processors that the lane may use, in thousandths of a core.
    pub room_milli: u64,
    /// The work before a new job, in core-milliseconds, by the size of the job.
    pub work: [u64; SIZES],
    /// By which factor run times differ from the estimates of client accounts.
    pub factor: Factor,
}

/// Wait is how long a new job waits for the work before it, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The lowest estimate.
    pub least_ms: u64,
    /// The expected time.
    pub expected_ms: u64,
}

impl Outlook {
    /// find_lane returns the position of the lane of a proposed job, if room is short there for the
    /// job.
    pub fn find_lane(&self, proposal: &Proposal) -> Option<usize> {
        self.lanes.iter().position(|lane| {
            lane.service == proposal.service
                && lane.best_effort == proposal.best_effort
                && lane.priority == proposal.priority
                && proposal.largest_milli >= lane.short_from_milli
        })
    }
}

impl Lane {
    /// wait returns how long a proposed job waits if `let_in` core-milliseconds of work were
    /// accepted since the outlook was made.
    pub fn wait(&self, proposal: &Proposal, let_in: u64) -> Wait {
        let work = self.work[proposal.size_class()] + let_in;
        let time_ms = work * MILLI / self.room_milli.max(1);
        Wait {
            least_ms: self.factor.least(time_ms),
            expected_ms: self.factor.expected(time_ms),
        }
    }
}

/// size_class returns the class of a job with that many tasks.
fn size_class(tasks: u32) -> usize {
    (tasks.max(1).ilog2() as usize).min(SIZES - 1)
}

/// Shortage tells that tasks found no worker.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    service: u16,
    best_effort: bool,
    priority: u8,
    /// The processors that the smallest of the tasks asked for, in thousandths of a core.
    from_milli: u32,
    /// When that was last found.
    found_at: Millis,
}

/// Forecaster keeps what the outlook is made of.
#[derive(Debug, Default)]
pub(crate) struct Forecaster {
    shortages: Vec<Shortage>,
    made_at: Millis,
    latest: Option<Outlook>,
}

impl Forecaster {
    /// record_shortage records that no worker has room for the tasks of a demand.
    pub(crate) fn record_shortage(&mut self, now: Millis, demand: &Demand) {
        self.shortages
            .retain(|shortage| now.since(shortage.found_at) < SHORTAGE_MS);
        let found = Shortage {
            service: demand.service,
            best_effort: demand.best_effort,
            priority: demand.priority,
            from_milli: demand.requested.milli_cores,
            found_at: now,
        };
        self.shortages.retain(|earlier| {
            !found.is_same_lane(earlier) || earlier.from_milli < found.from_milli
        });
        self.shortages.push(found);
    }
}

impl Shortage {
    fn is_same_lane(&self, other: &Shortage) -> bool {
        (self.service, self.best_effort, self.priority)
            == (other.service, other.best_effort, other.priority)
    }
}

impl Cell {
    /// outlook returns the latest outlook, or `None` if this owner does not know the cell yet.
    pub fn outlook(&self) -> Option<&Outlook> {
        self.forecaster.latest.as_ref()
    }

    /// update_outlook makes a new outlook, if one is due.
    pub(crate) fn update_outlook(&mut self) {
        let now = self.now.mono;
        if now.since(self.forecaster.made_at) < UPDATE_MS {
            return;
        }
        self.forecaster.made_at = now;
        let is_known = self.has_authority() && self.knows_most_workers();
        self.forecaster.latest = is_known.then(|| self.make_outlook());
    }

    /// log_outlook logs the lanes in which room is short.
    pub(crate) fn log_outlook(&mut self) {
        let lanes = self
            .forecaster
            .latest
            .as_ref()
            .map(|outlook| &outlook.lanes);
        let describe = |lane: &Lane| {
            let time_ms = |work: u64| lane.factor.expected(work * MILLI / lane.room_milli.max(1));
            format!(
                "service {} has no room for {} tasks of {} thousandths of a core and more; with {} \
                 cores in all, new jobs of one task wait {} ms and of {} tasks {} ms",
                lane.service,
                if lane.best_effort {
                    "best-effort"
                } else {
                    "short"
                },
                lane.short_from_milli,
                lane.room_milli / MILLI,
                time_ms(lane.work[0]),
                1 << (SIZES - 1),
                time_ms(lane.work[SIZES - 1])
            )
        };
        let lines: Vec<String> = lanes.into_iter().flatten().map(describe).collect();
        for line in lines {
            self.log("outlook", None, line);
        }
    }

    fn knows_most_workers(&self) -> bool {
        let live = self.live_workers().map(|key| self.worker(key));
        let (mut known, mut all) = (0, 0);
        for worker in live {
            all += 1;
            known += usize::from(worker.presence == Presence::Contacted);
        }
        all > 0 && known * 100 >= all * MIN_CONTACTED_PERCENT
    }

    fn make_outlook(&self) -> Outlook {
        let now = self.now.mono;
        let recent = |shortage: &&Shortage| now.since(shortage.found_at) < SHORTAGE_MS;
        let mut lanes: Vec<Lane> = Vec::new();
        let mut shortages: Vec<&Shortage> =
            self.forecaster.shortages.iter().filter(recent).collect();
        shortages.sort_by_key(|shortage| shortage.from_milli);
        for (position, shortage) in shortages.iter().enumerate() {
            let listed = shortages[..position]
                .iter()
                .any(|smaller| smaller.is_same_lane(shortage));
            if !listed {
                lanes.push(self.make_lane(shortage));
            }
        }
        Outlook {
            version: VERSION,
            fence: self.fence,
            lanes,
        }
    }

    fn make_lane(&self, shortage: &Shortage) -> Lane {
        let service = self.services.text(shortage.service).to_owned();
        let workers = self.live_workers().map(|key| self.worker(key));
        let workers = workers
            .filter(|worker| worker.service == shortage.service && self.is_available(worker));
        let room_milli = workers.map(|worker| self.room_milli(worker, shortage.best_effort));
        let mut lane = Lane {
            service,
            best_effort: shortage.best_effort,
            priority: shortage.priority,
            short_from_milli: shortage.from_milli,
            room_milli: room_milli.sum(),
            work: [0; SIZES],
            factor: self
                .durations
                .factor(shortage.service, shortage.best_effort),
        };
        let mut by_size = [0; SIZES];
        for (key, _) in self.jobs.iter() {
            let key = JobKey(key);
            if let Some((left, work)) = self.work_before(key, &lane) {
                by_size[size_class(left)] += work;
            }
        }
        // Jobs with fewer tasks left go first, and of those of the same class about half.
        let mut smaller = 0;
        for (before, work) in lane.work.iter_mut().zip(by_size) {
            *before = smaller + work / 2;
            smaller += work;
        }
        lane
    }

    /// room_milli returns the processors of a worker that tasks of a lane may use in all, in
    /// thousandths of a core.
    fn room_milli(&self, worker: &Worker, best_effort: bool) -> u64 {
        let capacity = u64::from(worker.info.capacity.milli_cores);
        let reserved = u64::from(worker.long_running_milli);
        let taken = match best_effort {
            true => {
                let short = u64::from(worker.allocated.milli_cores).saturating_sub(reserved);
                let long_running = worker.long_running_use(self.options.serving_usage_milli);
                short + u64::try_from(long_running).unwrap_or(0)
            }
            false => reserved,
        };
        capacity.saturating_sub(taken)
    }

    /// work_before returns the tasks left of a job and their work, in core-milliseconds, if the
    /// job is in a lane and goes before new jobs.
    fn work_before(&self, key: JobKey, lane: &Lane) -> Option<(u32, u64)> {
        let job = self.job(key);
        // Most jobs are over: those that are still shown are kept. So this comes first.
        if job.state.is_final() || self.now.mono >= job.expires_at {
            return None;
        }
        let first = job.spec.steps.first()?;
        if first.best_effort != lane.best_effort || first.long_running || job.spec.rounds() > 1 {
            return None;
        }
        let queue = self.queues.get(&job.queue)?;
        if queue.service != lane.service || queue.priority > lane.priority {
            return None;
        }
        let steps = self.steps_of(key).zip(&job.spec.steps);
        let work = steps.map(|(step, spec)| {
            // What runs is half done on average.
            let halves = u64::from(step.left) * 2 - u64::from(step.runs.min(step.left));
            let each = u64::from(spec.size.milli_cores) * u64::from(spec.estimate_ms) / MILLI;
            each * halves / 2
        });
        Some((job.left, work.sum()))
    }
}
