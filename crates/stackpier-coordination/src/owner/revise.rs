// SPDX-License-Identifier: Apache-2.0
//! Updates of the rack's page with what the owner knows.

use std::collections::{BTreeMap, BTreeSet};

use stackpier_core::{Millis, Name, key::Boot};
use stackpier_protocol::{peer::Claims, platform::Standing};
use stackpier_state::{
    Revision, homes,
    rack::{Condition, Phase, Rack, Row, Worker},
    work::{Outcome, Run},
};

use super::{Contact, Owner, Snapshots, member, shard_of};
use crate::{
    effect::{Effect, Note},
    membership::Table,
};

impl Owner {
    /// revise updates a copy of the page with what the owner knows.
    pub(super) fn revise(
        &self,
        now: Millis,
        table: &Table,
        homes: &Snapshots,
        next: &mut Rack,
        effects: &mut Vec<Effect>,
    ) {
        if !self.renews() {
            self.revise_renewer(now, table, next);
            return;
        }
        self.revise_workers(table, next);
        for run in self.expiring.values().flatten() {
            next.end(*run, Outcome::Lost);
        }
        for run in &self.evict {
            next.stop(*run);
        }
        for (worker, contact) in &self.contacts {
            self.revise_contact(now, *worker, contact, next, effects);
        }
        for (shard, (revision, page)) in homes {
            self.settle_shard(now, *shard, *revision, page, next);
        }
        for claims in self.unwritten.messages() {
            self.settle_claims(now, claims, next);
        }
    }

    /// revise_renewer takes the rack over if its renewer is not alive and this
    /// daemon is preferred.
    pub(super) fn revise_renewer(&self, now: Millis, table: &Table, next: &mut Rack) {
        let alive = next
            .renewer
            .is_some_and(|renewer| table.alive(now, member(renewer)));
        if !alive && !table.stopping() && table.preferred(now, self.rack.as_str()) {
            next.take_over(self.me.vm, self.me.boot);
        }
    }

    /// revise_workers updates the rack's workers from the platform's list.
    pub(super) fn revise_workers(&self, table: &Table, next: &mut Rack) {
        for vm in table.workers(self.rack) {
            if next.worker(vm.name).is_none() && vm.standing != Standing::Gone {
                next.workers.push(Worker {
                    name: vm.name,
                    boot: Boot::default(),
                    capacity: vm.capacity,
                    condition: Condition::Up,
                });
            }
        }
        let names: Vec<Name> = next.workers.iter().map(|worker| worker.name).collect();
        for name in names {
            match table.standing(name) {
                Some(Standing::Leaving) => set_leaving(next, name),
                Some(Standing::Gone) => set_gone(next, name),
                Some(Standing::Live) | None => {}
            }
        }
        let rows = &next.rows;
        let used = |name: Name| rows.iter().any(|row| row.worker == name);
        next.workers
            .retain(|worker| worker.condition != Condition::Gone || used(worker.name));
    }

    /// revise_contact records what a worker reported, or that its lease
    /// expired.
    pub(super) fn revise_contact(
        &self,
        now: Millis,
        name: Name,
        contact: &Contact,
        next: &mut Rack,
        effects: &mut Vec<Effect>,
    ) {
        let Some(worker) = next.worker(name).copied() else {
            return;
        };
        if contact.boot != Boot::default() && contact.boot != worker.boot {
            next.end_all(name);
            if let Some(worker) = next.worker_mut(name) {
                worker.boot = contact.boot;
            }
            effects.push(Effect::Note(Note::Rebooted(name)));
            return;
        }
        for (run, outcome) in &contact.ended {
            next.end(*run, *outcome);
        }
        if self.expired(now, contact) && next.end_all(name) {
            effects.push(Effect::Note(Note::Lapsed(name)));
        }
    }

    /// expired_runs returns the open runs on workers whose lease has expired.
    pub(super) fn expired_runs(&self, now: Millis, page: &Rack) -> BTreeMap<Name, BTreeSet<Run>> {
        let expired = self
            .contacts
            .iter()
            .filter(|(_, contact)| self.expired(now, contact));
        let runs = |name: Name| page.live(name).map(|row| row.run).collect();
        expired.map(|(name, _)| (*name, runs(*name))).collect()
    }

    /// expired reports whether every lease that this daemon or a former renewer
    /// may have renewed at a worker is over.
    pub(super) fn expired(&self, now: Millis, contact: &Contact) -> bool {
        let Some((_, sole)) = self.sole_since else {
            return false;
        };
        let last = sole.max(contact.last_contact);
        now.since(last) > self.options.lease_ms + self.options.drift_ms
    }

    /// settle_shard commits the claims of a shard, marks stops, and drops ended
    /// rows that their homes no longer claim here.
    pub(super) fn settle_shard(
        &self,
        now: Millis,
        shard: u16,
        revision: Revision,
        page: &homes::Shard,
        next: &mut Rack,
    ) {
        if revision < next.settled_by(shard) {
            return;
        }
        for home in &page.homes {
            self.settle_home(now, home, next);
        }
        let shards = self.options.shards;
        let moved = |row: &Row| shard_of(row, shards) == shard && !page.claimed(row.run, self.rack);
        next.drop_rows(shard, revision, moved);
    }

    /// settle_claims does the same as settle_shard from a placer's message.
    pub(super) fn settle_claims(&self, now: Millis, claims: &Claims, next: &mut Rack) {
        if claims.revision < next.settled_by(claims.shard) {
            return;
        }
        for home in &claims.claimed {
            self.settle_home(now, home, next);
        }
        let released = |row: &Row| claims.released.contains(&row.run);
        next.drop_rows(claims.shard, claims.revision, released);
    }

    /// settle_home commits a home's claim on this rack, or records its run as
    /// refused. If the run is already on the page, only a requested stop is
    /// applied.
    pub(super) fn settle_home(&self, now: Millis, home: &homes::Home, next: &mut Rack) {
        let claim = home.claim().filter(|claim| claim.rack == self.rack);
        let Some(claim) = claim else { return };
        let run = home.run();
        if next.row(run).is_some() {
            if claim.stop {
                next.stop(run);
            }
            return;
        }
        let mut row = Row {
            run,
            work: home.work,
            worker: claim.worker,
            checkpoint: home.checkpoint,
            phase: Phase::Running,
        };
        let expired = self
            .contacts
            .get(&claim.worker)
            .is_some_and(|c| self.expired(now, c));
        if claim.stop || expired || next.commit(row).is_err() {
            row.phase = Phase::Ended(Outcome::Refused);
            next.rows.push(row);
        }
    }
}

/// set_leaving marks a worker as leaving and stops its runs.
fn set_leaving(next: &mut Rack, name: Name) {
    if let Some(worker) = next.worker_mut(name)
        && worker.condition == Condition::Up
    {
        worker.condition = Condition::Leaving;
    }
    let runs: Vec<Run> = next.live(name).map(|row| row.run).collect();
    for run in runs {
        next.stop(run);
    }
}

/// set_gone marks a worker as gone and ends its runs.
fn set_gone(next: &mut Rack, name: Name) {
    if let Some(worker) = next.worker_mut(name) {
        worker.condition = Condition::Gone;
    }
    next.end_all(name);
}
