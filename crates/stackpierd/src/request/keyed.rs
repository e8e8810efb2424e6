// SPDX-License-Identifier: Apache-2.0
//! Requests that must not be repeated: asking the holders of a key before the
//! request is sent, and telling them its outcome.

use std::{sync::atomic::Ordering, thread, time::Duration};

use slog::info;
use stackpier_coordination::once::{self, Ask, Once, Progress, Setting, Told, Verdict};
use stackpier_core::{Error, Kind, Name, Result, key::Request as Key};
use stackpier_protocol::peer::{
    Finish, Held as HolderAnswer, Request as Message, Response, Sealing,
};
use stackpier_state::{
    holders::Member,
    ledger::{Grantee, Record, Reply},
};

use super::{Callers, call::Call};
use crate::{
    backend::Backend,
    clock,
    daemon::{Daemon, lock},
};

/// ASK_ROUNDS bounds how often the holders are asked anew while the maps of
/// daemons are out of step.
const ASK_ROUNDS: usize = 20;
/// ASK_PAUSE is the time between two rounds.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// JOIN_PAUSE is the time between two looks at a key that is in progress.
const JOIN_PAUSE: Duration = Duration::from_millis(20);

/// Held is a grant that must be finished at its holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    /// The key.
    pub key: Key,
    /// The holder that granted it.
    pub holder: Member,
    /// The try it was granted to.
    pub by: Grantee,
}

impl<B: Backend> Callers<B> {
    /// dispatch_once sends a request that must not be repeated, if the holder
    /// of its key allows.
    pub(super) fn dispatch_once(&self, call: &Call, key: Key) -> Result<Reply> {
        let options = self.daemon.settings.once;
        let in_time = options.check(key, clock::unix());
        in_time.map_err(|kind| untimely(kind, call.first))?;
        loop {
            let (verdict, by) = self.settle(call, key);
            match verdict {
                Verdict::Run(holder) => {
                    let held = Held { key, holder, by };
                    return self.dispatch(call, Some(held));
                }
                Verdict::Repeat(reply) => return Ok(reply),
                Verdict::Refuse(Kind::InProgress) if clock::now() < call.deadline => {
                    thread::sleep(JOIN_PAUSE);
                }
                Verdict::Refuse(kind) => {
                    info!(self.daemon.log, "route: key refused"; "key" => %key, "why" => kind.as_str());
                    return Err(refusal(kind));
                }
            }
        }
    }

    /// settle asks the holders until the key is decided. Daemons whose maps are
    /// out of step learn from each other between rounds.
    fn settle(&self, call: &Call, key: Key) -> (Verdict, Grantee) {
        let mut rounds = 0;
        loop {
            let by = self.grantee();
            let (verdict, out_of_step) = self.settle_round(call, key, by);
            rounds += 1;
            if !out_of_step || rounds >= ASK_ROUNDS || clock::now() >= call.deadline {
                return (verdict, by);
            }
            thread::sleep(ASK_PAUSE);
        }
    }

