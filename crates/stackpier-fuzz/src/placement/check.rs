// SPDX-License-Identifier: Apache-2.0
//! What must hold in the world of placement.

use std::collections::{BTreeMap, BTreeSet};

use stackpier_core::{Name, Size, key::Task};
use stackpier_protocol::{platform::Standing, sync::Clock as WorkerClock};
use stackpier_standin::worker::Span;
use stackpier_state::{
    Page,
    intent::Kind,
    rack::Phase,
    work::{Outcome, Run},
};

use super::{CAPACITY, DAEMONS, World, data_centre};
use crate::counts::hit;

impl World {
    /// check asserts what must hold at any time.
    pub fn check(&mut self) {
        let time = self.time;
        for machine in &mut self.workers {
            machine.model.advance(WorkerClock(machine.clock.at(time).0));
        }
        self.check_one_place();
        self.check_capacity();
        self.check_pages();
        self.check_chains();
    }

    fn check_one_place(&self) {
        let mut seen: BTreeMap<Task, (Name, Run)> = BTreeMap::new();
        for machine in &self.workers {
            for (run, _) in machine.model.running() {
                let before = seen.insert(run.task, (machine.name, run));
                assert!(
                    before.is_none(),
                    "{run:?} runs on {} and {before:?}",
                    machine.name
                );
            }
        }
    }

    fn check_capacity(&self) {
        for machine in &self.workers {
            let used: Size = machine.model.running().map(|(_, size)| size).sum();
            assert!(used.fits(&CAPACITY), "{} runs {used:?}", machine.name);
        }
    }

    fn check_pages(&self) {
        for (_, page) in self.store.values() {
            let Page::Rack(rack) = page else { continue };
            for worker in &rack.workers {
                let used = rack.committed(worker.name);
                assert!(used.fits(&worker.capacity), "{}: {used:?}", worker.name);
            }
        }
    }

    /// check_chains asserts that no run started twice, and that a run after an
    /// eviction resumed from what the eviction saved.
    fn check_chains(&self) {
        let mut runs: BTreeMap<Run, Span> = BTreeMap::new();
        for machine in &self.workers {
            for span in machine.past.iter().chain(machine.model.log()) {
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
                // The worker may have restarted before its word was heard;
                // then the run counts as lost and its checkpoint with it.
                let heard = self.ended_with_checkpoint(*run);
                assert!(
                    !heard || next.from == Some(saved),
                    "{run:?} saved {saved:?}: {next:?}"
                );
            }
        }
    }

    /// ended_with_checkpoint tells whether some rack's page still shows that
    /// the run's checkpoint was recorded.
    fn ended_with_checkpoint(&self, run: Run) -> bool {
        self.store.values().any(|(_, page)| match page {
            Page::Rack(rack) => rack
                .row(run)
                .is_some_and(|row| matches!(row.phase, Phase::Ended(Outcome::Stopped(Some(_))))),
            _ => false,
        })
    }

    /// check_rest asserts that after [`World::settle`] every wanted service
    /// task runs, if there is room, and nothing unwanted does.
    pub fn check_rest(&mut self) {
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
            .flat_map(|machine| machine.model.running().map(|(run, _)| run.task))
            .collect();
        let room = self.room();
        if wanted.len() <= room {
            let missing: Vec<&Task> = wanted.difference(&running).collect();
            assert!(missing.is_empty(), "not running at rest: {missing:?}");
            hit("rest: every wanted service task runs");
        }
        let extra: Vec<&Task> = running.difference(&wanted).collect();
        assert!(
            extra.is_empty(),
            "running at rest, but not wanted: {extra:?}"
        );
    }

    /// room returns how many service tasks fit on the workers that stay.
    fn room(&self) -> usize {
        let live = self.roster.vms[DAEMONS..]
            .iter()
            .filter(|vm| vm.standing == Standing::Live);
        live.count() * 2
    }
}
