// SPDX-License-Identifier: Apache-2.0
//! A simulation of jobs that are handed in several times, at daemons that accept or reject them at
//! random, while writes to the store are lost, unanswered or done late.
//!
//! A job whose last try was rejected must not be in the store, and one whose last try was accepted
//! must be.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpier_core::key;
use stackpier_scheduler::{
    store::{Committed, Item, Transaction},
    submission,
};
use stackpier_state::job::Record;

/// JOBS is the number of jobs of a run.
const JOBS: u64 = 40;
/// MAX_TRIES is how often a job is handed in at most.
const MAX_TRIES: u32 = 5;
/// MAX_WRITES is how often a daemon tries to write a job.
const MAX_WRITES: u32 = 3;
/// MAX_LATE is after how many further writes a late one is done at most.
const MAX_LATE: u64 = 6;

/// Counts tells what a run has reached.
pub type Counts = BTreeMap<&'static str, u64>;

/// Answer is what a client account is told of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Accepted,
    Rejected,
    Unclear,
}

/// Simulation holds the store and the writes that are still to be done.
struct Simulation {
    random: ChaCha8Rng,
    revision: u64,
    revisions: BTreeMap<String, u64>,
    /// Late writes, by the number of the write after which each is done.
    late: Vec<(u64, Transaction)>,
    writes: u64,
    counts: Counts,
}

/// run hands in jobs with one seed. It returns what was reached, or what is wrong.
pub fn run(seed: u64) -> Result<Counts, String> {
    let mut simulation = Simulation {
        random: ChaCha8Rng::seed_from_u64(seed),
        revision: 0,
        revisions: BTreeMap::new(),
        late: Vec::new(),
        writes: 0,
        counts: Counts::new(),
    };
    let jobs = (1..=JOBS).map(key::Job);
    let last: Vec<(key::Job, Answer)> = jobs.map(|job| (job, simulation.hand_in(job))).collect();
    simulation.finish();
    for (job, answer) in last {
        let is_stored = simulation.is_stored(job);
        let is_wrong = match answer {
            Answer::Accepted => !is_stored,
            Answer::Rejected => is_stored,
            Answer::Unclear => false,
        };
        if is_wrong {
            return Err(format!(
                "job {job:?} was {answer:?}, in the store: {is_stored}"
            ));
        }
    }
    Ok(simulation.counts)
}

impl Simulation {
    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn is_stored(&self, job: key::Job) -> bool {
        let condition = &submission::rejection(job).conditions[0];
        self.revisions.contains_key(&condition.key)
    }

    /// hand_in hands a job in until it is accepted or the client account gives up. It returns the
    /// answer to the last try.
    fn hand_in(&mut self, job: key::Job) -> Answer {
        let mut answer = Answer::Unclear;
        for number in 0..self.random.random_range(1..=MAX_TRIES) {
            if number > 0 && answer == Answer::Rejected {
                self.count("handed in again after a rejection");
            }
            answer = self.attempt(job);
            if answer == Answer::Accepted {
                break;
            }
        }
        answer
    }

    /// attempt is one try at a daemon.
    fn attempt(&mut self, job: key::Job) -> Answer {
        if self.random.random_bool(0.5) {
            match self.commit(submission::rejection(job)) {
                Committed::Done(_) => {
                    self.count("rejected");
                    return Answer::Rejected;
                }
                Committed::Conflict(_) => self.count("not rejected, as an earlier try was written"),
                Committed::Refused | Committed::Unknown => {}
            }
        }
        let mut rejection = 0;
        for _ in 0..MAX_WRITES {
            let record = Record::default();
            let acceptance = submission::acceptance(job, &record, 0);
            let mut acceptance = acceptance.expect("a record is encoded");
            submission::withdraw_rejection(&mut acceptance, job, rejection);
            match self.commit(acceptance) {
                Committed::Done(_) => {
                    self.count("accepted");
                    return Answer::Accepted;
                }
                Committed::Conflict(items) if submission::is_accepted(&items, job) => {
                    self.count("accepted by an earlier try");
                    return Answer::Accepted;
                }
                Committed::Conflict(items) => {
                    rejection = submission::rejection_revision(&items, job);
                }
                Committed::Refused | Committed::Unknown => {}
            }
        }
        Answer::Unclear
    }

    /// commit sends a write, which may be lost, unanswered or late.
    fn commit(&mut self, transaction: Transaction) -> Committed {
        self.writes += 1;
        self.do_late_writes(self.writes);
        match self.random.random_range(0..10) {
            0 => Committed::Unknown,
            1 => {
                self.count("write without an answer");
                self.apply(&transaction);
                Committed::Unknown
            }
            2 | 3 => {
                let after = self.writes + self.random.random_range(1..=MAX_LATE);
                self.late.push((after, transaction));
                Committed::Unknown
            }
            _ => self.apply(&transaction),
        }
    }

    fn do_late_writes(&mut self, until: u64) {
        let late = std::mem::take(&mut self.late);
        for (after, transaction) in late {
            if after > until {
                self.late.push((after, transaction));
            } else if matches!(self.apply(&transaction), Committed::Done(_)) {
                self.count("late write that was done");
            } else {
                self.count("late write that was refused");
            }
        }
    }

    fn finish(&mut self) {
        self.do_late_writes(u64::MAX);
    }

    fn apply(&mut self, transaction: &Transaction) -> Committed {
        let current = |key: &String| self.revisions.get(key).copied().unwrap_or(0);
        let mut conditions = transaction.conditions.iter();
        if !conditions.all(|condition| current(&condition.key) == condition.revision) {
            let items = transaction.conditions.iter().map(|condition| Item {
                key: condition.key.clone(),
                value: Vec::new(),
                revision: current(&condition.key),
            });
            return Committed::Conflict(items.collect());
        }
        self.revision += 1;
        for key in &transaction.removals {
            self.revisions.remove(key);
        }
        for put in &transaction.puts {
            self.revisions.insert(put.key.clone(), self.revision);
        }
        Committed::Done(self.revision)
    }
}
