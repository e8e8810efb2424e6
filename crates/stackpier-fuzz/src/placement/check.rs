// SPDX-License-Identifier: Apache-2.0
//! The invariants of placement.

use std::collections::{BTreeMap, BTreeSet};

use stackpier_core::{Name, Size, key::Task};
use stackpier_protocol::{platform::Standing, sync::Clock as WorkerClock};
use stackpier_standin::worker::Span;
use stackpier_state::{
    Page,
    homes::{End, Place},
    intent::Kind,
    rack::Phase,
    work::{Outcome, Run},
};

use super::{CAPACITY, DAEMONS, Simulation, data_centre};
use crate::counts::hit;

impl Simulation {
    /// check asserts the invariants that hold at any time.
    pub fn check(&mut self) {
        let time = self.time;
        for host in &mut self.workers {
            host.model.advance(WorkerClock(host.clock.at(time).0));
        }
        self.check_duplicates();
        self.check_capacity();
        self.check_pages();
        self.check_runs();
    }

    /// check_duplicates asserts that no task runs twice at once.
    fn check_duplicates(&self) {
        let mut seen: BTreeMap<Task, (Name, Run)> = BTreeMap::new();
        for host in &self.workers {
            for (run, _) in host.model.running() {
                let before = seen.insert(run.task, (host.name, run));
                assert!(
                    before.is_none(),
                    "{run:?} runs on {} and {before:?}",
                    host.name
                );
            }
        }
    }

    /// check_capacity asserts that no worker runs more than its capacity.
    fn check_capacity(&self) {
        for host in &self.workers {
            let used: Size = host.model.running().map(|(_, size)| size).sum();
            assert!(used.fits(&CAPACITY), "{} runs {used:?}", host.name);
        }
    }

    /// check_pages asserts that no rack's page commits more to a worker than
    /// its capacity.
    fn check_pages(&self) {
        for (_, page) in self.store.values() {
            let Page::Rack(rack) = page else { continue };
            for worker in &rack.workers {
                let used = rack.committed(worker.name);
                assert!(used.fits(&worker.capacity), "{}: {used:?}", worker.name);
            }
        }
    }

    /// check_runs asserts that no run started twice, and that the run after an
    /// eviction resumed from the checkpoint that the evicted run saved.
    fn check_runs(&self) {
        let mut runs: BTreeMap<Run, Span> = BTreeMap::new();
        for host in &self.workers {
            for span in host.past.iter().chain(host.model.log()) {
                let before = runs.insert(span.run, *span);
                assert!(before.is_none(), "{:?} started twice", span.run);
            }
        }
        for (run, span) in &runs {
            let Some((_, Outcome::Stopped(Some(saved)))) = span.ended else {
                continue;
            };
            let next = Run {
                task: run.task,
                attempt: run.attempt.next(),
            };
            if let Some(next) = runs.get(&next) {
                // If the worker restarted before its report was received, the
                // run counts as lost, and its checkpoint too.
                let recorded = self.ended_with_checkpoint(*run);
                assert!(
                    !recorded || next.from == Some(saved),
                    "{run:?} saved {saved:?}, but the next run did not resume from it: {next:?}"
                );
            }
        }
    }

    /// ended_with_checkpoint reports whether some rack's page still has the run
    /// as ended with a checkpoint.
    fn ended_with_checkpoint(&self, run: Run) -> bool {
        self.store.values().any(|(_, page)| match page {
            Page::Rack(rack) => rack
                .row(run)
                .is_some_and(|row| matches!(row.phase, Phase::Ended(Outcome::Stopped(Some(_))))),
            _ => false,
        })
    }

    /// check_at_rest asserts that after [`Simulation::settle`] no other tasks
    /// than those of wanted services run, and that these all run if they fit.
    pub fn check_at_rest(&mut self) {
        let mut wanted: BTreeSet<Task> = BTreeSet::new();
        for (_, shard) in self.intents.values() {
            for object in shard.objects.iter().filter(|object| !object.cancelled) {
                if !matches!(object.intent.kind, Kind::Service(_)) {
                    continue;
                }
                let job = object.job.within(data_centre());
                let count = object.intent.tasks(data_centre());
                wanted.extend((0..count).map(|index| Task { job, index }));
            }
        }
        let running: BTreeSet<Task> = self
            .workers
            .iter()
            .flat_map(|host| host.model.running().map(|(run, _)| run.task))
            .collect();
        let fitting = self.count_fitting_tasks();
        if wanted.len() <= fitting {
            let missing: Vec<&Task> = wanted.difference(&running).collect();
            assert!(missing.is_empty(), "not running at rest: {missing:?}");
            hit("rest: every wanted service task runs");
            self.check_batch_done();
        }
        let extra: Vec<&Task> = running.difference(&wanted).collect();
        assert!(
            extra.is_empty(),
            "running at rest, but not wanted: {extra:?}"
        );
    }

    /// check_batch_done asserts that every task of a batch job that was not
    /// cancelled has ended by the homes.
    fn check_batch_done(&self) {
        let (mut open, mut tasks) = (Vec::new(), 0);
        let objects = self.intents.values().flat_map(|(_, shard)| &shard.objects);
        for object in objects.filter(|object| !object.cancelled) {
            let Kind::Batch(batch) = &object.intent.kind else {
                continue;
            };
            let job = object.job.within(data_centre());
            tasks += batch.tasks;
            for index in 0..batch.tasks {
                let task = Task { job, index };
                let place = self.store.values().find_map(|(_, page)| match page {
                    Page::Homes(shard) => shard.home(task).map(|home| home.place),
                    _ => None,
                });
                if !matches!(place, Some(Place::Ended(End::Finished | End::Failed))) {
                    open.push((task, place));
                }
            }
        }
        assert!(open.is_empty(), "batch tasks not done at rest: {open:?}");
        if tasks > 0 {
            hit("rest: every batch task is done");
        }
    }

    /// count_fitting_tasks returns how many service tasks fit on the workers
    /// that are neither leaving nor gone.
    fn count_fitting_tasks(&self) -> usize {
        let live = self.roster.vms[DAEMONS..]
            .iter()
            .filter(|vm| vm.standing == Standing::Live);
        live.count() * 2
    }
}
