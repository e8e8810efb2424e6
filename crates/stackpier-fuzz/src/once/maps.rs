// SPDX-License-Identifier: Apache-2.0
//! Changes of the holder maps, and restarts of daemons.

use stackpier_core::Unix;

use super::{Mutation, OPTIONS, Simulation};
use crate::counts::hit;

impl Simulation {
    /// learn_map lets a daemon read the map and acknowledge it in the page. Map
    /// versions and records that are too old are dropped.
    pub(super) fn learn_map(&mut self, number: usize) {
        if self.daemons[number].frozen {
            return;
        }
        let now = self.unix(number);
        let daemon = &mut self.daemons[number];
        let page = &mut self.maps[daemon.centre];
        daemon.holder.learn(page.clone());
        page.acknowledge(daemon.me, page.number(), now);
        page.drop_old(now, OPTIONS.window_ms + 2 * OPTIONS.allowance_ms);
        daemon.holder.drop_old(OPTIONS.oldest(now));
    }

    /// renew_map writes a version of the map with a subset of the data centre's
    /// daemons.
    pub(super) fn renew_map(&mut self, number: usize, subset: u8) {
        let daemon = &self.daemons[number];
        let centre = daemon.centre;
        let members = self.members(centre, subset);
        if daemon.frozen || members.is_empty() {
            return;
        }
        if self.maps[centre].renew(members) {
            hit("branch: map changed");
        }
        if self.mutation == Mutation::RetireImmediately {
            let now = Unix(self.time);
            let newest = self.maps[centre].number();
            let earlier = self.maps[centre].versions.iter_mut();
            earlier.filter(|v| v.number < newest).for_each(|v| {
                v.retired.get_or_insert(now);
            });
        }
    }

    pub(super) fn restart_daemon(&mut self, number: usize) {
        hit("fault: daemon restarted");
        self.ended.push(self.daemons[number].me);
        self.daemons[number] = self.new_daemon(number);
    }

    /// acknowledge_ended acknowledges the newest version of the map in place of
    /// the members that have ended, as they can no longer do so themselves.
    pub(super) fn acknowledge_ended(&mut self, number: usize) {
        let centre = self.daemons[number].centre;
        let now = self.unix(number);
        let page = &mut self.maps[centre];
        let newest = page.number();
        for member in &self.ended {
            page.acknowledge(*member, newest, now);
        }
        if page
            .versions
            .iter()
            .any(|version| version.retired.is_some())
        {
            hit("branch: version retired");
        }
    }
}
