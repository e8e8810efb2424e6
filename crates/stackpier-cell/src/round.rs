// SPDX-License-Identifier: Apache-2.0
//! Rounds: the repetitions of a job. Only those that are due or have runs are in memory.
//!
//! A round is loaded once it is due, and earlier if a worker reports a run of it that a predecessor
//! started. It is dropped once all its tasks are done, or the end of its job is in the store, and none
//! of its runs is left. A worker may report a run or an end of such a round later; the round is then
//! loaded again, with all its tasks done. So what is known of a round that is not in memory is whether
//! it is done.
//!
//! Overdue rounds are loaded as long as few tasks wait in the cell, and beyond that one after the other
//! for each job, so that the memory does not grow with how many are overdue.

mod ended;
mod schedule;

use std::rc::Rc;

use stackpier_core::Millis;
use stackpier_state::job::Spec;

use crate::{
    Cell, TaskName,
    arena::{JobKey, RoundKey, StepKey, TaskKey},
    job::{Step, Task},
    lifecycle::longest_chains,
    ranges::Ranges,
};

use self::schedule::Due;

pub(crate) use self::schedule::Schedule;

/// Round is a round in memory.
#[derive(Debug)]
pub struct Round {
    pub(crate) job: JobKey,
    pub(crate) number: u32,
    /// Whether its tasks may start: its time has come.
    pub(crate) released: bool,
    /// Tasks that are not done.
    pub(crate) left: u32,
    pub(crate) steps: Vec<Step>,
    /// The tasks of all steps. Those of a step are consecutive.
    pub(crate) tasks: Vec<Task>,
}

impl Round {
    /// has_runs reports whether any of its tasks has a run that may hold capacity on a worker.
    fn has_runs(&self) -> bool {
        self.steps.iter().any(|step| step.runs > 0)
    }

    /// waiting returns how many of its tasks wait to be placed.
    fn waiting(&self) -> usize {
        self.steps.iter().map(|step| step.ready.len()).sum()
    }
}

/// Rounds is what is known of the rounds of a job.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    /// Those in memory, in the order of their numbers.
    loaded: Vec<(u32, RoundKey)>,
    /// The numbers of those that are done.
    done: Ranges,
    /// When the next round is due, and its number, if it waits for that.
    next: Option<Due>,
}

impl Rounds {
    /// loaded returns the key of a round in memory.
    pub(crate) fn loaded(&self, number: u32) -> Option<RoundKey> {
        let place = self.place(number).ok()?;
        Some(self.loaded[place].1)
    }

    /// keys returns the keys of all rounds in memory, in the order of their numbers.
    pub(crate) fn keys(&self) -> impl Iterator<Item = RoundKey> + '_ {
        self.loaded.iter().map(|(_, key)| *key)
    }

    /// is_empty reports whether no round is in memory.
    pub(crate) fn is_empty(&self) -> bool {
        self.loaded.is_empty()
    }

    /// done returns the numbers of the rounds that are done.
    pub(crate) fn done(&self) -> &Ranges {
        &self.done
    }

    /// set_done records that a round is done.
    pub(crate) fn set_done(&mut self, number: u32) {
        self.done.insert(number);
    }

    /// place returns the place of a round in `loaded`, or the one at which to insert it.
    fn place(&self, number: u32) -> Result<usize, usize> {
        self.loaded
            .binary_search_by_key(&number, |(number, _)| *number)
    }

    fn insert(&mut self, number: u32, key: RoundKey) {
        if let Err(place) = self.place(number) {
            self.loaded.insert(place, (number, key));
        }
    }

    fn remove(&mut self, number: u32) {
        if let Ok(place) = self.place(number) {
            self.loaded.remove(place);
        }
    }
}

impl Cell {
    pub(crate) fn round(&self, key: RoundKey) -> &Round {
        self.rounds.get(key.0).expect("the round is in memory")
    }

    pub(crate) fn round_mut(&mut self, key: RoundKey) -> &mut Round {
        self.rounds.get_mut(key.0).expect("the round is in memory")
    }

    /// has_round reports whether a round is still in memory.
    pub(crate) fn has_round(&self, key: RoundKey) -> bool {
        self.rounds.get(key.0).is_some()
    }

