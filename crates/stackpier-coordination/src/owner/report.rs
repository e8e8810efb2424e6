// SPDX-License-Identifier: Apache-2.0
//! The owner's report on its rack to the data centre.

use stackpier_core::Millis;
use stackpier_protocol::peer::{Endpoint, RackReport, WorkerReport};
use stackpier_state::{
    rack::{Condition, Phase, Rack, Row, Worker},
    work::Class,
};

use super::Owner;
use crate::interference::MIN_REPORTED_EXCESS;

/// MAX_MISSED_SYNCS is the number of intervals between calls without a reply
/// after which a worker is offered no new tasks.
const MAX_MISSED_SYNCS: u64 = 3;

impl Owner {
    /// update_report builds the report, and numbers it as a new one if it changed.
    pub(super) fn update_report(&mut self, now: Millis) {
        let Some((_, page)) = &self.page else { return };
        let workers = page
            .workers
            .iter()
            .filter_map(|worker| self.worker_report(now, page, worker));
        let endpoints = page.rows.iter().filter_map(|row| self.endpoint(page, row));
        let next = RackReport {
            rack: self.rack,
            renewer: self.me.vm,
            term: page.renewer.map_or(0, |renewer| renewer.term),
            change: self.report.change,
            workers: workers.collect(),
            endpoints: endpoints.collect(),
            pairs: self.model.report(MIN_REPORTED_EXCESS),
        };
        if next != self.report {
            self.report = next;
            self.report.change += 1;
        }
    }

    /// worker_report returns the report on a worker, or `None` if it was not called
    /// yet, does not answer, or its breaker is open because runs failed.
    pub(super) fn worker_report(
        &self,
        now: Millis,
        page: &Rack,
        worker: &Worker,
    ) -> Option<WorkerReport> {
        let contact = self.contacts.get(&worker.name)?;
        let silent = now.since(contact.last_contact) > MAX_MISSED_SYNCS * self.options.sync_ms;
        let broken = self
            .breakers
            .get(&worker.name)
            .is_some_and(|b| !b.ready(now));
        if silent || broken {
            return None;
        }
        Some(WorkerReport {
            worker: worker.name,
            capacity: worker.capacity,
            free: page.free(worker.name)?,
            slowdown_milli: contact.slowdown_milli,
        })
    }

    /// endpoint returns the endpoint of a row, if it is a service task that its
    /// worker reported as running, and neither the task is being stopped nor the
    /// worker is leaving or gone.
    pub(super) fn endpoint(&self, page: &Rack, row: &Row) -> Option<Endpoint> {
        let up = page.worker(row.worker)?.condition == Condition::Up;
        let runs = self.contacts.get(&row.worker)?.running.contains(&row.run);
        let serves = row.work.class == Class::Service && row.phase == Phase::Running;
        (up && runs && serves).then_some(Endpoint {
            service: row.work.name,
            worker: row.worker,
            run: row.run,
        })
    }
}
