// SPDX-License-Identifier: Apache-2.0
//! Attempts of callers at daemons, from the key to the answer.

use stackpier_coordination::once::{Once, Progress, Setting, Told, Verdict};
use stackpier_core::{
    Kind, Name,
    error::Ran,
    key::{Boot, Request as Key},
};
use stackpier_protocol::peer::{Finish, Held};
use stackpier_state::{
    holders::Member,
    ledger::{Grantee, Record},
};

use super::{Guard, OPTIONS, World, centre_name, messages::Message, upstream::Dispatch};
use crate::counts::{hit, trace};

/// Attempt is one request of a caller at a daemon.
#[derive(Debug)]
pub(super) struct Attempt {
    pub key: Key,
    pub first: bool,
    pub daemon: usize,
    pub boot: Boot,
    pub by: Grantee,
    pub once: Once,
    pub executed: bool,
    pub answer: Option<Ran>,
}

impl World {
    pub(super) fn attempt(&mut self, key: Key, number: usize, first: bool) {
        if self.daemons[number].frozen || OPTIONS.check(key, self.unix(number)).is_err() {
            hit("branch: key out of the window");
            return;
        }
        let centres: Vec<Name> = (0..self.centres).map(centre_name).collect();
        let guard = self.guard;
        let daemon = &mut self.daemons[number];
        daemon.tries += 1;
        let by = Grantee {
            boot: daemon.me.boot,
            number: daemon.tries,
        };
        let mut map = daemon.holder.map().clone();
        if guard == Guard::NoEarlierHolders {
            map.versions = map.versions.split_off(map.versions.len().saturating_sub(1));
        }
        let setting = Setting {
            me: by,
            data_centre: centre_name(daemon.centre),
            map: &map,
            data_centres: &centres,
            first: first || guard == Guard::NoOtherCentres,
        };
        let (once, progress) = Once::new(key, setting, OPTIONS);
        self.attempts.push(Attempt {
            key,
            first,
            daemon: number,
            boot: by.boot,
            by,
            once,
            executed: false,
            answer: None,
        });
        self.progress(self.attempts.len() - 1, progress);
    }

    fn progress(&mut self, number: usize, progress: Progress) {
        match progress {
            Progress::Ask(ask) => self.messages.push(Message::Ask(number, ask)),
            Progress::Decided(verdict, unused) => {
                if let Some(holder) = unused {
                    self.finish(number, holder, Record::NotRun);
                }
                self.decided(number, verdict);
            }
        }
    }

    fn decided(&mut self, number: usize, verdict: Verdict) {
        trace("verdict", &(number, &verdict));
        match verdict {
            Verdict::Run(holder) => self.dispatched.push(Dispatch {
                attempt: number,
                holder,
            }),
            Verdict::Repeat(_) => {
                hit("branch: repeat got the kept answer");
                let key = self.attempts[number].key;
                assert_eq!(
                    self.executions.get(&key),
                    Some(&1),
                    "answered, but never ran"
                );
            }
            Verdict::Refuse(kind) => {
                count_refusal(kind);
                self.answered(number, kind.answer().ran);
            }
        }
    }

    /// answered notes an error answer and checks one that says "not run".
    pub(super) fn answered(&mut self, number: usize, ran: Ran) {
        let attempt = &mut self.attempts[number];
        attempt.answer = Some(ran);
        if ran == Ran::No && !attempt.first {
            let count = self.executions.get(&attempt.key).copied().unwrap_or(0);
            assert_eq!(count, 0, "a repeat was told 'not run', but an attempt ran");
        }
    }

    pub(super) fn finish(&mut self, number: usize, holder: Member, record: Record) {
        let attempt = &self.attempts[number];
        let finish = Finish {
            key: attempt.key,
            by: attempt.by,
            record,
        };
        self.messages.push(Message::Finish(holder, finish));
    }

    /// learned takes a newer map out of an answer, as the daemon does.
    pub(super) fn learned(&mut self, number: usize, held: Held) -> Told {
        let daemon = self.attempts[number].daemon;
        if let Held::Newer(map) = &held {
            hit("branch: receiver behind the holder");
            self.daemons[daemon].holder.learn(map.clone());
        }
        Told::Held(held)
    }

    pub(super) fn tell(&mut self, number: usize, told: Told) {
        let attempt = &mut self.attempts[number];
        if self.daemons[attempt.daemon].me.boot != attempt.boot || attempt.answer.is_some() {
            return;
        }
        let progress = attempt.once.tell(told);
        self.progress(number, progress);
    }
}

fn count_refusal(kind: Kind) {
    match kind {
        Kind::KeySealed => hit("branch: sealed key refused"),
        Kind::InProgress => hit("branch: key in progress"),
        Kind::OutcomeUnknown => hit("branch: unknown answer"),
        Kind::HolderUnreachable => hit("branch: holder unreachable, not run"),
        _ => hit("branch: other refusal"),
    }
}
