// SPDX-License-Identifier: Apache-2.0
//! Reading the accepted intents from the store. A watch on the index shows which
//! pages changed, and a slow poll reads one page after the other in case the
//! watch missed a change. Pages also come from peers, see [`crate::heartbeat`].

use std::{sync::Arc, thread, time::Duration};

use stackpier_protocol::peer::ShardPage;
use stackpier_state::{
    Page, Revision,
    catalogue::SHARDS,
    page::{ABSENT, Fetched, Index, Key, Swapped},
};
use stackpier_transport::platform::Store;

use crate::{
    backend::Backend,
    daemon::{Daemon, lock},
};

/// WATCH_MS is how long one watch waits for a change, in milliseconds.
const WATCH_MS: u64 = 10_000;
/// WATCH_PAUSE is the pause after each watch, which bounds how often the index is
/// read.
const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// MAX_BUMP_ATTEMPTS bounds how often an update of the index is tried when
/// concurrent updates by other daemons win.
const MAX_BUMP_ATTEMPTS: usize = 8;

/// start starts the threads that watch the index and poll the intents pages.
pub fn start<B: Backend>(daemon: &Arc<Daemon<B>>) -> std::io::Result<()> {
    let watching = Arc::clone(daemon);
    thread::Builder::new()
        .name("watch".to_owned())
        .spawn(move || {
            read_all(&watching);
            let mut seen = Seen::default();
            loop {
                watch_index(&watching, &mut seen);
                thread::sleep(WATCH_PAUSE);
            }
        })?;
    let polling = Arc::clone(daemon);
    thread::Builder::new()
        .name("poll".to_owned())
        .spawn(move || {
            let start = (polling.me.boot.0 % u64::from(SHARDS)) as u16;
            for round in 0.. {
                let shard = (start + (round % u64::from(SHARDS)) as u16) % SHARDS;
                read_shard(&polling, shard);
                thread::sleep(Duration::from_millis(polling.settings.poll_ms));
            }
        })?;
    Ok(())
}

/// Seen holds the last index of which all changed pages were read.
#[derive(Default)]
struct Seen {
    revision: Revision,
    index: Index,
}

/// watch_index waits for a change of the index and reads the pages that changed.
fn watch_index<B: Backend>(daemon: &Daemon<B>, seen: &mut Seen) {
    daemon.metrics.store_reads.add(1, &[]);
    let Some(revision) = daemon.backend.watch(Key::Index, seen.revision, WATCH_MS) else {
        return;
    };
    if revision <= seen.revision {
        return;
    }
    daemon.metrics.store_reads.add(1, &[]);
    if let Fetched::Found(revision, Page::Index(index)) = daemon.backend.read(Key::Index) {
        let changed = index.changed(&seen.index);
        let read = changed
            .iter()
            .filter(|shard| read_shard(daemon, **shard))
            .count();
        // If a page was not read, the old index stays, so that the next watch
        // returns at once and the page is read again.
        if read == changed.len() {
            *seen = Seen { revision, index };
        }
    }
}

fn read_all<B: Backend>(daemon: &Daemon<B>) {
    for shard in 0..SHARDS {
        read_shard(daemon, shard);
    }
}

/// read_shard reads one intents page and reports whether the store gave a valid
/// answer.
fn read_shard<B: Backend>(daemon: &Daemon<B>, shard: u16) -> bool {
    daemon.metrics.store_reads.add(1, &[]);
    match daemon.backend.read(Key::Intents(shard)) {
        Fetched::Found(revision, Page::Intents(page)) => {
            let page = ShardPage {
                shard,
                revision,
                page,
            };
            daemon.apply_shard(page, "store");
            true
        }
        Fetched::Absent => true,
        Fetched::Found(..) | Fetched::Failed => false,
    }
}

impl<B: Backend> Daemon<B> {
    /// bump_index marks a shard as changed in the index, which all daemons watch.
    /// This only speeds them up: if it fails, their polls find the change.
    pub fn bump_index(&self, shard: u16) {
        for _ in 0..MAX_BUMP_ATTEMPTS {
            let (revision, mut index) = match self.backend.read(Key::Index) {
                Fetched::Found(revision, Page::Index(index)) => (revision, index),
                Fetched::Absent => (ABSENT, Index::default()),
                Fetched::Found(..) | Fetched::Failed => return,
            };
            index.bump(shard);
            index.write = lock(&self.writer).number();
            let swapped = self.backend.swap(Key::Index, revision, &Page::Index(index));
            if matches!(swapped, Swapped::Won(_)) {
                return;
            }
        }
    }
}
