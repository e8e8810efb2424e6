// SPDX-License-Identifier: Apache-2.0
//! Owning the cell: loading it from the store, feeding it with what happens,
//! and carrying out what it decides.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use opentelemetry::KeyValue;
use stackpier_cell::{
    Ask, Cell, Effect, Event, Held, Hold, Memory, Note, Pace, RosterEntry, Start, Started, Stop,
    Stopped,
    maintenance::{self, TakeDown, TakenDown},
};
use stackpier_core::{Result, key};
use stackpier_protocol::codec::decode;
use stackpier_state::job::{Progress, Record, State};

use crate::{
    Platform,
    keys::{self, Entry, JOBS, MAINTENANCE, MEMORY, OWNER, PROGRESS, ROSTER},
    node::{Node, Owned, pause},
    saving::Revisions,
    store::{Change, Item, Listing},
    watch::{Feed, Follower, follow},
};

/// TICK_MS is the time between two ticks of the cell.
const TICK_MS: u64 = 50;
/// LOAD_RETRY_MS is the pause before loading is tried again.
const LOAD_RETRY_MS: u64 = 200;
/// JOBS_PAUSE_MS is the pause between two looks at new jobs in the store.
/// Daemons also tell the owner of each job, so this only catches lost messages.
const JOBS_PAUSE_MS: u64 = 700;

/// WORKERS_PAUSE_MS is the pause between two looks at the list of workers, each
/// of which writes its entry every 1.5 s: without it each entry costs a call. A
/// worker stays for two seconds or more after it said that it leaves.
const WORKERS_PAUSE_MS: u64 = 250;

/// Owner is the cell with what its owner needs to save it.
pub(crate) struct Owner {
    pub cell: Cell,
    pub fence: u64,
    pub revision: u64,
    pub revisions: Rc<RefCell<Revisions>>,
}

/// Loaded is all that the store keeps of a cell.
struct Loaded {
    jobs: Listing,
    progress: Listing,
    roster: Option<Item>,
    memory: Option<Item>,
    maintenance: Option<Item>,
    workers: Listing,
}

impl<P: Platform> Node<P> {
    /// load reads the cell from the store and begins to schedule it.
    pub(crate) async fn load(&self, owned: Owned, predecessor: bool) {
        let fence = owned.ownership.fence;
        self.loading.set(true);
        let loaded = self.read_cell(fence).await;
        self.loading.set(false);
        let Some(loaded) = loaded else {
            return;
        };
        let text = format!(
            "owns the cell with fence {fence}: {} jobs, {} workers listed, predecessor may act: {predecessor}",
            loaded.progress.items.len(),
            loaded.workers.items.len()
        );
        self.say("owner", &text);
        self.metrics.ownerships.add(1, &[]);
        self.install(owned, predecessor, loaded);
    }

    /// read_cell reads the cell, for as long as this daemon owns it.
    async fn read_cell(&self, fence: u64) -> Option<Loaded> {
        loop {
            match self.read().await {
                Ok(loaded) => return (self.fence() == fence).then_some(loaded),
                Err(error) => self.say("owner", &format!("cell not read yet: {error}")),
            }
            pause(LOAD_RETRY_MS).await;
            if self.fence() != fence {
                return None;
            }
        }
    }

    fn fence(&self) -> u64 {
        self.owned
            .borrow()
            .as_ref()
            .map_or(0, |owned| owned.ownership.fence)
    }

    /// read reads all parts of the cell at once: a store that is slow would
    /// otherwise be waited for once for each.
    async fn read(&self) -> Result<Loaded> {
        let (jobs, progress, roster, memory, maintenance, workers) = tokio::join!(
            self.store_list(JOBS),
            self.store_list(PROGRESS),
            self.store_get(ROSTER),
            self.store_get(MEMORY),
            self.store_get(MAINTENANCE),
            self.store_list(self.platform.workers_prefix()),
        );
        Ok(Loaded {
            jobs: jobs?,
            progress: progress?,
            roster: roster?,
            memory: memory?,
            maintenance: maintenance?,
            workers: workers?,
        })
    }

