// SPDX-License-Identifier: Apache-2.0
//! The intents of the simulation: services and batch jobs.

use stackpier_coordination::accept::{Change, Wanted};
use stackpier_core::{Name, Size, Unix};
use stackpier_state::{
    catalogue::shard_of,
    intent::{Batch, Intent, Kind, Service},
};

use super::{Simulation, data_centre, name};

impl Simulation {
    /// scale_service submits a service with this number of replicas, modulo 4.
    pub(super) fn scale_service(&mut self, n: u8, count: u8) {
        let label = name(&format!("service-{}", n % 2));
        let replicas = [(data_centre(), u32::from(count % 4))]
            .into_iter()
            .collect();
        let kind = Kind::Service(Service {
            replicas,
            latency_target_ms: 50,
        });
        self.apply_change(Wanted::Submit(new_intent(label, 1_500, kind)));
    }

    pub(super) fn submit_batch(&mut self, n: u8) {
        let label = name(&format!("batch-{}", n % 3));
        let kind = Kind::Batch(Batch {
            data_centre: data_centre(),
            tasks: 2,
            deadline: Unix(0),
            checkpointable: true,
            run_time_ms: 2_000,
        });
        self.apply_change(Wanted::Submit(new_intent(label, 1_000, kind)));
    }

    pub(super) fn cancel_intent(&mut self, n: u8) {
        let labels = ["service-0", "service-1", "batch-0", "batch-1", "batch-2"];
        let label = labels[usize::from(n) % labels.len()];
        self.apply_change(Wanted::Cancel(name(label)));
    }

    /// apply_change stores a change as accepted.
    fn apply_change(&mut self, wanted: Wanted) {
        self.submissions += 1;
        let change = Change {
            submission: self.submissions,
            expect: None,
            wanted,
        };
        let shard = shard_of(change.name());
        let (revision, page) = self.intents.entry(shard).or_default();
        if let Ok(Some(next)) = change.apply(page) {
            *page = next;
            revision.0 += 1;
        }
    }

    /// learn_intents gives a daemon all accepted intents.
    pub(super) fn learn_intents(&mut self, number: usize) {
        for (shard, (revision, page)) in &self.intents {
            self.daemons[number]
                .catalogue
                .offer(*shard, *revision, page.clone());
        }
    }

    /// learn_roster gives a daemon the list of VMs, unless it is frozen.
    pub(super) fn learn_roster(&mut self, number: usize) {
        if !self.daemons[number].frozen {
            self.daemons[number]
                .table
                .update_roster(self.roster.clone());
        }
    }
}

/// new_intent builds an intent of the only team.
fn new_intent(label: Name, milli_cores: u32, kind: Kind) -> Intent {
    Intent {
        name: label,
        team: name("team-a"),
        size: Size {
            milli_cores,
            memory_mib: 500,
            accelerators: 0,
        },
        priority: 0,
        kind,
    }
}
