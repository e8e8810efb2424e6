// SPDX-License-Identifier: Apache-2.0
//! A worker as a cell's owner meets it, in memory and on a clock that is
//! passed in: it refuses lower fences and what does not fit, ends what its
//! lease no longer covers, and lists each end until it is noted.

pub mod listing;

use std::collections::BTreeMap;

use stackpier_cell::{
    End, EndCause, Info, Pace, Renewal, Renewed, Report, RunStatus, Start, Started, Stop, Stopped,
    TaskName,
};
use stackpier_core::Size;

use listing::Listing;

/// STOP_MS is how long a stop takes.
const STOP_MS: u64 = 300;
/// SAVE_MS is the work after which progress is saved.
const SAVE_MS: u64 = 500;
/// RESTORE_MS is the time a resumed run takes to begin.
const RESTORE_MS: u64 = 250;
/// FULL is the percent of a run that has done its work.
const FULL: u64 = 100;

/// Behaviour is what a task does when it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// Work until it is done, in milliseconds; ignored by tasks that last.
    pub work_ms: u64,
    /// Whether every run fails.
    pub fails: bool,
    /// Whether every start brings the worker down. Who holds the workers carries that
    /// out.
    pub crashes: bool,
    /// What it takes of a worker's room.
    pub size: Size,
    /// The processors that it uses beyond its room, if it fills, in
    /// thousandths of a core.
    pub fills_milli: u32,
    /// Whether it saves its progress.
    pub saves: bool,
    /// Whether it runs until it is stopped.
    pub lasts: bool,
    /// The tail latency that it reports, if it serves.
    pub tail_ms: Option<u32>,
}

impl Behaviour {
    /// fail_after lets a run fail after a share of its work; one that lasts fails after
    /// as much.
    pub fn fail_after(&mut self, share: f64) {
        self.fails = true;
        self.work_ms = (self.work_ms as f64 * share) as u64;
    }
}

/// Run is a run on a worker.
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
    /// The pace it was told, in percent.
    pub pace: u8,
}

impl Run {
    /// is_working tells whether the run gets on: it is neither paused nor
    /// being stopped.
    pub fn is_working(&self) -> bool {
        self.pace > 0 && self.stops_at.is_none()
    }

    /// behaviour returns what the task does.
    pub fn behaviour(&self) -> &Behaviour {
        &self.behaviour
    }

    /// set_tail changes the tail latency that it reports, if it serves.
    pub fn set_tail(&mut self, tail_ms: u32) {
        self.behaviour.tail_ms = self.behaviour.tail_ms.map(|_| tail_ms);
    }

    /// left_ms returns for how long it still works at its present pace, or `None` if
    /// it lasts or stands still.
    pub fn left_ms(&self) -> Option<u64> {
        if self.behaviour.lasts || self.pace == 0 {
            return None;
        }
        let work_ms = self.behaviour.work_ms.saturating_sub(self.worked_ms);
        Some(self.restoring_ms + work_ms * FULL / u64::from(self.pace))
    }

    fn saved(&self) -> String {
        if !self.behaviour.saves {
            return String::new();
        }
        (self.worked_ms / SAVE_MS * SAVE_MS).to_string()
    }

    fn percent(&self) -> u8 {
        if self.behaviour.lasts {
            return self.pace;
        }
        (self.worked_ms * FULL / self.behaviour.work_ms.max(1)).min(FULL) as u8
    }
}

/// Worker is one life of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the list of workers shows of it.
    pub info: Info,
    /// Its clock's reading when it began.
    clock_start_ms: u64,
    /// When it began.
    begun_ms: u64,
    /// Whether its tasks stand still.
    pub hangs: bool,
    /// Whether it fails everything.
    pub grey: bool,
    /// How fast its tasks work, in percent of what is usual.
    pub speed_percent: u64,
    /// The runs that are there.
    pub runs: Vec<Run>,
    /// How it lists its ends.
    pub listing: Listing,
    /// Ends that were not noted.
    pub ends: Vec<End>,
    /// Ends that were noted.
    pub noted: Vec<End>,
    /// The last end that was listed when the lease lapsed.
    pub lapsed_end: u64,
    fence: u64,
    next_end: u64,
    lease_end_ms: u64,
    /// The highest run of a task that ended or was stopped here.
    barred: BTreeMap<TaskName, u32>,
    last_ms: u64,
}

impl Worker {
    /// new starts a worker that runs nothing.
    pub fn new(info: Info, clock_start_ms: u64, now_ms: u64) -> Worker {
        Worker {
            info,
            clock_start_ms,
            begun_ms: now_ms,
            hangs: false,
            grey: false,
            speed_percent: FULL,
            runs: Vec::new(),
            listing: Listing::default(),
            ends: Vec::new(),
            noted: Vec::new(),
            lapsed_end: 0,
            fence: 0,
            next_end: 1,
            lease_end_ms: 0,
            barred: BTreeMap::new(),
            last_ms: now_ms,
        }
    }

    /// clock returns what its clock shows at a time.
    pub fn clock(&self, now_ms: u64) -> u64 {
        self.clock_start_ms + now_ms - self.begun_ms
    }

    /// set_tail changes the tail latency of all tasks that serve.
    pub fn set_tail(&mut self, tail_ms: u32) {
        for run in &mut self.runs {
            run.set_tail(tail_ms);
        }
    }