    /// tasks_of returns the tasks of a job that are in memory.
    pub(crate) fn tasks_of(&self, job: JobKey) -> impl Iterator<Item = TaskKey> + '_ {
        let rounds = self.job(job).rounds.keys();
        rounds.flat_map(|round| self.tasks_of_round(round))
    }

    /// steps_of returns the steps of a job that are in memory.
    pub(crate) fn steps_of(&self, job: JobKey) -> impl Iterator<Item = &Step> {
        let rounds = self.job(job).rounds.keys();
        rounds.flat_map(|round| &self.round(round).steps)
    }

    /// tasks_to_come returns the names of the tasks of a job whose rounds are not in memory and not done.
    pub(crate) fn tasks_to_come(&self, key: JobKey) -> impl Iterator<Item = TaskName> + '_ {
        let job = self.job(key);
        let numbers = 0..job.spec.rounds();
        let to_come = numbers.filter(|number| {
            !job.rounds.done.contains(*number) && job.rounds.loaded(*number).is_none()
        });
        to_come.flat_map(move |round| {
            let steps = job.spec.steps.iter().enumerate();
            steps.flat_map(move |(step, spec)| {
                (0..spec.count).map(move |index| TaskName {
                    job: job.id,
                    round,
                    step: step as u16,
                    index,
                })
            })
        })
    }

    fn tasks_of_round(&self, round: RoundKey) -> impl Iterator<Item = TaskKey> + use<> {
        let count = self.round(round).tasks.len() as u32;
        (0..count).map(move |position| TaskKey { round, position })
    }

    /// tasks_of_step returns the tasks of a step.
    pub(crate) fn tasks_of_step(&self, key: StepKey) -> impl Iterator<Item = TaskKey> + use<> {
        let (step, round) = (self.step_of(key), key.round);
        let positions = step.first_task..step.first_task + step.count;
        positions.map(move |position| TaskKey { round, position })
    }

    /// index_of returns the index of a task among all tasks of its job.
    pub(crate) fn index_of(&self, task: TaskKey) -> u32 {
        let round = self.round(task.round);
        round.number * self.job(round.job).spec.width() + task.position
    }

    /// find returns the task with a name, if its round is in memory.
    pub(crate) fn find(&self, name: TaskName) -> Option<TaskKey> {
        let job = self.job(*self.job_keys.get(&name.job)?);
        self.find_in(job.rounds.loaded(name.round)?, name)
    }

    /// find_reported returns the task of a run that a worker reports, and loads the task's round.
    /// There is none if its job is unknown, or if the run is that of an earlier job with the same id.
    pub(crate) fn find_reported(&mut self, name: TaskName, run: u32) -> Option<TaskKey> {
        let key = *self.job_keys.get(&name.job)?;
        let job = self.job(key);
        if !job.inherited && run < job.first_run {
            return None;
        }
        let spec = &job.spec;
        let step = spec.steps.get(usize::from(name.step))?;
        if name.round >= spec.rounds() || name.index >= step.count {
            return None;
        }
        let round = self.load_round(key, name.round);
        self.find_in(round, name)
    }

    fn find_in(&self, round: RoundKey, name: TaskName) -> Option<TaskKey> {
        let step = self.round(round).steps.get(usize::from(name.step))?;
        let position = step.first_task + name.index;
        (name.index < step.count).then_some(TaskKey { round, position })
    }

    /// load_index loads the round of the task at an index among all tasks of a job, and returns the
    /// task.
    pub(crate) fn load_index(&mut self, key: JobKey, index: u32) -> Option<TaskKey> {
        let job = self.job(key);
        if index >= job.tasks {
            return None;
        }
        let width = job.spec.width();
        let round = self.load_round(key, index / width);
        let position = index % width;
        Some(TaskKey { round, position })
    }

    /// load_round returns a round of a job, and loads it if it is not in memory. If it is done, or the
    /// job is over, all its tasks are done.
    pub(crate) fn load_round(&mut self, key: JobKey, number: u32) -> RoundKey {
        let job = self.job(key);
        if let Some(round) = job.rounds.loaded(number) {
            return round;
        }
        let spec = Rc::clone(&job.spec);
        let is_over = job.state.is_final() || job.rounds.done.contains(number);
        let (inherited, first_run) = (job.inherited, job.first_run);
        let round = RoundKey(self.rounds.insert(Round {
            job: key,
            number,
            released: false,
            left: if is_over { 0 } else { spec.width() },
            steps: Vec::with_capacity(spec.steps.len()),
            tasks: Vec::with_capacity(spec.width() as usize),
        }));
        self.job_mut(key).rounds.insert(number, round);
        let chains = longest_chains(&spec);
        for (step, chain_ms) in chains.into_iter().enumerate() {
            self.add_step(round, &spec, step, chain_ms, first_run);
        }
        if is_over {
            self.end_round(round);
        }
        if inherited {
            for task in self.tasks_of_round(round) {
                self.restore_downtime(task);
            }
        }
        round
    }

    /// add_step adds a step to a round, with its tasks.
    fn add_step(
        &mut self,
        round: RoundKey,
        spec: &Spec,
        number: usize,
        chain_ms: u64,
        first_run: u32,
    ) {
        let step = &spec.steps[number];
        let serves = step.long_running && step.target_ms > 0;
        let (now, image) = (self.now.mono, self.images.key(&step.image));
        let entry = self.round_mut(round);
        let is_over = entry.left == 0;
        let key = StepKey {
            round,
            number: number as u16,
        };
        entry.steps.push(Step {
            job: entry.job,
            first_task: entry.tasks.len() as u32,
            count: step.count,
            image,
            left: if is_over { 0 } else { step.count },
            blocked_by: if is_over { 0 } else { step.after.len() as u32 },
            ready: Vec::new(),
            runs: 0,
            idle_since: now,
            ready_since: now,
            reservations: 0,
            queued: false,
            chain_ms,
            curve: serves.then(Box::default),
            forecast: None,
            advice: None,
        });
        let tasks = (0..step.count).map(|index| Task {
            step: key,
            index,
            done: is_over,
            done_by: None,
            failed_runs: Vec::new(),
            failed_at: Millis(0),
            next_run: first_run,
            runs: Vec::new(),
            checkpoint: None,
            suspect: None,
            presumed_ended: false,
            end_witnessed: false,
            had_parallel_runs: false,
            failed_on: Vec::new(),
            not_before: Millis(0),
            downtime: None,
            ready: false,
            ready_since: Millis(0),
            startable_at: None,
        });
        entry.tasks.extend(tasks);
    }

    /// release_round lets the tasks of a round start. Those that wait for other steps start once these
    /// are done.
    pub(crate) fn release_round(&mut self, key: RoundKey) {
        self.round_mut(key).released = true;
        for number in 0..self.round(key).steps.len() as u16 {
            let step = StepKey { round: key, number };
            if self.step_of(step).blocked_by == 0 && self.step_of(step).left > 0 {
                self.release(step);
            }
        }
    }
}
