// SPDX-License-Identifier: Apache-2.0
//! Follows jobs and workers in the store for the cell's owner.

use std::collections::HashMap;

use stackpier_cell::Event;
use stackpier_core::{Millis, Result, key};
use stackpier_protocol::codec::decode;
use stackpier_state::job::Progress;

use crate::{
    Platform,
    jobs::Source,
    keys::{self, Entry, JOBS},
    node::Node,
    store::{Change, Item},
    submission,
    watch::{Follower, Update},
};

/// JOBS_PAUSE_MS is the pause between two watches for new jobs. Daemons also send each job
/// to the owner, so the watch only finds jobs whose message was lost.
const JOBS_PAUSE_MS: u64 = 300;
/// JOBS_WAIT_MS is how long a watch for new jobs waits. Its answer tells that there is none, and
/// starts depend on that: see `stackpier_cell::Options::max_jobs_age_ms`.
const JOBS_WAIT_MS: u64 = 400;
/// WORKERS_PAUSE_MS is the pause between two watches of the list of workers. Each worker
/// writes its entry every 1.5 s, and without the pause every entry would cost a call. The
/// pause can be this long because a worker stays for two seconds or more after it announces
/// that it leaves.
const WORKERS_PAUSE_MS: u64 = 250;
/// WORKERS_WAIT_MS is how long a watch of the list of workers waits: see [`JOBS_WAIT_MS`] and
/// `stackpier_cell::Options::max_workers_age_ms`.
const WORKERS_WAIT_MS: u64 = 300;

/// Jobs follows jobs and their cancellations for the owner.
pub(crate) struct Jobs<P> {
    pub node: Node<P>,
    pub fence: u64,
    /// Encoded progress saved by predecessors, until it is passed to the cell.
    pub progress: HashMap<key::Job, Vec<u8>>,
    /// How this daemon currently learns of the jobs.
    pub source: Source,
}

impl<P: Platform> Jobs<P> {
    fn apply_item(&mut self, item: &Item) {
        if submission::is_tombstone(item) {
            self.node.keep_tombstone(self.fence, item);
            return;
        }
        match keys::entry(&item.key) {
            Some(Entry::Job(job)) => self.apply_job(job, item),
            Some(Entry::Cancel(job)) => self.node.feed(self.fence, Event::Cancelled(job)),
            None => self
                .node
                .log_line("owner", &format!("unknown key {}", item.key)),
        }
    }

    /// apply_job passes a job to the cell. A job with unreadable progress is ignored: it
    /// may have begun, and some of its tasks may be done.
    fn apply_job(&mut self, job: key::Job, item: &Item) {
        let subject = || Some(keys::hex(job));
        let record = self.node.decode_or_log(subject(), "the job", &item.value);
        let Some(record) = record else {
            return;
        };
        let progress = match self.saved_progress(job) {
            Ok(progress) => progress.map(Box::new),
            Err(error) => {
                let text = format!("job ignored, its progress is not readable: {error}");
                self.node.log_about("job", subject(), &text);
                return;
            }
        };
        self.progress.remove(&job);
        self.node
            .add_job(self.fence, self.source, job, Box::new(record), progress);
    }

    /// saved_progress returns the progress of a job that predecessors saved, if there is
    /// any.
    fn saved_progress(&self, job: key::Job) -> Result<Option<Progress>> {
        let value = self.progress.get(&job);
        value.map(|value| decode(value)).transpose()
    }
}

impl<P: Platform> Follower for Jobs<P> {
    fn prefix(&self) -> &str {
        JOBS
    }

    fn is_wanted(&self) -> bool {
        self.node.owns_with(self.fence)
    }

    fn pause_ms(&self) -> u64 {
        JOBS_PAUSE_MS
    }

    fn wait_ms(&self) -> u64 {
        JOBS_WAIT_MS
    }

    fn apply_known(&mut self, at: Millis) {
        self.node.feed(self.fence, Event::JobsKnown(at));
    }

    fn apply(&mut self, update: Update) {
        for item in update.into_items() {
            self.apply_item(&item);
        }
    }
}

/// Workers follows the list of workers for the owner.
pub(crate) struct Workers<P> {
    pub node: Node<P>,
    pub fence: u64,
    /// The ids of the workers in the list.
    pub listed: Vec<String>,
}

impl<P: Platform> Workers<P> {
    fn apply_item(&mut self, item: &Item) {
        match self.node.platform.worker(item) {
            Ok(info) => {
                if !self.listed.contains(&info.id) {
                    self.listed.push(info.id.clone());
                }
                self.node.feed(self.fence, Event::Listed(info));
            }
            Err(error) => {
                let text = format!("entry {} is not readable: {error}", item.key);
                self.node.log_line("worker", &text);
                let id = self.node.platform.worker_id(&item.key).to_owned();
                self.node.feed(self.fence, Event::Unreadable(id));
            }
        }
    }

    fn remove(&mut self, id: &str) {
        self.listed.retain(|listed| listed != id);
        self.node.feed(self.fence, Event::Unlisted(id.to_owned()));
    }

    fn apply_all(&mut self, items: &[Item]) {
        let platform = &self.node.platform;
        let present: Vec<&str> = items
            .iter()
            .map(|item| platform.worker_id(&item.key))
            .collect();
        let gone: Vec<String> = self
            .listed
            .iter()
            .filter(|id| !present.contains(&id.as_str()))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id);
        }
        items.iter().for_each(|item| self.apply_item(item));
    }
}

impl<P: Platform> Follower for Workers<P> {
    fn prefix(&self) -> &str {
        self.node.platform.workers_prefix()
    }

    fn is_wanted(&self) -> bool {
        self.node.owns_with(self.fence)
    }

    fn pause_ms(&self) -> u64 {
        WORKERS_PAUSE_MS
    }

    fn wait_ms(&self) -> u64 {
        WORKERS_WAIT_MS
    }

    fn apply_known(&mut self, at: Millis) {
        self.node.feed(self.fence, Event::WorkersKnown(at));
    }

    fn apply(&mut self, update: Update) {
        match update {
            Update::All(items) => self.apply_all(&items),
            Update::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => self.apply_item(&item),
                        Change::Removed(key) => {
                            let id = self.node.platform.worker_id(&key).to_owned();
                            self.remove(&id);
                        }
                    }
                }
            }
        }
    }
}
