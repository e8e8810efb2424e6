// SPDX-License-Identifier: Apache-2.0
//! What is wanted of the world: services and batch jobs.

use stackpier_coordination::accept::{Change, Wanted};
use stackpier_core::{Name, Size, Unix};
use stackpier_state::{
    catalogue::shard_of,
    intent::{Batch, Intent, Kind, Service},
};

use super::{World, data_centre, name};

impl World {
    pub(super) fn scale(&mut self, n: u8, count: u8) {
        let label = name(&format!("service-{}", n % 2));
        let replicas = [(data_centre(), u32::from(count % 4))]
            .into_iter()
            .collect();
        let kind = Kind::Service(Service {
            replicas,
            latency_target_ms: 50,
        });
        self.change(Wanted::Submit(intent(label, 1_500, kind)));
    }

    pub(super) fn submit(&mut self, n: u8) {
        let label = name(&format!("batch-{}", n % 3));
        let kind = Kind::Batch(Batch {
            data_centre: data_centre(),
            tasks: 2,
            deadline: Unix(0),
            checkpointable: true,
            run_time_ms: 2_000,
        });
        self.change(Wanted::Submit(intent(label, 1_000, kind)));
    }

    pub(super) fn cancel(&mut self, n: u8) {
        let labels = ["service-0", "service-1", "batch-0", "batch-1", "batch-2"];
        let label = labels[usize::from(n) % labels.len()];
        self.change(Wanted::Cancel(name(label)));
    }

    fn change(&mut self, wanted: Wanted) {
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

    pub(super) fn learn(&mut self, number: usize) {
        for (shard, (revision, page)) in &self.intents {
            self.daemons[number]
                .catalogue
                .offer(*shard, *revision, page.clone());
        }
    }

    pub(super) fn learn_list(&mut self, number: usize) {
        if !self.daemons[number].frozen {
            self.daemons[number]
                .table
                .update_roster(self.roster.clone());
        }
    }
}

/// intent builds an intent of the one team there is.
fn intent(label: Name, milli_cores: u32, kind: Kind) -> Intent {
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
