// SPDX-License-Identifier: Apache-2.0
//! The world of placement: owners and placers of several daemons over one
//! store and a few workers.

mod check;

use std::collections::{BTreeMap, VecDeque};

use stackpier_coordination::{
    accept::{Change, Wanted},
    effect::{Effect, Event, Note, Writer},
    membership::{self, Table},
    owner::{self, Owner},
    placer::{self, Placer, View},
    policy,
};
use stackpier_core::{Name, Size, key::Boot};
use stackpier_protocol::{
    peer::{Claims, Heartbeat, Hint, RackReport},
    platform::{Role, Roster, Standing, Vm},
    sync::{Call, Clock as WorkerClock},
};
use stackpier_standin::worker::{Span, Worker};
use stackpier_state::{
    Page, Revision,
    catalogue::{Catalogue, shard_of},
    holders::Member,
    intent::{Batch, Intent, Kind, Service, Shard},
    page::{ABSENT, Fetched, Key, Swapped},
    work::Outcome,
};

use crate::{
    counts::{hit, trace},
    time::Clock,
};

/// DAEMONS is the count of daemons.
pub const DAEMONS: usize = 3;
/// RACKS is the count of racks.
pub const RACKS: usize = 2;
/// WORKERS is the count of workers, spread over the racks.
pub const WORKERS: usize = 4;
/// SHARDS is the count of shards of homes.
const SHARDS: u16 = 2;
/// CAPACITY is what each worker offers.
const CAPACITY: Size = Size {
    milli_cores: 4_000,
    memory_mib: 4_000,
    accelerators: 1,
};
/// MAX_DRIFT_MILLI is how far a clock's rate is off, in thousandths.
const MAX_DRIFT_MILLI: u64 = 40;
/// SETTLE_ROUNDS is how many fault-free rounds bring the world to rest.
const SETTLE_ROUNDS: usize = 400;
/// ROUND_MS is the length of such a round.
const ROUND_MS: u64 = 100;

/// OWNER are the owners' options of the fuzz.
const OWNER: owner::Options = owner::Options {
    lease_ms: 3_000,
    drift_ms: 600,
    sync_ms: 300,
    commit_ms: 50,
    sweep_ms: 1_000,
    shards: SHARDS,
};

/// PLACER are the placers' options of the fuzz.
const PLACER: placer::Options = placer::Options {
    commit_ms: 50,
    sweep_ms: 1_000,
    shards: SHARDS,
    policy: policy::Options {
        most_excess_milli: 300,
    },
};

/// Guard is a safety rule that a test can take away, to see the oracle fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Guard {
    /// All rules stand.
    #[default]
    Whole,
    /// The store takes a swap at any revision.
    NoCompare,
    /// Workers keep a lease longer than its renewer waits for.
    NoLeaseWait,
    /// The worker takes calls that are older than their lease.
    NoStaleCheck,
    /// A rack's page forgets by which revision ended rows were dropped.
    NoSettled,
}

/// Step is one transition. Numbers choose among what is there.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Let a daemon look at the clock.
    Tick(u8),
    /// Let time pass, in milliseconds.
    Wait(u16),
    /// Carry out a call and deliver its answer.
    Deliver(u8),
    /// Carry out a call and lose its answer.
    LoseAnswer(u8),
    /// Lose a call.
    LoseCall(u8),
    /// Report a call as unanswered and carry it out later.
    Detach(u8),
    /// Carry out a call that was detached.
    Late(u8),
    /// Freeze a daemon.
    Freeze(u8),
    /// Thaw a daemon.
    Thaw(u8),
    /// End a daemon and start it anew with nothing.
    Restart(u8),
    /// Send a heartbeat.
    Beat(u8, u8),
    /// Deliver a heartbeat or hint under way.
    Arrive(u8),
    /// Hold a message back; a copy arrives as usual.
    Hold(u8),
    /// Deliver a message that was held back.
    Release(u8),
    /// Lose a heartbeat or hint under way.
    Vanish(u8),
    /// Start a worker anew.
    Reboot(u8),
    /// Cut a worker off from all daemons, or heal it.
    Cut(u8, bool),
    /// List a worker as leaving.
    Leave(u8),
    /// End a worker and list it as gone.
    Gone(u8),
    /// End a daemon and list its VM as gone.
    Lost(u8),
    /// Want this many replicas of a service.
    Scale(u8, u8),
    /// Submit a batch job.
    Submit(u8),
    /// Cancel an intent.
    Cancel(u8),
    /// Give a daemon all accepted intents.
    Learn(u8),
    /// Give a daemon the list of VMs.
    List(u8),
    /// A fault-free stretch: everybody looks, all calls and messages arrive.
    Calm(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    Rack(Name),
    Homes(u16),
}

