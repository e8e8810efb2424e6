// SPDX-License-Identifier: Apache-2.0
//! Tasks that crash the worker they start on.
//!
//! Such a task leaves no end: its worker falls silent soon after the start, and with it
//! goes what else ran there. So the owner keeps, for each task, under which workers' lives
//! it was started that fell silent before the run had shown itself to be harmless. A
//! worker that answers again, or that the list still shows, has not crashed, and no longer
//! counts: cuts and freezes leave nothing behind.
//!
//! The first crash can't tell which of the recent starts caused it, so all of them become
//! *suspects*. From then on each start of a suspect is *isolated*: on a worker where nothing
//! else began just before, on which nothing else starts for a while, and never two
//! suspects on one worker. It goes only to a worker that has just answered: one that is down
//! already would seem to crash under it. A crash after an isolated start counts against the
//! suspect alone, and one that the worker survives clears it. So a neighbour is counted once,
//! for the first crash, and a rack that crashes makes suspects that their next starts clear.
//!
//! A task is given up, and its job has failed, after [`MIN_CRASHES`] crashes if nothing
//! else can have caused the last one. What counts against a task is in its job's progress as
//! soon as the worker is found silent, and each start of a suspect before it is sent, so a
//! successor counts on from there.

mod cause;
mod deferred;
mod isolation;
mod record;

use stackpier_core::{Incarnation, Millis, incarnation};
use stackpier_state::job::{self, State};

use crate::{
    Cell, Mechanism,
    arena::{RunKey, TaskKey, WorkerKey},
    worker::Presence,
};

pub(crate) use isolation::Isolation;

/// PROVED_MS is how long after its start a run must be reported as there to count as no
/// cause of a crash. What brings a process down does so as it is loaded: a second is far
/// above the 10 ms that were seen, and short against the work of most tasks.
const PROVED_MS: u64 = 1_000;
/// QUIET_MS is for how long nothing else may have begun on a worker before the second start
/// of a suspect there, and may begin after it: many times the time from a start to its
/// crash, and short enough that a rack's worth of suspects holds up little else.
const QUIET_MS: u64 = 200;
/// MIN_CRASHES is how many workers must have crashed under a task before it is given up:
/// one more than users ask for, as the first crash is shared with its neighbours.
const MIN_CRASHES: usize = 3;
/// MAX_CRASHES is the same for a task that was not the only possible cause of the last
/// crash, or that may have come to a worker that was down already. Users allow two starts
/// after the third crash, so one is left for a crash that an owner did not live to save.
const MAX_CRASHES: usize = 4;

/// Suspect is what speaks for one task as the cause of crashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    /// The lives of workers that fell silent soon after they started it.
    pub lives: Vec<Incarnation>,
    /// The longest time from a start until the worker was found silent, in milliseconds.
    pub span_ms: u64,
    /// Whether nothing else can have caused the last of these crashes.
    pub alone: bool,
    /// Whether one of them did not confirm the start: it may have been down already.
    pub unclear: bool,
    /// When a worker was last asked whether it is there, for the next start.
    pub asked: Millis,
}

impl Suspect {
    /// proof_ms returns how long after its start a run must be reported as there to clear
    /// the task: twice the time that earlier ones took, as far as that is known.
    fn proof_ms(&self) -> u64 {
        (self.span_ms * 2).clamp(QUIET_MS, PROVED_MS)
    }

    /// reaches_limit tells whether the task is given up if all of these lives have crashed.
    fn reaches_limit(&self) -> bool {
        let needed = match self.alone && !self.unclear {
            true => MIN_CRASHES,
            false => MAX_CRASHES,
        };
        self.lives.len() >= needed
    }
}

/// Liveness is what is known of a worker's life that fell silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    /// It answers, or its entry shows that it lives.
    Alive,
    /// Not known yet.
    Unknown,
    /// It is over.
    Dead,
}

