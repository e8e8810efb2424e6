// SPDX-License-Identifier: Apache-2.0
//! Loads the cell from the store when this daemon has become its owner.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use serde::de::DeserializeOwned;
use stackpier_cell::{
    Cell, ModelSnapshot, RosterEntry, assignment, downtime, maintenance, release, suspension,
};
use stackpier_core::{Millis, Result};
use stackpier_protocol::codec::decode;

use crate::{
    Platform,
    expiry::Expiry,
    following::{Jobs, Workers},
    handover::Predecessor,
    jobs::Source,
    keys::{
        self, ASSIGNMENTS, COVERAGE, Coverage, DOWNTIMES, JOBS, MAINTENANCE, MEMORY, PROGRESS,
        RELEASE, ROSTER, SUSPENSIONS,
    },
    node::{Node, Owned, pause},
    owner::{Owner, tick},
    saving::{Revisions, describe_roster},
    store::{Item, Listing},
    watch::{Follower, Update, follow},
};

/// LOAD_RETRY_MS is the pause before a failed load is retried.
const LOAD_RETRY_MS: u64 = 200;

/// SLOW_KBPS is the link speed below which the parts of a cell are read one after the
/// other. Half a megabyte takes half a second at this speed.
const SLOW_KBPS: u32 = 8_000;

/// Loaded holds everything that the store keeps of a cell.
struct Loaded {
    /// When the jobs were requested.
    requested: Millis,
    jobs: Listing,
    progress: Listing,
    roster: Option<Item>,
    suspensions: Option<Item>,
    release: Option<Item>,
    downtimes: Option<Item>,
    coverage: Option<Item>,
    assignments: Listing,
    memory: Option<Item>,
    maintenance: Option<Item>,
    workers: Listing,
}

impl<P: Platform> Node<P> {
    /// load reads the cell from the store and starts scheduling it. A daemon that was told to stop
    /// meanwhile releases the cell at once.
    pub(crate) async fn load(&self, owned: Owned, predecessor: Predecessor) {
        let fence = owned.ownership.fence;
        self.loading.set(true);
        let loaded = self.read_cell(fence, predecessor.released).await;
        self.loading.set(false);
        let Some(loaded) = loaded else {
            return;
        };
        let text = format!(
            "owns the cell with fence {fence}: {} jobs, {} workers listed, predecessor may act: {}, \
             earlier owners act for {} ms more at most",
            loaded.progress.items.len(),
            loaded.workers.items.len(),
            predecessor.may_act,
            predecessor.acting_ms
        );
        self.log_line("owner", &text);
        self.metrics.ownerships.add(1, &[]);
        self.install(owned, &predecessor, loaded);
        if self.stopping.get() {
            self.release().await;
            return;
        }
        self.ask_earlier_owners(fence);
        let node = self.clone();
        tokio::task::spawn_local(async move { node.adopt_rejections().await });
        if let Some(address) = predecessor.address {
            let node = self.clone();
            tokio::task::spawn_local(async move { node.query_predecessor(fence, &address).await });
        }
    }

    /// read_cell reads the cell and retries until it succeeds. It returns nothing if the
    /// ownership changed meanwhile.
    async fn read_cell(&self, fence: u64, released: bool) -> Option<Loaded> {
        loop {
            match self.read(released).await {
                Ok(loaded) => return (self.fence() == fence).then_some(loaded),
                Err(error) => self.log_line(
                    "owner",
                    &format!("reading the cell failed, retrying: {error}"),
                ),
            }
            pause(LOAD_RETRY_MS).await;
            if self.fence() != fence {
                return None;
            }
        }
    }

    /// fence returns the fence of the ownership that the store last showed.
    pub(crate) fn fence(&self) -> u64 {
        self.owned
            .borrow()
            .as_ref()
            .map_or(0, |owned| owned.ownership.fence)
    }

