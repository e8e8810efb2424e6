// SPDX-License-Identifier: Apache-2.0
//! A pure model of a worker of `stackpierd`: leases, starts, stops, checkpoints
//! and a log of all runs. Fuzz tests drive it directly.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stackpier_core::{
    Name, Size,
    key::{Attempt, Boot, Task},
};
use stackpier_protocol::sync::{Call, Clock, Ended, Reply, Start, Usage};
use stackpier_state::work::{Checkpoint, Class, Outcome, Run, Work};

/// Span holds one run in the log, from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The run.
    pub run: Run,
    /// The checkpoint that it resumed from.
    pub from: Option<Checkpoint>,
    /// When it started, by the worker's clock.
    pub started: Clock,
    /// When and how it ended.
    pub ended: Option<(Clock, Outcome)>,
}

/// Running holds the state of a run that has not ended.
#[derive(Clone, Copy, Debug)]
struct Running {
    run: Run,
    work: Work,
    from: u64,
    started: Clock,
    span: usize,
    throttle: Throttle,
}

/// Throttle holds the time that a run has lost by running at half speed.
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

/// NO_SLOWDOWN_MILLI is the slowdown of a task that others on its worker do not slow
/// down, in thousandths.
const NO_SLOWDOWN_MILLI: u32 = 1_000;

/// Worker models a worker from one boot to the next.
#[derive(Debug)]
pub struct Worker {
    name: Name,
    boot: Boot,
    term: u64,
    lease: Clock,
    running: BTreeMap<Task, Running>,
    ended: BTreeMap<Run, Outcome>,
    /// The highest attempt of each task that ended here or was stopped before it
    /// started. Neither it nor a lower one is started any more.
    last_attempts: BTreeMap<Task, Attempt>,
    fails_all: bool,
    slowdown_milli: u32,
    log: Vec<Span>,
}

impl Worker {
    /// new returns a worker that runs nothing.
    pub fn new(name: Name, boot: Boot) -> Worker {
        Worker {
            name,
            boot,
            term: 0,
            lease: Clock(0),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            last_attempts: BTreeMap::new(),
            fails_all: false,
            slowdown_milli: NO_SLOWDOWN_MILLI,
            log: Vec::new(),
        }
    }

    /// boot returns the number of this boot of the worker.
    pub fn boot(&self) -> Boot {
        self.boot
    }

    /// set_fails_all sets whether every later run fails as soon as it starts.
    pub fn set_fails_all(&mut self, fails: bool) {
        self.fails_all = fails;
    }

    /// set_slowdown sets the slowdown that it reports for services, in thousandths.
    pub fn set_slowdown(&mut self, slowdown_milli: u32) {
        self.slowdown_milli = slowdown_milli.max(NO_SLOWDOWN_MILLI);
    }

    /// log returns all runs since the boot.
    pub fn log(&self) -> &[Span] {
        &self.log
    }

    /// advance ends batch tasks that are done by now, and all runs if the lease has
    /// expired.
    pub fn advance(&mut self, now: Clock) {
        let expired = now > self.lease;
        let at = if expired { self.lease } else { now };
        let done = |running: &Running| {
            let progress = running.progress(at);
            running.work.class == Class::Batch && progress >= running.work.run_time_ms
        };
        let runs: Vec<Running> = self.running.values().copied().collect();
        for running in runs {
            if done(&running) {
                self.finish(running, at, Outcome::Finished);
            } else if expired {
                self.finish(running, at, Outcome::Lost);
            }
        }
    }

    /// sync handles a call of the renewer: if it is valid, it renews the lease and carries
    /// out the orders. The reply is the worker's state either way.
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

    /// is_running reports whether a run may serve requests now.
    pub fn is_running(&mut self, now: Clock, run: Run) -> bool {
        self.advance(now);
        self.running
            .get(&run.task)
            .is_some_and(|running| running.run == run)
    }

    /// running returns the runs that have not ended, with their sizes.
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
        let is_blocked = self
            .last_attempts
            .get(&run.task)
            .is_some_and(|last| *last >= run.attempt);
        if is_blocked || self.running.contains_key(&run.task) {
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
            _ => self.block_run(run),
        }
    }

    /// block_run keeps a run from ever starting here, and lists it as stopped.
    fn block_run(&mut self, run: Run) {
        let last = self.last_attempts.entry(run.task).or_insert(run.attempt);
        if *last < run.attempt {
            *last = run.attempt;
        }
        self.ended.entry(run).or_insert(Outcome::Stopped(None));
    }

    fn finish(&mut self, running: Running, at: Clock, outcome: Outcome) {
        self.running.remove(&running.run.task);
        self.last_attempts
            .insert(running.run.task, running.run.attempt);
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
