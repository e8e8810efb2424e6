// SPDX-License-Identifier: Apache-2.0
//! Tells an outage of the store from a store that only this daemon does not reach.
//!
//! In an outage nothing can be cancelled, and the owner goes on starting tasks. An owner whose link is
//! congested, or that was held up, gets no answers either, while client accounts cancel jobs by way of
//! other daemons. So the owner asks some of them whether the store answers them.

use stackpier_cell::Event;
use stackpier_core::key;

use crate::{
    Platform,
    keys::Member,
    link::Request,
    node::{Node, pause},
    votes::Answered,
};

/// CHECK_MS is the pause between two checks.
const CHECK_MS: u64 = 100;
/// ASKED_NEAR is how many peers of the own data centre are asked, which can still be reached if it is
/// cut off.
const ASKED_NEAR: usize = 4;
/// ASKED_FAR is how many peers of other data centres are asked.
const ASKED_FAR: usize = 4;

/// is_outage reports whether the answers of peers, asked whether the store answers them, show an
/// outage to a daemon that does not reach it. If none of them answers, this daemon itself may be cut off.
pub fn is_outage(answers: &[Answered]) -> bool {
    let is_unreached = answers.contains(&Answered::No);
    let is_reached = answers.contains(&Answered::Yes);
    answers.is_empty() || is_unreached && !is_reached
}

impl<P: Platform> Node<P> {
    /// follow_outages tells the cell of the begin and end of outages, for as long as this daemon owns
    /// it with `fence`.
    pub(crate) async fn follow_outages(self, fence: u64) {
        let mut is_out = false;
        while self.owns_with(fence) {
            let found = !self.store_answers() && self.sees_outage().await;
            if found != is_out {
                is_out = found;
                let text = match is_out {
                    true => {
                        "an outage: the store answers neither this daemon nor any peer that was asked"
                    }
                    false => {
                        "no outage: the store answers this daemon or a peer, or no peer answers"
                    }
                };
                self.log_line("store", text);
                self.feed(fence, Event::Outage(is_out));
            }
            pause(CHECK_MS).await;
        }
    }

    async fn sees_outage(&self) -> bool {
        let answers = self.ask_all(self.peers_to_ask(), &Request::Store).await;
        is_outage(&answers)
    }

    /// peers_to_ask returns the addresses of some peers, in the own data centre and elsewhere.
    fn peers_to_ask(&self) -> Vec<String> {
        let members = self.members.borrow();
        let others = members.values().map(|entry| &entry.member);
        let mut others: Vec<&Member> = others
            .filter(|member| member.vm != self.settings.vm)
            .collect();
        others.sort_by_key(|member| key::weight(member.vm.as_bytes(), self.boot.0));
        let (near, far): (Vec<&Member>, Vec<&Member>) = others
            .into_iter()
            .partition(|member| member.data_centre == self.settings.data_centre);
        let near = near.into_iter().take(ASKED_NEAR);
        let chosen = near.chain(far.into_iter().take(ASKED_FAR));
        chosen.map(|member| member.address.clone()).collect()
    }
}
