// SPDX-License-Identifier: Apache-2.0
//! Maintenance: hosts of workers that operators want taken down for a while.
//!
//! A plan names hosts, by when each is to have been down, and how many may be
//! down at once. A host is emptied first: its worker gets no starts, lasting
//! tasks move as far as their steps can miss them, filling tasks are stopped
//! with their checkpoints, and short ones end. Then it is ordered down. It is
//! done when a new worker of it shows. What was ordered is kept in the store, so
//! that a later owner goes on.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};
use stackpier_core::Millis;

use crate::{
    Cell, Effect,
    arena::{RunKey, WorkerKey},
    run::Phase,
    worker::Life,
};

/// TURN_MS is how long a host takes from the first stop until its new worker
/// works: one to two seconds of emptying, two down, and the start.
const TURN_MS: u64 = 4_000;
/// NEXT_MS is how long after a host went down the next one is emptied: that takes
/// about a second, and the host is down for two.
const NEXT_MS: u64 = 1_000;
/// HASTE is by how much more hosts are taken at once than the time left asks
/// for, as some wait for others.
const HASTE: f64 = 1.3;
/// ORDER_RETRY_MS is the pause before a host is ordered down again.
const ORDER_RETRY_MS: u64 = 400;
/// EMPTY_MS is how long short tasks on a host get to end by themselves.
const EMPTY_MS: u64 = 2_000;
/// GIVE_UP_MS is how long a host may have no worker before the plan goes on
/// without it.
const GIVE_UP_MS: u64 = 15_000;

/// Plan is what operators ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Its number.
    pub number: u64,
    /// The hosts.
    pub hosts: Vec<String>,
    /// The time in which each is to be down once, in milliseconds.
    pub within_ms: u64,
    /// The most hosts of the plan that may be down at once.
    pub most_down: u32,
}

/// TakeDown orders a host down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeDown {
    /// The plan's number.
    pub plan: u64,
    /// The host.
    pub host: String,
    /// The owner's fence.
    pub fence: u64,
}

/// TakenDown is the outcome of such an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakenDown {
    /// The host goes down, or has been down for this plan already.
    Yes,
    /// It can't be taken down now.
    Busy,
    /// The host is not known, or not of the plan.
    Unknown,
    /// A later owner gave orders for it.
    Fenced,
    /// There was no answer: it may go down, now or later.
    Silent,
}

/// Record is what the store keeps of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The plan's number.
    pub plan: u64,
    /// The hosts that went down.
    pub down: Vec<String>,
    /// Whether all hosts have been down.
    pub completed: bool,
}

/// Stage is how far a host is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    /// It gets no starts, since this time.
    Emptying(Millis),
    /// An order was sent; it is sent again at this time, unless it is being
    /// answered.
    Ordered {
        in_flight: bool,
        again: Millis,
    },
    /// It went down.
    Down {
        /// The life that ended with it, if one was known.
        life: Option<String>,
        since: Millis,
    },
    Done,
    /// It is not known, or has had no worker for long.
    Gone,
}

#[derive(Debug)]
struct Host {
    name: String,
    stage: Stage,
    /// Since when no worker of it has been known.
    absent: Option<Millis>,
}

impl Host {
    /// is_down tells whether it may be down now.
    fn is_down(&self) -> bool {
        matches!(self.stage, Stage::Ordered { .. } | Stage::Down { .. })
    }

    /// is_taken tells whether its worker gets no starts.
    fn is_taken(&self) -> bool {
        self.is_down() || matches!(self.stage, Stage::Emptying(_))
    }

    /// blocks_next tells whether the next host waits for this one: not when it
    /// will be back by the time that one is empty.
    fn blocks_next(&self, now: Millis) -> bool {
        match self.stage {
            Stage::Down { since, .. } => now.since(since) < NEXT_MS,
            _ => self.is_taken(),
        }
    }
}

/// Work is a plan with how far it is.
#[derive(Debug)]
pub(crate) struct Work {
    plan: Plan,
    due: Millis,
    hosts: Vec<Host>,
    completed: bool,
}

impl Work {
    fn new(plan: Plan, now: Millis) -> Work {
        let host = |name: &String| Host {
            name: name.clone(),
            stage: Stage::Waiting,
            absent: None,
        };
        Work {
            due: now.plus(plan.within_ms),
            hosts: plan.hosts.iter().map(host).collect(),
            plan,
            completed: false,
        }
    }

    /// wanted returns how many hosts should be taken at once: as few as the
    /// time left allows.
    fn wanted(&self, now: Millis) -> usize {
        let open = |host: &&Host| matches!(host.stage, Stage::Waiting | Stage::Emptying(_));
        let open = self.hosts.iter().filter(open).count();
        let left_ms = self.due.since(now).max(1);
        let turns = (left_ms as f64 / TURN_MS as f64).floor().max(1.0);
        let wanted = (open as f64 * HASTE / turns).ceil() as usize;
        wanted.min(self.plan.most_down as usize)
    }

