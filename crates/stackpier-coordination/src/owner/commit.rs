// SPDX-License-Identifier: Apache-2.0
//! The owner's commits: when the rack's page is written, and what is sent
//! afterwards.

use std::collections::BTreeMap;

use stackpier_core::Millis;
use stackpier_state::{
    Page,
    page::{Key, Swapped},
    rack::{Phase, Rack, Row},
    work::Outcome,
};

use super::{Owner, Step};
use crate::{
    breaker::{self, Breaker},
    effect::{Effect, Note, Writer},
    interval::interval_ms,
    membership::Table,
};

/// WORKER_BREAKER holds the options by which a worker whose runs fail is
/// excluded from placement.
const WORKER_BREAKER: breaker::Options = breaker::Options {
    failures: 3,
    pause_ms: 10_000,
    max_pause_ms: 600_000,
};

impl Owner {
    /// may_commit reports whether the interval between commits has passed. It
    /// is shorter while urgent work waits.
    pub(super) fn may_commit(&self, now: Millis) -> bool {
        let mut claimed = self.unwritten.messages().flat_map(|claims| &claims.claimed);
        let urgent = claimed.any(|home| home.work.urgent);
        let interval = interval_ms(self.options.commit_ms, urgent);
        self.committed.is_none_or(|at| now.since(at) >= interval)
    }

    /// try_swap updates a copy of the page with what the owner knows, and
    /// requests its swap if it differs from the page.
    pub(super) fn try_swap(
        &mut self,
        now: Millis,
        table: &Table,
        writer: &mut Writer,
        effects: &mut Vec<Effect>,
    ) {
        let empty = BTreeMap::new();
        let homes = match &self.step {
            Step::Idle if self.may_commit(now) => &empty,
            Step::Reading(reading) if reading.waiting.is_empty() => &reading.got,
            _ => return,
        };
        let Some((revision, page)) = &self.page else {
            return;
        };
        let expiring = self.expired_runs(now, page);
        let mut next = page.clone();
        self.revise(now, table, homes, &mut next, effects);
        let differing = self.differing(&next);
        self.dirty.extend(differing);
        self.writing = std::mem::take(&mut self.unwritten);
        let unchanged = next == *page;
        let revision = *revision;
        self.step = Step::Idle;
        if unchanged {
            return;
        }
        next.write = writer.number();
        for (worker, runs) in expiring {
            self.expiring.entry(worker).or_default().extend(runs);
        }
        self.committed = Some(now);
        let page = Page::Rack(next.clone());
        self.step = Step::Swapping(Box::new(next));
        effects.push(Effect::Swap(Key::Rack(self.rack), revision, page));
    }

    /// finish_swap processes the outcome of the pending swap.
    pub(super) fn finish_swap(
        &mut self,
        now: Millis,
        swap: Swapped,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) {
        let Step::Swapping(next) = std::mem::replace(&mut self.step, Step::Idle) else {
            return;
        };
        let Swapped::Won(revision) = swap else {
            // The swap lost, or its outcome is unknown: nothing is concluded
            // from it before the page is read again.
            self.stale = true;
            self.unwritten.append(&mut self.writing);
            return;
        };
        self.writing.clear();
        let before = self.page.replace((revision, *next));
        let old = before.map_or_else(Rack::empty, |(_, page)| page);
        self.report_changes(now, &old, table, effects);
    }

    /// report_changes logs and reports what this daemon's last write of the page
    /// changed, and begins a new term if this daemon took the rack over.
    pub(super) fn report_changes(
        &mut self,
        now: Millis,
        old: &Rack,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) {
        let Some((_, page)) = &self.page else { return };
        let renewer = page.renewer.filter(|renewer| old.renewer != Some(*renewer));
        let ended = log_rows(page, old, effects);
        effects.extend(self.ended_hints(ended.iter()));
        self.count_failures(now, &ended);
        if let Some(renewer) = renewer {
            self.begin_term(now, renewer.term, table, effects);
        }
    }

    /// count_failures updates the workers' breakers with the outcomes of runs.
    fn count_failures(&mut self, now: Millis, ended: &[Row]) {
        for row in ended {
            let breaker = self.breakers.entry(row.worker);
            let breaker = breaker.or_insert_with(|| Breaker::new(WORKER_BREAKER));
            match row.phase {
                Phase::Ended(Outcome::Failed) => breaker.record_failure(now, true),
                Phase::Ended(Outcome::Finished | Outcome::Stopped(_)) => breaker.record_success(),
                Phase::Ended(_) | Phase::Running | Phase::Stopping => {}
            }
        }
    }

    /// begin_term discards what was known under an earlier term. A promise not to
    /// renew under this term stays.
    fn begin_term(&mut self, now: Millis, term: u64, table: &Table, effects: &mut Vec<Effect>) {
        self.contacts.clear();
        self.expiring.clear();
        self.dirty.extend(0..self.options.shards);
        self.renounced = self.renounced.filter(|below| *below > term);
        self.sole_since = None;
        self.update_sole_since(now, table);
        effects.push(Effect::Note(Note::TookOver(self.rack, term)));
        effects.extend(self.renewer_hint());
    }
}

/// log_rows logs the runs that are committed or ended in a page and were not in
/// the `old` one, and returns those that ended.
fn log_rows(page: &Rack, old: &Rack, effects: &mut Vec<Effect>) -> Vec<Row> {
    let mut ended = Vec::new();
    for row in &page.rows {
        let before = old.row(row.run).map(|row| row.phase);
        match row.phase {
            Phase::Ended(outcome) if before != Some(row.phase) => {
                effects.push(Effect::Note(Note::Ended(row.run, outcome)));
                ended.push(*row);
            }
            Phase::Running if before.is_none() => {
                effects.push(Effect::Note(Note::Committed(row.run, row.worker)));
            }
            _ => {}
        }
    }
    ended
}
