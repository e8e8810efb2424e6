// SPDX-License-Identifier: Apache-2.0
//! Follows a prefix of the store: a listing first, then its changes, for as long as the
//! follower is wanted.

use opentelemetry::KeyValue;
use stackpier_core::{Millis, Result};

use crate::{
    Platform,
    node::{Node, pause},
    store::{Change, Item, Watched},
};

/// WAIT_MS is how long a watch waits for changes. A network cut can lose its answer without
/// an error, while no other call notices that the connection is dead. With the 450 ms that
/// a watch may take beyond its wait, and the pause after it, a new connection is tried
/// within 2.9 s. That is below the three seconds after which operators expect a daemon to
/// be connected again.
const WAIT_MS: u64 = 2_200;
/// BUSY_CHANGES is the number of changes in one answer from which the next watch is sent
/// without a pause. 3,000 workers that write their entries every 1.5 s make 2,000 changes a
/// second. If an answer holds at most 500, the page size of a listing, a watch that pauses
/// for 250 ms after each answer falls behind, and workers that are leaving get starts.
const BUSY_CHANGES: usize = 200;
/// RETRY_MS is the pause after a failed call.
const RETRY_MS: u64 = 250;
/// LATE_MS is how much later than its wait allows an answer to a watch has to come to be logged.
const LATE_MS: u64 = 300;

/// Update is what a follower receives.
#[derive(Clone, Debug)]
pub(crate) enum Update {
    /// All present items: any other item that was known is gone.
    All(Vec<Item>),
    /// The changes since the last update.
    Changes(Vec<Change>),
}

impl Update {
    /// into_items returns the items that are present or new, without removals.
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

/// Follower receives the items under a prefix and their changes.
pub(crate) trait Follower {
    /// prefix returns the prefix to follow.
    fn prefix(&self) -> &str;

    /// apply handles an update.
    fn apply(&mut self, update: Update);

    /// is_wanted reports whether to keep following.
    fn is_wanted(&self) -> bool;

    /// wants_latest_only reports whether only the newest value of a key matters. If a watch
    /// then brings several values of one key, the next read is a listing.
    fn wants_latest_only(&self) -> bool {
        false
    }

    /// apply_known handles that all changes up to `at` have been passed to `apply`.
    fn apply_known(&mut self, _at: Millis) {}

    /// wait_ms returns how long a watch waits for changes.
    fn wait_ms(&self) -> u64 {
        WAIT_MS
    }

    /// pause_ms returns the pause between two watches, which lets changes arrive in
    /// batches.
    fn pause_ms(&self) -> u64 {
        0
    }
}

/// follow updates a follower until it is no longer wanted. `after` is the revision of a
/// listing that the follower already has.
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
    let sent = node.mono();
    let listing = node.store_list(follower.prefix()).await?;
    if follower.is_wanted() {
        follower.apply(Update::All(listing.items));
        follower.apply_known(sent);
        record_answer(node, follower, sent);
    }
    Ok(Some(listing.at))
}

async fn watch<P: Platform, F: Follower>(
    node: &Node<P>,
    follower: &mut F,
    after: u64,
) -> Result<Option<u64>> {
    let sent = node.mono();
    let watched = tokio::select! {
        watched = node.store_watch(follower.prefix(), after, follower.wait_ms()) => watched?,
        // A watch sent while the store was unreachable may never be answered.
        () = node.wait_for_store() => return Ok(Some(after)),
    };
    match watched {
        Watched::Compacted => {
            node.log_line(
                "watch",
                &format!(
                    "the store compacted the history of {}, listing again",
                    follower.prefix()
                ),
            );
            Ok(None)
        }
        Watched::Changes(changes, at) => {
            let behind = follower.wants_latest_only() && has_repeats(&changes);
            let count = changes.len();
            let has_changes = count > 0;
            record_answer(node, follower, sent);
            if has_changes && follower.is_wanted() {
                follower.apply(Update::Changes(changes));
            }
            follower.apply_known(sent);
            if has_changes && count < BUSY_CHANGES {
                pause(follower.pause_ms()).await;
            }
            Ok((!behind).then_some(at.max(after)))
        }
    }
}

/// record_answer records how old the state of a prefix is, at most, that an answer shows: the answer
/// to a call that was sent at `sent`.
fn record_answer<P: Platform, F: Follower>(node: &Node<P>, follower: &F, sent: Millis) {
    let prefix = follower.prefix();
    let age_ms = node.mono().since(sent);
    let label = [KeyValue::new("prefix", prefix.to_owned())];
    let age_s = age_ms as f64 / 1_000.0;
    node.metrics.known_age.record(age_s, &label);
    if age_ms >= follower.wait_ms() + LATE_MS {
        let text = format!("the answer about {prefix} took {age_ms} ms");
        node.log_line("watch", &text);
    }
}

/// has_repeats reports whether several changes concern the same key, a sign that the watch
/// lags behind.
fn has_repeats(changes: &[Change]) -> bool {
    let mut keys: Vec<&str> = changes.iter().map(Change::key).collect();
    keys.sort_unstable();
    keys.windows(2).any(|pair| pair[0] == pair[1])
}
