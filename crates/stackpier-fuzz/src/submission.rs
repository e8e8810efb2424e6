// SPDX-License-Identifier: Apache-2.0
//! A simulation of jobs that are handed in several times, at daemons that accept or reject them at
//! random, while writes to the store are lost, unanswered or done late, and daemons stand still.
//! Client accounts cancel some of the jobs while acceptances are on their way.
//!
//! A job whose last try was rejected must not be in the store, and one whose last try was accepted
//! must be. A job whose cancellation found no such job must not be accepted later, and one whose
//! cancellation found it must have its cancellation in the store.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpier_core::{Millis, key};
use stackpier_scheduler::{
    expiry::Expiry,
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
/// MAX_CANCELS is how often a cancellation is tried at most.
const MAX_CANCELS: u32 = 8;
/// CANCELLED_SHARE is the share of jobs that are cancelled.
const CANCELLED_SHARE: f64 = 0.5;
/// STALLED_SHARE is the share of attempts whose daemon stands still before it writes.
const STALLED_SHARE: f64 = 0.2;
/// KEPT_WRITES is after how many further writes tombstones are removed: no acceptance from before is
/// on its way any more.
const KEPT_WRITES: u64 = MAX_LATE + (MAX_CANCELS + MAX_WRITES * MAX_TRIES) as u64;

/// Counts tells what a run has reached.
pub type Counts = BTreeMap<&'static str, u64>;

/// Answer is what a client account is told of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Accepted,
    Rejected,
    Unclear,
    /// The job was cancelled before it was accepted.
    Cancelled,
}

/// Cancelled is what a client account is told of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cancelled {
    /// There was no such job.
    Unknown,
    /// The job was accepted before.
    Accepted,
    /// Nothing certain.
    Unclear,
}

/// Attempt is a try that a daemon has not finished.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    /// The revision of the rejection that the acceptance withdraws.
    rejection: u64,
    writes_left: u32,
}

/// Simulation holds the store and the writes that are still to be done.
struct Simulation {
    random: ChaCha8Rng,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The tombstones in the store. Its time is counted in writes.
    tombstones: Expiry,
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
        items: BTreeMap::new(),
        tombstones: Expiry::new(KEPT_WRITES),
        late: Vec::new(),
        writes: 0,
        counts: Counts::new(),
    };
    let outcomes: Vec<Outcome> = (1..=JOBS)
        .map(|job| simulation.play(key::Job(job)))
        .collect();
    simulation.finish();
    for outcome in outcomes {
        if let Some(wrong) = simulation.find_fault(&outcome) {
            return Err(format!("{outcome:?}: {wrong}"));
        }
    }
    Ok(simulation.counts)
}

/// Outcome is what a client account was told about a job.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    job: key::Job,
    /// The answer to the last try.
    answer: Answer,
    cancelled: Option<Cancelled>,
}

impl Simulation {
    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn is_stored(&self, job: key::Job) -> bool {
        let key = &submission::rejection(job).conditions[0].key;
        let item = self.items.get(key);
        item.is_some_and(|item| !submission::is_tombstone(item))
    }

    fn is_cancelled(&self, job: key::Job) -> bool {
        let key = &submission::cancellation(job).puts[0].key;
        self.items.contains_key(key)
    }