impl Cell {
    /// suspect_runs takes in that a worker has fallen silent: what may have brought it
    /// down is under suspicion.
    pub(crate) fn suspect_runs(&mut self, key: WorkerKey) {
        if !self.is_enabled(Mechanism::Suspects) {
            return;
        }
        let others = self.fell_silent_before(key);
        for other in &others {
            self.doubt_causes(*other);
        }
        let mut unproved = self.unproved_runs(key);
        unproved.retain(|run| self.is_sent(*run));
        let alone = unproved.len() == 1 && others.is_empty();
        for run in self.likely_causes(unproved) {
            self.suspect(key, run, alone);
        }
    }

    /// suspect counts a worker that has fallen silent against the task of a run there.
    fn suspect(&mut self, key: WorkerKey, run: RunKey, alone: bool) {
        let Some(run) = self.runs.get(run) else {
            return;
        };
        let (task, number, unclear) = (run.task, run.number, run.confirmed.is_none());
        let age_ms = self.now.mono.since(run.since);
        if self.task(task).done || self.job_of(task).state.is_final() {
            return;
        }
        let life = self.worker(key).incarnation();
        let runs = self.worker(key).runs.len();
        let suspect = self.task_mut(task).suspect.get_or_insert_default();
        if suspect.lives.contains(&life) {
            return;
        }
        suspect.lives.push(life.clone());
        suspect.span_ms = suspect.span_ms.max(age_ms);
        suspect.alone = alone;
        suspect.unclear |= unclear;
        let crashes = suspect.lives.len();
        let text = format!(
            "run {number} began {age_ms} ms before worker {life} was found silent, with {runs} \
             runs there; suspected of {crashes} crashes, alone {alone}, confirmed {}",
            !unclear
        );
        self.watch_suspect(task);
        let name = self.name(task);
        self.log("crash", Some(name), text);
        self.mark_dirty(self.step_of(self.task(task).step).job);
    }

    /// doubt_causes takes in that a silent worker was not the only one: its suspects may not
    /// have brought it down.
    fn doubt_causes(&mut self, key: WorkerKey) {
        let life = self.worker(key).incarnation();
        for task in self.suspects.clone() {
            let Some(suspect) = self.task_mut(task).suspect.as_mut() else {
                continue;
            };
            if suspect.alone && suspect.lives.last() == Some(&life) {
                suspect.alone = false;
                self.mark_dirty(self.step_of(self.task(task).step).job);
            }
        }
    }

    /// restore_suspect takes over what an earlier owner held against a task.
    pub(crate) fn restore_suspect(&mut self, task: TaskKey, saved: &job::Suspect) {
        let suspect = Suspect {
            lives: saved.lives.clone(),
            span_ms: saved.span_ms,
            alone: saved.alone,
            unclear: saved.unclear,
            asked: Millis(0),
        };
        self.task_mut(task).suspect = Some(Box::new(suspect));
        self.watch_suspect(task);
    }

    /// watch_suspect looks at a task until it is cleared or given up.
    fn watch_suspect(&mut self, task: TaskKey) {
        if !self.suspects.contains(&task) {
            self.suspects.push(task);
        }
    }

    /// clear_run takes in that a report asked for at a time shows a run: one that began long
    /// enough before is harmless, and so is its task.
    pub(crate) fn clear_run(&mut self, key: RunKey, sent: Millis) {
        let Some(run) = self.runs.get(key).filter(|run| !run.cleared) else {
            return;
        };
        let (task, worker, age_ms) = (run.task, run.worker, sent.since(run.since));
        let suspect = self.task(task).suspect.as_ref();
        let proof_ms = suspect.map_or(PROVED_MS, |suspect| suspect.proof_ms());
        if age_ms < proof_ms {
            return;
        }
        let recorded = run.is_recorded();
        if let Some(run) = self.runs.get_mut(key) {
            run.cleared = true;
        }
        self.worker_mut(worker).end_isolation(key);
        if recorded {
            self.mark_dirty(self.step_of(self.task(task).step).job);
        }
        if self.task_mut(task).suspect.take().is_some() {
            let name = self.name(task);
            let text = "cleared of crashes: its worker lives on".to_owned();
            self.log("crash", Some(name), text);
            self.mark_dirty(self.step_of(self.task(task).step).job);
        }
    }

