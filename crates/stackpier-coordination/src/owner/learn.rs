// SPDX-License-Identifier: Apache-2.0
//! How the owner learns from usage samples how much batch work slows services
//! down, and how it reacts.

use std::collections::BTreeMap;

use stackpier_core::{Millis, Name};
use stackpier_protocol::sync::Usage;
use stackpier_state::{rack::Row, work::Class};

use super::{NO_SLOWDOWN_MILLI, Owner};
use crate::{
    effect::{Effect, Note},
    interference::{Pair, Sample},
    reaction::{self, Action, Suspect},
};

impl Owner {
    /// learn matches usage samples with what ran when they were taken, and
    /// reacts to services that are slowed down.
    pub(super) fn learn(
        &mut self,
        now: Millis,
        worker: Name,
        usage: &[Usage],
        effects: &mut Vec<Effect>,
    ) {
        let Some((_, page)) = &self.page else { return };
        let Some(contact) = self.contacts.get_mut(&worker) else {
            return;
        };
        let running = |row: &&Row| contact.running.contains(&row.run);
        let rows: Vec<Row> = page.rows.iter().filter(running).copied().collect();
        contact.history.record(contact.clock, batch_by_job(&rows));
        if let Some(worst) = self.observe(worker, &rows, usage) {
            let action = self.react(now, worker, &rows, worst);
            effects.extend(action.map(|action| Effect::Note(Note::Reacted(action, worker))));
        }
    }

    /// observe updates the model with all new samples, and returns the sample
    /// with the largest slowdown.
    fn observe(&mut self, worker: Name, rows: &[Row], usage: &[Usage]) -> Option<Victim> {
        let contact = self.contacts.get_mut(&worker)?;
        let mut worst: Option<Victim> = None;
        for usage in usage.iter().filter(|usage| usage.sampled > contact.sampled) {
            let service = |row: &&Row| row.run == usage.run && row.work.class == Class::Service;
            let row = rows.iter().find(service);
            let (Some(row), Some(neighbours)) = (row, contact.history.at(usage.sampled)) else {
                continue;
            };
            let victim = Victim::new(row, usage);
            self.model.observe(&Sample {
                victim: victim.name,
                neighbours,
                load: victim.load,
                slowdown: victim.slowdown,
            });
            if worst.is_none_or(|worst| worst.slowdown < victim.slowdown) {
                worst = Some(victim);
            }
        }
        let newest = usage.iter().map(|usage| usage.sampled).max();
        contact.sampled = newest.map_or(contact.sampled, |newest| contact.sampled.max(newest));
        worst
    }

    /// react decides what to do about the batch tasks beside a slowed service.
    fn react(&mut self, now: Millis, worker: Name, rows: &[Row], worst: Victim) -> Option<Action> {
        let suspect = |row: &Row| {
            let pair = Pair {
                victim: worst.name,
                neighbour: row.work.name,
            };
            Suspect {
                run: row.run,
                blame: self.model.estimate(pair).mean * worst.load,
            }
        };
        let batch = rows.iter().filter(|row| row.work.class == Class::Batch);
        let suspects: Vec<Suspect> = batch.map(suspect).collect();
        let watch = &mut self.contacts.get_mut(&worker)?.watch;
        let options = reaction::Options::default();
        let budget = &mut self.evictions;
        let action = watch.sample(now, worst.slowdown, &suspects, options, budget)?;
        if let Action::Evict(run) = action {
            self.evict.insert(run);
        }
        Some(action)
    }
}

/// batch_by_job counts the batch tasks among rows, by job.
fn batch_by_job(rows: &[Row]) -> BTreeMap<Name, u32> {
    let mut by_job = BTreeMap::new();
    for row in rows.iter().filter(|row| row.work.class == Class::Batch) {
        *by_job.entry(row.work.name).or_default() += 1;
    }
    by_job
}

/// Victim is a service task as one usage sample shows it.
#[derive(Clone, Copy, Debug)]
struct Victim {
    name: Name,
    load: f64,
    slowdown: f64,
}

impl Victim {
    fn new(row: &Row, usage: &Usage) -> Victim {
        let size = f64::from(row.work.size.milli_cores.max(1));
        Victim {
            name: row.work.name,
            load: (f64::from(usage.milli_cores) / size).min(1.0),
            slowdown: f64::from(usage.slowdown_milli) / f64::from(NO_SLOWDOWN_MILLI),
        }
    }
}