#[derive(Clone, Debug)]
enum Work {
    Read(Key),
    Swap(Key, Revision, Box<Page>),
    Sync(Name, Call),
}

/// Operation is a call under way from a daemon's machine.
#[derive(Clone, Debug)]
struct Operation {
    daemon: usize,
    boot: Boot,
    target: Target,
    work: Work,
}

#[derive(Clone, Debug)]
enum Message {
    Beat(Box<Heartbeat>),
    Hint(Hint),
}

#[derive(Debug)]
struct Daemon {
    boot: Boot,
    clock: Clock,
    table: Table,
    catalogue: Catalogue,
    racks: BTreeMap<Name, RackReport>,
    owners: BTreeMap<Name, Owner>,
    placers: BTreeMap<u16, Placer>,
    writer: Writer,
    frozen: bool,
    dead: bool,
    inbox: VecDeque<(Target, Event)>,
}

#[derive(Debug)]
struct Machine {
    name: Name,
    clock: Clock,
    model: Worker,
    gone: bool,
    cut: bool,
    /// Logs of earlier boots.
    past: Vec<Span>,
}

/// World is everything under test and its fakes.
#[derive(Debug)]
pub struct World {
    guard: Guard,
    time: u64,
    boots: u64,
    store: BTreeMap<Key, (Revision, Page)>,
    revision: u64,
    roster: Roster,
    intents: BTreeMap<u16, (Revision, Shard)>,
    submissions: u128,
    daemons: Vec<Daemon>,
    workers: Vec<Machine>,
    under_way: Vec<Operation>,
    detached: Vec<Operation>,
    messages: Vec<(usize, Message)>,
    held: Vec<(usize, Message)>,
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap_or_else(|error| panic!("'{text}': {error}"))
}

fn data_centre() -> Name {
    name("dc-a")
}

fn rack(number: usize) -> Name {
    name(&format!("rack-{number}"))
}

impl World {
    /// new builds a world at rest with nothing submitted.
    pub fn new(guard: Guard) -> World {
        let mut world = World {
            guard,
            time: 0,
            boots: 0,
            store: BTreeMap::new(),
            revision: 0,
            roster: Roster::default(),
            intents: BTreeMap::new(),
            submissions: 0,
            daemons: Vec::new(),
            workers: Vec::new(),
            under_way: Vec::new(),
            detached: Vec::new(),
            messages: Vec::new(),
            held: Vec::new(),
        };
        for number in 0..DAEMONS {
            world.roster.vms.push(vm(&format!("entry-{number}"), None));
        }
        for number in 0..WORKERS {
            let label = format!("worker-{number}");
            let rack = rack(number % RACKS);
            world.roster.vms.push(vm(&label, Some(rack)));
            let boot = world.boot();
            world.workers.push(Machine {
                name: name(&label),
                clock: Clock::new(
                    7_000 * number as u64,
                    1_000 - MAX_DRIFT_MILLI + drift(number),
                ),
                model: Worker::new(name(&label), boot),
                gone: false,
                cut: false,
                past: Vec::new(),
            });
        }
        for number in 0..DAEMONS {
            let daemon = world.fresh(number);
            world.daemons.push(daemon);
        }
        world
    }

