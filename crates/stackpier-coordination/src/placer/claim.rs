// SPDX-License-Identifier: Apache-2.0
//! The claim of workers for the waiting tasks of a shard. The choice in
//! [`crate::policy`] is made from the free capacity that the owners of racks
//! report, less what this placement attempt has claimed.

use std::collections::BTreeMap;

use stackpier_core::{Name, Size, key};
use stackpier_protocol::{
    peer::{PairReport, RackReport},
    platform::Standing,
};
use stackpier_state::{
    catalogue::Catalogue,
    homes::{Claim, Home, Place, Shard},
    intent::Kind,
    work::{Class, Work},
};

use super::View;
use crate::{
    effect::{Effect, Note},
    interference::Pair,
    policy::{self, Candidate, choose},
};

/// place claims workers for the waiting tasks, services first.
pub(super) fn place(
    view: View<'_>,
    policy: policy::Options,
    next: &mut Shard,
    effects: &mut Vec<Effect>,
) {
    let mut waiting: Vec<usize> = (0..next.homes.len())
        .filter(|place| next.homes[*place].place == Place::Pending)
        .collect();
    if waiting.is_empty() {
        return;
    }
    waiting.sort_by_key(|place| order_of(view.catalogue, &next.homes[*place]));
    let mut offers = list_offers(view, next);
    let excess = combine_estimates(view);
    for place in waiting {
        let home = &mut next.homes[place];
        let choices = fill_candidates(&offers, &excess, &home.work);
        match choose(&home.work, &choices, policy) {
            Some(chosen) => {
                home.place = Place::Claimed(Claim {
                    rack: chosen.rack,
                    worker: chosen.worker,
                    stop: false,
                });
                deduct(&mut offers, &chosen, &home.work);
            }
            None => effects.push(Effect::Note(Note::Unplaced(home.run()))),
        }
    }
}

/// Order is the sort key of waiting tasks: services first, then the highest
/// priority, then the earliest deadline.
type Order = (bool, u16, u64, key::Task);

fn order_of(catalogue: &Catalogue, home: &Home) -> Order {
    let object = catalogue.object(home.work.name);
    let priority = object.map_or(0, |object| object.intent.priority);
    let deadline = match object.map(|object| &object.intent.kind) {
        Some(Kind::Batch(batch)) => batch.deadline.0,
        Some(Kind::Service(_)) | None => 0,
    };
    let batch = home.work.class == Class::Batch;
    (batch, u16::MAX - priority, deadline, home.work.task)
}

/// Offer is a candidate with the intents of this shard's tasks on it and the
/// services that run on it.
struct Offer {
    candidate: Candidate,
    names: Vec<Name>,
    services: Vec<Name>,
}

/// list_offers returns an offer for each reported worker that is listed as live.
fn list_offers(view: View<'_>, next: &Shard) -> Vec<Offer> {
    let mut offers = Vec::new();
    for report in view.racks.values() {
        for worker in &report.workers {
            if view.table.standing(worker.worker) != Some(Standing::Live) {
                continue;
            }
            offers.push(Offer {
                candidate: Candidate {
                    rack: report.rack,
                    worker: worker.worker,
                    capacity: worker.capacity,
                    free: worker.free,
                    slowdown_milli: worker.slowdown_milli,
                    excess_milli: 0,
                    same_on_rack: 0,
                    same_on_worker: 0,
                },
                names: Vec::new(),
                services: services_on(report, worker.worker),
            });
        }
    }
    for home in &next.homes {
        let Some(claim) = home.claim() else { continue };
        let found = offers
            .iter_mut()
            .find(|offer| offer.candidate.worker == claim.worker);
        if let Some(offer) = found {
            offer.names.push(home.work.name);
        }
    }
    offers
}

/// Excess maps pairs to the slowdown that the batch job adds, in thousandths.
type Excess = BTreeMap<Pair, u32>;

/// combine_estimates combines the estimates of the owners of racks. Of two
/// estimates of a pair the one with the smaller deviation is used.
fn combine_estimates(view: View<'_>) -> Excess {
    let mut best: BTreeMap<Pair, PairReport> = BTreeMap::new();
    for report in view.racks.values().flat_map(|report| &report.pairs) {
        let pair = Pair {
            victim: report.victim,
            neighbour: report.neighbour,
        };
        let known = best.entry(pair).or_insert(*report);
        if report.deviation_milli < known.deviation_milli {
            *known = *report;
        }
    }
    best.into_iter()
        .map(|(pair, report)| (pair, report.excess_milli))
        .collect()
}

/// services_on returns the services that run on a worker.
fn services_on(report: &RackReport, worker: Name) -> Vec<Name> {
    let here = report
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.worker == worker);
    here.map(|endpoint| endpoint.service).collect()
}

/// fill_candidates returns the candidates with what depends on the task: the
/// slowdown that it adds, and how many tasks of the same intent are on the
/// worker and rack.
fn fill_candidates(offers: &[Offer], excess: &Excess, work: &Work) -> Vec<Candidate> {
    let count = |offer: &Offer| {
        offer
            .names
            .iter()
            .filter(|name| **name == work.name)
            .count()
    };
    let mut racks: BTreeMap<Name, u32> = BTreeMap::new();
    for offer in offers {
        *racks.entry(offer.candidate.rack).or_default() += count(offer) as u32;
    }
    let added = |offer: &Offer| -> u32 {
        let beside = offer.services.iter().map(|service| Pair {
            victim: *service,
            neighbour: work.name,
        });
        beside.filter_map(|pair| excess.get(&pair)).sum()
    };
    let filled = |offer: &Offer| Candidate {
        excess_milli: added(offer),
        same_on_worker: count(offer) as u32,
        same_on_rack: racks.get(&offer.candidate.rack).copied().unwrap_or(0),
        ..offer.candidate
    };
    offers.iter().map(filled).collect()
}

/// deduct subtracts a task from the free capacity of the worker that it has
/// claimed.
fn deduct(offers: &mut [Offer], chosen: &Candidate, work: &Work) {
    let found = offers
        .iter_mut()
        .find(|offer| offer.candidate.worker == chosen.worker);
    if let Some(offer) = found {
        let free: Size = offer.candidate.free;
        offer.candidate.free = free.minus(&work.size);
        offer.names.push(work.name);
    }
}
