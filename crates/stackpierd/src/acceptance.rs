// SPDX-License-Identifier: Apache-2.0
//! The I/O for accepting an operator's change of an intent.

use slog::info;
use stackpier_coordination::accept::{Acceptance, Change, Next};
use stackpier_core::Result;
use stackpier_protocol::{operator::Accepted, peer::ShardPage};
use stackpier_state::{catalogue::shard_of, page::Key};
use stackpier_transport::platform::Store;

use crate::{
    backend::Backend,
    daemon::{Daemon, lock},
};

impl<B: Backend> Daemon<B> {
    /// accept writes a change to the store, if it is acceptable, and returns the
    /// answer to the operator.
    pub fn accept(&self, change: Change) -> Result<Accepted> {
        let name = change.name();
        let shard = shard_of(name);
        let (mut acceptance, mut next) = Acceptance::new(change);
        loop {
            next = match next {
                Next::Read => {
                    let fetched = self.backend.read(Key::Intents(shard));
                    acceptance.read(fetched, &mut lock(&self.writer))
                }
                Next::Swap(revision, page) => {
                    let swapped = self.backend.swap(Key::Intents(shard), revision, &page);
                    acceptance.swapped(swapped)
                }
                Next::Answer(answer, page) => {
                    if let Some((revision, page)) = page {
                        let page = ShardPage {
                            shard,
                            revision,
                            page,
                        };
                        self.apply_shard(page, "operator");
                        self.bump_index(shard);
                    }
                    let result = answer
                        .as_ref()
                        .map_or_else(|e| e.kind.as_str(), |_| "accepted");
                    info!(self.log, "config: change processed"; "name" => %name, "result" => result);
                    return answer;
                }
            };
        }
    }
}
