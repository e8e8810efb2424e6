// SPDX-License-Identifier: Apache-2.0
//! Saves the cell's progress to the store. Each write requires that this daemon still owns
//! the cell and that the present value is the one it last wrote, so that a write whose
//! answer was lost can't overwrite a later one.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use stackpier_cell::{RosterEntry, Save, assignment, maintenance};
use stackpier_core::key;
use stackpier_protocol::codec::encode;
use stackpier_state::job::Record;

use crate::{
    Platform,
    keys::{self, COVERAGE, Coverage, DOWNTIMES, MAINTENANCE, MEMORY, OWNER, ROSTER, SUSPENSIONS},
    node::{Node, pause},
    store::{Committed, Condition, Item, Put, Transaction},
};

/// MAX_PUTS is how many keys a transaction writes. With a condition for each key and one
/// for the ownership it stays within 32 entries.
const MAX_PUTS: usize = 15;
/// MAX_FORGOTTEN is how many jobs a transaction removes, with a condition and four keys for each.
const MAX_FORGOTTEN: usize = 6;
/// MAX_CONCURRENT is how many transactions of a save are sent concurrently. Ends of runs
/// are acknowledged only after their save and are reported again until then, so a slow save
/// adds work for a busy owner.
const MAX_CONCURRENT: usize = 24;
/// SLOW_SAVE_MS is the duration from which a save is logged as slow.
const SLOW_SAVE_MS: u64 = 500;
/// MAX_TRIES is how often a write with an unknown outcome is sent before the save fails.
const MAX_TRIES: usize = 3;
/// RETRY_MS is the pause after a write with an unknown outcome.
const RETRY_MS: u64 = 60;

/// MAX_NAMED_WORKERS is how many workers a log line names. It covers all workers of the
/// smaller current deployments and takes a kilobyte.
const MAX_NAMED_WORKERS: usize = 64;

/// Revisions holds the last known revisions of the keys that the owner writes.
#[derive(Debug, Default)]
pub(crate) struct Revisions {
    keys: HashMap<String, u64>,
}

impl Revisions {
    /// set sets the revision of a key, zero if it was removed.
    pub(crate) fn set(&mut self, key: &str, revision: u64) {
        match revision {
            0 => self.keys.remove(key),
            _ => self.keys.insert(key.to_owned(), revision),
        };
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.keys.get(key).copied().unwrap_or(0)
    }

    /// update sets the revision of a key to the one that a conflict shows, zero if it shows none, and
    /// returns it. The conflict means that an earlier try, whose answer was lost, took effect.
    fn update(&mut self, key: &str, items: &[Item]) -> u64 {
        let present = items.iter().find(|item| item.key == key);
        let revision = present.map_or(0, |item| item.revision);
        self.set(key, revision);
        revision
    }
}

impl<P: Platform> Node<P> {
    /// save writes a save to the store and reports whether all of it was written.
    pub(crate) async fn save(&self, fence: u64, save: Save) -> bool {
        let Some((revision, revisions)) = self.saving(fence) else {
            return false;
        };
        let (puts, begun) = (self.puts(&save), self.mono());
        for group in puts.chunks(MAX_PUTS * MAX_CONCURRENT) {
            if !self.write_group(fence, revision, &revisions, group).await {
                return false;
            }
        }
        self.log_slow(puts.len(), self.mono().since(begun));
        self.log_stored(&save);
        self.trim(fence, revision, &save).await
            && self.forget(fence, revision, &revisions, &save).await
    }

    /// write_assignments writes assignments to the store and reports whether all of them were written.
    pub(crate) async fn write_assignments(&self, fence: u64, write: &assignment::Write) -> bool {
        let Some((revision, revisions)) = self.saving(fence) else {
            return false;
        };
        let records = write.jobs.iter();
        let mut puts: Vec<Put> = records
            .map(|(job, record)| put(keys::assignments(*job), record))
            .collect();
        if write.complete {
            let complete = true;
            puts.push(put(COVERAGE.to_owned(), &Coverage { fence, complete }));
        }
        let begun = self.mono();
        for group in puts.chunks(MAX_PUTS * MAX_CONCURRENT) {
            if !self.write_group(fence, revision, &revisions, group).await {
                return false;
            }
        }
        self.log_slow(puts.len(), self.mono().since(begun));
        if write.complete {
            let text = "a successor may rely on all assignments in the store";
            self.log_line("owner", text);
        }
        true
    }

    /// log_slow logs a save that took long.
    fn log_slow(&self, keys: usize, took_ms: u64) {
        if took_ms >= SLOW_SAVE_MS {
            self.log_line("save", &format!("a save of {keys} keys took {took_ms} ms"));
        }
    }

