// SPDX-License-Identifier: Apache-2.0
//! Follows the daemons and the ownership of the cell in the store.

use stackpier_protocol::codec::decode;

use crate::{
    Platform,
    keys::{CLUSTER, COVERAGE, MEMBERS, Member, OWNER, Ownership},
    node::{Node, Owned, Registered},
    retry::Cause,
    store::{Change, Item},
    watch::{Follower, Update},
};

/// Cluster follows the ownership and the daemons' entries.
pub(crate) struct Cluster<P> {
    pub(crate) node: Node<P>,
}

impl<P: Platform> Follower for Cluster<P> {
    fn prefix(&self) -> &str {
        CLUSTER
    }

    fn is_wanted(&self) -> bool {
        true
    }

    fn apply(&mut self, update: Update) {
        match update {
            Update::All(items) => {
                self.node.members.borrow_mut().clear();
                items
                    .iter()
                    .for_each(|item| self.node.apply_cluster_item(item));
            }
            Update::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => self.node.apply_cluster_item(&item),
                        Change::Removed(key) => self.node.remove_member(&key),
                    }
                }
            }
        }
    }
}

impl<P: Platform> Node<P> {
    fn apply_cluster_item(&self, item: &Item) {
        if item.key == OWNER {
            self.apply_ownership(item);
            return;
        }
        if item.key == COVERAGE {
            let coverage = self.decode_or_log(None, "the coverage of assignments", &item.value);
            self.coverage.set(coverage);
            return;
        }
        match decode::<Member>(&item.value) {
            Ok(member) => {
                let vm = member.vm.clone();
                let revision = item.revision;
                let entry = Registered { member, revision };
                self.members.borrow_mut().insert(vm, entry);
            }
            Err(error) => {
                self.log_line("member", &format!("{} is not readable: {error}", item.key))
            }
        }
    }

    fn remove_member(&self, key: &str) {
        if let Some(vm) = key.strip_prefix(MEMBERS) {
            self.members.borrow_mut().remove(vm);
        }
    }

    /// apply_ownership records who owns the cell, and gives up the cell if that is another
    /// daemon. An item that is not newer than the known one is ignored.
    pub(crate) fn apply_ownership(&self, item: &Item) {
        let ownership = match decode::<Ownership>(&item.value) {
            Ok(ownership) => ownership,
            Err(error) => {
                self.log_line("member", &format!("the ownership is not readable: {error}"));
                return;
            }
        };
        let older = |owned: &Owned| owned.revision >= item.revision;
        if self.owned.borrow().as_ref().is_some_and(older) {
            return;
        }
        let text = format!(
            "cell owned by {} with fence {}, released {}",
            ownership.vm, ownership.fence, ownership.released
        );
        self.log_line("member", &text);
        let own = ownership.vm == self.settings.vm && ownership.boot == self.boot;
        let fence = ownership.fence;
        let earlier = self.owned.replace(Some(Owned {
            ownership,
            revision: item.revision,
        }));
        self.record_change(earlier.as_ref(), fence);
        self.last_contact.set(self.mono());
        if !own {
            self.depose(fence, "the store shows another owner");
        }
    }

    /// record_change records that there is a new owner, with `fence`, and how long the one before it
    /// may still act. An owner that released the cell does not, nor does this daemon: it gives up the
    /// cell when it sees a later owner.
    fn record_change(&self, earlier: Option<&Owned>, fence: u64) {
        if earlier.is_some_and(|earlier| earlier.ownership.fence >= fence) {
            return;
        }
        self.detector.borrow_mut().record_takeover(self.mono());
        self.end_cause(Cause::Owner);
        let may_act = |owned: &Owned| {
            let ownership = &owned.ownership;
            !ownership.released && ownership.boot != self.boot
        };
        let earlier = earlier.map(|owned| {
            let mut holder = owned.holder();
            holder.answered = self.answered.get() == holder.fence;
            (holder, may_act(owned))
        });
        let until = self.mono().plus(self.settings.cell.authority_ms);
        self.authorities.borrow_mut().replace(earlier, fence, until);
    }
}