    fn boot(&mut self) -> Boot {
        self.boots += 1;
        Boot(self.boots)
    }

    fn fresh(&mut self, number: usize) -> Daemon {
        let boot = self.boot();
        let me = Member {
            vm: name(&format!("entry-{number}")),
            boot,
        };
        let options = membership::Options { silence_ms: 1_500 };
        let mut table = Table::new(me, data_centre(), options);
        table.list(self.roster.clone());
        let owners = (0..RACKS).map(|n| (rack(n), Owner::new(rack(n), me, OWNER)));
        let placers = (0..SHARDS).map(|shard| (shard, Placer::new(shard, PLACER)));
        Daemon {
            boot,
            clock: Clock::new(
                100_000 * (number as u64 + 1),
                1_000 - MAX_DRIFT_MILLI + drift(number + 2),
            ),
            table,
            catalogue: Catalogue::default(),
            racks: BTreeMap::new(),
            owners: owners.collect(),
            placers: placers.collect(),
            writer: Writer::new(boot),
            frozen: false,
            dead: false,
            inbox: VecDeque::new(),
        }
    }

    /// step makes one transition.
    pub fn step(&mut self, step: Step) {
        trace("step", &step);
        match step {
            Step::Tick(n) => self.tick(usize::from(n) % DAEMONS),
            Step::Wait(ms) => self.time += u64::from(ms),
            Step::Deliver(n) => self.deliver(n, true),
            Step::LoseAnswer(n) => self.deliver(n, false),
            Step::LoseCall(n) => self.lose_call(n),
            Step::Detach(n) => self.detach(n),
            Step::Late(n) => self.late(n),
            Step::Freeze(n) => self.freeze(usize::from(n) % DAEMONS),
            Step::Thaw(n) => self.thaw(usize::from(n) % DAEMONS),
            Step::Restart(n) => self.restart(usize::from(n) % DAEMONS),
            Step::Beat(from, to) => {
                self.beat(usize::from(from) % DAEMONS, usize::from(to) % DAEMONS)
            }
            Step::Arrive(n) => self.arrive(n),
            Step::Hold(n) => self.hold(n),
            Step::Release(n) => self.release(n),
            Step::Vanish(n) => drop(pick(&mut self.messages, n)),
            Step::Reboot(n) => self.reboot(usize::from(n) % WORKERS),
            Step::Cut(n, cut) => self.workers[usize::from(n) % WORKERS].cut = cut,
            Step::Leave(n) => self.list_worker(usize::from(n) % WORKERS, Standing::Leaving),
            Step::Gone(n) => self.end_worker(usize::from(n) % WORKERS),
            Step::Lost(n) => self.end_daemon(usize::from(n) % DAEMONS),
            Step::Scale(n, count) => self.scale(n, count),
            Step::Submit(n) => self.submit(n),
            Step::Cancel(n) => self.cancel(n),
            Step::Learn(n) => self.learn(usize::from(n) % DAEMONS),
            Step::List(n) => self.learn_list(usize::from(n) % DAEMONS),
            Step::Calm(rounds) => (0..rounds % 32).for_each(|_| self.round()),
        }
    }

    fn tick(&mut self, number: usize) {
        if self.daemons[number].frozen || self.daemons[number].dead {
            return;
        }
        for place in 0..RACKS {
            self.machine(number, Target::Rack(rack(place)), Event::Tick);
        }
        for shard in 0..SHARDS {
            self.machine(number, Target::Homes(shard), Event::Tick);
        }
    }