    /// advance lets time pass: runs work, end, and lapse.
    pub fn advance(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.last_ms);
        self.last_ms = now_ms;
        let clock = self.clock(now_ms);
        for run in &mut self.runs {
            if self.hangs {
                continue;
            }
            let restoring = run.restoring_ms.min(passed);
            run.restoring_ms -= restoring;
            let percent = u64::from(run.pace) * self.speed_percent / FULL;
            run.worked_ms += (passed - restoring) * percent / FULL;
        }
        let lapsed = clock >= self.lease_end_ms;
        let grey = self.grey;
        let over = |run: &Run| -> Option<EndCause> {
            let behaviour = run.behaviour;
            let ends = !behaviour.lasts || behaviour.fails;
            let worked = run.worked_ms >= behaviour.work_ms && ends;
            let stopped = run.stops_at.is_some_and(|at| clock >= at);
            match () {
                () if lapsed => Some(EndCause::Lapsed),
                () if stopped => Some(EndCause::Stopped),
                () if grey && run.worked_ms > 0 => Some(EndCause::Failed),
                () if worked && behaviour.fails => Some(EndCause::Failed),
                () if worked => Some(EndCause::Done),
                () => None,
            }
        };
        let ended: Vec<(usize, EndCause)> = self
            .runs
            .iter()
            .enumerate()
            .filter_map(|(place, run)| over(run).map(|cause| (place, cause)))
            .collect();
        for (place, cause) in ended.into_iter().rev() {
            let run = self.runs.remove(place);
            self.end(&run, cause);
        }
        if lapsed {
            self.lapsed_end = self.next_end - 1;
        }
    }

    fn end(&mut self, run: &Run, cause: EndCause) {
        let checkpoint = if cause == EndCause::Stopped || cause == EndCause::Lapsed {
            run.saved()
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
        self.bar(run.task, run.number);
    }

    fn bar(&mut self, task: TaskName, number: u32) {
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(number);
    }

    fn reserved(&self) -> Size {
        self.runs.iter().map(|run| run.behaviour.size).sum()
    }

    fn is_fenced(&mut self, fence: u64) -> bool {
        let fenced = fence < self.fence;
        self.fence = self.fence.max(fence);
        fenced
    }

    /// start takes an order to start a run of a task with a behaviour.
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
        self.lease_end_ms = self.lease_end_ms.max(start.deadline_ms);
        let there = |run: &Run| run.task == order.task && run.number == order.run;
        if self.runs.iter().any(there) {
            return Started::Yes;
        }
        let barred = self.barred.get(&order.task);
        if barred.is_some_and(|barred| order.run <= *barred) {
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
            restoring_ms: if saved.is_some() { RESTORE_MS } else { 0 },
            stops_at: None,
            pace: FULL as u8,
        });
    }

    /// stop takes an order to stop a run.
    pub fn stop(&mut self, now_ms: u64, stop: &Stop) -> Stopped {
        self.advance(now_ms);
        let order = &stop.order;
        if order.worker_id != self.info.id {
            return Stopped::OtherLife;
        }
        if self.is_fenced(order.fence) {
            return Stopped::Fenced;
        }
        let stops_at = self.clock(now_ms) + STOP_MS;
        let there = |run: &&mut Run| run.task == order.task && run.number == order.run;
        match self.runs.iter_mut().find(there) {
            Some(run) => run.stops_at = run.stops_at.or(Some(stops_at)),
            None => self.bar(order.task, order.run),
        }
        Stopped::Yes
    }

    /// pace takes an order to let a run work at a share.
    pub fn pace(&mut self, now_ms: u64, pace: &Pace) -> bool {
        self.advance(now_ms);
        let order = &pace.order;
        if order.worker_id != self.info.id || self.is_fenced(order.fence) {
            return false;
        }
        let there = |run: &&mut Run| run.task == order.task && run.number == order.run;
        match self.runs.iter_mut().find(there) {
            Some(run) => {
                run.pace = pace.percent;
                true
            }
            None => false,
        }
    }

    /// hold renews the lease and reports. It does not wait.
    pub fn hold(&mut self, now_ms: u64, hold: &Renewal) -> Renewed {
        self.advance(now_ms);
        if hold.worker_id != self.info.id {
            return Renewed::OtherLife;
        }
        if self.is_fenced(hold.fence) {
            return Renewed::Fenced;
        }
        if let Some(deadline_ms) = hold.deadline_ms {
            self.lease_end_ms = self.lease_end_ms.max(deadline_ms);
        }
        let is_noted = |end: &End| end.number <= hold.acked;
        let (noted, ends) = self.ends.drain(..).partition(is_noted);
        self.ends = ends;
        self.noted.extend::<Vec<End>>(noted);
        let ended = self.listing.list(&self.ends);
        Renewed::Report(Report {
            started_at: self.info.started_at,
            clock_ms: self.clock(now_ms),
            running: self.runs.iter().map(row).collect(),
            whole: ended.len() < self.listing.most,
            ended,
        })
    }
}

fn row(run: &Run) -> RunStatus {
    let full = run.behaviour.size.milli_cores + run.behaviour.fills_milli;
    let used = full * u32::from(run.pace) / FULL as u32;
    RunStatus {
        task: run.task,
        run: run.number,
        checkpoint: run.saved(),
        percent: run.percent(),
        figure: Some(run.behaviour.tail_ms.unwrap_or(used)),
    }
}
