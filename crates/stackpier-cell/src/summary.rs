// SPDX-License-Identifier: Apache-2.0
//! A line a second on how full the cell is.

use stackpier_core::Millis;
use stackpier_state::job::Step as Shape;

use crate::{Cell, arena::StepKey, place::Turn, run::Run, worker::Worker};

/// SUMMARY_MS is the time between two summaries.
const SUMMARY_MS: u64 = 1_000;
/// CORE is the number of thousandths in a core.
const CORE: u64 = 1_000;

/// Totals sums up the runs of a cell.
#[derive(Debug, Default)]
struct Totals {
    serving: u32,
    over: u32,
    filling: u32,
    slowed: u32,
    short: u32,
    fill_cores: u64,
    serving_cores: u64,
    short_cores: u64,
}

impl Totals {
    fn add(&mut self, run: &Run) {
        let cores = u64::from(run.size.milli_cores);
        if run.fills {
            self.filling += 1;
            self.fill_cores += u64::from(run.used_milli.unwrap_or(run.size.milli_cores));
            self.slowed += u32::from(run.pace < 100);
        } else if run.lasting {
            self.serving += 1;
            self.serving_cores += cores;
            self.over += u32::from(run.over_since.is_some());
        } else {
            self.short += 1;
            self.short_cores += cores;
        }
    }
}

impl Cell {
    /// summarise writes a summary, if one is due.
    pub(crate) fn summarise(&mut self) {
        let now = self.now.mono;
        if now.since(self.summarised) < SUMMARY_MS {
            return;
        }
        self.summarised = Millis(now.0);
        let mut totals = Totals::default();
        self.runs.values().for_each(|run| totals.add(run));
        let live: Vec<_> = self.live_now();
        let cores: u64 = live
            .iter()
            .map(|key| u64::from(self.worker(*key).info.capacity.milli_cores))
            .sum();
        let ready = |wanted: fn(&Shape) -> bool| -> usize {
            let steps = self.queued().filter(|step| wanted(self.shape(*step)));
            steps.map(|step| self.step_of(step).ready.len()).sum()
        };
        let text = format!(
            "{} workers of {} cores: serving {} ({} cores reserved, {} over target), \
             filling {} ({} cores used, {} slowed), short {} ({} cores); waiting {} short, {} that last and {} that fill",
            live.len(),
            cores / CORE,
            totals.serving,
            totals.serving_cores / CORE,
            totals.over,
            totals.filling,
            totals.fill_cores / CORE,
            totals.slowed,
            totals.short,
            totals.short_cores / CORE,
            ready(|step| !step.fills && !step.lasting),
            ready(|step| step.lasting),
            ready(|step| step.fills)
        );
        self.note("summary", None, text);
        self.note_short();
        self.note_dedicated();
        self.note_useless();
        self.note_idle();
        self.note_stranded();
        self.note_unmet();
        self.describe_model();
    }

    /// note_short tells how large the short jobs are that wait, and in what pieces the room is
    /// that they may take.
    fn note_short(&mut self) {
        let is_short = |step: &StepKey| {
            let shape = self.shape(*step);
            !shape.fills && !shape.lasting
        };
        let waiting: Vec<StepKey> = self.queued().filter(is_short).collect();
        if waiting.is_empty() {
            return;
        }
        let mut cores: Vec<u64> = waiting.iter().map(|step| self.cores_left(*step)).collect();
        cores.sort_unstable();
        let hopeless = |step: &&StepKey| matches!(self.turn_of(**step), Turn::Hopeless(_));
        let hopeless = waiting.iter().filter(hopeless).count();
        let workers = self.live().map(|key| self.worker(key));
        let free = workers.filter(|worker| self.is_open(worker));
        let free: Vec<u32> = free.map(|worker| worker.free().milli_cores).collect();
        let total: u64 = free.iter().copied().map(u64::from).sum();
        let text = format!(
            "{} short steps wait, {hopeless} too late to be of use; their tasks ask for {} cores in the \
             median and {} at most; {} cores are free in all, {} at most on one worker",
            cores.len(),
            cores[cores.len() / 2],
            cores[cores.len() - 1],
            total / CORE,
            u64::from(free.iter().copied().max().unwrap_or(0)) / CORE
        );
        self.note("summary", None, text);
    }

    /// note_dedicated tells who uses the room of the workers that are dedicated to short tasks.
    fn note_dedicated(&mut self) {
        let workers = self.live().map(|key| self.worker(key));
        let dedicated: Vec<&Worker> = workers
            .filter(|worker| worker.dedicated.is_some())
            .collect();
        if dedicated.is_empty() {
            return;
        }
        let cores = |milli: fn(&Worker) -> u32| {
            let milli = dedicated.iter().map(|worker| u64::from(milli(worker)));
            milli.sum::<u64>() / CORE
        };
        let text = format!(
            "{} workers of {} cores are dedicated to short tasks; tasks that last reserve {} of these, {} are free",
            dedicated.len(),
            cores(|worker| worker.info.capacity.milli_cores),
            cores(|worker| worker.lasting_milli),
            cores(|worker| worker.free().milli_cores)
        );
        self.note("summary", None, text);
    }

    /// cores_left returns the cores that the tasks of a step ask for which wait.
    fn cores_left(&self, step: StepKey) -> u64 {
        let tasks = self.step_of(step).ready.len() as u64;
        tasks * u64::from(self.shape(step).size.milli_cores) / CORE
    }

    /// describe_model writes what is believed of each serving image.
    fn describe_model(&mut self) {
        let period = self.cycle.period_s();
        self.note(
            "model",
            None,
            format!("serving load swings with {period:.1} s"),
        );
        for text in self.model.describe() {
            self.note("model", None, text);
        }
    }
}