    /// machine gives one event to one machine and takes its effects.
    fn machine(&mut self, number: usize, target: Target, event: Event) {
        let time = self.time;
        let daemon = &mut self.daemons[number];
        let now = daemon.clock.at(time);
        let effects = match target {
            Target::Rack(rack) => {
                let Some(owner) = daemon.owners.get_mut(&rack) else {
                    return;
                };
                owner.step(now, event, &daemon.table, &mut daemon.writer)
            }
            Target::Homes(shard) => {
                let view = View {
                    table: &daemon.table,
                    catalogue: &daemon.catalogue,
                    racks: &daemon.racks,
                };
                let Some(placer) = daemon.placers.get_mut(&shard) else {
                    return;
                };
                placer.step(now, event, view, &mut daemon.writer)
            }
        };
        let reports: Vec<RackReport> = daemon
            .owners
            .values()
            .filter_map(Owner::report)
            .cloned()
            .collect();
        reports
            .into_iter()
            .for_each(|report| take_report(daemon, report));
        let boot = daemon.boot;
        for effect in effects {
            self.effect(number, boot, target, effect);
        }
    }

    fn effect(&mut self, daemon: usize, boot: Boot, target: Target, effect: Effect) {
        let work = match effect {
            Effect::Read(key) => Work::Read(key),
            Effect::Swap(key, expect, page) => Work::Swap(key, expect, Box::new(page)),
            Effect::Sync(worker, call) => Work::Sync(worker, call),
            Effect::Hint(hint) => {
                for other in 0..DAEMONS {
                    self.messages.push((other, Message::Hint(hint.clone())));
                }
                return;
            }
            Effect::Note(note) => {
                count_note(note);
                return;
            }
        };
        self.under_way.push(Operation {
            daemon,
            boot,
            target,
            work,
        });
    }

    fn deliver(&mut self, n: u8, answered: bool) {
        let Some(operation) = pick(&mut self.under_way, n) else {
            return;
        };
        if self.cut(&operation.work) {
            hit("fault: worker cut off");
            self.answer(&operation, failure(&operation.work));
            self.detached.push(operation);
            return;
        }
        let event = self.perform(&operation.work);
        match answered {
            true => self.answer(&operation, event),
            false => {
                hit("fault: answer lost after the call took effect");
                self.answer(&operation, failure(&operation.work));
            }
        }
    }

    /// cut tells whether a call can't reach its worker now. It may reach it
    /// later.
    fn cut(&self, work: &Work) -> bool {
        let Work::Sync(worker, _) = work else {
            return false;
        };
        let found = self.workers.iter().find(|machine| machine.name == *worker);
        found.is_some_and(|machine| machine.cut)
    }

    fn lose_call(&mut self, n: u8) {
        let Some(operation) = pick(&mut self.under_way, n) else {
            return;
        };
        hit("fault: call lost");
        self.answer(&operation, failure(&operation.work));
    }

    fn detach(&mut self, n: u8) {
        let Some(operation) = pick(&mut self.under_way, n) else {
            return;
        };
        hit("fault: call delayed past its time-out");
        self.answer(&operation, failure(&operation.work));
        self.detached.push(operation);
    }

    fn late(&mut self, n: u8) {
        let Some(operation) = pick(&mut self.detached, n) else {
            return;
        };
        let event = self.perform(&operation.work);
        match event {
            Event::Swapped(_, Swapped::Lost) => hit("branch: late swap lost"),
            Event::Swapped(_, Swapped::Won(_)) => hit("branch: late swap took effect"),
            Event::Synced(..) => hit("branch: late worker call arrived"),
            _ => {}
        }
    }

    fn answer(&mut self, operation: &Operation, event: Event) {
        let daemon = &mut self.daemons[operation.daemon];
        if daemon.dead || daemon.boot != operation.boot {
            return;
        }
        if daemon.frozen {
            daemon.inbox.push_back((operation.target, event));
            return;
        }
        self.machine(operation.daemon, operation.target, event);
    }