    fn install(&self, owned: Owned, predecessor: bool, loaded: Loaded) {
        let fence = owned.ownership.fence;
        let mut revisions = Revisions::default();
        let mut cell = Cell::new(self.settings.cell, fence, self.now(), predecessor);
        if let Some(item) = &loaded.roster {
            revisions.set(ROSTER, item.revision);
            self.restore_roster(&mut cell, item);
        }
        if let Some(item) = &loaded.memory {
            revisions.set(MEMORY, item.revision);
            self.restore_memory(&mut cell, item);
        }
        if let Some(item) = &loaded.maintenance {
            revisions.set(MAINTENANCE, item.revision);
            self.restore_maintenance(&mut cell, item);
        }
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
        }));
        self.feed_queues();
        self.feed_plans();
        let jobs = Jobs {
            node: self.clone(),
            fence,
            progress,
        };
        let workers = Workers {
            node: self.clone(),
            fence,
            listed: Vec::new(),
        };
        self.start_followers(jobs, loaded.jobs, workers, loaded.workers);
        tokio::task::spawn_local(tick(self.clone(), fence));
    }

    /// restore_roster gives a cell the workers that earlier owners used.
    fn restore_roster(&self, cell: &mut Cell, item: &Item) {
        match decode::<Vec<RosterEntry>>(&item.value) {
            Ok(entries) => entries.iter().for_each(|entry| cell.add_roster(entry)),
            Err(error) => self.say("owner", &format!("the roster is not readable: {error}")),
        }
    }

    /// restore_memory gives a cell what earlier owners learnt.
    fn restore_memory(&self, cell: &mut Cell, item: &Item) {
        match decode::<Memory>(&item.value) {
            Ok(memory) => cell.remember(&memory),
            Err(error) => {
                let text = format!("what was learnt is not readable: {error}");
                self.say("owner", &text);
            }
        }
    }

    /// restore_maintenance gives a cell what earlier owners took down.
    fn restore_maintenance(&self, cell: &mut Cell, item: &Item) {
        match decode::<Vec<maintenance::Record>>(&item.value) {
            Ok(records) => cell.resume_maintenance(records),
            Err(error) => {
                let text = format!("what was taken down is not readable: {error}");
                self.say("owner", &text);
            }
        }
    }

    /// start_followers takes in the jobs and workers of two listings, and
    /// follows the changes after them.
    fn start_followers(
        &self,
        mut jobs: Jobs<P>,
        kept: Listing,
        mut workers: Workers<P>,
        listed: Listing,
    ) {
        jobs.take(Feed::All(kept.items));
        workers.take(Feed::All(listed.items));
        tokio::task::spawn_local(follow(self.clone(), jobs, Some(kept.at)));
        tokio::task::spawn_local(follow(self.clone(), workers, Some(listed.at)));
    }

    /// feed_queues tells the cell the queues of the configuration.
    pub(crate) fn feed_queues(&self) {
        let config = self.config.borrow().clone();
        let fence = self.owner.borrow().as_ref().map(|owner| owner.fence);
        if let (Some(config), Some(fence)) = (config, fence) {
            let queues = config
                .routes
                .iter()
                .map(|route| route.queue.clone())
                .collect();
            self.feed(fence, Event::Queues(queues));
        }
    }

    /// feed_plans tells the cell the plans of maintenance.
    pub(crate) fn feed_plans(&self) {
        let fence = self.owner.borrow().as_ref().map(|owner| owner.fence);
        if let Some(fence) = fence {
            for plan in self.plans.borrow().clone() {
                self.feed(fence, Event::Plan(plan));
            }
        }
    }

    /// is_at tells whether this daemon still owns the cell with this fence.
    pub(crate) fn is_at(&self, fence: u64) -> bool {
        self.owner
            .borrow()
            .as_ref()
            .is_some_and(|owner| owner.fence == fence)
    }

    /// feed gives the cell an event and carries out what it decides. Events of
    /// an earlier ownership are left aside.
    pub(crate) fn feed(&self, fence: u64, event: Event) {
        let effects = {
            let mut slot = self.owner.borrow_mut();
            let Some(owner) = slot.as_mut().filter(|owner| owner.fence == fence) else {
                return;
            };
            owner.cell.step(self.now(), event)
        };
        for effect in effects {
            self.carry_out(fence, effect);
        }
    }

    fn carry_out(&self, fence: u64, effect: Effect) {
        match effect {
            Effect::Note(note) => self.log_note(&note),
            Effect::Deposed => self.depose(fence + 1, "a worker or the store knows a later fence"),
            Effect::Start(start) => self.spawn(move |node| node.send_start(fence, start)),
            Effect::Stop(stop) => self.spawn(move |node| node.send_stop(fence, stop)),
            Effect::Pace(pace) => self.spawn(move |node| node.send_pace(pace)),
            Effect::Hold(hold) => self.spawn(move |node| node.send_hold(fence, hold)),
            Effect::TakeDown(order) => self.spawn(move |node| node.send_down(fence, order)),
            Effect::Ask(ask) => self.spawn(move |node| node.send_ask(fence, ask)),
            Effect::Save(save) => self.spawn(move |node| async move {
                let saved = node.save(fence, save).await;
                node.feed(fence, Event::Saved(saved));
            }),
            Effect::Confirm => self.spawn(move |node| node.confirm(fence)),
        }
    }

    fn log_note(&self, note: &Note) {
        let part = KeyValue::new("part", note.part);
        self.metrics.decisions.add(1, &[part]);
        let subject = note.subject.map(|name| name.to_string());
        self.say_of(note.part, subject, &note.text);
    }

    fn spawn<F, R>(&self, task: F)
    where
        F: FnOnce(Node<P>) -> R,
        R: std::future::Future<Output = ()> + 'static,
    {
        tokio::task::spawn_local(task(self.clone()));
    }

    async fn send_start(self, fence: u64, start: Start) {
        let outcome = self.platform.start(&start).await;
        self.count_worker("start", outcome == Started::Yes);
        let order = &start.order;
        let text = format!("run {} on worker {}: {outcome:?}", order.run, order.life);
        self.say_of("place", Some(order.task.to_string()), &text);
        let run = order.key;
        self.feed(fence, Event::Started { run, outcome });
    }

    async fn send_stop(self, fence: u64, stop: Stop) {
        let outcome = self.platform.stop(&stop).await;
        self.count_worker("stop", outcome == Stopped::Yes);
        let run = stop.order.key;
        self.feed(fence, Event::Stopped { run, outcome });
    }

    async fn send_pace(self, pace: Pace) {
        let taken = self.platform.pace(&pace).await;
        self.count_worker("pace", taken);
        let text = format!("pace {} ordered, taken: {taken}", pace.percent);
        self.say_of("pace", Some(pace.order.task.to_string()), &text);
    }

    async fn send_hold(self, fence: u64, hold: Hold) {
        let sent = self.mono();
        let outcome = self.platform.hold(&hold).await;
        let answered = matches!(outcome, Held::Report(_));
        self.count_worker("hold", answered);
        let event = Event::Held {
            worker: hold.worker,
            sent,
            outcome,
        };
        self.feed(fence, event);
    }

    async fn send_down(self, fence: u64, order: TakeDown) {
        let outcome = self.platform.take_down(&order, &self.settings.vm).await;
        self.count_worker("take_down", outcome == TakenDown::Yes);
        self.feed(fence, Event::TakenDown(order, outcome));
    }

    async fn send_ask(self, fence: u64, ask: Ask) {
        let answer = self.platform.advise(&ask).await;
        self.count_worker("advise", answer.is_some());
        self.feed(fence, Event::Advised(ask.step, answer));
    }

    fn count_worker(&self, call: &'static str, done: bool) {
        let outcome = if done { "done" } else { "failed" };
        self.metrics
            .worker_calls
            .add(1, &crate::metrics::labels(call, outcome));
    }

    /// confirm asks the store whether this daemon still owns the cell.
    async fn confirm(self, fence: u64) {
        let sent = self.mono();
        match self.store_get(OWNER).await {
            Ok(Some(item)) => {
                self.take_ownership(&item);
                self.feed(fence, Event::Confirmed(sent));
            }
            Ok(None) => self.depose(fence + 1, "the store has no owner"),
            Err(_) => {
                if let Some(owner) = self.owner.borrow_mut().as_mut() {
                    owner.cell.confirm_failed();
                }
            }
        }
    }

    /// depose gives the cell up if it is owned with a lower fence.
    pub(crate) fn depose(&self, fence: u64, why: &str) {
        let own = self.owner.borrow().as_ref().map(|owner| owner.fence);
        if let Some(own) = own.filter(|own| *own < fence) {
            self.owner.replace(None);
            self.outdated.set(self.outdated.get().max(own));
            self.say("owner", &format!("gave up the cell: {why}"));
        }
    }

    /// job_state returns a job's state if this daemon owns the cell and knows
    /// the job.
    pub(crate) fn job_state(&self, job: key::Job) -> Option<State> {
        self.owner.borrow().as_ref()?.cell.state(job)
    }
}

