// SPDX-License-Identifier: Apache-2.0
//! The thread that runs the state machines of this daemon, which own racks and
//! place homes, and the threads that do their I/O.

use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};

use flume::{Receiver, RecvTimeoutError, Sender};
use slog::{info, warn};
use stackpier_coordination::{
    effect::{Effect, Event, Note},
    owner::Owner,
    placer::{Placer, View},
};
use stackpier_core::Name;
use stackpier_protocol::{
    peer::{Claims, Hint, RackReport, Renounced, Request},
    sync::{Call, Reply},
};
use stackpier_state::{Page, Revision, holders::Member, page::Key, work::Run};
use stackpier_transport::platform::{Store, Worker};

use crate::{
    backend::Backend,
    clock,
    daemon::{Daemon, PEER_LIMIT, lock},
    metrics,
};

/// TICK is the time between two [`Event::Tick`]s. A tick that is due waits until no
/// input is queued.
const TICK: Duration = Duration::from_millis(100);
/// IO_THREADS is the number of threads for calls to the store and to workers.
const IO_THREADS: usize = 12;

/// Target identifies the state machine that an event is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The owner of a rack.
    Rack(Name),
    /// The placer of a shard.
    Homes(u16),
}

/// Input is a message to the scheduler's thread.
#[derive(Debug)]
pub enum Input {
    /// The outcome of an effect, for the state machine that requested it.
    Event(Target, Event),
    /// A hint that a page changed.
    Hint(Hint),
    /// Promises of another daemon not to renew racks.
    Renounced(Member, Vec<Renounced>),
    /// Give up all racks, for a planned stop.
    GiveUp,
}

/// Operation is a blocking call to the store or a worker for one state machine.
enum Operation {
    Read(Target, Key),
    Swap(Target, Key, Revision, Box<Page>),
    Sync(Target, Name, Call),
}

/// start starts the scheduler's thread and the I/O threads. They run until the
/// process exits.
pub fn start<B: Backend>(daemon: &Arc<Daemon<B>>, inputs: Receiver<Input>) -> std::io::Result<()> {
    let (operations, queue) = flume::unbounded();
    for number in 0..IO_THREADS {
        let daemon = Arc::clone(daemon);
        let queue: Receiver<Operation> = queue.clone();
        let thread = thread::Builder::new().name(format!("io-{number}"));
        thread.spawn(move || {
            for operation in queue {
                let (target, event) = perform(&daemon, operation);
                let _ = daemon.scheduler.send(Input::Event(target, event));
            }
        })?;
    }
    let mut scheduler = Scheduler::new(Arc::clone(daemon), operations);
    let thread = thread::Builder::new().name("scheduler".to_owned());
    thread.spawn(move || scheduler.run(&inputs))?;
    Ok(())
}

/// perform carries out an operation and returns the event for the state machine that
/// requested it.
fn perform<B: Backend>(daemon: &Daemon<B>, operation: Operation) -> (Target, Event) {
    match operation {
        Operation::Read(target, key) => {
            daemon.metrics.store_reads.add(1, &[]);
            (target, Event::Read(key, daemon.backend.read(key)))
        }
        Operation::Swap(target, key, expect, page) => {
            daemon.metrics.store_swaps.add(1, &[]);
            (
                target,
                Event::Swapped(key, daemon.backend.swap(key, expect, &page)),
            )
        }
        Operation::Sync(target, worker, call) => {
            daemon.metrics.worker_calls.add(1, &[]);
            (
                target,
                Event::Synced(worker, call_worker(daemon, worker, &call)),
            )
        }
    }
}

/// call_worker calls a worker. It returns `None` if the worker is not listed or does
/// not answer.
fn call_worker<B: Backend>(daemon: &Daemon<B>, worker: Name, call: &Call) -> Option<Reply> {
    let address = {
        let table = lock(&daemon.table);
        table.vm(worker).map(|vm| vm.address.clone())
    };
    daemon.backend.sync(&address?, call)
}

