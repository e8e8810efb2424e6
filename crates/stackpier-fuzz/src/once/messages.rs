// SPDX-License-Identifier: Apache-2.0
//! Questions to holders, their answers, and the sealing for receivers in other
//! data centres.

use std::collections::VecDeque;

use stackpier_coordination::{
    holder::Holder,
    once::{self, Ask, Told},
};
use stackpier_core::{Name, key::Request as Key};
use stackpier_protocol::peer::{Finish, Held, Seal};
use stackpier_state::{
    holders::Member,
    ledger::{Granting, Record},
};

use super::{Daemon, Guard, OPTIONS, World, centre_name, pick};
use crate::counts::hit;

/// Message is a question or a word under way.
#[derive(Clone, Debug)]
pub(super) enum Message {
    Ask(usize, Ask),
    /// A seal asked for on behalf of another data centre's receiver.
    SealFor(usize, Member, Seal),
    Finish(Member, Finish),
}

/// Sealer is a daemon that seals a key in its data centre for a receiver in
/// another one.
#[derive(Debug)]
pub(super) struct Sealer {
    pub attempt: usize,
    pub left: VecDeque<(Member, Seal)>,
    pub answers: Vec<Option<Held>>,
    pub done: bool,
}

impl World {
    pub(super) fn serve(&mut self, n: u8, answered: bool) {
        let Some(message) = pick(&mut self.messages, n) else {
            return;
        };
        let held = self.perform(&message);
        match answered {
            true => self.answer(&message, held),
            false => {
                hit("fault: answer lost");
                self.answer(&message, None);
            }
        }
    }

    pub(super) fn detach(&mut self, n: u8) {
        let Some(message) = pick(&mut self.messages, n) else {
            return;
        };
        self.answer(&message, None);
        self.detached.push(message);
    }

    /// perform serves a message at its holder, if that run of it is there.
    pub(super) fn perform(&mut self, message: &Message) -> Option<Held> {
        match message {
            Message::Ask(_, Ask::Grant(holder, grant)) => {
                self.holder(*holder).map(|holder| holder.grant(*grant))
            }
            Message::Ask(_, Ask::Seal(holder, seal)) | Message::SealFor(_, holder, seal) => {
                self.holder(*holder).map(|holder| holder.seal(*seal))
            }
            Message::Finish(holder, finish) => {
                let finish = finish.clone();
                if let Some(holder) = self.holder(*holder) {
                    holder.finish(finish);
                }
                None
            }
            Message::Ask(number, Ask::There(centre, key)) => {
                self.start_sealer(*number, *centre, *key);
                None
            }
        }
    }

    fn holder(&mut self, member: Member) -> Option<&mut Holder> {
        let found = self
            .daemons
            .iter_mut()
            .find(|daemon| daemon.me.vm == member.vm)?;
        (!found.frozen).then_some(&mut found.holder)
    }

    fn start_sealer(&mut self, attempt: usize, centre: Name, key: Key) {
        let there = |daemon: &&Daemon| centre_name(daemon.centre) == centre && !daemon.frozen;
        let Some(daemon) = self.daemons.iter().find(there) else {
            return;
        };
        let map = daemon.holder.map().clone();
        let left = once::seals(key, &map, OPTIONS).into();
        self.sealers.push(Sealer {
            attempt,
            left,
            answers: Vec::new(),
            done: false,
        });
        self.advance_sealer(self.sealers.len() - 1);
    }

    fn advance_sealer(&mut self, number: usize) {
        let sealer = &mut self.sealers[number];
        if sealer.done {
            return;
        }
        if let Some((member, seal)) = sealer.left.pop_front() {
            self.messages.push(Message::SealFor(number, member, seal));
            return;
        }
        sealer.done = true;
        let sealing = once::sealing(&sealer.answers);
        let attempt = sealer.attempt;
        self.tell(attempt, Told::There(sealing));
    }

    /// answer hands the answer to whoever asked; `None` is silence.
    pub(super) fn answer(&mut self, message: &Message, held: Option<Held>) {
        match message {
            Message::Ask(number, Ask::There(..)) => {
                // The answer comes from the sealer, unless the message itself
                // was lost.
                let serving = self.sealers.iter().any(|s| s.attempt == *number && !s.done);
                if !serving {
                    self.tell(*number, Told::Silence);
                }
            }
            Message::Ask(number, _) => {
                let told = match held {
                    Some(held) => self.learned(*number, held),
                    None if self.guard == Guard::SilenceIsFree => Told::Held(free(message)),
                    None => Told::Silence,
                };
                self.tell(*number, told);
            }
            Message::SealFor(number, ..) => {
                self.sealers[*number].answers.push(held);
                self.advance_sealer(*number);
            }
            Message::Finish(..) => {}
        }
    }
}

/// free is what a holder without a record would have said.
fn free(message: &Message) -> Held {
    match message {
        Message::Ask(_, Ask::Grant(..)) => Held::Granting(Granting::Granted),
        _ => Held::Record(Record::Moved),
    }
}
