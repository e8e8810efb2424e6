// SPDX-License-Identifier: Apache-2.0
//! The placer's messages to racks about their claims.

use std::collections::BTreeMap;

use stackpier_core::{Name, key};
use stackpier_protocol::peer::{Claims, Hint, claims_sum};
use stackpier_state::{
    homes::{Home, Shard},
    page::ABSENT,
};

use super::Placer;
use crate::effect::{Effect, Note};

impl Placer {
    /// send_changes sends each rack the changes of its claims since the `old`
    /// page.
    pub(super) fn send_changes(&self, old: &Shard, effects: &mut Vec<Effect>) {
        let Some((_, page)) = &self.page else { return };
        let before: BTreeMap<key::Task, &Home> = old
            .homes
            .iter()
            .map(|home| (home.work.task, home))
            .collect();
        let mut racks: BTreeMap<Name, Claims> = BTreeMap::new();
        for home in &page.homes {
            let was = before.get(&home.work.task).copied();
            if was == Some(home) {
                continue;
            }
            if let Some((run, claim)) = was.and_then(|was| Some((was.run(), was.claim()?)))
                && !page.claimed(run, claim.rack)
            {
                self.claims(&mut racks, claim.rack).released.push(run);
            }
            if let Some(claim) = home.claim() {
                self.claims(&mut racks, claim.rack).claimed.push(*home);
                if was.and_then(Home::claim).is_none() {
                    effects.push(Effect::Note(Note::Claimed(home.run(), claim.worker)));
                }
            }
        }
        self.send_claims(racks, effects);
    }

    /// claims returns the message to a rack, created on first use.
    pub(super) fn claims<'a>(
        &self,
        racks: &'a mut BTreeMap<Name, Claims>,
        rack: Name,
    ) -> &'a mut Claims {
        let revision = self.page.as_ref().map_or(ABSENT, |(revision, _)| *revision);
        racks.entry(rack).or_insert_with(|| Claims {
            shard: self.shard,
            rack,
            revision,
            claimed: Vec::new(),
            released: Vec::new(),
            sum: 0,
        })
    }

    /// send_claims adds the sums and sends the messages.
    pub(super) fn send_claims(&self, racks: BTreeMap<Name, Claims>, effects: &mut Vec<Effect>) {
        let Some((_, page)) = &self.page else { return };
        for (rack, mut claims) in racks {
            let here = |home: &&Home| home.claim().is_some_and(|claim| claim.rack == rack);
            claims.sum = claims_sum(page.homes.iter().filter(here).map(Home::run));
            effects.push(Effect::Hint(Hint::Claims(claims)));
        }
    }
}