    /// perform carries out a call at the store or at a worker.
    fn perform(&mut self, work: &Work) -> Event {
        match work {
            Work::Read(key) => Event::Read(
                *key,
                self.store
                    .get(key)
                    .map_or(Fetched::Absent, |(revision, page)| {
                        Fetched::Found(*revision, page.clone())
                    }),
            ),
            Work::Swap(key, expect, page) => Event::Swapped(*key, self.swap(*key, *expect, page)),
            Work::Sync(worker, call) => Event::Synced(*worker, self.sync(*worker, call)),
        }
    }

    fn swap(&mut self, key: Key, expect: Revision, page: &Page) -> Swapped {
        let current = self
            .store
            .get(&key)
            .map_or(ABSENT, |(revision, _)| *revision);
        if current != expect && self.guard != Guard::NoCompare {
            hit("branch: swap lost");
            return Swapped::Lost;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        let mut page = page.clone();
        if let (Guard::NoSettled, Page::Rack(rack)) = (self.guard, &mut page) {
            rack.settled.clear();
        }
        self.store.insert(key, (revision, page));
        Swapped::Won(revision)
    }

    fn sync(&mut self, worker: Name, call: &Call) -> Option<stackpier_protocol::sync::Reply> {
        let time = self.time;
        let machine = self
            .workers
            .iter_mut()
            .find(|machine| machine.name == worker)?;
        if machine.gone {
            return None;
        }
        let now = WorkerClock(machine.clock.at(time).0);
        let mut call = call.clone();
        match self.guard {
            Guard::NoStaleCheck => call.clock = now,
            Guard::NoLeaseWait => call.lease_ms *= 4,
            Guard::Whole | Guard::NoCompare | Guard::NoSettled => {}
        }
        if now.0 > call.clock.0 + call.lease_ms && call.boot != Boot::default() {
            hit("branch: worker ignored a call older than its lease");
        }
        Some(machine.model.sync(now, &call))
    }

    fn freeze(&mut self, number: usize) {
        if !self.daemons[number].frozen {
            hit("fault: daemon frozen");
        }
        self.daemons[number].frozen = true;
    }

    fn thaw(&mut self, number: usize) {
        self.daemons[number].frozen = false;
        if self.daemons[number].dead {
            return;
        }
        while let Some((target, event)) = self.daemons[number].inbox.pop_front() {
            self.machine(number, target, event);
        }
    }

    fn restart(&mut self, number: usize) {
        if self.daemons[number].dead {
            return;
        }
        hit("fault: daemon restarted");
        self.daemons[number] = self.fresh(number);
    }

    fn end_daemon(&mut self, number: usize) {
        let living = self.daemons.iter().filter(|daemon| !daemon.dead).count();
        if living <= 1 || self.daemons[number].dead {
            return;
        }
        hit("fault: daemon's VM gone");
        self.daemons[number].dead = true;
        self.roster.vms[number].standing = Standing::Gone;
    }

    fn beat(&mut self, from: usize, to: usize) {
        let daemon = &self.daemons[from];
        if from == to || daemon.frozen || daemon.dead {
            return;
        }
        let beat = Heartbeat {
            from: daemon.table.me(),
            data_centre: data_centre(),
            leaving: false,
            sum: 0,
            holders: 0,
            departing: daemon.table.departing(),
            racks: daemon
                .owners
                .values()
                .filter_map(Owner::report)
                .cloned()
                .collect(),
            renounced: daemon
                .owners
                .values()
                .filter_map(Owner::renounced)
                .collect(),
        };
        self.messages.push((to, Message::Beat(Box::new(beat))));
    }

    fn arrive(&mut self, n: u8) {
        let Some((to, message)) = pick(&mut self.messages, n) else {
            return;
        };
        self.take(to, message);
    }

    /// hold keeps a copy of a placer's word under way.
    fn hold(&mut self, n: u8) {
        let claims = |entry: &&(usize, Message)| matches!(entry.1, Message::Hint(Hint::Claims(_)));
        let words: Vec<(usize, Message)> = self.messages.iter().filter(claims).cloned().collect();
        if !words.is_empty() {
            self.held.push(words[usize::from(n) % words.len()].clone());
        }
    }

    fn release(&mut self, n: u8) {
        if let Some((to, message)) = pick(&mut self.held, n) {
            hit("fault: placer's word arrived late");
            self.take(to, message);
        }
    }

    fn take(&mut self, to: usize, message: Message) {
        let time = self.time;
        let daemon = &mut self.daemons[to];
        if daemon.frozen || daemon.dead {
            return;
        }
        match message {
            Message::Hint(hint) => match hint {
                Hint::Claims(Claims { rack, .. }) | Hint::TakenOver { rack, .. } => {
                    self.machine(to, Target::Rack(rack), Event::Hint(hint));
                }
                Hint::Ended { shard, .. } => {
                    self.machine(to, Target::Homes(shard), Event::Hint(hint));
                }
                Hint::Holders => {}
            },
            Message::Beat(beat) => {
                daemon.table.heard(daemon.clock.at(time), &beat);
                for report in beat.racks {
                    take_report(daemon, report);
                }
                for promise in beat.renounced {
                    if let Some(owner) = daemon.owners.get_mut(&promise.rack) {
                        hit("branch: promise not to renew heard");
                        owner.heard_renounced(beat.from, promise.below);
                    }
                }
            }
        }
    }

    fn reboot(&mut self, number: usize) {
        if self.workers[number].gone {
            return;
        }
        hit("fault: worker restarted");
        let boot = self.boot();
        let machine = &mut self.workers[number];
        let fresh = Worker::new(machine.name, boot);
        let old = std::mem::replace(&mut machine.model, fresh);
        machine.past.extend(old.log());
    }

    fn list_worker(&mut self, number: usize, standing: Standing) {
        let row = &mut self.roster.vms[DAEMONS + number];
        if row.standing != Standing::Gone {
            row.standing = standing;
        }
    }

    /// end_worker keeps one worker of each rack, so that work can go on.
    fn end_worker(&mut self, number: usize) {
        if number < RACKS || self.workers[number].gone {
            return;
        }
        hit("fault: worker gone");
        self.workers[number].gone = true;
        self.reboot_log(number);
        self.list_worker(number, Standing::Gone);
    }

    fn reboot_log(&mut self, number: usize) {
        let boot = self.boot();
        let machine = &mut self.workers[number];
        let fresh = Worker::new(machine.name, boot);
        let old = std::mem::replace(&mut machine.model, fresh);
        machine.past.extend(old.log());
    }

    fn scale(&mut self, n: u8, count: u8) {
        let label = name(&format!("service-{}", n % 2));
        let replicas = [(data_centre(), u32::from(count % 4))]
            .into_iter()
            .collect();
        let kind = Kind::Service(Service {
            replicas,
            latency_target_ms: 50,
        });
        self.change(Wanted::Submit(intent(label, 1_500, kind)));
    }

    fn submit(&mut self, n: u8) {
        let label = name(&format!("batch-{}", n % 3));
        let kind = Kind::Batch(Batch {
            data_centre: data_centre(),
            tasks: 2,
            deadline: stackpier_core::Unix(0),
            checkpointable: true,
            run_time_ms: 2_000,
        });
        self.change(Wanted::Submit(intent(label, 1_000, kind)));
    }

    fn cancel(&mut self, n: u8) {
        let labels = ["service-0", "service-1", "batch-0", "batch-1", "batch-2"];
        let label = labels[usize::from(n) % labels.len()];
        self.change(Wanted::Cancel(name(label)));
    }

    fn change(&mut self, wanted: Wanted) {
        self.submissions += 1;
        let change = Change {
            submission: self.submissions,
            expect: None,
            wanted,
        };
        let shard = shard_of(change.name());
        let (revision, page) = self.intents.entry(shard).or_default();
        if let Ok(Some(next)) = change.apply(page) {
            *page = next;
            revision.0 += 1;
        }
    }

    fn learn(&mut self, number: usize) {
        for (shard, (revision, page)) in &self.intents {
            self.daemons[number]
                .catalogue
                .offer(*shard, *revision, page.clone());
        }
    }

    fn learn_list(&mut self, number: usize) {
        if !self.daemons[number].frozen {
            self.daemons[number].table.list(self.roster.clone());
        }
    }

    /// round lets everybody look once and everything arrive.
    fn round(&mut self) {
        self.time += ROUND_MS;
        for number in 0..DAEMONS {
            self.learn(number);
            self.learn_list(number);
            for other in 0..DAEMONS {
                self.beat(number, other);
            }
        }
        self.messages
            .drain(..)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|(to, message)| {
                self.take(to, message);
            });
        for number in 0..DAEMONS {
            self.tick(number);
        }
        for _ in 0..self.under_way.len() {
            self.deliver(0, true);
        }
    }

