// SPDX-License-Identifier: Apache-2.0
//! An in-memory model of a worker as the owner of a cell sees it. The caller
//! passes the time in. The worker refuses orders with a lower fence and runs
//! that do not fit, ends all its runs when its lease expires, and lists each end
//! until the owner acknowledges it.

pub mod listing;

use std::collections::BTreeMap;

use stackpier_cell::{
    End, EndCause, Info, Pace, Renewal, Renewed, Report, RunStatus, Start, Started, Stop, Stopped,
    TaskName,
};
use stackpier_core::Size;

use listing::Listing;

/// STOP_DURATION_MS is the time from a stop order to the end of the run on most workers.
const STOP_DURATION_MS: u64 = 300;
/// SAVE_INTERVAL_MS is the work between two checkpoints.
const SAVE_INTERVAL_MS: u64 = 500;
/// RESTORE_DURATION_MS is the time that a resumed run spends restoring its checkpoint.
const RESTORE_DURATION_MS: u64 = 250;
/// MAX_LEASE_MS is the longest lease that a worker grants: see `Options::max_lease_ms`.
const MAX_LEASE_MS: u64 = 6_000;
/// FULL_PERCENT is the progress of a finished run, and the pace and speed of an
/// unthrottled one.
const FULL_PERCENT: u64 = 100;

/// Behaviour describes what a task does when it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// Time that the task works at full pace until it is done, in milliseconds; ignored
    /// for long-running tasks, unless they fail.
    pub work_ms: u64,
    /// Whether every run fails.
    pub fails: bool,
    /// Whether every start crashes the worker. The test that drives the workers has to
    /// carry out the crash.
    pub crashes: bool,
    /// The worker's capacity that it reserves.
    pub size: Size,
    /// The processors that a best-effort task uses beyond its size, in thousandths
    /// of a core.
    pub best_effort_milli: u32,
    /// Whether it saves checkpoints.
    pub saves: bool,
    /// Whether it runs until it is stopped.
    pub long_running: bool,
    /// The tail latency that a serving task reports, in milliseconds.
    pub tail_ms: Option<u32>,
}

impl Behaviour {
    /// fail_after makes every run fail after a share of its work; long-running tasks
    /// fail after the same time.
    pub fn fail_after(&mut self, share: f64) {
        self.fails = true;
        self.work_ms = (self.work_ms as f64 * share) as u64;
    }
}

/// Run holds the state of a run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub number: u32,
    /// The fence of the owner that started it.
    pub fence: u64,
    behaviour: Behaviour,
    worked_ms: u64,
    restoring_ms: u64,
    stops_at: Option<u64>,
    /// The pace that it was ordered to work at, in percent.
    pub pace: u8,
}

impl Run {
    /// is_working reports whether the run is neither paused nor being stopped.
    pub fn is_working(&self) -> bool {
        self.pace > 0 && self.stops_at.is_none()
    }

    /// behaviour returns the behaviour of its task.
    pub fn behaviour(&self) -> &Behaviour {
        &self.behaviour
    }

    /// set_tail changes the tail latency that it reports, if its task is a serving task.
    pub fn set_tail(&mut self, tail_ms: u32) {
        self.behaviour.tail_ms = self.behaviour.tail_ms.map(|_| tail_ms);
    }

    /// fail makes the run fail when the time next moves forward.
    pub fn fail(&mut self) {
        self.behaviour.fails = true;
        self.behaviour.work_ms = 0;
    }

    /// remaining_ms returns the time until it is done at its present pace, or `None` if
    /// it is long-running or paused.
    pub fn remaining_ms(&self) -> Option<u64> {
        if self.behaviour.long_running || self.pace == 0 {
            return None;
        }
        let work_ms = self.behaviour.work_ms.saturating_sub(self.worked_ms);
        Some(self.restoring_ms + work_ms * FULL_PERCENT / u64::from(self.pace))
    }

    /// saved_progress returns the saved progress, or an empty text if the task saves none.
    fn saved_progress(&self) -> String {
        if !self.behaviour.saves {
            return String::new();
        }
        (self.worked_ms / SAVE_INTERVAL_MS * SAVE_INTERVAL_MS).to_string()
    }

    /// percent returns the progress of the run; for a long-running task, its pace.
    fn percent(&self) -> u8 {
        if self.behaviour.long_running {
            return self.pace;
        }
        (self.worked_ms * FULL_PERCENT / self.behaviour.work_ms.max(1)).min(FULL_PERCENT) as u8
    }
}

