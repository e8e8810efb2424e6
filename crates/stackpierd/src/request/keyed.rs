// SPDX-License-Identifier: Apache-2.0
//! Requests that must not be repeated. The daemon asks the holders of the
//! request's key before it sends the request, and reports the outcome to the
//! holder that granted the key.

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

/// MAX_ROUNDS bounds how often the holders are asked about one request while
/// daemons have different versions of the holder map.
const MAX_ROUNDS: usize = 20;
/// ROUND_PAUSE is the pause between two rounds of asking the holders.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// IN_PROGRESS_PAUSE is the pause before asking again about a key whose request is
/// in progress.
const IN_PROGRESS_PAUSE: Duration = Duration::from_millis(20);

/// OpenGrant is a granted key whose outcome must be reported to the holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenGrant {
    /// The key.
    pub key: Key,
    /// The holder that granted it.
    pub holder: Member,
    /// The attempt it was granted to.
    pub by: Grantee,
}

impl<B: Backend> Callers<B> {
    /// dispatch_once sends a request that must not be repeated, if the holder of its
    /// key allows it. It waits while another attempt with the key is in progress.
    pub(super) fn dispatch_once(&self, call: &Call, key: Key) -> Result<Reply> {
        let options = self.daemon.settings.once;
        let checked = options.check(key, clock::unix());
        checked.map_err(|kind| refuse_outside_window(kind, call.first_attempt))?;
        loop {
            let (verdict, by) = self.decide(call, key);
            match verdict {
                Verdict::Run(holder) => {
                    let grant = OpenGrant { key, holder, by };
                    return self.dispatch(call, Some(grant));
                }
                Verdict::Repeat(reply) => return Ok(reply),
                Verdict::Refuse(Kind::InProgress) if clock::now() < call.deadline => {
                    thread::sleep(IN_PROGRESS_PAUSE);
                }
                Verdict::Refuse(kind) => {
                    info!(self.daemon.log, "route: key refused"; "key" => %key, "why" => kind.as_str());
                    return Err(refusal(kind));
                }
            }
        }
    }

    /// decide asks the holders what to do with the request. It repeats the question
    /// while daemons have different versions of the holder map; between rounds they
    /// get the newest one from each other.
    fn decide(&self, call: &Call, key: Key) -> (Verdict, Grantee) {
        let mut rounds = 0;
        loop {
            let by = self.new_grantee();
            let (verdict, holder_mismatch) = self.try_decide(call, key, by);
            rounds += 1;
            if !holder_mismatch || rounds >= MAX_ROUNDS || clock::now() >= call.deadline {
                return (verdict, by);
            }
            thread::sleep(ROUND_PAUSE);
        }
    }

    fn new_grantee(&self) -> Grantee {
        Grantee {
            boot: self.daemon.me.boot,
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// try_decide asks the holders once. It also reports whether a holder has
    /// another version of the map.
    fn try_decide(&self, call: &Call, key: Key, by: Grantee) -> (Verdict, bool) {
        let map = lock(&self.daemon.holder).map().clone();
        let data_centres = lock(&self.daemon.table).data_centres();
        let data_centres: Vec<Name> = data_centres.into_iter().collect();
        let setting = Setting {
            me: by,
            data_centre: self.daemon.settings.data_centre,
            map: &map,
            data_centres: &data_centres,
            first: call.first_attempt,
        };
        let (mut once, mut progress) = Once::new(key, setting, self.daemon.settings.once);
        loop {
            match progress {
                Progress::Ask(ask) => progress = once.tell(self.perform(&ask)),
                Progress::Decided(verdict, unused) => {
                    if let Some(holder) = unused {
                        let grant = OpenGrant { key, holder, by };
                        self.daemon.finish_grant(grant, Record::NotRun);
                    }
                    return (verdict, once.holder_mismatch());
                }
            }
        }
    }

    fn perform(&self, ask: &Ask) -> Told {
        match ask {
            Ask::Seal(holder, seal) => self.daemon.call_holder(*holder, Message::Seal(*seal)),
            Ask::Grant(holder, grant) => self.daemon.call_holder(*holder, Message::Grant(*grant)),
            Ask::There(data_centre, key) => self.daemon.seal_remotely(*data_centre, *key),
        }
    }
}

impl<B: Backend> Daemon<B> {
    /// call_holder sends a message to the holder of a key, which may be this daemon,
    /// and stores the newer map that the answer may hold.
    fn call_holder(&self, holder: Member, message: Message) -> Told {
        let response = match holder.boot == self.me.boot {
            true => Some(self.serve_as_holder(message)),
            false => self.call_daemon(holder.vm, &message),
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

    /// serve_as_holder handles a message to this daemon as the holder of a key.
    pub fn serve_as_holder(&self, message: Message) -> Response {
        let mut holder = lock(&self.holder);
        match message {
            Message::Grant(grant) => self.build_held_response(holder.grant(grant)),
            Message::Seal(seal) => self.build_held_response(holder.seal(seal)),
            Message::Finish(finish) => {
                holder.finish(finish);
                Response::Taken
            }
            _ => Response::Failed(Kind::BadInput),
        }
    }

    /// build_held_response wraps the answer of this daemon's holder. If the sender has
    /// a newer map, the map is read again.
    fn build_held_response(&self, held: HolderAnswer) -> Response {
        if held == HolderAnswer::Behind {
            self.holder_map_outdated.store(true, Ordering::SeqCst);
        }
        Response::Held(held)
    }

    /// finish_grant reports the outcome of a request to the holder of its key. If the
    /// report is lost, the key stays granted, and repeats are refused as in progress.
    pub(super) fn finish_grant(&self, grant: OpenGrant, record: Record) {
        let OpenGrant { key, holder, by } = grant;
        let message = Message::Finish(Finish { key, by, record });
        if holder.boot == self.me.boot {
            self.serve_as_holder(message);
            return;
        }
        self.call_daemon(holder.vm, &message);
    }

    /// seal_remotely has a key sealed in another data centre, by the first daemon
    /// there that answers.
    fn seal_remotely(&self, data_centre: Name, key: Key) -> Told {
        let daemons: Vec<Name> = {
            let table = lock(&self.table);
            let there = table.peers().filter(|vm| vm.data_centre == data_centre);
            there.map(|vm| vm.name).collect()
        };
        for vm in daemons {
            if let Some(Response::SealedThere(sealing)) =
                self.call_daemon(vm, &Message::SealThere(key))
            {
                return Told::There(sealing);
            }
        }
        Told::Silence
    }

    /// seal_locally seals a key at all its holders in this data centre.
    pub fn seal_locally(&self, key: Key) -> Sealing {
        let map = lock(&self.holder).map().clone();
        let seals = once::seals(key, &map, self.settings.once);
        let ask = |(holder, seal)| match self.call_holder(holder, Message::Seal(seal)) {
            Told::Held(held) => Some(held),
            Told::There(_) | Told::Silence => None,
        };
        let answers: Vec<Option<HolderAnswer>> = seals.into_iter().map(ask).collect();
        once::sealing(&answers)
    }
}

/// refuse_outside_window returns the error for a key whose time is outside of the
/// window. Only for a first attempt is it known that no earlier one ran.
fn refuse_outside_window(kind: Kind, first_attempt: bool) -> Error {
    let error = refusal(kind);
    match first_attempt {
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
