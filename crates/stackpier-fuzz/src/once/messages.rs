// SPDX-License-Identifier: Apache-2.0
//! Messages to holders, their answers, and the sealing of keys for receivers in
//! other data centres.

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

use super::{Daemon, Mutation, OPTIONS, Simulation, centre_name, pick};
use crate::counts::hit;

/// Message is a question or an outcome in flight to a holder. The number is
/// that of the attempt or the sealer that waits for the answer.
#[derive(Clone, Debug)]
pub(super) enum Message {
    Ask(usize, Ask),
    /// A seal requested by a sealer, for a receiver in another data centre.
    SealFor(usize, Member, Seal),
    Finish(Member, Finish),
}

/// Sealer is a daemon that seals a key in its data centre for a receiver in
/// another one.
#[derive(Debug)]
pub(super) struct Sealer {
    pub attempt: usize,
    /// Seals to request from here on, with their holders.
    pub remaining: VecDeque<(Member, Seal)>,
    pub answers: Vec<Option<Held>>,
    pub done: bool,
}

impl Simulation {
    /// serve_message lets the holder process a message. The answer is lost
    /// unless `answered` is set.
    pub(super) fn serve_message(&mut self, n: u8, answered: bool) {
        let Some(message) = pick(&mut self.messages, n) else {
            return;
        };
        let held = self.perform(&message);
        match answered {
            true => self.deliver_answer(&message, held),
            false => {
                hit("fault: answer lost");
                self.deliver_answer(&message, None);
            }
        }
    }

    /// detach_message reports a message as unanswered, and keeps it to be
    /// served later.
    pub(super) fn detach_message(&mut self, n: u8) {
        let Some(message) = pick(&mut self.messages, n) else {
            return;
        };
        self.deliver_answer(&message, None);
        self.detached.push(message);
    }

    /// perform lets the holder process a message, and returns its answer;
    /// `None` if the holder is frozen or the message has no direct answer.
    pub(super) fn perform(&mut self, message: &Message) -> Option<Held> {
        match message {
            Message::Ask(_, Ask::Grant(holder, grant)) => {
                self.find_holder(*holder).map(|holder| holder.grant(*grant))
            }
            Message::Ask(_, Ask::Seal(holder, seal)) | Message::SealFor(_, holder, seal) => {
                self.find_holder(*holder).map(|holder| holder.seal(*seal))
            }
            Message::Finish(holder, finish) => {
                let finish = finish.clone();
                if let Some(holder) = self.find_holder(*holder) {
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

    /// find_holder returns the holder that runs on the VM of a member, unless
    /// it is frozen. Its process may be a later one than the member's; the holder
    /// itself refuses grants and seals that were meant for an earlier process.
    fn find_holder(&mut self, member: Member) -> Option<&mut Holder> {
        let found = self
            .daemons
            .iter_mut()
            .find(|daemon| daemon.me.vm == member.vm)?;
        (!found.frozen).then_some(&mut found.holder)
    }

    /// start_sealer lets a daemon of a data centre seal a key there.
    fn start_sealer(&mut self, attempt: usize, centre: Name, key: Key) {
        let can_serve = |daemon: &&Daemon| centre_name(daemon.centre) == centre && !daemon.frozen;
        let Some(daemon) = self.daemons.iter().find(can_serve) else {
            return;
        };
        let map = daemon.holder.map().clone();
        let remaining = once::seals(key, &map, OPTIONS).into();
        self.sealers.push(Sealer {
            attempt,
            remaining,
            answers: Vec::new(),
            done: false,
        });
        self.advance_sealer(self.sealers.len() - 1);
    }

    /// advance_sealer requests the next seal, or answers the receiver after the
    /// last one.
    fn advance_sealer(&mut self, number: usize) {
        let sealer = &mut self.sealers[number];
        if sealer.done {
            return;
        }
        if let Some((member, seal)) = sealer.remaining.pop_front() {
            self.messages.push(Message::SealFor(number, member, seal));
            return;
        }
        sealer.done = true;
        let sealing = once::sealing(&sealer.answers);
        let attempt = sealer.attempt;
        self.resume_attempt(attempt, Told::There(sealing));
    }

    /// deliver_answer gives an answer to the sender of a message; `None` if
    /// none came.
    pub(super) fn deliver_answer(&mut self, message: &Message, held: Option<Held>) {
        match message {
            Message::Ask(number, Ask::There(..)) => {
                // The sealer answers later. If there is none, the message was
                // lost or nobody could serve it.
                let serving = self.sealers.iter().any(|s| s.attempt == *number && !s.done);
                if !serving {
                    self.resume_attempt(*number, Told::Silence);
                }
            }
            Message::Ask(number, _) => {
                let told = match held {
                    Some(held) => self.learn_from_answer(*number, held),
                    None if self.mutation == Mutation::SilenceIsNoRecord => {
                        Told::Held(answer_without_record(message))
                    }
                    None => Told::Silence,
                };
                self.resume_attempt(*number, told);
            }
            Message::SealFor(number, ..) => {
                self.sealers[*number].answers.push(held);
                self.advance_sealer(*number);
            }
            Message::Finish(..) => {}
        }
    }
}

/// answer_without_record returns what a holder without a record of the key
/// would have answered.
fn answer_without_record(message: &Message) -> Held {
    match message {
        Message::Ask(_, Ask::Grant(..)) => Held::Granting(Granting::Granted),
        _ => Held::Record(Record::Moved),
    }
}