    /// log_stored logs which finished jobs and which roster the store now holds. A
    /// successor will know of these ends, and will wait for the reports of these workers.
    fn log_stored(&self, save: &Save) {
        for (job, progress) in &save.jobs {
            if progress.state.is_final() {
                let text = format!("job is {:?} in the store", progress.state);
                self.log_about("job", Some(keys::hex(*job)), &text);
            }
        }
        if let Some(roster) = &save.roster {
            let text = format!("the roster in the store has {}", describe_roster(roster));
            self.log_line("owner", &text);
        }
    }

    /// trim replaces the records of finished jobs by an empty record. Their state is stored
    /// under another key, and a job that is submitted again is still recognised.
    async fn trim(&self, fence: u64, owner_revision: u64, save: &Save) -> bool {
        if save.trimmed.is_empty() {
            return true;
        }
        let rest = Record::trimmed();
        let puts = save.trimmed.iter().map(|job| put(keys::job(*job), &rest));
        let transaction = Transaction {
            conditions: vec![owner_condition(owner_revision)],
            puts: puts.collect(),
            removals: Vec::new(),
        };
        match self.store_commit(&transaction).await {
            Committed::Done(_) => true,
            Committed::Conflict(items) => {
                self.depose_if_replaced(fence, owner_revision, &items);
                false
            }
            Committed::Refused | Committed::Unknown => false,
        }
    }

    /// puts returns the keys and values that a save writes.
    fn puts(&self, save: &Save) -> Vec<Put> {
        let mut puts = Vec::new();
        if let Some(roster) = &save.roster {
            puts.push(put(ROSTER.to_owned(), roster));
        }
        if let Some(record) = &save.suspensions {
            puts.push(put(SUSPENSIONS.to_owned(), record));
        }
        if let Some(record) = &save.downtimes {
            puts.push(put(DOWNTIMES.to_owned(), record));
        }
        if let Some(memory) = &save.memory {
            puts.push(put(MEMORY.to_owned(), memory));
        }
        if let Some(records) = &save.maintenance {
            puts.push(put(MAINTENANCE.to_owned(), records));
            puts.extend(records.iter().filter_map(|record| self.plan_put(record)));
        }
        for (job, progress) in &save.jobs {
            puts.push(put(keys::progress(*job), progress));
        }
        puts
    }

    /// plan_put returns the state of a maintenance plan that operators read.
    fn plan_put(&self, record: &maintenance::Record) -> Option<Put> {
        match self.platform.plan_state(record.plan, record.completed) {
            Ok(state) => Some(state),
            Err(error) => {
                self.log_line(
                    "save",
                    &format!("cannot write the state of a maintenance plan: {error}"),
                );
                None
            }
        }
    }

    fn saving(&self, fence: u64) -> Option<(u64, Rc<RefCell<Revisions>>)> {
        let owner = self.owner.borrow();
        let owner = owner.as_ref().filter(|owner| owner.fence == fence)?;
        Some((owner.revision, Rc::clone(&owner.revisions)))
    }

    /// write_group writes the puts of a group in concurrent transactions and reports
    /// whether all of them succeeded.
    async fn write_group(
        &self,
        fence: u64,
        owner_revision: u64,
        revisions: &Rc<RefCell<Revisions>>,
        group: &[Put],
    ) -> bool {
        let write = |chunk: &[Put]| {
            let (node, revisions, chunk) = (self.clone(), Rc::clone(revisions), chunk.to_vec());
            tokio::task::spawn_local(async move {
                node.write(fence, owner_revision, &revisions, &chunk).await
            })
        };
        let writes: Vec<_> = group.chunks(MAX_PUTS).map(write).collect();
        let mut done = true;
        for write in writes {
            // A write that panicked may have taken effect. The next save sees this by the
            // conflict.
            done &= write.await.unwrap_or(false);
        }
        done
    }

    async fn write(
        &self,
        fence: u64,
        owner_revision: u64,
        revisions: &RefCell<Revisions>,
        puts: &[Put],
    ) -> bool {
        for _ in 0..MAX_TRIES {
            let transaction = transaction(owner_revision, &revisions.borrow(), puts);
            match self.store_commit(&transaction).await {
                Committed::Done(at) => {
                    let mut revisions = revisions.borrow_mut();
                    puts.iter().for_each(|put| revisions.set(&put.key, at));
                    return true;
                }
                Committed::Conflict(items) => {
                    if self.depose_if_replaced(fence, owner_revision, &items) {
                        return false;
                    }
                    let mut revisions = revisions.borrow_mut();
                    puts.iter().for_each(|put| {
                        revisions.update(&put.key, &items);
                    });
                }
                Committed::Refused => return false,
                Committed::Unknown => pause(RETRY_MS).await,
            }
        }
        false
    }