    fn grantee(&self) -> Grantee {
        Grantee {
            boot: self.daemon.me.boot,
            number: self.tries.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// settle_round asks the holders once. It also tells whether some holder
    /// went by another map.
    fn settle_round(&self, call: &Call, key: Key, by: Grantee) -> (Verdict, bool) {
        let map = lock(&self.daemon.holder).map().clone();
        let data_centres = lock(&self.daemon.table).data_centres();
        let data_centres: Vec<Name> = data_centres.into_iter().collect();
        let setting = Setting {
            me: by,
            data_centre: self.daemon.settings.data_centre,
            map: &map,
            data_centres: &data_centres,
            first: call.first,
        };
        let (mut once, mut progress) = Once::new(key, setting, self.daemon.settings.once);
        loop {
            match progress {
                Progress::Ask(ask) => progress = once.tell(self.ask(&ask)),
                Progress::Decided(verdict, unused) => {
                    if let Some(holder) = unused {
                        let held = Held { key, holder, by };
                        self.daemon.finish(held, Record::NotRun);
                    }
                    return (verdict, once.holder_mismatch());
                }
            }
        }
    }

    fn ask(&self, ask: &Ask) -> Told {
        match ask {
            Ask::Seal(holder, seal) => self.daemon.ask_holder(*holder, Message::Seal(*seal)),
            Ask::Grant(holder, grant) => self.daemon.ask_holder(*holder, Message::Grant(*grant)),
            Ask::There(data_centre, key) => self.daemon.ask_there(*data_centre, *key),
        }
    }
}

impl<B: Backend> Daemon<B> {
    /// ask_holder asks the holder of a key, which may be this daemon.
    fn ask_holder(&self, holder: Member, message: Message) -> Told {
        let response = match holder.boot == self.me.boot {
            true => Some(self.hold(message)),
            false => self.ask(holder.vm, &message),
        };
        match response {
            Some(Response::Held(held)) => {
                if let HolderAnswer::Newer(map) = &held {
                    lock(&self.holder).learn(map.clone());
                }
                Told::Held(held)
            }
            _ => Told::Silence,
        }
    }

    /// hold serves a message to this daemon as a holder.
    pub fn hold(&self, message: Message) -> Response {
        let mut holder = lock(&self.holder);
        match message {
            Message::Grant(grant) => self.held(holder.grant(grant)),
            Message::Seal(seal) => self.held(holder.seal(seal)),
            Message::Finish(finish) => {
                holder.finish(finish);
                Response::Taken
            }
            _ => Response::Failed(Kind::BadInput),
        }
    }

    /// held passes on a holder's answer, and has the map read again where the
    /// sender knew a newer one.
    fn held(&self, held: HolderAnswer) -> Response {
        if held == HolderAnswer::Behind {
            self.holders_due.store(true, Ordering::SeqCst);
        }
        Response::Held(held)
    }

    /// finish tells the holder of a key its outcome. A lost word leaves the
    /// key granted, which refuses repeats as in progress.
    pub(super) fn finish(&self, held: Held, record: Record) {
        let Held { key, holder, by } = held;
        let message = Message::Finish(Finish { key, by, record });
        if holder.boot == self.me.boot {
            self.hold(message);
            return;
        }
        self.ask(holder.vm, &message);
    }

    /// ask_there has a key sealed in another data centre by any daemon there.
    fn ask_there(&self, data_centre: Name, key: Key) -> Told {
        let daemons: Vec<Name> = {
            let table = lock(&self.table);
            let there = table.peers().filter(|vm| vm.data_centre == data_centre);
            there.map(|vm| vm.name).collect()
        };
        for vm in daemons {
            if let Some(Response::SealedThere(sealing)) = self.ask(vm, &Message::SealThere(key)) {
                return Told::There(sealing);
            }
        }
        Told::Silence
    }

    /// seal_here seals a key at all holders of this data centre.
    pub fn seal_here(&self, key: Key) -> Sealing {
        let map = lock(&self.holder).map().clone();
        let seals = once::seals(key, &map, self.settings.once);
        let ask = |(holder, seal)| match self.ask_holder(holder, Message::Seal(seal)) {
            Told::Held(held) => Some(held),
            Told::There(_) | Told::Silence => None,
        };
        let answers: Vec<Option<HolderAnswer>> = seals.into_iter().map(ask).collect();
        once::sealing(&answers)
    }
}

/// untimely refuses a key whose time is out of the window. Only of a first
/// attempt it is known that none before it ran.
fn untimely(kind: Kind, first: bool) -> Error {
    let error = refusal(kind);
    match first {
        true => Error::new(Kind::BadKey, error.message),
        false => error,
    }
}

fn refusal(kind: Kind) -> Error {
    let text = match kind {
        Kind::KeyExpired => "the key is older than the window in which repeats are known",
        Kind::KeyFromFuture => "the key's time is ahead of the clock",
        Kind::KeySealed => "a repeat of this key came by another way and may have run",
        Kind::InProgress => "the same key is still being served",
        Kind::HolderUnreachable => "the holder of the key can't be reached",
        Kind::OutcomeUnknown => "an earlier attempt with this key may have run",
        _ => "the key was refused",
    };
    Error::new(kind, text)
}
