// SPDX-License-Identifier: Apache-2.0
//! Shares of jobs by size: the large jobs of a queue are served nearly as often in time as all of it.
//!
//! Jobs with few tasks left go first, as more jobs end in time that way. Where there is too little
//! room for all, new small jobs then overtake the same large ones until these are late. So a size
//! class that falls behind its queue gets a share of what runs: some of its jobs go first, no more
//! than the part of the queue's work that the class asks for.

use std::collections::{HashMap, VecDeque};

use stackpier_core::Millis;
use stackpier_state::job::State;

use crate::{Cell, Mechanism, arena::JobKey};

/// CLASSES is the number of size classes of a queue.
pub const CLASSES: usize = 3;
/// PERCENTILES are the lower ends of the classes after the first, by the work of recent jobs:
/// client accounts look at the largest tenth and at the fifth below it apart from the others.
const PERCENTILES: [usize; CLASSES - 1] = [70, 90];
/// MAX_SIZES is how many of the latest jobs of a queue are kept to tell how large a job is.
const MAX_SIZES: usize = 256;
/// MIN_SIZES is how many jobs must be known before classes are told apart.
const MIN_SIZES: usize = 20;
/// HALF_LIFE_MS is the time after which outcomes count half: client accounts notice within some
/// tens of seconds.
const HALF_LIFE_MS: f64 = 10_000.0;
/// MIN_RATIO is how often a class is served in time at least, compared with its queue. Client
/// accounts ask for half; a class falls further while its jobs that go first still run.
const MIN_RATIO: f64 = 0.6;

/// Account sums up the work of jobs with a known outcome.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    asked: f64,
    in_time: f64,
}

impl Account {
    fn ratio(&self) -> f64 {
        if self.asked > 0.0 {
            self.in_time / self.asked
        } else {
            1.0
        }
    }
}

/// Ledger tells how the size classes of one queue are served.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The work of the latest jobs.
    sizes: VecDeque<u64>,
    accounts: [Account; CLASSES],
    decayed_at: Millis,
}

impl Ledger {
    /// classify records a job's work, in core-milliseconds, and returns its size class.
    pub fn classify(&mut self, work: u64) -> usize {
        let known = self.sizes.len();
        let smaller = self.sizes.iter().filter(|size| **size < work).count();
        self.sizes.push_back(work);
        if self.sizes.len() > MAX_SIZES {
            self.sizes.pop_front();
        }
        if known < MIN_SIZES {
            return 0;
        }
        let percentile = smaller * 100 / known;
        PERCENTILES
            .iter()
            .filter(|lower| percentile >= **lower)
            .count()
    }

    /// record records whether a job of a class was done in time.
    pub fn record(&mut self, now: Millis, class: usize, work: u64, in_time: bool) {
        self.decay(now);
        let account = &mut self.accounts[class];
        account.asked += work as f64;
        if in_time {
            account.in_time += work as f64;
        }
    }

    /// share returns the part of the queue's running tasks that may go to jobs of a class before all
    /// others, from 0 to 1; zero if the class is not behind.
    pub fn share(&self, class: usize) -> f64 {
        let asked: f64 = self.accounts.iter().map(|account| account.asked).sum();
        let in_time: f64 = self.accounts.iter().map(|account| account.in_time).sum();
        let queue = Account { asked, in_time };
        let account = &self.accounts[class];
        if asked == 0.0 || account.ratio() >= queue.ratio() * MIN_RATIO {
            return 0.0;
        }
        account.asked / asked
    }

    fn decay(&mut self, now: Millis) {
        let passed_ms = now.since(self.decayed_at) as f64;
        self.decayed_at = now;
        let factor = 0.5_f64.powf(passed_ms / HALF_LIFE_MS);
        for account in &mut self.accounts {
            account.asked *= factor;
            account.in_time *= factor;
        }
    }
}

/// Shares holds the ledgers of all queues.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    ledgers: HashMap<String, Ledger>,
}

impl Shares {
    /// ledger returns the ledger of a queue.
    pub(crate) fn ledger(&mut self, queue: &str) -> &mut Ledger {
        if !self.ledgers.contains_key(queue) {
            self.ledgers.insert(queue.to_owned(), Ledger::default());
        }
        self.ledgers.get_mut(queue).expect("it was just inserted")
    }
}

