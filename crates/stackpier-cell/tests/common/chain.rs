// SPDX-License-Identifier: Apache-2.0
//! A series of owners of one cell, with a long-running task whose time without a run is measured
//! from the state of the workers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use stackpier_cell::{
    Cell, Event, Info, Options, Queue, RosterEntry, TaskName, assignment, downtime,
    release::{self, Release},
    suspension,
};
use stackpier_core::key;
use stackpier_standin::fleet::{Behaviour, Run};
use stackpier_state::{
    explain::{Cause, Phase, Standing},
    job::{Progress, Record, Spec, Step},
};

use super::{Owner, QUEUE, UNIX, queue, spec};

/// LASTS is the job whose only task is long-running and is stopped under the first owner.
pub const LASTS: u64 = 1;
/// FILLER is a job that takes all other workers until just before the first owner ends.
pub const FILLER: u64 = 2;
/// LONG_RUNNING is a job whose tasks fill the workers in the tests with short work.
pub const LONG_RUNNING: u64 = 3;
/// SHORT is the first of the short jobs.
pub const SHORT: u64 = 100;
/// FIRST_RAN_ON is the worker on which the task ran.
pub const FIRST_RAN_ON: usize = 0;
/// OTHER_SERVICE is a service that no job of the tests belongs to.
pub const OTHER_SERVICE: &str = "other-service";
/// LOST_MS is when client accounts count a long-running task as lost after its last run.
pub const LOST_MS: u64 = 6_000;
/// FIRST_AFTER_MS is how long a long-running task waits before it comes before all others of its
/// priority.
pub const FIRST_AFTER_MS: u64 = 3_000;
/// FORCED_MS is how long the lease of a worker that can't be reached forces a task to wait after
/// the first takeover: the lease by the slowest clock, the time for a call in flight, and the end
/// of the runs there.
pub const FORCED_MS: u64 = 6_126 + 500 + 200;
/// ROTATED_MS is the longest time for which a task may be stopped while there is not room for all.
pub const ROTATED_MS: u64 = 9_000;
/// VACANT_MS is the time from the end of an owner until the next one has read the cell.
pub const VACANT_MS: u64 = 750;
/// GIVE_UP_MS is how long a call without an answer takes until it is given up.
pub const GIVE_UP_MS: u64 = 600;
/// NEXT_OWNER_MS is how long each owner acts in tests with several.
pub const NEXT_OWNER_MS: u64 = 4_000;
/// LIMIT_MS is how long a test waits for the task to run again.
pub const LIMIT_MS: u64 = 40_000;
/// SILENT_SHARE is how many of ten calls to a mute worker get no answer.
pub const SILENT_SHARE: u64 = 6;

/// Mute is the workers that leave a share of all calls without an answer.
#[derive(Clone, Default)]
pub struct Mute {
    pub seed: u64,
    pub places: BTreeSet<usize>,
}

impl Mute {
    /// loses reports whether calls to a worker in a millisecond are lost.
    pub fn loses(&self, place: usize, now_ms: u64) -> bool {
        let mut hash = self.seed ^ (now_ms << 20) ^ ((place as u64) << 48);
        for factor in [0x9E37_79B9_7F4A_7C15, 0xBF58_476D_1CE4_E5B9] {
            hash = (hash ^ (hash >> 30)).wrapping_mul(factor);
        }
        self.places.contains(&place) && (hash >> 33) % 10 < SILENT_SHARE
    }
}

/// Chain is a series of owners of one cell, with what the store and the workers keep between them.
pub struct Chain {
    pub owner: Owner,
    pub records: BTreeMap<u64, Record>,
    progress: BTreeMap<u64, Progress>,
    roster: Vec<RosterEntry>,
    /// What the owner saves that is about to release the cell.
    release: Option<release::Record>,
    released_roster: Option<Vec<RosterEntry>>,
    pub suspensions: suspension::Record,
    /// When the suspended workers were saved.
    suspended_at: u64,
    /// The assignments in the store.
    pub assignments: HashMap<key::Job, assignment::Record>,
    pub downtimes: downtime::Record,
    /// When the downtimes were saved.
    downtimes_at: u64,
    /// How many saves of the owner have been looked at for them.
    saves_seen: usize,
    /// Until when an earlier owner may act, as far as daemons know.
    acting_until: u64,
    /// Until when an owner before the predecessor may act.
    before_until: u64,
    pub listed: BTreeMap<usize, Info>,
    pub cut: BTreeSet<usize>,
    pub mute: Mute,
    /// Log lines and causes of the wait, with their times.
    pub log: Vec<(u64, String)>,
    logged: usize,
    cause: String,
    /// When a worker last ran the task, and the place.
    pub last_run: Option<(u64, usize)>,
    /// The time without an owner since then.
    vacant_ms: u64,
    /// The part of the wait in which a worker that answers had room for the task.
    roomy_ms: u64,
    /// The longest wait, without the time without an owner.
    longest_ms: u64,
    /// The longest such part of a wait.
    longest_roomy_ms: u64,
    /// When each run on a worker began.
    began: BTreeMap<(TaskName, u32), u64>,
}

