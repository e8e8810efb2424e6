// SPDX-License-Identifier: Apache-2.0
//! Reconciles the homes of a shard with the tasks that accepted intents want.

use std::collections::BTreeMap;

use stackpier_core::key;
use stackpier_state::{
    catalogue::Catalogue,
    homes::{End, Home, Place, Shard},
    intent::{Kind, Object, URGENT_PRIORITY},
    work::{Class, Work},
};

use super::{Placer, View};

impl Placer {
    /// reconcile adds homes for wanted tasks and marks those that are no longer
    /// wanted.
    pub(super) fn reconcile(&self, view: View<'_>, next: &mut Shard) {
        let data_centre = view.table.data_centre();
        let mut places: BTreeMap<key::Task, usize> = BTreeMap::new();
        for (place, home) in next.homes.iter().enumerate() {
            places.insert(home.work.task, place);
        }
        let mut wanted = BTreeMap::new();
        for object in view.catalogue.objects() {
            let job = object.job.within(data_centre);
            if key::shard(job, self.options.shards) != self.shard {
                continue;
            }
            let count = match object.cancelled {
                true => 0,
                false => object.intent.tasks(data_centre),
            };
            wanted.insert(job, count);
            for index in 0..count {
                let work = build_work(object, key::Task { job, index });
                match places.get(&work.task) {
                    Some(place) => update_home(&mut next.homes[*place], work),
                    None => next.homes.push(Home::new(work)),
                }
            }
        }
        for home in &mut next.homes {
            let task = home.work.task;
            let shrunk = wanted
                .get(&task.job)
                .is_some_and(|count| task.index >= *count);
            if shrunk || is_superseded(view.catalogue, home) {
                cancel_home(home);
            }
        }
    }
}

/// build_work returns the description of a task that its worker receives.
fn build_work(object: &Object, task: key::Task) -> Work {
    let (class, run_time_ms) = match &object.intent.kind {
        Kind::Service(_) => (Class::Service, 0),
        Kind::Batch(batch) => (Class::Batch, batch.run_time_ms),
    };
    Work {
        task,
        name: object.intent.name,
        generation: object.generation,
        urgent: object.intent.priority >= URGENT_PRIORITY,
        class,
        size: object.intent.size,
        run_time_ms,
    }
}

/// is_superseded reports whether a later job uses the name of a home's job.
fn is_superseded(catalogue: &Catalogue, home: &Home) -> bool {
    let object = catalogue.object(home.work.name);
    object.is_some_and(|object| object.generation > home.work.generation)
}

/// update_home brings a home in line with its intent. A service that was
/// cancelled starts again as a new attempt.
fn update_home(home: &mut Home, work: Work) {
    home.unwanted = false;
    match home.place {
        Place::Pending => home.work = work,
        Place::Ended(End::Cancelled) if work.class == Class::Service => {
            home.work = work;
            home.place = Place::Pending;
            home.attempt = home.attempt.next();
        }
        Place::Claimed(_) | Place::Ended(_) => {}
    }
}

/// cancel_home ends a waiting task, and requests the stop of a claimed one.
fn cancel_home(home: &mut Home) {
    home.unwanted = true;
    match &mut home.place {
        Place::Pending => home.place = Place::Ended(End::Cancelled),
        Place::Claimed(claim) => claim.stop = true,
        Place::Ended(_) => {}
    }
}