impl Cell {
    /// record_outcome records whether a job was done in time, unless that was recorded before.
    pub(crate) fn record_outcome(&mut self, key: JobKey, in_time: bool) {
        let now = self.now.mono;
        let job = self.job_mut(key);
        if job.outcome_known || !job.has_share {
            return;
        }
        job.outcome_known = true;
        let (size_class, work, queue) = (job.size_class, job.work, job.queue.clone());
        let ledger = self.shares.ledger(&queue);
        ledger.record(now, size_class, work, in_time);
    }

    /// update_shares records the jobs that have missed their objective, and chooses those that go
    /// first, for each class that is behind.
    pub(crate) fn update_shares(&mut self) {
        if !self.is_enabled(Mechanism::Shares) {
            return;
        }
        let now = self.now.mono;
        let mut running: HashMap<String, u32> = HashMap::new();
        let mut waiting: Vec<(bool, Millis, JobKey)> = Vec::new();
        let open = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.state.is_final() && job.has_share);
        let open: Vec<JobKey> = open.map(|(key, _)| JobKey(key)).collect();
        for key in open {
            let (runs, latest_start) = self.progress_of(key);
            let job = self.job_mut(key);
            // A job that goes first keeps doing so: with half of its tasks done, it would be late.
            let went_first = std::mem::take(&mut job.goes_first);
            *running.entry(job.queue.clone()).or_default() += runs;
            if now >= job.objective {
                self.record_outcome(key, false);
            } else if latest_start >= now && job.size_class > 0 {
                waiting.push((!went_first, latest_start, key));
            }
        }
        waiting.sort_unstable();
        let mut taken: HashMap<(String, usize), f64> = HashMap::new();
        for (is_new, _, key) in waiting {
            let (queue, class, left) = {
                let job = self.job(key);
                (job.queue.clone(), job.size_class, f64::from(job.left))
            };
            let share = self.shares.ledger(&queue).share(class);
            let limit = share * f64::from(running.get(&queue).copied().unwrap_or(0));
            let taken = taken.entry((queue, class)).or_default();
            if *taken < limit || !is_new {
                *taken += left;
                self.job_mut(key).goes_first = true;
            }
        }
    }

    /// log_shares logs how often each size class is done in time, for queues of which some jobs go
    /// first.
    pub(crate) fn log_shares(&mut self) {
        let first = self.jobs.values().filter(|job| job.goes_first);
        let mut first: Vec<&str> = first.map(|job| job.queue.as_str()).collect();
        first.sort_unstable();
        let mut lines = Vec::new();
        for jobs in first.chunk_by(|one, other| one == other) {
            let Some(ledger) = self.shares.ledgers.get(jobs[0]) else {
                continue;
            };
            let percent = ledger
                .accounts
                .map(|account| (account.ratio() * 100.0) as u32);
            lines.push(format!(
                "{} jobs of queue {} go first; done in time: {}% of the small, {}% of the \
                 large, {}% of the largest tenth, by work",
                jobs.len(),
                jobs[0],
                percent[0],
                percent[1],
                percent[2]
            ));
        }
        for line in lines {
            self.log("share", None, line);
        }
    }

    /// progress_of returns how many tasks of a job run, and the latest start of its first
    /// unfinished step by which it still meets its objective.
    fn progress_of(&self, key: JobKey) -> (u32, Millis) {
        let job = self.job(key);
        let runs = self.steps_of(key).map(|step| step.runs).sum();
        let unfinished = self.steps_of(key).filter(|step| step.left > 0);
        let chain_ms = unfinished.map(|step| step.chain_ms).max().unwrap_or(0);
        (runs, Millis(job.objective.0.saturating_sub(chain_ms)))
    }

    /// record_end records the outcome of a job that has ended.
    pub(crate) fn record_end(&mut self, key: JobKey, state: State) {
        if state == State::Completed {
            let in_time = self.now.mono <= self.job(key).objective;
            self.record_outcome(key, in_time);
        }
    }
}