/// queues returns the queue of the jobs, and one of another service.
pub fn queues() -> Vec<Queue> {
    let other = Queue {
        service: OTHER_SERVICE.to_owned(),
        ..queue("other", 0)
    };
    vec![queue(QUEUE, 0), other]
}

pub fn options() -> Options {
    Options {
        max_lease_ms: 6_000,
        ..Options::default()
    }
}

impl Chain {
    /// new starts the first owner, which knows no workers yet.
    pub fn new(workers: usize) -> Chain {
        let mut owner = Owner::with(workers, 1, false);
        owner.give_up_ms = Some(GIVE_UP_MS);
        owner.feed(Event::Queues(queues()));
        Chain {
            owner,
            records: BTreeMap::new(),
            progress: BTreeMap::new(),
            roster: Vec::new(),
            release: None,
            released_roster: None,
            suspensions: suspension::Record::default(),
            suspended_at: 0,
            assignments: HashMap::new(),
            downtimes: downtime::Record::default(),
            downtimes_at: 0,
            saves_seen: 0,
            acting_until: 0,
            before_until: 0,
            listed: BTreeMap::new(),
            cut: BTreeSet::new(),
            mute: Mute::default(),
            log: Vec::new(),
            logged: 0,
            cause: String::new(),
            last_run: None,
            vacant_ms: 0,
            roomy_ms: 0,
            longest_ms: 0,
            longest_roomy_ms: 0,
            began: BTreeMap::new(),
        }
    }

    pub fn list(&mut self, info: Info) {
        let place = self.owner.workers.iter();
        let place = place.clone().position(|worker| worker.info.id == info.id);
        self.listed.insert(place.expect("a worker"), info.clone());
        self.owner.feed(Event::Listed(info));
    }

    pub fn unlist(&mut self, place: usize) {
        if let Some(info) = self.listed.remove(&place) {
            self.owner.feed(Event::Unlisted(info.id));
        }
    }

    pub fn submit(&mut self, job: u64, spec: Spec) {
        let record = Record {
            queue: queue(QUEUE, 0),
            spec,
            fence: self.owner.cell.fence(),
            accepted_ms: UNIX + self.owner.now_ms - 1,
        };
        self.records.insert(job, record);
        self.accept(job);
    }

    pub fn submit_long_running(&mut self, job: u64, shape: Step) {
        let behaviour = Behaviour {
            size: shape.size,
            long_running: true,
            ..Behaviour::default()
        };
        self.owner.behaviours.insert((job, 0), behaviour);
        let shape = Step {
            long_running: true,
            ..shape
        };
        self.submit(job, spec(vec![shape]));
    }

    /// accept passes a job and its saved progress to the owner.
    pub fn accept(&mut self, job: u64) {
        let record = self.records[&job].clone();
        self.owner.set_spec(job, record.spec.clone());
        self.owner.feed(Event::Accepted {
            job: key::Job(job),
            record: Box::new(record),
            progress: self.progress.get(&job).cloned().map(Box::new),
            cancelled: false,
        });
    }