    /// find_fault returns what the store holds against the answers about a job, if anything.
    fn find_fault(&self, outcome: &Outcome) -> Option<&'static str> {
        let is_stored = self.is_stored(outcome.job);
        match (outcome.cancelled, outcome.answer) {
            (Some(Cancelled::Unknown), Answer::Accepted) => Some("accepted after it was cancelled"),
            (Some(Cancelled::Unknown), _) if is_stored => Some("in the store"),
            (Some(Cancelled::Accepted), _) if !self.is_cancelled(outcome.job) => {
                Some("its cancellation is not in the store")
            }
            (None, Answer::Cancelled) => Some("nobody cancelled it"),
            (None | Some(Cancelled::Unclear), Answer::Accepted) if !is_stored => {
                Some("not in the store")
            }
            (None | Some(Cancelled::Unclear), Answer::Rejected) if is_stored => {
                Some("in the store")
            }
            _ => None,
        }
    }

    /// play hands a job in until it is accepted or the client account gives up. Some jobs are then
    /// cancelled, after which a daemon that stood still goes on.
    fn play(&mut self, job: key::Job) -> Outcome {
        let mut answer = Answer::Unclear;
        let mut stalled = None;
        for number in 0..self.random.random_range(1..=MAX_TRIES) {
            if number > 0 && answer == Answer::Rejected {
                self.count("handed in again after a rejection");
            }
            (answer, stalled) = self.attempt(job);
            if answer == Answer::Accepted || stalled.is_some() {
                break;
            }
        }
        let mut cancelled = None;
        if self.random.random_bool(CANCELLED_SHARE) {
            cancelled = Some(self.cancel(job));
        }
        if let Some(attempt) = stalled {
            self.count("daemon that stood still");
            answer = self.write(job, attempt);
        } else if cancelled.is_some() && self.random.random_bool(0.5) {
            self.count("handed in after its cancellation");
            (answer, _) = self.attempt(job);
        }
        Outcome {
            job,
            answer,
            cancelled,
        }
    }

    /// attempt is one try at a daemon, which may stand still before or between its writes.
    fn attempt(&mut self, job: key::Job) -> (Answer, Option<Attempt>) {
        if self.random.random_bool(0.5) {
            match self.commit(submission::rejection(job)) {
                Committed::Done(_) => {
                    self.count("rejected");
                    return (Answer::Rejected, None);
                }
                Committed::Conflict(_) => self.count("not rejected, as an earlier try was written"),
                Committed::Refused | Committed::Unknown => {}
            }
        }
        let attempt = Attempt {
            rejection: 0,
            writes_left: MAX_WRITES,
        };
        if self.random.random_bool(STALLED_SHARE) {
            return (Answer::Unclear, Some(attempt));
        }
        (self.write(job, attempt), None)
    }

    /// write carries out the rest of a try.
    fn write(&mut self, job: key::Job, mut attempt: Attempt) -> Answer {
        while attempt.writes_left > 0 {
            attempt.writes_left -= 1;
            let record = Record::default();
            let acceptance = submission::acceptance(job, &record, 0);
            let mut acceptance = acceptance.expect("a record is encoded");
            submission::withdraw_rejection(&mut acceptance, job, attempt.rejection);
            match self.commit(acceptance) {
                Committed::Done(_) => {
                    self.count("accepted");
                    return Answer::Accepted;
                }
                Committed::Conflict(items) if submission::is_accepted(&items, job) => {
                    self.count("accepted by an earlier try");
                    return Answer::Accepted;
                }
                Committed::Conflict(items) if submission::has_tombstone(&items, job) => {
                    self.count("refused, as it was cancelled before");
                    return Answer::Cancelled;
                }
                Committed::Conflict(items) => {
                    attempt.rejection = submission::rejection_revision(&items, job);
                }
                Committed::Refused | Committed::Unknown => {}
            }
        }
        Answer::Unclear
    }

    /// cancel cancels a job, and returns what the client account is told.
    fn cancel(&mut self, job: key::Job) -> Cancelled {
        let mut revision = 0;
        for _ in 0..MAX_CANCELS {
            match self.commit(submission::tombstones(&[(job, revision)])) {
                Committed::Done(_) => {
                    self.count("cancelled before it was accepted");
                    return Cancelled::Unknown;
                }
                Committed::Conflict(items) if submission::is_accepted(&items, job) => {
                    return self.write_cancellation(job);
                }
                Committed::Conflict(items) => revision = items[0].revision,
                Committed::Refused | Committed::Unknown => {}
            }
        }
        Cancelled::Unclear
    }

    fn write_cancellation(&mut self, job: key::Job) -> Cancelled {
        for _ in 0..MAX_CANCELS {
            if let Committed::Done(_) = self.commit(submission::cancellation(job)) {
                self.count("cancelled after it was accepted");
                return Cancelled::Accepted;
            }
        }
        Cancelled::Unclear
    }

    /// commit sends a write, which may be lost, unanswered or late.
    fn commit(&mut self, transaction: Transaction) -> Committed {
        self.writes += 1;
        self.do_late_writes(self.writes);
        self.remove_tombstones();
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
        let current = |key: &String| self.items.get(key).map_or(0, |item| item.revision);
        let mut conditions = transaction.conditions.iter();
        if !conditions.all(|condition| current(&condition.key) == condition.revision) {
            let items = transaction.conditions.iter().map(|condition| {
                let absent = Item {
                    key: condition.key.clone(),
                    value: Vec::new(),
                    revision: 0,
                };
                self.items.get(&condition.key).cloned().unwrap_or(absent)
            });
            return Committed::Conflict(items.collect());
        }
        self.revision += 1;
        for key in &transaction.removals {
            self.items.remove(key);
        }
        for put in &transaction.puts {
            let item = Item {
                key: put.key.clone(),
                value: put.value.clone(),
                revision: self.revision,
            };
            self.watch(&item);
            self.items.insert(item.key.clone(), item);
        }
        Committed::Done(self.revision)
    }

    /// watch has a tombstone removed later, as the owner of the cell does.
    fn watch(&mut self, item: &Item) {
        if submission::is_tombstone(item) {
            let now = Millis(self.writes);
            self.tombstones.add(now, item.key.clone(), item.revision);
        }
    }

    /// remove_tombstones removes the tombstones that have expired.
    fn remove_tombstones(&mut self) {
        let Some(removal) = self.tombstones.removal(Millis(self.writes)) else {
            return;
        };
        let outcome = self.apply(&removal);
        self.tombstones.record(&removal, &outcome);
        self.count("tombstones removed");
    }
}