    fn record(&self) -> Record {
        let was_down = |host: &&Host| matches!(host.stage, Stage::Down { .. } | Stage::Done);
        let down = self.hosts.iter().filter(was_down);
        Record {
            plan: self.plan.number,
            down: down.map(|host| host.name.clone()).collect(),
            completed: self.completed,
        }
    }
}

impl Cell {
    /// plan takes in a plan of operators.
    pub(crate) fn plan(&mut self, plan: Plan) {
        let known = |work: &Work| work.plan.number == plan.number;
        if self.maintenance.iter().any(known) {
            return;
        }
        let text = format!(
            "plan {}: {} hosts within {} ms, at most {} at once",
            plan.number,
            plan.hosts.len(),
            plan.within_ms,
            plan.most_down
        );
        self.note("maintenance", None, text);
        let mut work = Work::new(plan, self.now.mono);
        let earlier = |record: &&Record| record.plan == work.plan.number;
        if let Some(record) = self.maintained.iter().find(earlier) {
            work.completed = record.completed;
            let was_down = |host: &&mut Host| record.down.contains(&host.name);
            for host in work.hosts.iter_mut().filter(was_down) {
                host.stage = Stage::Done;
            }
        }
        self.maintenance.push(work);
        self.saver.maintenance_changed = true;
    }

    /// resume_maintenance takes over how far an earlier owner came.
    pub fn resume_maintenance(&mut self, records: Vec<Record>) {
        self.maintained = records;
    }

    /// maintenance_records returns what the store is to keep of all plans.
    pub(crate) fn maintenance_records(&self) -> Vec<Record> {
        self.maintenance.iter().map(Work::record).collect()
    }

    /// check_maintenance moves all plans on.
    pub(crate) fn check_maintenance(&mut self) {
        for place in 0..self.maintenance.len() {
            if self.maintenance[place].completed {
                continue;
            }
            self.take_hosts(place);
            for host in 0..self.maintenance[place].hosts.len() {
                self.move_on(place, host);
            }
            self.check_completed(place);
        }
        if !self.maintenance.is_empty() {
            self.close_workers();
        }
    }

    /// close_workers keeps starts off hosts that are taken.
    fn close_workers(&mut self) {
        let open = self.maintenance.iter().filter(|work| !work.completed);
        let taken = open.flat_map(|work| work.hosts.iter().filter(|host| host.is_taken()));
        let taken: HashSet<String> = taken.map(|host| host.name.clone()).collect();
        for worker in &mut self.workers {
            worker.closed = taken.contains(&worker.info.host);
        }
    }

    /// take_hosts begins to empty further hosts, those with the least to move
    /// first.
    fn take_hosts(&mut self, place: usize) {
        let now = self.now.mono;
        // A host that is empty before it can be ordered down does nothing.
        if now.plus(NEXT_MS) < self.orders_from {
            return;
        }
        let work = &self.maintenance[place];
        let taken = work
            .hosts
            .iter()
            .filter(|host| host.blocks_next(now))
            .count();
        let room = work.wanted(now).saturating_sub(taken);
        let waiting = |(_, host): &(usize, &Host)| host.stage == Stage::Waiting;
        let weight = |(number, host): (usize, &Host)| {
            let worker = self.worker_of(&host.name)?;
            Some((self.worker(worker).lasting_milli, number))
        };
        let hosts = work.hosts.iter().enumerate().filter(waiting);
        let mut next: Vec<(u32, usize)> = hosts.filter_map(weight).collect();
        next.sort_unstable();
        for (_, number) in next.into_iter().take(room) {
            let host = &mut self.maintenance[place].hosts[number];
            host.stage = Stage::Emptying(now);
            let text = format!("host {} is being emptied", host.name);
            self.note("maintenance", None, text);
        }
    }

    fn move_on(&mut self, place: usize, number: usize) {
        let now = self.now.mono;
        let host = &self.maintenance[place].hosts[number];
        let worker = self.worker_of(&host.name);
        match host.stage.clone() {
            Stage::Waiting => self.check_absent(place, number, worker),
            Stage::Emptying(since) => match worker {
                Some(worker) => self.empty(place, number, worker, since),
                None => self.maintenance[place].hosts[number].stage = Stage::Waiting,
            },
            Stage::Ordered { in_flight, again } => {
                if !in_flight && now >= again {
                    self.take_down(place, number);
                }
            }
            Stage::Down { life, .. } => {
                let back = worker.is_some_and(|worker| {
                    let worker = self.worker(worker);
                    worker.life == Life::Met && Some(&worker.info.id) != life.as_ref()
                });
                if back {
                    self.maintenance[place].hosts[number].stage = Stage::Done;
                }
            }
            Stage::Done | Stage::Gone => {}
        }
    }

    /// check_absent goes on without a host that has had no worker for long.
    fn check_absent(&mut self, place: usize, number: usize, worker: Option<WorkerKey>) {
        let now = self.now.mono;
        let host = &mut self.maintenance[place].hosts[number];
        if worker.is_some() {
            host.absent = None;
            return;
        }
        let since = *host.absent.get_or_insert(now);
        if now.since(since) >= GIVE_UP_MS {
            host.stage = Stage::Gone;
            let text = format!("host {} has had no worker for {GIVE_UP_MS} ms", host.name);
            self.note("maintenance", None, text);
        }
    }