async fn tick<P: Platform>(node: Node<P>, fence: u64) {
    while node.is_at(fence) {
        node.feed(fence, Event::Tick);
        if let Some(owner) = node.owner.borrow().as_ref() {
            node.metrics
                .running
                .record(owner.cell.running() as u64, &[]);
            node.metrics.waiting.record(owner.cell.ready() as u64, &[]);
        }
        pause(TICK_MS).await;
    }
    node.metrics.running.record(0, &[]);
    node.metrics.waiting.record(0, &[]);
}

/// Jobs follows jobs and their cancelling for the owner.
struct Jobs<P> {
    node: Node<P>,
    fence: u64,
    /// Progress under earlier owners, until the job is met.
    progress: HashMap<key::Job, Vec<u8>>,
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

    fn take_job(&mut self, job: key::Job, item: &Item) {
        let record = match decode::<Record>(&item.value) {
            Ok(record) => record,
            Err(error) => {
                let text = format!("the job is not readable: {error}");
                self.node
                    .say_of("owner", Some(format!("{:016x}", job.0)), &text);
                return;
            }
        };
        let progress =
            self.progress
                .remove(&job)
                .and_then(|value| match decode::<Progress>(&value) {
                    Ok(progress) => Some(Box::new(progress)),
                    Err(error) => {
                        let text = format!("the progress is not readable: {error}");
                        self.node
                            .say_of("owner", Some(format!("{:016x}", job.0)), &text);
                        None
                    }
                });
        let event = Event::Accepted {
            job,
            record: Box::new(record),
            progress,
            cancelled: false,
        };
        self.node.feed(self.fence, event);
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
struct Workers<P> {
    node: Node<P>,
    fence: u64,
    listed: Vec<String>,
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