    /// settle ends all faults and lets the world come to rest.
    pub fn settle(&mut self) {
        for number in 0..DAEMONS {
            self.thaw(number);
        }
        for machine in &mut self.workers {
            machine.cut = false;
        }
        while !self.detached.is_empty() {
            self.late(0);
        }
        for _ in 0..SETTLE_ROUNDS {
            self.round();
            self.check();
        }
    }
}

fn take_report(daemon: &mut Daemon, report: RackReport) {
    let order = |report: &RackReport| (report.term, report.change);
    let known = daemon.racks.get(&report.rack).map(order);
    if known.is_none_or(|known| known < order(&report)) {
        daemon.racks.insert(report.rack, report);
    }
}

fn count_note(note: Note) {
    trace("note", &note);
    match note {
        Note::Committed(..) => hit("branch: run committed"),
        Note::Ended(_, Outcome::Stopped(Some(_))) => hit("branch: run evicted with a checkpoint"),
        Note::Ended(_, Outcome::Refused) => hit("branch: claim refused by the rack"),
        Note::Ended(..) => hit("branch: run ended"),
        Note::Claimed(..) => hit("branch: task claimed"),
        Note::Unplaced(_) => hit("branch: no room"),
        Note::TookOver(..) => hit("branch: rack taken over"),
        Note::GaveUp(..) => hit("branch: rack given up"),
        Note::Reacted(..) => hit("branch: reaction to a slowed service"),
        Note::Lapsed(_) => hit("branch: lease lapsed as evidence"),
        Note::Rebooted(_) => hit("branch: worker's new boot as evidence"),
    }
}

