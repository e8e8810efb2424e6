// SPDX-License-Identifier: Apache-2.0
//! Following jobs and workers in the store for the owner.

use std::collections::HashMap;

use stackpier_cell::Event;
use stackpier_core::{Result, key};
use stackpier_protocol::codec::decode;
use stackpier_state::job::Progress;

use crate::{
    Platform,
    jobs::Source,
    keys::{self, Entry, JOBS},
    node::Node,
    store::{Change, Item},
    watch::{Feed, Follower},
};

/// JOBS_PAUSE_MS is the pause between two looks at new jobs in the store.
/// Daemons also tell the owner of each job, so this only catches lost messages.
const JOBS_PAUSE_MS: u64 = 700;
/// WORKERS_PAUSE_MS is the pause between two looks at the list of workers, each
/// of which writes its entry every 1.5 s: without it each entry costs a call. A
/// worker stays for two seconds or more after it said that it leaves.
const WORKERS_PAUSE_MS: u64 = 250;

/// Jobs follows jobs and their cancelling for the owner.
pub(crate) struct Jobs<P> {
    pub node: Node<P>,
    pub fence: u64,
    /// Progress under earlier owners, until the cell has it.
    pub progress: HashMap<key::Job, Vec<u8>>,
    /// By which way the jobs come now.
    pub source: Source,
}

impl<P: Platform> Jobs<P> {
    fn take_item(&mut self, item: &Item) {
        match keys::entry(&item.key) {
            Some(Entry::Job(job)) => self.take_job(job, item),
            Some(Entry::Cancel(job)) => self.node.feed(self.fence, Event::Cancelled(job)),
            None => self
                .node
                .say("owner", &format!("key {} is not known", item.key)),
        }
    }

    /// take_job gives the cell a job. One whose progress can't be read is left alone: it may
    /// have begun, and tasks of it may be done.
    fn take_job(&mut self, job: key::Job, item: &Item) {
        let subject = || Some(keys::hex(job));
        let record = self.node.readable(subject(), "the job", &item.value);
        let Some(record) = record else {
            return;
        };
        let progress = match self.saved(job) {
            Ok(progress) => progress.map(Box::new),
            Err(error) => {
                let text = format!("job left alone, its progress is not readable: {error}");
                self.node.say_of("job", subject(), &text);
                return;
            }
        };
        self.progress.remove(&job);
        self.node
            .add_job(self.fence, self.source, job, Box::new(record), progress);
    }

    /// saved returns what earlier owners saved of a job, if anything.
    fn saved(&self, job: key::Job) -> Result<Option<Progress>> {
        let value = self.progress.get(&job);
        value.map(|value| decode(value)).transpose()
    }
}

impl<P: Platform> Follower for Jobs<P> {
    fn prefix(&self) -> &str {
        JOBS
    }

    fn is_wanted(&self) -> bool {
        self.node.is_at(self.fence)
    }

    fn pause_ms(&self) -> u64 {
        JOBS_PAUSE_MS
    }

    fn take(&mut self, feed: Feed) {
        for item in feed.into_items() {
            self.take_item(&item);
        }
    }
}

/// Workers follows the list of workers for the owner.
pub(crate) struct Workers<P> {
    pub node: Node<P>,
    pub fence: u64,
    /// The ids of the workers that are listed.
    pub listed: Vec<String>,
}

impl<P: Platform> Workers<P> {
    fn take_item(&mut self, item: &Item) {
        match self.node.platform.worker(item) {
            Ok(info) => {
                if !self.listed.contains(&info.id) {
                    self.listed.push(info.id.clone());
                }
                self.node.feed(self.fence, Event::Listed(info));
            }
            Err(error) => {
                let text = format!("entry {} is not readable: {error}", item.key);
                self.node.say("worker", &text);
                let id = self.node.platform.worker_id(&item.key).to_owned();
                self.node.feed(self.fence, Event::Unreadable(id));
            }
        }
    }

    fn remove(&mut self, id: &str) {
        self.listed.retain(|listed| listed != id);
        self.node.feed(self.fence, Event::Unlisted(id.to_owned()));
    }

    fn take_all(&mut self, items: &[Item]) {
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
        items.iter().for_each(|item| self.take_item(item));
    }
}

impl<P: Platform> Follower for Workers<P> {
    fn prefix(&self) -> &str {
        self.node.platform.workers_prefix()
    }

    fn is_wanted(&self) -> bool {
        self.node.is_at(self.fence)
    }

    fn pause_ms(&self) -> u64 {
        WORKERS_PAUSE_MS
    }

    fn take(&mut self, feed: Feed) {
        match feed {
            Feed::All(items) => self.take_all(&items),
            Feed::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => self.take_item(&item),
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
