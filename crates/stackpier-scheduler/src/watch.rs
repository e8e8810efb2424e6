// SPDX-License-Identifier: Apache-2.0
//! Following a prefix of the store: a listing, then its changes, for as long
//! as the follower is wanted.

use stackpier_core::Result;

use crate::{
    Platform,
    node::{Node, pause},
    store::{Change, Item, Watched},
};

/// WAIT_MS is how long a watch waits. A cut may swallow its answer without a
/// sign, and its connection may go silent while no other call notices. With what
/// a watch may take beyond its wait (450 ms) and the pause after it, a new
/// connection is tried within 2.9 s: before the three seconds after which users
/// take a daemon to be in touch again.
const WAIT_MS: u64 = 2_200;
/// BUSY_CHANGES is the number of changes in one answer from which the next watch follows at once.
/// 3,000 workers that write their entries every 1.5 s make 2,000 changes a second. If
/// an answer holds 500 at most, as a page of a listing does, a watch that pauses for 250 ms
/// after each falls behind, and workers that are leaving get starts.
const BUSY_CHANGES: usize = 200;
/// RETRY_MS is the pause after a call that failed.
const RETRY_MS: u64 = 250;

/// Update is what a follower is told.
#[derive(Clone, Debug)]
pub(crate) enum Update {
    /// All items there are: whatever else was known is gone.
    All(Vec<Item>),
    /// What changed since.
    Changes(Vec<Change>),
}

impl Update {
    /// into_items returns the items that are there or new, without removals.
    pub(crate) fn into_items(self) -> Vec<Item> {
        let put = |change| match change {
            Change::Put(item) => Some(item),
            Change::Removed(_) => None,
        };
        match self {
            Update::All(items) => items,
            Update::Changes(changes) => changes.into_iter().filter_map(put).collect(),
        }
    }
}

/// Follower takes what a watch brings.
pub(crate) trait Follower {
    /// prefix returns what is followed.
    fn prefix(&self) -> &str;

    /// take takes in news.
    fn apply(&mut self, update: Update);

    /// is_wanted tells whether to go on.
    fn is_wanted(&self) -> bool;

    /// wants_latest_only tells whether only the newest value of a key counts: if a watch brings several
    /// values of one, the next read is a listing.
    fn wants_latest_only(&self) -> bool {
        false
    }

    /// pause_ms returns the pause between two watches, so that changes come
    /// together.
    fn pause_ms(&self) -> u64 {
        0
    }
}

/// follow feeds a follower until it is no longer wanted. `after` is the
/// revision of a listing that it already has.
pub(crate) async fn follow<P: Platform, F: Follower>(
    node: Node<P>,
    mut follower: F,
    mut after: Option<u64>,
) {
    while follower.is_wanted() {
        let result = match after {
            None => list(&node, &mut follower).await,
            Some(at) => watch(&node, &mut follower, at).await,
        };
        match result {
            Ok(next) => after = next,
            Err(_) => pause(RETRY_MS).await,
        }
    }
}

async fn list<P: Platform, F: Follower>(node: &Node<P>, follower: &mut F) -> Result<Option<u64>> {
    let listing = node.store_list(follower.prefix()).await?;
    if follower.is_wanted() {
        follower.apply(Update::All(listing.items));
    }
    Ok(Some(listing.at))
}

async fn watch<P: Platform, F: Follower>(
    node: &Node<P>,
    follower: &mut F,
    after: u64,
) -> Result<Option<u64>> {
    let watched = tokio::select! {
        watched = node.store_watch(follower.prefix(), after, WAIT_MS) => watched?,
        // What was sent while the store was away may never be answered.
        () = node.wait_for_store() => return Ok(Some(after)),
    };
    match watched {
        Watched::Compacted => {
            node.say(
                "watch",
                &format!("history of {} is gone, listing again", follower.prefix()),
            );
            Ok(None)
        }
        Watched::Changes(changes, at) => {
            let behind = follower.wants_latest_only() && has_repeats(&changes);
            let count = changes.len();
            let news = count > 0;
            if news && follower.is_wanted() {
                follower.apply(Update::Changes(changes));
                if count < BUSY_CHANGES {
                    pause(follower.pause_ms()).await;
                }
            }
            Ok((!behind).then_some(at.max(after)))
        }
    }
}

/// has_repeats tells whether several changes are of one key: the watch lags behind.
fn has_repeats(changes: &[Change]) -> bool {
    let mut keys: Vec<&str> = changes.iter().map(Change::key).collect();
    keys.sort_unstable();
    keys.windows(2).any(|pair| pair[0] == pair[1])
}