    /// read reads all parts of the cell. On a slow link it reads them one after the other,
    /// so that heartbeats pass in between. Otherwise it reads them concurrently, so that a
    /// slow store delays the load by one call instead of by eleven. `released` tells whether the
    /// predecessor released the cell.
    async fn read(&self, released: bool) -> Result<Loaded> {
        let requested = self.mono();
        if self.settings.link_kbps < SLOW_KBPS {
            return Ok(Loaded {
                requested,
                jobs: self.store_list(JOBS).await?,
                progress: self.store_list(PROGRESS).await?,
                roster: self.store_get(ROSTER).await?,
                suspensions: self.store_get(SUSPENSIONS).await?,
                release: self.read_release(released).await?,
                downtimes: self.store_get(DOWNTIMES).await?,
                coverage: self.store_get(COVERAGE).await?,
                assignments: self.store_list(ASSIGNMENTS).await?,
                memory: self.store_get(MEMORY).await?,
                maintenance: self.store_get(MAINTENANCE).await?,
                workers: self.store_list(self.platform.workers_prefix()).await?,
            });
        }
        let (
            jobs,
            progress,
            roster,
            suspensions,
            release,
            downtimes,
            coverage,
            assignments,
            memory,
            maintenance,
            workers,
        ) = tokio::join!(
            self.store_list(JOBS),
            self.store_list(PROGRESS),
            self.store_get(ROSTER),
            self.store_get(SUSPENSIONS),
            self.read_release(released),
            self.store_get(DOWNTIMES),
            self.store_get(COVERAGE),
            self.store_list(ASSIGNMENTS),
            self.store_get(MEMORY),
            self.store_get(MAINTENANCE),
            self.store_list(self.platform.workers_prefix()),
        );
        Ok(Loaded {
            requested,
            jobs: jobs?,
            progress: progress?,
            roster: roster?,
            suspensions: suspensions?,
            release: release?,
            downtimes: downtimes?,
            coverage: coverage?,
            assignments: assignments?,
            memory: memory?,
            maintenance: maintenance?,
            workers: workers?,
        })
    }

    /// read_release reads what the predecessor saved with its release, if it released the cell. The
    /// record takes up to 100 kB, and after any other takeover it is of no use.
    async fn read_release(&self, released: bool) -> Result<Option<Item>> {
        match released {
            true => self.store_get(RELEASE).await,
            false => Ok(None),
        }
    }

    /// install makes this daemon the cell's acting owner and starts following the cell's
    /// jobs and workers.
    fn install(&self, owned: Owned, predecessor: &Predecessor, loaded: Loaded) {
        let fence = owned.ownership.fence;
        let mut revisions = Revisions::default();
        let now = self.now();
        let mut cell = Cell::new(self.settings.cell, fence, now, predecessor.acting_ms);
        if predecessor.address.is_some() {
            cell.await_handover();
        }
        cell.await_cordons();
        // Reading may have taken seconds, and a successor may have taken over meanwhile.
        cell.set_confirmed(self.owned_since(fence));
        cell.set_jobs_known(loaded.requested);
        cell.set_workers_known(loaded.requested);
        self.restore(&mut cell, &mut revisions, &loaded);
        let mut progress = HashMap::new();
        for item in &loaded.progress.items {
            revisions.set(&item.key, item.revision);
            if let Some(job) = keys::progress_of(&item.key) {
                progress.insert(job, item.value.clone());
            }
        }
        self.owner.replace(Some(Owner {
            cell,
            fence,
            revision: owned.revision,
            revisions: Rc::new(RefCell::new(revisions)),
            tombstones: Expiry::new(self.settings.cell.show_ms),
        }));
        self.feed_queues();
        self.feed_plans();
        self.feed_cordons();
        let jobs = Jobs {
            node: self.clone(),
            fence,
            progress,
            source: Source::Store,
        };
        let workers = Workers {
            node: self.clone(),
            fence,
            listed: Vec::new(),
        };
        self.start_followers(jobs, loaded.jobs, workers, loaded.workers);
        tokio::task::spawn_local(tick(self.clone(), fence));
        tokio::task::spawn_local(self.clone().follow_outages(fence));
    }

    /// restore passes to the cell what predecessors saved: the roster of workers, the
    /// suspended ones, what may run where, the downtimes, the model and the state of maintenance.
    fn restore(&self, cell: &mut Cell, revisions: &mut Revisions, loaded: &Loaded) {
        if let Some(item) = &loaded.roster {
            revisions.set(ROSTER, item.revision);
            match self.decode_or_log::<Vec<RosterEntry>>(None, "the roster", &item.value) {
                Some(entries) => self.restore_roster(cell, &entries),
                None => cell.set_roster_unknown(),
            }
        }
        if let Some(item) = &loaded.suspensions {
            revisions.set(SUSPENSIONS, item.revision);
            self.restore_suspensions(cell, item);
        }
        if let Some(item) = &loaded.release {
            self.restore_release(cell, item);
        }
        if let Some(item) = &loaded.downtimes {
            revisions.set(DOWNTIMES, item.revision);
            self.restore_downtimes(cell, item);
        }
        self.restore_assignments(cell, revisions, loaded);
        if let Some(item) = &loaded.memory {
            revisions.set(MEMORY, item.revision);
            let memory = self.decode_or_log::<ModelSnapshot>(None, "the saved model", &item.value);
            if let Some(memory) = memory {
                cell.restore_model(&memory);
            }
        }
        if let Some(item) = &loaded.maintenance {
            revisions.set(MAINTENANCE, item.revision);
            let records = self.decode_or_log::<Vec<maintenance::Record>>(
                None,
                "the state of maintenance",
                &item.value,
            );
            if let Some(records) = records {
                cell.resume_maintenance(records);
            }
        }
    }