/// Worker is one incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker's entry in the list of workers.
    pub info: Info,
    /// What its own clock showed when it started.
    clock_start_ms: u64,
    /// When it started.
    started_ms: u64,
    /// Whether its tasks make no progress.
    pub hangs: bool,
    /// Whether every run fails as soon as it has made progress.
    pub fails_all: bool,
    /// The speed of its tasks, in percent of the normal speed.
    pub speed_percent: u64,
    /// The runs that have not ended.
    pub runs: Vec<Run>,
    /// The time from a stop order to the end of the run.
    pub stop_ms: u64,
    /// How reports list its ends.
    pub listing: Listing,
    /// Ends that the owner has not acknowledged.
    pub ends: Vec<End>,
    /// Ends that the owner has acknowledged.
    pub acked: Vec<End>,
    /// The highest number of an end when the lease last expired.
    pub last_end_at_expiry: u64,
    fence: u64,
    next_end: u64,
    lease_end_ms: u64,
    /// The highest run of each task that ended or was stopped here. Neither it nor a
    /// lower one is started any more.
    blocked_runs: BTreeMap<TaskName, u32>,
    advanced_to_ms: u64,
}

impl Worker {
    /// new starts a worker that runs nothing.
    pub fn new(info: Info, clock_start_ms: u64, now_ms: u64) -> Worker {
        Worker {
            info,
            clock_start_ms,
            started_ms: now_ms,
            hangs: false,
            fails_all: false,
            speed_percent: FULL_PERCENT,
            runs: Vec::new(),
            stop_ms: STOP_DURATION_MS,
            listing: Listing::default(),
            ends: Vec::new(),
            acked: Vec::new(),
            last_end_at_expiry: 0,
            fence: 0,
            next_end: 1,
            lease_end_ms: 0,
            blocked_runs: BTreeMap::new(),
            advanced_to_ms: now_ms,
        }
    }

    /// clock returns what its own clock shows at this time.
    pub fn clock(&self, now_ms: u64) -> u64 {
        self.clock_start_ms + now_ms - self.started_ms
    }

    /// set_tail changes the tail latency that all its serving tasks report.
    pub fn set_tail(&mut self, tail_ms: u32) {
        for run in &mut self.runs {
            run.set_tail(tail_ms);
        }
    }

