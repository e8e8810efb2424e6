// SPDX-License-Identifier: Apache-2.0
//! The rules of a worker, as a pure model: leases, starts, stops, checkpoints
//! and a log of everything that ran. Fuzz tests drive it directly.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stackpier_core::{
    Name, Size,
    key::{Attempt, Boot, Task},
};
use stackpier_protocol::sync::{Call, Clock, Ended, Reply, Start, Usage};
use stackpier_state::work::{Checkpoint, Class, Outcome, Run, Work};

/// Span is one run in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The run.
    pub run: Run,
    /// Progress it was resumed from.
    pub from: Option<Checkpoint>,
    /// When it started, by the worker's clock.
    pub started: Clock,
    /// When and how it ended.
    pub ended: Option<(Clock, Outcome)>,
}

/// Running is a run at work.
#[derive(Clone, Copy, Debug)]
struct Running {
    run: Run,
    work: Work,
    from: u64,
    started: Clock,
    span: usize,
    throttle: Throttle,
}

/// Throttle is the time a run has lost by running at half speed.
#[derive(Clone, Copy, Debug, Default)]
struct Throttle {
    since: Option<Clock>,
    lost_ms: u64,
}

impl Throttle {
    fn lost(&self, now: Clock) -> u64 {
        let open = self
            .since
            .map_or(0, |since| now.0.saturating_sub(since.0) / 2);
        self.lost_ms + open
    }

    fn set(&mut self, now: Clock, on: bool) {
        self.lost_ms = self.lost(now);
        self.since = on.then_some(now);
    }
}

impl Running {
    fn progress(&self, now: Clock) -> u64 {
        let elapsed = now.0.saturating_sub(self.started.0);
        self.from + elapsed.saturating_sub(self.throttle.lost(now))
    }
}

/// NO_SLOWDOWN_MILLI is the slowdown of a task that runs as if alone.
const NO_SLOWDOWN_MILLI: u32 = 1_000;

/// Worker is the model of one run of a worker.
#[derive(Debug)]
pub struct Worker {
    name: Name,
    boot: Boot,
    term: u64,
    lease: Clock,
    running: BTreeMap<Task, Running>,
    ended: BTreeMap<Run, Outcome>,
    /// The highest attempt of each task that ended here or never may start.
    last: BTreeMap<Task, Attempt>,
    fails_all: bool,
    slowdown_milli: u32,
    log: Vec<Span>,
}

impl Worker {
    /// new starts a worker with nothing running.
    pub fn new(name: Name, boot: Boot) -> Worker {
        Worker {
            name,
            boot,
            term: 0,
            lease: Clock(0),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            last: BTreeMap::new(),
            fails_all: false,
            slowdown_milli: NO_SLOWDOWN_MILLI,
            log: Vec::new(),
        }
    }

    /// boot returns this run of the worker.
    pub fn boot(&self) -> Boot {
        self.boot
    }

    /// fail_all makes every later start fail at once, or not.
    pub fn fail_all(&mut self, fails: bool) {
        self.fails_all = fails;
    }

    /// slow sets the slowdown reported of services, in thousandths.
    pub fn slow(&mut self, slowdown_milli: u32) {
        self.slowdown_milli = slowdown_milli.max(NO_SLOWDOWN_MILLI);
    }

    /// log returns all runs so far.
    pub fn log(&self) -> &[Span] {
        &self.log
    }

    /// advance ends what the time has ended: all runs when the lease lapsed,
    /// and batch tasks that are done.
    pub fn advance(&mut self, now: Clock) {
        let lapsed = now > self.lease;
        let at = if lapsed { self.lease } else { now };
        let done = |running: &Running| {
            let progress = running.progress(at);
            running.work.class == Class::Batch && progress >= running.work.run_time_ms
        };
        let runs: Vec<Running> = self.running.values().copied().collect();
        for running in runs {
            if done(&running) {
                self.finish(running, at, Outcome::Finished);
            } else if lapsed {
                self.finish(running, at, Outcome::Lost);
            }
        }
    }

    /// sync serves a renewer's call.
    pub fn sync(&mut self, now: Clock, call: &Call) -> Reply {
        self.advance(now);
        let until = Clock(call.clock.0 + call.lease_ms);
        let valid = call.boot == self.boot && call.term >= self.term && now <= until;
        if valid {
            self.term = call.term;
            self.lease = self.lease.max(until);
            self.apply(now, call);
        }
        self.reply(now)
    }

    /// runs tells whether a run may serve requests now.
    pub fn runs(&mut self, now: Clock, run: Run) -> bool {
        self.advance(now);
        self.running
            .get(&run.task)
            .is_some_and(|running| running.run == run)
    }

    /// running returns the runs that run now.
    pub fn running(&self) -> impl Iterator<Item = (Run, Size)> {
        self.running
            .values()
            .map(|running| (running.run, running.work.size))
    }

    fn apply(&mut self, now: Clock, call: &Call) {
        for run in &call.stop {
            self.stop(now, *run);
        }
        for start in &call.start {
            self.start(now, start);
        }
        for running in self.running.values_mut() {
            running
                .throttle
                .set(now, call.throttle.contains(&running.run));
        }
        for run in &call.forget {
            self.ended.remove(run);
        }
    }

    fn start(&mut self, now: Clock, start: &Start) {
        let run = start.run;
        let over = self
            .last
            .get(&run.task)
            .is_some_and(|last| *last >= run.attempt);
        if over || self.running.contains_key(&run.task) {
            return;
        }
        let running = Running {
            run,
            work: start.work,
            from: start.checkpoint.map_or(0, |checkpoint| checkpoint.0),
            started: now,
            span: self.log.len(),
            throttle: Throttle::default(),
        };
        self.log.push(Span {
            run,
            from: start.checkpoint,
            started: now,
            ended: None,
        });
        self.running.insert(run.task, running);
        if self.fails_all {
            self.finish(running, now, Outcome::Failed);
        }
    }

    fn stop(&mut self, now: Clock, run: Run) {
        match self.running.get(&run.task).copied() {
            Some(running) if running.run == run => {
                let progress = running.progress(now);
                let saved = (running.work.class == Class::Batch).then_some(Checkpoint(progress));
                self.finish(running, now, Outcome::Stopped(saved));
            }
            _ => self.bar(run),
        }
    }

    /// bar keeps a run from ever starting here.
    fn bar(&mut self, run: Run) {
        let last = self.last.entry(run.task).or_insert(run.attempt);
        if *last < run.attempt {
            *last = run.attempt;
        }
        self.ended.entry(run).or_insert(Outcome::Stopped(None));
    }

    fn finish(&mut self, running: Running, at: Clock, outcome: Outcome) {
        self.running.remove(&running.run.task);
        self.last.insert(running.run.task, running.run.attempt);
        self.ended.insert(running.run, outcome);
        self.log[running.span].ended = Some((at, outcome));
    }

    fn reply(&self, now: Clock) -> Reply {
        let usage = |running: &Running| Usage {
            run: running.run,
            sampled: now,
            milli_cores: running.work.size.milli_cores,
            memory_mib: running.work.size.memory_mib,
            slowdown_milli: match running.work.class {
                Class::Service => self.slowdown_milli,
                Class::Batch => NO_SLOWDOWN_MILLI,
            },
        };
        let ended = self.ended.iter().map(|(run, outcome)| Ended {
            run: *run,
            outcome: *outcome,
        });
        Reply {
            name: self.name,
            boot: self.boot,
            clock: now,
            running: self.running.values().map(|running| running.run).collect(),
            ended: ended.collect(),
            usage: self.running.values().map(usage).collect(),
        }
    }
}