    fn restore_roster(&self, cell: &mut Cell, entries: &[RosterEntry]) {
        let text = format!(
            "waiting for reports of the roster: {}",
            describe_roster(entries)
        );
        self.log_line("owner", &text);
        entries.iter().for_each(|entry| cell.add_roster(entry));
    }

    fn restore_suspensions(&self, cell: &mut Cell, item: &Item) {
        let what = "the record of suspended workers";
        let record = self.decode_or_log::<suspension::Record>(None, what, &item.value);
        if let Some(record) = record {
            cell.restore_suspensions(&record, self.age_ms(item));
        }
    }

    fn restore_release(&self, cell: &mut Cell, item: &Item) {
        let what = "the record of the release";
        let record = self.decode_or_log::<release::Record>(None, what, &item.value);
        if let Some(record) = record {
            cell.restore_release(&record, self.age_ms(item));
        }
    }

    /// restore_assignments passes the assignments to the cell, if all owners up to the predecessor have
    /// assigned their starts.
    fn restore_assignments(&self, cell: &mut Cell, revisions: &mut Revisions, loaded: &Loaded) {
        let mut records = HashMap::new();
        for item in &loaded.assignments.items {
            revisions.set(&item.key, item.revision);
            let Some(job) = keys::assignments_of(&item.key) else {
                continue;
            };
            match self.decode_or_log::<assignment::Record>(None, &item.key, &item.value) {
                Some(record) => drop(records.insert(job, record)),
                None => cell.ignore_assignments(job),
            }
        }
        let coverage = loaded.coverage.as_ref().and_then(|item| {
            revisions.set(COVERAGE, item.revision);
            self.decode_or_log::<Coverage>(None, "the coverage of assignments", &item.value)
        });
        let covers = |coverage: Coverage| coverage.fence == cell.fence() && coverage.complete;
        match coverage.is_some_and(covers) {
            true => cell.restore_assignments(records),
            false => self.log_line(
                "owner",
                "runs of long-running tasks are possible that no assignment in the store shows",
            ),
        }
    }

    fn restore_downtimes(&self, cell: &mut Cell, item: &Item) {
        let what = "the record of downtimes";
        let record = self.decode_or_log::<downtime::Record>(None, what, &item.value);
        if let Some(record) = record {
            cell.restore_downtimes(&record, self.age_ms(item));
        }
    }

    /// age_ms returns for how long an item has been in the store at least.
    fn age_ms(&self, item: &Item) -> u64 {
        let seen = self.history.borrow().seen(item.revision);
        seen.map_or(0, |seen| self.mono().since(seen))
    }

    /// decode_or_log decodes a value from the store and logs a failure. `what` names the
    /// value.
    pub(crate) fn decode_or_log<T: DeserializeOwned>(
        &self,
        subject: Option<String>,
        what: &str,
        value: &[u8],
    ) -> Option<T> {
        match decode(value) {
            Ok(value) => Some(value),
            Err(error) => {
                let text = format!("{what} is not readable: {error}");
                self.log_about("owner", subject, &text);
                None
            }
        }
    }

    /// start_followers passes the listed jobs and workers to the cell and follows the
    /// changes after the listings.
    fn start_followers(
        &self,
        mut jobs: Jobs<P>,
        accepted: Listing,
        mut workers: Workers<P>,
        listed: Listing,
    ) {
        jobs.apply(Update::All(accepted.items));
        jobs.source = Source::Watch;
        workers.apply(Update::All(listed.items));
        tokio::task::spawn_local(follow(self.clone(), jobs, Some(accepted.at)));
        tokio::task::spawn_local(follow(self.clone(), workers, Some(listed.at)));
    }
}