    /// count_crashes returns how many workers count against a task.
    pub(crate) fn count_crashes(&self, task: TaskKey) -> u32 {
        let suspect = self.task(task).suspect.as_ref();
        suspect.map_or(0, |suspect| suspect.lives.len() as u32)
    }

    /// awaits_crash_check tells whether a task does not start before it is known whether the
    /// workers crashed that count against it.
    pub(crate) fn awaits_crash_check(&self, task: TaskKey) -> bool {
        let suspect = self.task(task).suspect.as_ref();
        suspect.is_some_and(|suspect| suspect.reaches_limit())
    }

    /// check_suspects drops what no longer counts against tasks, and gives those up
    /// under which enough workers have crashed.
    pub(crate) fn check_suspects(&mut self) {
        for task in std::mem::take(&mut self.suspects) {
            if self.review(task) {
                self.suspects.push(task);
            }
        }
    }

    /// review returns whether a task is still under suspicion.
    fn review(&mut self, task: TaskKey) -> bool {
        if self.task(task).done || self.job_of(task).state.is_final() {
            self.task_mut(task).suspect = None;
            return false;
        }
        let Some(mut suspect) = self.task_mut(task).suspect.take() else {
            return false;
        };
        let job = self.step_of(self.task(task).step).job;
        let before = suspect.lives.len();
        suspect
            .lives
            .retain(|life| self.liveness(life) != Liveness::Alive);
        if suspect.lives.len() < before {
            self.mark_dirty(job);
            self.place_wanted = true;
        }
        let crashed = suspect
            .lives
            .iter()
            .all(|life| self.liveness(life) == Liveness::Dead);
        if suspect.reaches_limit() && crashed {
            self.give_up(task, &suspect);
            return false;
        }
        let stays = !suspect.lives.is_empty();
        self.task_mut(task).suspect = stays.then_some(suspect);
        stays
    }

    /// liveness tells what is known of a life that fell silent.
    fn liveness(&self, life: &Incarnation) -> Liveness {
        // The list and the roster name all that may live.
        let Some(key) = self.worker_keys.get(&life.id) else {
            return Liveness::Dead;
        };
        let worker = self.worker(*key);
        if incarnation::differ(worker.started_at, life.started_at) {
            // Which one is the later is known once it has answered.
            return match worker.presence {
                Presence::New => Liveness::Unknown,
                Presence::Contacted | Presence::Gone => Liveness::Dead,
            };
        }
        match (worker.presence, worker.silent_since) {
            (Presence::Gone, _) => Liveness::Dead,
            (Presence::Contacted, None) => Liveness::Alive,
            // The entry of a crashed worker is gone by then, if the store was there.
            (_, Some(since)) if worker.is_listed() && self.outlives(since) => Liveness::Alive,
            _ => Liveness::Unknown,
        }
    }

    /// outlives tells whether an entry that is there now would have lapsed if its worker
    /// had crashed at a time: entries stay while the store is away, and an owner that stood
    /// still has the list of before.
    fn outlives(&self, silent_since: Millis) -> bool {
        let since = silent_since.max(self.ownership.store_since);
        self.has_store() && self.now.mono.since(since) >= self.options.stale_entry_ms
    }

    fn give_up(&mut self, task: TaskKey, suspect: &Suspect) {
        let job = self.step_of(self.task(task).step).job;
        let name = self.name(task);
        let lives: Vec<String> = suspect.lives.iter().map(Incarnation::to_string).collect();
        let text = format!(
            "job failed: workers {} crashed when they started this task",
            lives.join(", ")
        );
        self.end_job(job, State::Failed);
        self.log("job", Some(name), text);
    }
}
