// SPDX-License-Identifier: Apache-2.0
//! The owner's calls to its workers, and their replies.

use stackpier_core::{Millis, Name, key::Boot};
use stackpier_protocol::sync::{Call, Reply, Start};
use stackpier_state::{
    rack::{Condition, Phase, Rack, Row, Worker},
    work::Run,
};

use super::{Contact, NO_SLOWDOWN_MILLI, Owner};
use crate::{effect::Effect, membership::Table};

/// URGENT_GAP_MS is the shortest time between two calls to a worker that has
/// runs to start or stop, in milliseconds.
const URGENT_GAP_MS: u64 = 20;

impl Owner {
    /// receive_reply records a worker's reply, unless it is older than the last
    /// one of the same boot. `None` means that the worker did not answer.
    pub(super) fn receive_reply(
        &mut self,
        now: Millis,
        worker: Name,
        reply: Option<Reply>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(contact) = self.contacts.get_mut(&worker) else {
            return;
        };
        contact.calling = false;
        let Some(reply) = reply else { return };
        if contact.boot == reply.boot && reply.clock < contact.clock {
            return;
        }
        contact.boot = reply.boot;
        contact.clock = reply.clock;
        contact.last_contact = now;
        contact.running = reply.running.into_iter().collect();
        contact.ended = reply
            .ended
            .into_iter()
            .map(|e| (e.run, e.outcome))
            .collect();
        let slowest = reply.usage.iter().map(|usage| usage.slowdown_milli).max();
        contact.slowdown_milli = slowest.unwrap_or(NO_SLOWDOWN_MILLI);
        self.learn(now, worker, &reply.usage, effects);
    }

    /// call_workers calls the workers whose call is due, if this daemon renews
    /// the rack's leases.
    pub(super) fn call_workers(&mut self, now: Millis, table: &Table, effects: &mut Vec<Effect>) {
        if !self.renews() {
            self.contacts.clear();
            self.expiring.clear();
            self.unwritten.clear();
            return;
        }
        let Some((_, page)) = &self.page else { return };
        let Some(term) = page.renewer.map(|renewer| renewer.term) else {
            return;
        };
        if self.renounced.is_some_and(|below| term < below) {
            return;
        }
        let open = |worker: Name, run: &Run| page.live(worker).any(|row| row.run == *run);
        self.expiring
            .retain(|worker, runs| runs.iter().any(|run| open(*worker, run)));
        let callable = |w: &&Worker| w.condition != Condition::Gone && table.vm(w.name).is_some();
        for worker in page.workers.iter().filter(callable) {
            let contact = self.contacts.entry(worker.name).or_insert_with(|| Contact {
                last_contact: now,
                ..Contact::default()
            });
            if !is_due(now, page, worker, contact, self.options.sync_ms) {
                continue;
            }
            contact.calling = true;
            contact.called = Some(now);
            let open = |run: &Run| {
                page.row(*run)
                    .is_some_and(|row| row.phase == Phase::Running)
            };
            self.evict.retain(open);
            let mut call = build_call(page, worker, contact, term, self.options.lease_ms);
            if self.expiring.contains_key(&worker.name) {
                call = build_probe(&call);
            }
            effects.push(Effect::Sync(worker.name, call));
        }
    }
}

/// is_due reports whether a worker should be called now: after `sync_ms`, or
/// after URGENT_GAP_MS if it has runs to start or stop.
fn is_due(now: Millis, page: &Rack, worker: &Worker, contact: &Contact, sync_ms: u64) -> bool {
    if contact.calling {
        return false;
    }
    let passed = |wait_ms| contact.called.is_none_or(|at| now.since(at) >= wait_ms);
    passed(sync_ms) || (passed(URGENT_GAP_MS) && has_urgent_runs(page, worker, contact))
}

/// has_urgent_runs reports whether a worker has runs to start or stop.
fn has_urgent_runs(page: &Rack, worker: &Worker, contact: &Contact) -> bool {
    if contact.boot != worker.boot || contact.called.is_some_and(|at| at > contact.last_contact) {
        return false;
    }
    page.live(worker.name).any(|row| match row.phase {
        Phase::Running => must_start(row, contact),
        Phase::Stopping => !contact.ended.contains_key(&row.run),
        Phase::Ended(_) => false,
    })
}

/// build_probe returns a call that only requests the worker's reply. It changes
/// nothing on the worker: without the boot it renews no lease.
fn build_probe(call: &Call) -> Call {
    Call {
        boot: Boot::default(),
        start: Vec::new(),
        stop: Vec::new(),
        throttle: Vec::new(),
        forget: Vec::new(),
        ..*call
    }
}

/// must_start reports whether the worker has not yet reported a row's run, neither
/// as running nor as ended.
fn must_start(row: &Row, contact: &Contact) -> bool {
    !contact.running.contains(&row.run) && !contact.ended.contains_key(&row.run)
}

/// build_call returns the call to a worker from the page and the last reply.
fn build_call(page: &Rack, worker: &Worker, contact: &Contact, term: u64, lease_ms: u64) -> Call {
    let mut call = Call {
        boot: Boot::default(),
        term,
        clock: contact.clock,
        lease_ms,
        start: Vec::new(),
        stop: Vec::new(),
        throttle: contact.watch.throttled().iter().copied().collect(),
        forget: Vec::new(),
    };
    if contact.boot != worker.boot || worker.boot == Boot::default() {
        return call;
    }
    call.boot = worker.boot;
    for row in page.live(worker.name) {
        match row.phase {
            Phase::Running if must_start(row, contact) => call.start.push(Start {
                run: row.run,
                work: row.work,
                checkpoint: row.checkpoint,
            }),
            Phase::Stopping => call.stop.push(row.run),
            Phase::Running | Phase::Ended(_) => {}
        }
    }
    let open = |run: &Run| {
        page.row(*run)
            .is_some_and(|row| !matches!(row.phase, Phase::Ended(_)))
    };
    call.forget = contact
        .ended
        .keys()
        .filter(|run| !open(run))
        .copied()
        .collect();
    call
}