/// Scheduler passes inputs to the owners and placers of this daemon and carries
/// out their effects.
struct Scheduler<B> {
    daemon: Arc<Daemon<B>>,
    operations: Sender<Operation>,
    owners: BTreeMap<Name, Owner>,
    placers: BTreeMap<u16, Placer>,
}

impl<B: Backend> Scheduler<B> {
    fn new(daemon: Arc<Daemon<B>>, operations: Sender<Operation>) -> Scheduler<B> {
        let options = daemon.settings.placer;
        let placers = (0..options.shards).map(|shard| (shard, Placer::new(shard, options)));
        Scheduler {
            placers: placers.collect(),
            owners: BTreeMap::new(),
            daemon,
            operations,
        }
    }

    fn run(&mut self, inputs: &Receiver<Input>) {
        let mut next = clock::now();
        loop {
            let wait = Duration::from_millis(next.since(clock::now()));
            match inputs.recv_timeout(wait) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {
                    self.tick();
                    next = clock::now().plus(TICK.as_millis() as u64);
                }
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(Target::Rack(rack), event) => self.step_owner(rack, event),
            Input::Event(Target::Homes(shard), event) => self.step_placer(shard, event),
            Input::Hint(hint) => self.handle_hint(hint),
            Input::Renounced(from, promises) => {
                for promise in promises {
                    if let Some(owner) = self.owners.get_mut(&promise.rack) {
                        owner.receive_renounced(from, promise.below);
                    }
                }
            }
            Input::GiveUp => {
                self.owners.values_mut().for_each(Owner::give_up);
                self.publish();
            }
        }
    }

    fn handle_hint(&mut self, hint: Hint) {
        match hint {
            Hint::Claims(Claims { rack, .. }) | Hint::TakenOver { rack, .. } => {
                self.step_owner(rack, Event::Hint(hint));
            }
            Hint::Ended { shard, .. } => self.step_placer(shard, Event::Hint(hint)),
            Hint::Holders => {}
        }
    }

    /// tick passes the time to all state machines, and adds owners for racks that are
    /// new on the list.
    fn tick(&mut self) {
        let racks = lock(&self.daemon.table).racks();
        for rack in racks {
            let options = self.daemon.settings.owner;
            let me = self.daemon.me;
            self.owners
                .entry(rack)
                .or_insert_with(|| Owner::new(rack, me, options));
            self.step_owner(rack, Event::Tick);
        }
        let shards: Vec<u16> = self.placers.keys().copied().collect();
        for shard in shards {
            self.step_placer(shard, Event::Tick);
        }
        self.publish();
    }

    fn step_owner(&mut self, rack: Name, event: Event) {
        let Some(owner) = self.owners.get_mut(&rack) else {
            return;
        };
        let effects = {
            let table = lock(&self.daemon.table);
            let mut writer = lock(&self.daemon.writer);
            owner.step(clock::now(), event, &table, &mut writer)
        };
        for effect in effects {
            self.execute(Target::Rack(rack), effect);
        }
    }

    fn step_placer(&mut self, shard: u16, event: Event) {
        let Some(placer) = self.placers.get_mut(&shard) else {
            return;
        };
        let effects = {
            let table = lock(&self.daemon.table);
            let catalogue = lock(&self.daemon.catalogue);
            let racks = lock(&self.daemon.racks);
            let mut writer = lock(&self.daemon.writer);
            let view = View {
                table: &table,
                catalogue: &catalogue,
                racks: &racks,
            };
            placer.step(clock::now(), event, view, &mut writer)
        };
        for effect in effects {
            self.execute(Target::Homes(shard), effect);
        }
    }