    /// advance moves the clock forward by single milliseconds and observes the task.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            let now_ms = self.owner.now_ms + 1;
            for place in 0..self.owner.workers.len() {
                let lost = self.cut.contains(&place) || self.mute.loses(place, now_ms);
                self.owner.cut[place] = lost;
            }
            self.owner.advance(1);
            self.store_records();
            self.observe();
            self.record_log();
        }
    }

    /// places returns the workers that run the task.
    pub fn places(&self) -> Vec<usize> {
        let runs = |place: &usize| {
            let mut runs = self.owner.workers[*place].runs.iter();
            runs.any(|run| run.task.job.0 == LASTS)
        };
        (0..self.owner.workers.len()).filter(runs).collect()
    }

    /// observe records where the task runs, and checks that it never runs twice at once.
    pub fn observe(&mut self) {
        let now_ms = self.owner.now_ms;
        for worker in &mut self.owner.workers {
            worker.advance(now_ms);
            for run in &worker.runs {
                let key = (run.task, run.number);
                self.began.entry(key).or_insert(now_ms);
            }
        }
        let places = self.places();
        let story = || self.story();
        assert!(places.len() <= 1, "{now_ms}: on {places:?}\n{}", story());
        let Some(place) = places.first() else {
            self.roomy_ms += u64::from(self.has_room());
            return;
        };
        if let Some((last_ms, _)) = self.last_run {
            let waited_ms = now_ms - last_ms - self.vacant_ms;
            self.longest_ms = self.longest_ms.max(waited_ms);
            self.longest_roomy_ms = self.longest_roomy_ms.max(self.roomy_ms);
        }
        self.last_run = Some((now_ms, *place));
        self.vacant_ms = 0;
        self.roomy_ms = 0;
    }

    /// has_room reports whether a listed worker that always answers has room for the task. Runs
    /// that began when the task came before all others do not count.
    pub fn has_room(&self) -> bool {
        let Some(record) = self.records.get(&LASTS) else {
            return false;
        };
        let size = record.spec.steps[0].size;
        let answers = |place: &usize| {
            let listed = self.listed.get(place);
            let usable = listed.is_some_and(|info| !info.draining && info.service == "service");
            usable && !self.cut.contains(place) && !self.mute.places.contains(place)
        };
        let mut places = (0..self.owner.workers.len()).filter(answers);
        places.any(|place| {
            let worker = &self.owner.workers[place];
            let runs = worker.runs.iter().filter(|run| !self.began_later(run));
            let used: u32 = runs.map(|run| run.behaviour().size.milli_cores).sum();
            used + size.milli_cores <= worker.info.capacity.milli_cores
        })
    }

    /// began_later reports whether a run began when the task came before all others.
    pub fn began_later(&self, run: &Run) -> bool {
        let (last_ms, _) = self.last_run.expect("it ran");
        self.began[&(run.task, run.number)] >= last_ms + FIRST_AFTER_MS
    }

    /// record_log records new log lines, and what the owner says that the task waits for.
    pub fn record_log(&mut self) {
        let now_ms = self.owner.now_ms;
        let lines = self.owner.log_lines[self.logged..].iter();
        self.log.extend(lines.map(|line| (now_ms, line.clone())));
        self.logged = self.owner.log_lines.len();
        if now_ms.is_multiple_of(50) {
            let cause = self.explain();
            if cause != self.cause {
                self.log.push((now_ms, format!("TASK {cause}")));
                self.cause = cause;
            }
        }
    }

    /// explain returns in a few words what the owner says of the task.
    pub fn explain(&mut self) -> String {
        let Some(job) = self.owner.cell.explain(key::Job(LASTS)) else {
            return "unknown".to_owned();
        };
        match job.tasks.first().map(|task| &task.standing) {
            Some(Standing::Waits(wait)) => match &wait.cause {
                Cause::Workers(tally) => {
                    format!("waits: free {}, kept {:?}", tally.free, tally.kept)
                }
                other => format!("waits: {other:?}"),
            },
            Some(Standing::Runs(runs)) => {
                let phases: Vec<(Phase, &str)> = runs
                    .iter()
                    .map(|run| (run.phase, run.worker.as_str()))
                    .collect();
                format!("runs: {phases:?}")
            }
            other => format!("{other:?}"),
        }
    }

    /// change_owner ends the owner, and starts the next one some time later.
    pub fn change_owner(&mut self, vacant_ms: u64) {
        self.replace_owner(vacant_ms, false);
    }

    /// release_owner does the same with an owner that releases the cell before it ends. A successor
    /// that has `seen` the earlier owners knows that none of them may act; one that has just
    /// started does not.
    pub fn release_owner(&mut self, vacant_ms: u64, seen: bool) {
        let Release {
            record,
            roster,
            downtimes,
            suspensions,
        } = self.owner.cell.release_cell();
        self.release = Some(record);
        self.released_roster = roster;
        self.suspensions = suspensions;
        self.suspended_at = self.owner.now_ms;
        self.downtimes = downtimes;
        self.downtimes_at = self.owner.now_ms;
        self.replace_owner(vacant_ms, !seen);
    }

    /// replace_owner does the same; `predecessor` tells whether the earlier owner may still act. Like
    /// a daemon, the next owner knows the latest end over all earlier owners. It returns the earlier
    /// owner with a copy of the workers.
    pub fn replace_owner(&mut self, vacant_ms: u64, predecessor: bool) -> Owner {
        self.store_saves();
        if let Some(roster) = self.released_roster.take() {
            self.roster = roster;
        }
        self.log.push((self.owner.now_ms, "OWNER ends".to_owned()));
        let now_ms = self.owner.now_ms + vacant_ms;
        let options = options();
        let fence = self.owner.cell.fence() + 1;
        let mut next = Owner::with(0, fence, false);
        next.now_ms = now_ms;
        self.before_until = self.acting_until;
        if predecessor {
            self.acting_until = now_ms + options.authority_ms;
        }
        let acting_ms = self.acting_until.saturating_sub(now_ms);
        next.cell = Cell::new(options, fence, next.now(), acting_ms);
        next.workers = self.owner.workers.clone();
        next.cut = vec![false; next.workers.len()];
        next.behaviours = self.owner.behaviours.clone();
        next.give_up_ms = self.owner.give_up_ms;
        next.save_ms = self.owner.save_ms;
        let earlier = std::mem::replace(&mut self.owner, next);
        self.vacant_ms += vacant_ms;
        self.logged = 0;
        self.saves_seen = 0;
        self.observe();
        self.log.push((now_ms, format!("OWNER {fence} begins")));
        for place in 0..self.owner.workers.len() {
            self.owner.cut[place] = self.cut.contains(&place) || self.mute.loses(place, now_ms);
        }
        self.owner.feed(Event::Queues(queues()));
        for entry in self.roster.clone() {
            self.owner.cell.add_roster(&entry);
        }
        let age_ms = now_ms - self.suspended_at;
        self.owner
            .cell
            .restore_suspensions(&self.suspensions, age_ms);
        self.owner
            .cell
            .restore_assignments(self.assignments.clone());
        let age_ms = now_ms - self.downtimes_at;
        self.owner.cell.restore_downtimes(&self.downtimes, age_ms);
        if let Some(record) = self.release.take() {
            // A daemon that has just started can't tell how old the record is.
            self.owner.cell.restore_release(&record, 0);
        }
        for info in self.listed.values().cloned().collect::<Vec<_>>() {
            self.owner.feed(Event::Listed(info));
        }
        for job in self.records.keys().copied().collect::<Vec<_>>() {
            self.accept(job);
        }
        earlier
    }

    /// stop_predecessor tells the owner that its predecessor has stopped acting.
    pub fn stop_predecessor(&mut self) {
        self.acting_until = self.before_until;
        let acting_ms = self.acting_until.saturating_sub(self.owner.now_ms);
        self.owner.feed(Event::PredecessorStopped { acting_ms });
    }

    /// store_records stores the latest records of suspended workers and of downtimes, with their times.
    fn store_records(&mut self) {
        let saves = &self.owner.saves[self.saves_seen..];
        if let Some(record) = saves
            .iter()
            .filter_map(|save| save.suspensions.as_ref())
            .next_back()
        {
            self.suspensions = record.clone();
            self.suspended_at = self.owner.now_ms;
        }
        if let Some(record) = saves.iter().rev().find_map(|save| save.downtimes.as_ref()) {
            self.downtimes = record.clone();
            self.downtimes_at = self.owner.now_ms;
        }
        self.saves_seen = self.owner.saves.len();
    }

    /// store_saves keeps what the owner has saved.
    pub fn store_saves(&mut self) {
        for write in self.owner.written.drain(..) {
            self.assignments.extend(write.jobs);
        }
        for save in &self.owner.saves {
            if let Some(roster) = &save.roster {
                self.roster = roster.clone();
            }
            for (job, progress) in &save.jobs {
                self.progress.insert(job.0, progress.clone());
            }
        }
    }

    /// advance_until_run advances until the task runs, and returns for how long it did not.
    pub fn advance_until_run(&mut self) -> u64 {
        let end_ms = self.owner.now_ms + LIMIT_MS;
        while self.places().is_empty() && self.owner.now_ms < end_ms {
            self.advance(1);
        }
        self.longest_ms.max(self.waiting_ms())
    }

    /// waiting_ms returns for how long the task has had no run.
    pub fn waiting_ms(&self) -> u64 {
        let (last_ms, _) = self.last_run.expect("it ran");
        self.owner.now_ms - last_ms - self.vacant_ms
    }

    /// story returns the log lines that concern the wait.
    pub fn story(&self) -> String {
        let told = [
            "OWNER",
            "TASK",
            "tasks of earlier jobs wait",
            "lease",
            "ended:",
        ];
        let shown = |line: &&(u64, String)| told.iter().any(|word| line.1.contains(word));
        let lines = self.log.iter().filter(shown);
        let lines: Vec<String> = lines.map(|(at, line)| format!("{at:>6} {line}")).collect();
        lines.join("\n")
    }

    /// waits returns the longest wait, and the longest part of one with room for the task.
    pub fn waits(&self) -> (u64, u64) {
        let waited_ms = self.longest_ms.max(self.waiting_ms());
        let roomy_ms = self.longest_roomy_ms.max(self.roomy_ms);
        (waited_ms, roomy_ms)
    }

    /// check checks that the task ran again before it counts as lost, and prints the wait. Time
    /// without room for the task does not count.
    pub fn check(&self) {
        self.check_within(LOST_MS);
    }

    /// check_within does the same with another bound.
    pub fn check_within(&self, bound_ms: u64) {
        let (waited_ms, roomy_ms) = self.waits();
        println!("waited {waited_ms} ms, {roomy_ms} ms of it with room");
        assert!(
            roomy_ms < bound_ms,
            "no run for {waited_ms} ms, {roomy_ms} ms of it with room:\n{}",
            self.story()
        );
    }
}
