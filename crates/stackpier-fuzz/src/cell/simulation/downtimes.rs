// SPDX-License-Identifier: Apache-2.0
//! The record of downtimes: what owners save, and records that name other tasks.

use stackpier_cell::{
    Cell, EndCause, TaskName,
    downtime::{Cause, Entry, Record},
};
use stackpier_core::key;

use super::Simulation;

/// CAUSES lists what a record names as the end of a task's last run.
const CAUSES: [Cause; 4] = [
    Cause::Died,
    Cause::Missing,
    Cause::Unknown,
    Cause::Listed(EndCause::Done),
];
/// MAX_DOWNTIME_MS is the longest downtime that a record names.
const MAX_DOWNTIME_MS: u64 = 30_000;
/// UNKNOWN_JOB is a job that was never submitted.
const UNKNOWN_JOB: key::Job = key::Job(u64::MAX);

impl Simulation {
    /// save_downtimes stores the downtimes of long-running tasks.
    pub(super) fn save_downtimes(&mut self, record: Record) {
        self.store.downtimes = record;
        self.store.downtimes_at = self.now_ms;
    }

    /// restore_downtimes passes the downtimes of long-running tasks to a new owner, whoever saved
    /// them, with entries for any other tasks, those that run or are done included.
    pub(super) fn restore_downtimes(&mut self, cell: &mut Cell, jobs: &[key::Job]) {
        let mut record = self.store.downtimes.clone();
        let mut age_ms = self.now_ms - self.store.downtimes_at;
        if self.faults.downtimes > 0 {
            record.entries.extend(self.draw_entries(jobs));
            age_ms = self.draw_extra_range(0, age_ms);
        }
        if !record.entries.is_empty() {
            self.count("takeover with downtimes");
        }
        cell.restore_downtimes(&record, age_ms);
    }

    fn draw_entries(&mut self, jobs: &[key::Job]) -> Vec<Entry> {
        let mut tasks = vec![TaskName {
            job: UNKNOWN_JOB,
            round: 0,
            step: 0,
            index: 0,
        }];
        for job in jobs {
            let steps = &self.oracle.specs[job].steps;
            for (step, spec) in steps.iter().enumerate() {
                tasks.extend((0..spec.count).map(|index| TaskName {
                    job: *job,
                    round: 0,
                    step: step as u16,
                    index,
                }));
            }
        }
        tasks.retain(|_| self.draw_extra_fault(self.faults.downtimes));
        tasks
            .into_iter()
            .map(|task| self.draw_entry(task))
            .collect()
    }

    fn draw_entry(&mut self, task: TaskName) -> Entry {
        let cause = self.draw_extra_range(0, CAUSES.len() as u64 - 1);
        Entry {
            task,
            cause: CAUSES[cause as usize],
            ms: self.draw_extra_range(0, MAX_DOWNTIME_MS),
        }
    }
}
