// SPDX-License-Identifier: Apache-2.0
//! Gangs: the tasks of a step are placed all together or not at all.

use std::collections::BTreeSet;

use crate::{
    Cell,
    arena::{TaskKey, WorkerKey},
};

use super::candidate::Demand;

impl Cell {
    /// place_gang starts all tasks of a gang or none. It reports whether they started.
    pub(super) fn place_gang(&mut self, demand: &Demand) -> bool {
        let entry = self.step_of(demand.step);
        let tasks: Vec<TaskKey> = entry.ready.clone();
        if (tasks.len() as u32) < entry.left {
            return false;
        }
        let must_wait = |task: &TaskKey| self.must_wait(*task) || self.awaits_suspended(*task);
        if tasks.iter().any(must_wait) {
            return false;
        }
        let Some(chosen) = self.find_workers_for_gang(demand, tasks.len()) else {
            return false;
        };
        let numbers = tasks.iter().map(|task| self.task(*task).next_run);
        let run = numbers.max().unwrap_or(1);
        self.step_mut(demand.step).ready.clear();
        for (task, worker) in tasks.into_iter().zip(chosen) {
            let entry = self.task_mut(task);
            entry.ready = false;
            entry.next_run = run;
            self.start(task, worker);
        }
        true
    }

    /// find_workers_for_gang returns a worker for each task. It prefers a single rack where the
    /// step asks for one.
    fn find_workers_for_gang(&self, demand: &Demand, count: usize) -> Option<Vec<WorkerKey>> {
        if demand.same_rack {
            let racks: BTreeSet<u16> = self
                .live_workers()
                .map(|key| self.worker(key).rack)
                .collect();
            let mut racks = racks.into_iter();
            let found = racks.find_map(|rack| self.fit_gang(demand, count, Some(rack)));
            if found.is_some() {
                return found;
            }
        }
        self.fit_gang(demand, count, None)
    }

    fn fit_gang(&self, demand: &Demand, count: usize, rack: Option<u16>) -> Option<Vec<WorkerKey>> {
        let mut required = demand.size;
        required.memory_mib += demand.reserve_mib;
        let mut chosen = Vec::new();
        for key in self.live_workers() {
            let worker = self.worker(key);
            if rack.is_some_and(|rack| rack != worker.rack)
                || self.check_eligibility(demand, key).is_err()
            {
                continue;
            }
            let mut free = worker.free();
            let mut here = 0;
            while chosen.len() < count && here < demand.max_per_worker && required.fits(&free) {
                free = free.minus(&demand.size);
                here += 1;
                chosen.push(key);
            }
        }
        (chosen.len() == count).then_some(chosen)
    }
}