    /// empty moves what runs on a host, and orders it down when nothing does.
    fn empty(&mut self, place: usize, number: usize, worker: WorkerKey, since: Millis) {
        let now = self.now.mono;
        if self.worker(worker).runs.is_empty() {
            if now >= self.orders_from {
                self.take_down(place, number);
            }
            return;
        }
        let late = now.since(since) >= EMPTY_MS;
        for run in self.worker(worker).runs.clone() {
            if self.is_to_move(run, late) {
                self.move_away(run);
            }
        }
    }

    /// is_to_move tells whether a run on a host that is being emptied is to be
    /// stopped now.
    fn is_to_move(&self, key: RunKey, late: bool) -> bool {
        let Some(run) = self.runs.get(key).filter(|run| run.phase == Phase::Running) else {
            return false;
        };
        if run.lasting {
            return self.can_miss(key);
        }
        late || self.shape(run.step).checkpointing
    }

    /// can_miss tells whether a lasting task may be stopped: less of its step's
    /// tasks are away than may be.
    pub(crate) fn can_miss(&self, key: RunKey) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        let Some(most) = self.shape(run.step).may_miss else {
            return true;
        };
        let step = self.step_of(run.step);
        let tasks = (step.first_task.0..step.first_task.0 + step.count).map(crate::TaskKey);
        let others = tasks.filter(|task| *task != run.task);
        let away = others.filter(|task| !self.is_at_work(*task)).count();
        (away as u32) < most
    }

    /// is_at_work tells whether a lasting task has a run that works and is not
    /// being stopped.
    fn is_at_work(&self, task: crate::TaskKey) -> bool {
        let runs = self.task(task).runs.iter();
        let mut runs = runs.filter_map(|key| self.runs.get(*key));
        runs.any(|run| run.phase == Phase::Running && run.percent >= 100)
    }

    fn move_away(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let name = self.name(run.task);
        let text = "stopped: its host is to go down for maintenance".to_owned();
        self.note("maintenance", Some(name), text);
        self.stop(key);
    }

    fn take_down(&mut self, place: usize, number: usize) {
        if !self.has_authority() {
            return;
        }
        let now = self.now.mono;
        let work = &mut self.maintenance[place];
        let others = work.hosts.iter().enumerate();
        let down = others.filter(|(other, host)| *other != number && host.is_down());
        if down.count() >= work.plan.most_down as usize {
            return;
        }
        let host = &mut work.hosts[number];
        host.stage = Stage::Ordered {
            in_flight: true,
            again: now,
        };
        let order = TakeDown {
            plan: work.plan.number,
            host: host.name.clone(),
            fence: self.fence,
        };
        self.effects.push(Effect::TakeDown(order));
    }

    /// taken_down takes in the answer to an order.
    pub(crate) fn taken_down(&mut self, order: &TakeDown, outcome: TakenDown) {
        let now = self.now.mono;
        let text = format!("host {} ordered down: {outcome:?}", order.host);
        self.note("maintenance", None, text);
        let worker = self.worker_of(&order.host);
        let life = worker.map(|worker| self.worker(worker).info.id.clone());
        let Some(host) = self.host_mut(order) else {
            return;
        };
        match outcome {
            TakenDown::Yes => host.stage = Stage::Down { life, since: now },
            TakenDown::Unknown => host.stage = Stage::Gone,
            // Nothing was done: what runs there may go on meanwhile.
            TakenDown::Busy => host.stage = Stage::Emptying(now),
            TakenDown::Silent => {
                host.stage = Stage::Ordered {
                    in_flight: false,
                    again: now.plus(ORDER_RETRY_MS),
                };
            }
            TakenDown::Fenced => {
                self.depose();
                return;
            }
        }
        if outcome == TakenDown::Yes {
            self.saver.maintenance_changed = true;
            if let Some(worker) = worker {
                self.end_life(worker, "its host is down for maintenance");
            }
        }
    }

    fn host_mut(&mut self, order: &TakeDown) -> Option<&mut Host> {
        let mut works = self.maintenance.iter_mut();
        let work = works.find(|work| work.plan.number == order.plan)?;
        work.hosts.iter_mut().find(|host| host.name == order.host)
    }

    fn check_completed(&mut self, place: usize) {
        let work = &mut self.maintenance[place];
        let over = |host: &Host| matches!(host.stage, Stage::Done | Stage::Gone);
        if work.hosts.iter().all(over) {
            work.completed = true;
            self.saver.maintenance_changed = true;
            let text = format!("plan {} is completed", self.maintenance[place].plan.number);
            self.note("maintenance", None, text);
        }
    }

    /// worker_of returns the worker of a host that is not known to be over.
    fn worker_of(&self, host: &str) -> Option<WorkerKey> {
        let is_its = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.info.host == host && worker.unlisted_since.is_none()
        };
        self.live().find(is_its)
    }
}