    /// advance moves the time forward: runs make progress, and end when they are done,
    /// fail, were stopped, or the lease expires.
    pub fn advance(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.advanced_to_ms);
        self.advanced_to_ms = now_ms;
        let clock = self.clock(now_ms);
        for run in &mut self.runs {
            if self.hangs {
                continue;
            }
            let restoring = run.restoring_ms.min(elapsed);
            run.restoring_ms -= restoring;
            let percent = u64::from(run.pace) * self.speed_percent / FULL_PERCENT;
            run.worked_ms += (elapsed - restoring) * percent / FULL_PERCENT;
        }
        let expired = clock >= self.lease_end_ms;
        let fails_all = self.fails_all;
        let end_cause = |run: &Run| -> Option<EndCause> {
            let behaviour = run.behaviour;
            let can_end = !behaviour.long_running || behaviour.fails;
            let finished = run.worked_ms >= behaviour.work_ms && can_end;
            let stopped = run.stops_at.is_some_and(|at| clock >= at);
            match () {
                () if expired => Some(EndCause::Lapsed),
                () if stopped => Some(EndCause::Stopped),
                () if fails_all && run.worked_ms > 0 => Some(EndCause::Failed),
                () if finished && behaviour.fails => Some(EndCause::Failed),
                () if finished => Some(EndCause::Done),
                () => None,
            }
        };
        let ended: Vec<(usize, EndCause)> = self
            .runs
            .iter()
            .enumerate()
            .filter_map(|(index, run)| end_cause(run).map(|cause| (index, cause)))
            .collect();
        for (index, cause) in ended.into_iter().rev() {
            let run = self.runs.remove(index);
            self.record_end(&run, cause);
        }
        if expired {
            self.last_end_at_expiry = self.next_end - 1;
        }
    }

    /// extend_lease extends the lease to a time by this worker's clock. A lease that is longer than
    /// the worker grants is cut.
    fn extend_lease(&mut self, now_ms: u64, deadline_ms: u64) {
        let latest_ms = self.clock(now_ms) + MAX_LEASE_MS;
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(latest_ms));
    }

    fn record_end(&mut self, run: &Run, cause: EndCause) {
        let checkpoint = if cause == EndCause::Stopped || cause == EndCause::Lapsed {
            run.saved_progress()
        } else {
            String::new()
        };
        self.ends.push(End {
            number: self.next_end,
            task: run.task,
            run: run.number,
            cause,
            checkpoint,
        });
        self.next_end += 1;
        self.block_run(run.task, run.number);
    }

    /// block_run keeps a run, and all lower ones of its task, from starting here.
    fn block_run(&mut self, task: TaskName, number: u32) {
        let blocked = self.blocked_runs.entry(task).or_default();
        *blocked = (*blocked).max(number);
    }

    fn reserved(&self) -> Size {
        self.runs.iter().map(|run| run.behaviour.size).sum()
    }

    /// is_fenced reports whether an order's fence is lower than the highest one so far. A
    /// higher fence is recorded as the highest.
    fn is_fenced(&mut self, fence: u64) -> bool {
        let fenced = fence < self.fence;
        self.fence = self.fence.max(fence);
        fenced
    }

    /// start handles an order to start a run of a task with this behaviour.
    pub fn start(&mut self, now_ms: u64, start: &Start, behaviour: Behaviour) -> Started {
        self.advance(now_ms);
        let order = &start.order;
        if order.worker_id != self.info.id {
            return Started::OtherLife;
        }
        if self.is_fenced(order.fence) {
            return Started::Fenced;
        }
        if start.deadline_ms <= self.clock(now_ms) {
            return Started::Late;
        }
        self.extend_lease(now_ms, start.deadline_ms);
        let is_ordered = |run: &Run| run.task == order.task && run.number == order.run;
        if self.runs.iter().any(is_ordered) {
            return Started::Yes;
        }
        let blocked = self.blocked_runs.get(&order.task);
        if blocked.is_some_and(|blocked| order.run <= *blocked) {
            return Started::Old;
        }
        let needed = self.reserved() + behaviour.size;
        if !needed.fits(&self.info.capacity) {
            return Started::NoRoom;
        }
        self.add_run(start, behaviour);
        Started::Yes
    }

    fn add_run(&mut self, start: &Start, behaviour: Behaviour) {
        let order = &start.order;
        let saved = start
            .checkpoint
            .as_deref()
            .and_then(|text| text.parse().ok());
        self.runs.push(Run {
            task: order.task,
            number: order.run,
            fence: order.fence,
            behaviour,
            worked_ms: saved.unwrap_or(0),
            restoring_ms: if saved.is_some() {
                RESTORE_DURATION_MS
            } else {
                0
            },
            stops_at: None,
            pace: FULL_PERCENT as u8,
        });
    }

    /// stop handles an order to stop a run.
    pub fn stop(&mut self, now_ms: u64, stop: &Stop) -> Stopped {
        self.advance(now_ms);
        let order = &stop.order;
        if order.worker_id != self.info.id {
            return Stopped::OtherLife;
        }
        if self.is_fenced(order.fence) {
            return Stopped::Fenced;
        }
        let stops_at = self.clock(now_ms) + self.stop_ms;
        let is_ordered = |run: &&mut Run| run.task == order.task && run.number == order.run;
        match self.runs.iter_mut().find(is_ordered) {
            Some(run) => run.stops_at = run.stops_at.or(Some(stops_at)),
            None => self.block_run(order.task, order.run),
        }
        Stopped::Yes
    }

    /// pace handles an order to change the pace of a run, and reports whether it took
    /// effect.
    pub fn pace(&mut self, now_ms: u64, pace: &Pace) -> bool {
        self.advance(now_ms);
        let order = &pace.order;
        if order.worker_id != self.info.id || self.is_fenced(order.fence) {
            return false;
        }
        let is_ordered = |run: &&mut Run| run.task == order.task && run.number == order.run;
        match self.runs.iter_mut().find(is_ordered) {
            Some(run) => {
                run.pace = pace.percent;
                true
            }
            None => false,
        }
    }

    /// renew handles a lease renewal and returns a report at once, without waiting for
    /// news.
    pub fn renew(&mut self, now_ms: u64, renewal: &Renewal) -> Renewed {
        self.advance(now_ms);
        if renewal.worker_id != self.info.id {
            return Renewed::OtherLife;
        }
        if self.is_fenced(renewal.fence) {
            return Renewed::Fenced;
        }
        if let Some(deadline_ms) = renewal.deadline_ms {
            self.extend_lease(now_ms, deadline_ms);
        }
        let is_acked = |end: &End| end.number <= renewal.acked;
        let (newly_acked, ends) = self.ends.drain(..).partition(is_acked);
        self.ends = ends;
        self.acked.extend::<Vec<End>>(newly_acked);
        let ended = self.listing.list(&self.ends);
        Renewed::Report(Report {
            started_at: self.info.started_at,
            clock_ms: self.clock(now_ms),
            running: self.runs.iter().map(report_run).collect(),
            whole: ended.len() < self.listing.max_listed,
            ended,
        })
    }
}

fn report_run(run: &Run) -> RunStatus {
    let at_full_pace = run.behaviour.size.milli_cores + run.behaviour.best_effort_milli;
    let used = at_full_pace * u32::from(run.pace) / FULL_PERCENT as u32;
    RunStatus {
        task: run.task,
        run: run.number,
        checkpoint: run.saved_progress(),
        percent: run.percent(),
        figure: Some(run.behaviour.tail_ms.unwrap_or(used)),
    }
}
