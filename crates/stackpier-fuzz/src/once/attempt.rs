// SPDX-License-Identifier: Apache-2.0
//! Attempts of callers at daemons, from the arrival of the key to the answer.

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

use super::{Mutation, OPTIONS, Simulation, centre_name, messages::Message, upstream::Dispatch};
use crate::counts::{hit, trace};

/// Attempt is one request of a caller that a daemon received.
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

impl Simulation {
    /// start_attempt lets a daemon receive a request, unless it is frozen or
    /// refuses the age of the key.
    pub(super) fn start_attempt(&mut self, key: Key, number: usize, first: bool) {
        if self.daemons[number].frozen || OPTIONS.check(key, self.unix(number)).is_err() {
            hit("branch: key out of the window");
            return;
        }
        let centres: Vec<Name> = (0..self.centres).map(centre_name).collect();
        let mutation = self.mutation;
        let daemon = &mut self.daemons[number];
        daemon.attempt_count += 1;
        let by = Grantee {
            boot: daemon.me.boot,
            number: daemon.attempt_count,
        };
        let mut map = daemon.holder.map().clone();
        if mutation == Mutation::NoEarlierHolders {
            map.versions = map.versions.split_off(map.versions.len().saturating_sub(1));
        }
        let setting = Setting {
            me: by,
            data_centre: centre_name(daemon.centre),
            map: &map,
            data_centres: &centres,
            first: first || mutation == Mutation::NoOtherDataCentres,
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
        self.apply_progress(self.attempts.len() - 1, progress);
    }

    fn apply_progress(&mut self, number: usize, progress: Progress) {
        match progress {
            Progress::Ask(ask) => self.messages.push(Message::Ask(number, ask)),
            Progress::Decided(verdict, unused) => {
                if let Some(holder) = unused {
                    self.send_finish(number, holder, Record::NotRun);
                }
                self.apply_verdict(number, verdict);
            }
        }
    }

    fn apply_verdict(&mut self, number: usize, verdict: Verdict) {
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
                    "a repeat got an answer, but no attempt ran"
                );
            }
            Verdict::Refuse(kind) => {
                count_refusal(kind);
                self.record_answer(number, kind.answer().ran);
            }
        }
    }

    /// record_answer records the error answer to an attempt. If it says "not
    /// run" to a repeat, it asserts that no attempt with this key ran.
    pub(super) fn record_answer(&mut self, number: usize, ran: Ran) {
        let attempt = &mut self.attempts[number];
        attempt.answer = Some(ran);
        if ran == Ran::No && !attempt.first {
            let count = self.executions.get(&attempt.key).copied().unwrap_or(0);
            assert_eq!(
                count, 0,
                "a repeat got the answer 'not run', but an attempt ran"
            );
        }
    }

    /// send_finish reports the outcome of an attempt to the holder of its key.
    pub(super) fn send_finish(&mut self, number: usize, holder: Member, record: Record) {
        let attempt = &self.attempts[number];
        let finish = Finish {
            key: attempt.key,
            by: attempt.by,
            record,
        };
        self.messages.push(Message::Finish(holder, finish));
    }

    /// learn_from_answer lets the daemon learn a newer map that an answer
    /// contains, as the real daemon does.
    pub(super) fn learn_from_answer(&mut self, number: usize, held: Held) -> Told {
        let daemon = self.attempts[number].daemon;
        if let Held::Newer(map) = &held {
            hit("branch: receiver behind the holder");
            self.daemons[daemon].holder.learn(map.clone());
        }
        Told::Held(held)
    }

    /// resume_attempt gives an attempt the answer that it waits for. An attempt
    /// that was answered, or whose daemon restarted, ignores it.
    pub(super) fn resume_attempt(&mut self, number: usize, told: Told) {
        let attempt = &mut self.attempts[number];
        if self.daemons[attempt.daemon].me.boot != attempt.boot || attempt.answer.is_some() {
            return;
        }
        let progress = attempt.once.tell(told);
        self.apply_progress(number, progress);
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