fn failure(work: &Work) -> Event {
    match work {
        Work::Read(key) => Event::Read(*key, Fetched::Failed),
        Work::Swap(key, ..) => Event::Swapped(*key, Swapped::Unclear),
        Work::Sync(worker, _) => Event::Synced(*worker, None),
    }
}

fn pick<T>(all: &mut Vec<T>, n: u8) -> Option<T> {
    if all.is_empty() {
        return None;
    }
    let place = usize::from(n) % all.len();
    Some(all.remove(place))
}

fn drift(number: usize) -> u64 {
    // Rates from 96% to 104% of true time.
    (number as u64 * 31) % (2 * MAX_DRIFT_MILLI)
}

fn intent(label: Name, milli_cores: u32, kind: Kind) -> Intent {
    Intent {
        name: label,
        team: name("team-a"),
        size: Size {
            milli_cores,
            memory_mib: 500,
            accelerators: 0,
        },
        priority: 0,
        kind,
    }
}

fn vm(label: &str, rack: Option<Name>) -> Vm {
    Vm {
        name: name(label),
        role: if rack.is_some() {
            Role::Worker
        } else {
            Role::Entry
        },
        data_centre: data_centre(),
        rack,
        address: String::new(),
        capacity: CAPACITY,
        standing: Standing::Live,
    }
}