    fn execute(&mut self, target: Target, effect: Effect) {
        let operation = match effect {
            Effect::Read(key) => Operation::Read(target, key),
            Effect::Swap(key, expect, page) => Operation::Swap(target, key, expect, Box::new(page)),
            Effect::Sync(worker, call) => Operation::Sync(target, worker, call),
            Effect::Hint(hint) => {
                self.send_hint(hint);
                return;
            }
            Effect::Note(note) => {
                self.log_note(target, note);
                return;
            }
        };
        let _ = self.operations.send(operation);
    }

    /// send_hint sends a hint to the daemon that it concerns, or to all daemons of
    /// the data centre if that one is not known. This daemon handles the hint, too,
    /// unless it concerns only another one.
    fn send_hint(&self, hint: Hint) {
        let recipient = match &hint {
            Hint::Claims(claims) => self.daemon.renewer(claims.rack),
            Hint::Ended { shard, .. } => self.daemon.placer(*shard),
            Hint::TakenOver { .. } | Hint::Holders => None,
        };
        let message = Request::Hint(hint.clone());
        match recipient {
            Some(vm) if vm == self.daemon.me.vm => {}
            Some(vm) => {
                let address = self.daemon.address(vm);
                let sent = address.map(|to| self.daemon.peers.send(to, &message, PEER_LIMIT));
                drop(sent);
                return;
            }
            None => {
                let _ = self.daemon.broadcast(&message);
            }
        }
        let _ = self.daemon.scheduler.send(Input::Hint(hint));
    }

    /// publish makes the reports and promises of the owners available to the
    /// heartbeats and the router.
    fn publish(&self) {
        let reports: Vec<RackReport> = self
            .owners
            .values()
            .filter_map(Owner::report)
            .cloned()
            .collect();
        let renounced = self.owners.values().filter_map(Owner::renounced).collect();
        let changed = reports
            .iter()
            .filter(|report| self.daemon.apply_report(report))
            .count()
            > 0;
        {
            let mut announcement = lock(&self.daemon.announcement);
            announcement.reports = reports;
            announcement.renounced = renounced;
        }
        if changed {
            self.daemon.refresh_routes();
        }
    }

    fn log_note(&self, target: Target, note: Note) {
        let log = &self.daemon.log;
        let count = |kind| {
            self.daemon
                .metrics
                .placements
                .add(1, &metrics::kind_label(kind))
        };
        let run_id =
            |run: Run| format!("{:x}.{}.{}", run.task.job.0, run.task.index, run.attempt.0);
        match note {
            Note::Committed(run, worker) => {
                count("committed");
                info!(log, "place: run committed"; "run" => run_id(run), "worker" => %worker);
            }
            Note::Ended(run, outcome) => {
                count("ended");
                info!(log, "place: run ended"; "run" => run_id(run), "outcome" => ?outcome);
            }
            Note::Claimed(run, worker) => {
                count("claimed");
                info!(log, "place: task claimed"; "run" => run_id(run), "worker" => %worker);
            }
            Note::Unplaced(run) => {
                count("unplaced");
                slog::debug!(log, "place: no worker has free capacity"; "run" => run_id(run));
            }
            Note::TookOver(rack, term) => {
                info!(log, "lease: rack taken over"; "rack" => %rack, "term" => term);
            }
            Note::GaveUp(rack, term) => {
                info!(log, "lease: rack given up"; "rack" => %rack, "term" => term);
            }
            Note::Reacted(action, worker) => {
                count("reacted");
                info!(log, "place: reaction to a slowed service";
                    "action" => ?action, "worker" => %worker);
            }
            Note::Lapsed(worker) => {
                info!(log, "lease: worker's lease expired"; "worker" => %worker, "target" => ?target);
            }
            Note::Rebooted(worker) => {
                info!(log, "lease: worker restarted"; "worker" => %worker);
            }
            Note::Failing(key) => {
                warn!(log, "store: calls fail"; "key" => %key, "target" => ?target);
            }
            Note::Answered(key, after_ms) => {
                info!(log, "store: calls are answered again";
                    "key" => %key, "after_ms" => after_ms, "target" => ?target);
            }
        }
    }
}