    /// depose_if_replaced gives up the cell if a conflict shows another owner, and reports
    /// whether it does.
    fn depose_if_replaced(&self, fence: u64, owner_revision: u64, items: &[Item]) -> bool {
        let owner = items.iter().find(|item| item.key == OWNER);
        if owner.is_some_and(|item| item.revision == owner_revision) {
            return false;
        }
        if let Some(item) = owner {
            self.apply_ownership(item);
        }
        self.depose(fence + 1, "a save found another owner in the store");
        true
    }

    /// forget removes the jobs that were shown for long enough.
    async fn forget(
        &self,
        fence: u64,
        owner_revision: u64,
        revisions: &RefCell<Revisions>,
        save: &Save,
    ) -> bool {
        for jobs in save.forgotten.chunks(MAX_FORGOTTEN) {
            if !self
                .remove_jobs(fence, owner_revision, revisions, jobs)
                .await
            {
                return false;
            }
        }
        true
    }

    async fn remove_jobs(
        &self,
        fence: u64,
        owner_revision: u64,
        revisions: &RefCell<Revisions>,
        jobs: &[key::Job],
    ) -> bool {
        // Jobs without a known revision were removed by an earlier save, of which another part failed.
        let is_known = |job: &key::Job| revisions.borrow().revision_of(&keys::progress(*job)) > 0;
        let mut jobs: Vec<key::Job> = jobs.iter().copied().filter(is_known).collect();
        for _ in 0..MAX_TRIES {
            if jobs.is_empty() {
                return true;
            }
            let transaction = removal(owner_revision, &revisions.borrow(), &jobs);
            match self.store_commit(&transaction).await {
                Committed::Done(_) => {
                    let mut revisions = revisions.borrow_mut();
                    for job in &jobs {
                        revisions.set(&keys::progress(*job), 0);
                        revisions.set(&keys::assignments(*job), 0);
                    }
                    return true;
                }
                Committed::Conflict(items) => {
                    if self.depose_if_replaced(fence, owner_revision, &items) {
                        return false;
                    }
                    let mut revisions = revisions.borrow_mut();
                    jobs.retain(|job| revisions.update(&keys::progress(*job), &items) > 0);
                }
                Committed::Refused | Committed::Unknown => return false,
            }
        }
        false
    }
}

/// describe_roster returns the number of workers in a roster and the ids of the first
/// [`MAX_NAMED_WORKERS`], for the log.
pub(crate) fn describe_roster(roster: &[RosterEntry]) -> String {
    let ids = roster.iter().map(|entry| entry.id.as_str());
    let first: Vec<&str> = ids.take(MAX_NAMED_WORKERS).collect();
    format!("{} workers: {}", roster.len(), first.join(" "))
}

/// put returns the write of a value.
pub(crate) fn put<T: serde::Serialize>(key: String, value: &T) -> Put {
    Put {
        key,
        value: encode(value).expect("a value of the crate's own types can be encoded"),
    }
}

/// owner_condition requires that the ownership is still at a revision.
pub(crate) fn owner_condition(revision: u64) -> Condition {
    Condition {
        key: OWNER.to_owned(),
        revision,
    }
}

fn transaction(owner_revision: u64, revisions: &Revisions, puts: &[Put]) -> Transaction {
    let condition = |put: &Put| Condition {
        key: put.key.clone(),
        revision: revisions.revision_of(&put.key),
    };
    let mut conditions = vec![owner_condition(owner_revision)];
    conditions.extend(puts.iter().map(condition));
    Transaction {
        conditions,
        puts: puts.to_vec(),
        removals: Vec::new(),
    }
}

/// removal removes all keys of jobs, on the condition that their progress is unchanged: a job that
/// was submitted later under the same id stays.
fn removal(owner_revision: u64, revisions: &Revisions, jobs: &[key::Job]) -> Transaction {
    let mut conditions = vec![owner_condition(owner_revision)];
    let mut removals = Vec::new();
    for job in jobs {
        let progress = keys::progress(*job);
        conditions.push(Condition {
            revision: revisions.revision_of(&progress),
            key: progress.clone(),
        });
        removals.extend([
            keys::job(*job),
            keys::cancel(*job),
            keys::assignments(*job),
            progress,
        ]);
    }
    Transaction {
        conditions,
        puts: Vec::new(),
        removals,
    }
}
