// SPDX-License-Identifier: Apache-2.0
//! The service for messages of other daemons.

use std::sync::{Arc, atomic::Ordering};

use stackpier_core::Name;
use stackpier_protocol::{
    peer::{Hint, Request, Response, ShardPage},
    platform::{Roster, Vm},
};
use stackpier_transport::peers::Service;

use crate::{
    backend::Backend,
    clock,
    daemon::{Daemon, lock},
    scheduler::Input,
};

/// Peers serves messages on the peers' port.
pub struct Peers<B> {
    daemon: Arc<Daemon<B>>,
}

impl<B: Backend> Peers<B> {
    /// new returns the service of a daemon.
    pub fn new(daemon: Arc<Daemon<B>>) -> Peers<B> {
        Peers { daemon }
    }

    fn read_shards(&self, wanted: &[u16]) -> Vec<ShardPage> {
        let catalogue = lock(&self.daemon.catalogue);
        let page = |shard: &u16| {
            let (revision, page) = catalogue.page(*shard)?;
            Some(ShardPage {
                shard: *shard,
                revision: *revision,
                page: page.clone(),
            })
        };
        wanted.iter().filter_map(page).collect()
    }

    fn build_roster(&self) -> Roster {
        let table = lock(&self.daemon.table);
        let names: Vec<Name> = table.names().collect();
        let vms: Vec<Vm> = names
            .into_iter()
            .filter_map(|name| table.vm(name).cloned())
            .collect();
        Roster { vms }
    }
}

impl<B: Backend> Service for Peers<B> {
    fn serve(&self, request: Request) -> Response {
        let daemon = &self.daemon;
        match request {
            Request::Heartbeat(beat) => Response::Heartbeat(daemon.handle_heartbeat(&beat)),
            Request::Digest => Response::Digest(lock(&daemon.catalogue).digest()),
            Request::Shards(wanted) => Response::Shards(self.read_shards(&wanted)),
            Request::SealThere(key) => Response::SealedThere(daemon.seal_locally(key)),
            Request::Map => Response::Map(lock(&daemon.holder).map().clone()),
            Request::Roster => Response::Roster(self.build_roster()),
            Request::Storeless(from) => {
                lock(&daemon.table).record_storeless(clock::now(), from);
                Response::Taken
            }
            Request::Hint(Hint::Holders) => {
                daemon.holder_map_outdated.store(true, Ordering::SeqCst);
                Response::Taken
            }
            Request::Hint(hint) => {
                let _ = daemon.scheduler.send(Input::Hint(hint));
                Response::Taken
            }
            message @ (Request::Grant(_) | Request::Seal(_) | Request::Finish(_)) => {
                daemon.serve_as_holder(message)
            }
        }
    }
}
