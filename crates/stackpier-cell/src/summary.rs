// SPDX-License-Identifier: Apache-2.0
//! Summary log lines, written every second: how full the cell is, and what waits.

use stackpier_core::Millis;
use stackpier_state::job::Step as StepSpec;

use crate::{Cell, arena::StepKey, place::Rank, run::Run, worker::Worker};

/// SUMMARY_MS is the time between two summaries.
const SUMMARY_MS: u64 = 1_000;
/// CORE is the number of thousandths in a core.
const CORE: u64 = 1_000;

/// Totals holds the sums over all runs of a cell. Cores are in thousandths.
#[derive(Debug, Default)]
struct Totals {
    long_running: u32,
    over_target: u32,
    best_effort: u32,
    slowed: u32,
    short: u32,
    best_effort_cores: u64,
    long_running_cores: u64,
    short_cores: u64,
}

impl Totals {
    fn add(&mut self, run: &Run) {
        let cores = u64::from(run.size.milli_cores);
        if run.best_effort {
            self.best_effort += 1;
            self.best_effort_cores += u64::from(run.used_milli.unwrap_or(run.size.milli_cores));
            self.slowed += u32::from(run.pace < 100);
        } else if run.long_running {
            self.long_running += 1;
            self.long_running_cores += cores;
            self.over_target += u32::from(run.over_since.is_some());
        } else {
            self.short += 1;
            self.short_cores += cores;
        }
    }
}

impl Cell {
    /// log_summary logs a summary, if one is due.
    pub(crate) fn log_summary(&mut self) {
        let now = self.now.mono;
        if now.since(self.summary_logged_at) < SUMMARY_MS {
            return;
        }
        self.summary_logged_at = Millis(now.0);
        let mut totals = Totals::default();
        self.runs.values().for_each(|run| totals.add(run));
        let live: Vec<_> = self.collect_live_workers();
        let cores: u64 = live
            .iter()
            .map(|key| u64::from(self.worker(*key).info.capacity.milli_cores))
            .sum();
        let ready = |wanted: fn(&StepSpec) -> bool| -> usize {
            let steps = self.queued().filter(|step| wanted(self.step_spec(*step)));
            steps.map(|step| self.step_of(step).ready.len()).sum()
        };
        let text = format!(
            "{} workers of {} cores: long-running {} ({} cores reserved, {} over target), \
             best-effort {} ({} cores used, {} slowed), short {} ({} cores); waiting {} short, {} long-running and {} best-effort",
            live.len(),
            cores / CORE,
            totals.long_running,
            totals.long_running_cores / CORE,
            totals.over_target,
            totals.best_effort,
            totals.best_effort_cores / CORE,
            totals.slowed,
            totals.short,
            totals.short_cores / CORE,
            ready(|step| !step.best_effort && !step.long_running),
            ready(|step| step.long_running),
            ready(|step| step.best_effort)
        );
        self.log("summary", None, text);
        self.log_passes();
        self.log_short();
        self.log_dedicated();
        self.log_expired();
        self.log_idle();
        self.log_stranded();
        self.log_uncontacted();
        self.log_model();
        self.log_outlook();
        self.log_shares();
    }

    /// log_passes logs what the passes over best-effort steps did since the last summary.
    fn log_passes(&mut self) {
        let stats = self.placement.take();
        let text = format!("{stats}; {}", self.flow.describe(self.now.mono));
        self.log("placement", None, text);
    }

    /// log_short logs how large the waiting short steps are, and how the capacity that they may
    /// use is spread over workers.
    fn log_short(&mut self) {
        let is_short = |step: &StepKey| {
            let spec = self.step_spec(*step);
            !spec.best_effort && !spec.long_running
        };
        let waiting: Vec<StepKey> = self.queued().filter(is_short).collect();
        if waiting.is_empty() {
            return;
        }
        let mut cores: Vec<u64> = waiting
            .iter()
            .map(|step| self.waiting_cores(*step))
            .collect();
        cores.sort_unstable();
        let expired = |step: &&StepKey| matches!(self.rank_of(**step), Rank::Expired(_));
        let expired = waiting.iter().filter(expired).count();
        let workers = self.live_workers().map(|key| self.worker(key));
        let free = workers.filter(|worker| self.is_available(worker));
        let free: Vec<u32> = free.map(|worker| worker.free().milli_cores).collect();
        let total: u64 = free.iter().copied().map(u64::from).sum();
        let text = format!(
            "{} short steps wait, {expired} of them expired; their tasks ask for {} cores in the \
             median and {} at most; {} cores are free in all, {} at most on one worker",
            cores.len(),
            cores[cores.len() / 2],
            cores[cores.len() - 1],
            total / CORE,
            u64::from(free.iter().copied().max().unwrap_or(0)) / CORE
        );
        self.log("summary", None, text);
    }

    /// log_dedicated logs what uses the workers that are dedicated to short tasks.
    fn log_dedicated(&mut self) {
        let workers = self.live_workers().map(|key| self.worker(key));
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
            "{} workers of {} cores are dedicated to short tasks; long-running tasks reserve {} of these, {} are free",
            dedicated.len(),
            cores(|worker| worker.info.capacity.milli_cores),
            cores(|worker| worker.long_running_milli),
            cores(|worker| worker.free().milli_cores)
        );
        self.log("summary", None, text);
    }

    /// waiting_cores returns the cores that the waiting tasks of a step ask for.
    fn waiting_cores(&self, step: StepKey) -> u64 {
        let tasks = self.step_of(step).ready.len() as u64;
        tasks * u64::from(self.step_spec(step).size.milli_cores) / CORE
    }

    /// log_model logs what has been learnt of each serving image.
    fn log_model(&mut self) {
        let period = self.cycle.period_s();
        self.log(
            "model",
            None,
            format!("serving load has a period of {period:.1} s"),
        );
        for text in self.model.describe() {
            self.log("model", None, text);
        }
    }
}
