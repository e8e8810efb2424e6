// SPDX-License-Identifier: Apache-2.0
//! Holder maps that change, and daemons that start anew.

use stackpier_core::Unix;

use super::{Guard, OPTIONS, World};
use crate::counts::hit;

impl World {
    /// learn lets a daemon read the map, and acknowledge it in the page.
    pub(super) fn learn(&mut self, number: usize) {
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

    pub(super) fn renew(&mut self, number: usize, subset: u8) {
        let daemon = &self.daemons[number];
        let centre = daemon.centre;
        let members = self.members(centre, subset);
        if daemon.frozen || members.is_empty() {
            return;
        }
        if self.maps[centre].renew(members) {
            hit("branch: map changed");
        }
        if self.guard == Guard::RetireAtOnce {
            let now = Unix(self.time);
            let newest = self.maps[centre].number();
            let earlier = self.maps[centre].versions.iter_mut();
            earlier.filter(|v| v.number < newest).for_each(|v| {
                v.retired.get_or_insert(now);
            });
        }
    }

    pub(super) fn restart(&mut self, number: usize) {
        hit("fault: daemon restarted");
        self.over.push(self.daemons[number].me);
        self.daemons[number] = self.fresh(number);
    }

    /// list notes in the map which members are proven to be over.
    pub(super) fn list(&mut self, number: usize) {
        let centre = self.daemons[number].centre;
        let now = self.unix(number);
        let page = &mut self.maps[centre];
        let newest = page.number();
        for member in &self.over {
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
