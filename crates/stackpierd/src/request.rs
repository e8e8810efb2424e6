// SPDX-License-Identifier: Apache-2.0
//! A caller's request from arrival to its one final answer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use flume::Sender;
use slog::info;
use stackpier_coordination::{
    once::{self, Ask, Once, Progress, Setting, Told, Verdict},
    route::Outcome,
};
use stackpier_core::{Error, Kind, Millis, Name, Result, error::Ran, key::Request as Key};
use stackpier_protocol::{
    caller::{ATTEMPT_HEADER, DEADLINE_HEADER, FIRST_ATTEMPT, KEY_HEADER, REPEATABLE_HEADER},
    peer::{Finish, Held as HolderAnswer, Request as Message, Response},
};
use stackpier_state::{
    holders::Member,
    ledger::{Grantee, Record, Reply},
};
use stackpier_transport::{
    callers,
    platform::{Request, Sent, Upstream},
};

use crate::{
    backend::Backend,
    clock,
    daemon::{Daemon, lock},
    metrics,
    routing::{Acquired, Slot},
    sender::{Job, Pool},
};

/// MAX_DEADLINE_MS is the longest a caller may wait.
const MAX_DEADLINE_MS: u64 = 600_000;
/// MAX_SENDS bounds how often one request is sent.
const MAX_SENDS: usize = 4;
/// ASK_ROUNDS bounds how often a request is asked for anew under a newer
/// holder map.
const ASK_ROUNDS: usize = 3;
/// JOIN_PAUSE is the time between two looks at a key that is in progress.
const JOIN_PAUSE: Duration = Duration::from_millis(20);

/// Call is a caller's request, checked.
#[derive(Clone, Debug)]
struct Call {
    service: Name,
    deadline: Millis,
    key: Option<Key>,
    first: bool,
    request: Arc<Request>,
}

/// Held is a grant that must be finished at its holder.
#[derive(Clone, Copy, Debug)]
struct Held {
    key: Key,
    holder: Member,
    by: Grantee,
}

/// Callers is the service behind the callers' port.
pub struct Callers<B: Backend> {
    daemon: Arc<Daemon<B>>,
    pool: Pool<Sending<B>>,
    tries: AtomicU64,
}

impl<B: Backend> Callers<B> {
    /// new serves callers of a daemon.
    pub fn new(daemon: Arc<Daemon<B>>) -> Callers<B> {
        Callers {
            daemon,
            pool: Pool::default(),
            tries: AtomicU64::new(0),
        }
    }
}

impl<B: Backend> callers::Service for Callers<B> {
    fn serve(&self, raw: callers::Request) -> Result<Reply> {
        let arrived = clock::now();
        let answer = self.answer(arrived, raw);
        let word = answer
            .as_ref()
            .map_or_else(|error| error.kind.as_str(), |_| "done");
        let took = clock::now().since(arrived);
        self.daemon.metrics.answers.add(1, &metrics::kind(word));
        self.daemon
            .metrics
            .latency
            .record(took as f64 / 1_000.0, &metrics::kind(word));
        answer
    }
}

impl<B: Backend> Callers<B> {
    fn answer(&self, arrived: Millis, raw: callers::Request) -> Result<Reply> {
        if self.daemon.stopping() {
            return Err(Error::new(Kind::Stopping, "this entry VM is stopping"));
        }
        let call = check(arrived, raw, self.daemon.settings.deadline_ms)?;
        if lock(&self.daemon.catalogue).object(call.service).is_none() {
            let text = format!("no service '{}' is known", call.service);
            return Err(Error::new(Kind::NotFound, text));
        }
        match call.key {
            None => self.dispatch(&call, None),
            Some(key) => self.dispatch_once(&call, key),
        }
    }

    /// dispatch_once sends a request that must not be repeated, if the holder
    /// of its key allows.
    fn dispatch_once(&self, call: &Call, key: Key) -> Result<Reply> {
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
                    std::thread::sleep(JOIN_PAUSE);
                }
                Verdict::Refuse(kind) => {
                    info!(self.daemon.log, "route: key refused"; "key" => %key, "why" => kind.as_str());
                    return Err(refusal(kind));
                }
            }
        }
    }

    /// settle asks the holders until the key is decided.
    fn settle(&self, call: &Call, key: Key) -> (Verdict, Grantee) {
        let mut verdict = Verdict::Refuse(Kind::HolderUnreachable);
        let mut by = self.grantee();
        for _ in 0..ASK_ROUNDS {
            by = self.grantee();
            let before = lock(&self.daemon.holder).map().number();
            verdict = self.settle_round(call, key, by);
            let newer = lock(&self.daemon.holder).map().number() > before;
            let unreachable = matches!(
                verdict,
                Verdict::Refuse(Kind::HolderUnreachable | Kind::OutcomeUnknown)
            );
            if !(newer && unreachable) {
                break;
            }
        }
        (verdict, by)
    }

    fn grantee(&self) -> Grantee {
        Grantee {
            boot: self.daemon.me.boot,
            number: self.tries.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn settle_round(&self, call: &Call, key: Key, by: Grantee) -> Verdict {
        let map = lock(&self.daemon.holder).map().clone();
        let table = lock(&self.daemon.table);
        let data_centres: Vec<Name> = table.data_centres().into_iter().collect();
        drop(table);
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
                        self.daemon.finish(Held { key, holder, by }, Record::NotRun);
                    }
                    return verdict;
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

    /// dispatch sends a request to upstreams until it has a final answer.
    fn dispatch(&self, call: &Call, held: Option<Held>) -> Result<Reply> {
        let mut avoid: Vec<Name> = Vec::new();
        let mut last = Error::new(
            Kind::NoUpstream,
            format!("no upstream runs '{}'", call.service),
        );
        for sends in 0..MAX_SENDS {
            if sends > 0 && !self.daemon.routing.may_retry(call.service) {
                break;
            }
            let slot = match self.acquire(call, &avoid) {
                Ok(slot) => slot,
                Err(error) => {
                    last = error;
                    break;
                }
            };
            avoid.push(slot.endpoint.worker);
            if sends > 0 {
                self.daemon.metrics.retries.add(1, &[]);
            }
            match self.send(call, slot, held) {
                Attempt::Whole(reply) => return Ok(reply),
                Attempt::NotRun(error) => last = error,
                Attempt::Unknown(error) => {
                    // What may have run is sent again only if it may be repeated.
                    if held.is_some() || clock::now() >= call.deadline {
                        return Err(error);
                    }
                    last = error;
                }
            }
        }
        if let Some(held) = held {
            self.daemon.finish(held, Record::NotRun);
            // The holders have settled that no attempt with this key ran.
            return Err(last.with_ran(Ran::No));
        }
        Err(last)
    }

    fn acquire(&self, call: &Call, avoid: &[Name]) -> Result<Slot> {
        match self
            .daemon
            .routing
            .acquire(call.service, call.deadline, avoid)
        {
            Acquired::Slot(slot) if self.daemon.stopping() => {
                self.daemon.routing.done(slot, 0, Outcome::Busy);
                Err(Error::new(Kind::Stopping, "this entry VM is stopping"))
            }
            Acquired::Slot(slot) => Ok(slot),
            Acquired::Shed(ms) => {
                let text = format!("the wait for '{}' would pass the deadline", call.service);
                Err(Error::new(Kind::Overloaded, text).after(ms))
            }
            Acquired::NoUpstream => {
                let text = format!("no upstream runs '{}'", call.service);
                Err(Error::new(Kind::NoUpstream, text))
            }
            Acquired::DeadlinePassed => Err(Error::new(
                Kind::DeadlinePassed,
                "the deadline passed in the queue",
            )),
        }
    }

    /// send sends a request once and waits until the deadline.
    fn send(&self, call: &Call, slot: Slot, held: Option<Held>) -> Attempt {
        let (reply, answered) = flume::bounded(1);
        self.pool.run(Sending {
            daemon: Arc::clone(&self.daemon),
            call: call.clone(),
            slot,
            held,
            reply,
        });
        let left = call.deadline.since(clock::now());
        let attempt = match answered.recv_timeout(Duration::from_millis(left)) {
            Ok(attempt) => attempt,
            Err(_) => unknown("the deadline passed after the request was sent"),
        };
        info!(self.daemon.log, "route: sent";
            "service" => %call.service, "upstream" => %slot.endpoint.worker,
            "key" => call.key.map(|key| key.to_string()),
            "result" => attempt.word());
        attempt
    }
}

/// Attempt is the outcome of sending once.
enum Attempt {
    Whole(Reply),
    NotRun(Error),
    Unknown(Error),
}

impl Attempt {
    fn word(&self) -> &'static str {
        match self {
            Attempt::Whole(_) => "done",
            Attempt::NotRun(_) => "not-run",
            Attempt::Unknown(_) => "unknown",
        }
    }
}

fn unknown(text: &str) -> Attempt {
    Attempt::Unknown(Error::new(Kind::OutcomeUnknown, text))
}

/// Sending waits for one upstream's answer, past the caller's deadline if need
/// be, gives the slot back and tells the holder.
struct Sending<B: Backend> {
    daemon: Arc<Daemon<B>>,
    call: Call,
    slot: Slot,
    held: Option<Held>,
    reply: Sender<Attempt>,
}

impl<B: Backend> Job for Sending<B> {
    fn run(self) {
        let started = clock::now();
        let sent = self.exchange(started);
        let took = clock::now().since(started);
        let late = clock::now() >= self.call.deadline;
        self.daemon
            .routing
            .done(self.slot, took, outcome(&sent, late));
        if let (Some(held), Some(record)) = (self.held, record(&sent)) {
            self.daemon.finish(held, record);
        }
        // The caller may have given up; then nobody listens.
        let _ = self.reply.send(attempt(sent));
    }
}

impl<B: Backend> Sending<B> {
    fn exchange(&self, started: Millis) -> Sent {
        let endpoint = self.slot.endpoint;
        let address = {
            let table = lock(&self.daemon.table);
            table.vm(endpoint.worker).map(|vm| vm.address.clone())
        };
        let Some(address) = address else {
            return Sent::NotRun;
        };
        let upstream = Upstream {
            address: &address,
            service: endpoint.service,
            run: endpoint.run,
        };
        let left = self.call.deadline.since(started);
        self.daemon.backend.send(upstream, &self.call.request, left)
    }
}

fn outcome(sent: &Sent, late: bool) -> Outcome {
    match sent {
        Sent::Whole(_) => Outcome::Answered,
        Sent::Busy => Outcome::Busy,
        Sent::NotRun => Outcome::Refused,
        Sent::Broken if late => Outcome::TimedOut,
        Sent::Broken => Outcome::Broken,
    }
}

/// record returns what the holder is told. A request that was not run stays
/// granted, as it may be sent to another upstream.
fn record(sent: &Sent) -> Option<Record> {
    match sent {
        Sent::Whole(reply) => Some(Record::Done(reply.clone())),
        Sent::Broken => Some(Record::Unknown),
        Sent::Busy | Sent::NotRun => None,
    }
}

fn attempt(sent: Sent) -> Attempt {
    match sent {
        Sent::Whole(reply) => Attempt::Whole(reply),
        Sent::Busy => Attempt::NotRun(Error::new(Kind::Overloaded, "every slot is taken")),
        Sent::NotRun => Attempt::NotRun(Error::new(Kind::NoUpstream, "the upstream is not there")),
        Sent::Broken => unknown("the upstream gave no whole answer"),
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
            Message::Grant(grant) => Response::Held(holder.grant(grant)),
            Message::Seal(seal) => Response::Held(holder.seal(seal)),
            Message::Finish(finish) => {
                holder.finish(finish);
                Response::Taken
            }
            _ => Response::Failed(Kind::BadInput),
        }
    }

    /// finish tells the holder of a key its outcome. A lost word leaves the
    /// key granted, which refuses repeats as in progress.
    fn finish(&self, held: Held, record: Record) {
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
    pub fn seal_here(&self, key: Key) -> stackpier_protocol::peer::Sealing {
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

/// check turns a raw request into a call.
fn check(arrived: Millis, raw: callers::Request, default_ms: u64) -> Result<Call> {
    let (service, path) = target(&raw.path)?;
    let wait = match raw.header(DEADLINE_HEADER) {
        None => default_ms,
        Some(text) => deadline(text)?,
    };
    let repeatable = repeatable(&raw)?;
    let key = match (repeatable, raw.header(KEY_HEADER)) {
        (true, _) => None,
        (false, Some(text)) => Some(request_key(text)?),
        (false, None) => {
            let text =
                format!("a request that must not be repeated needs '{KEY_HEADER}', a UUIDv7");
            return Err(Error::new(Kind::BadKey, text));
        }
    };
    let first = raw.header(ATTEMPT_HEADER) == Some(FIRST_ATTEMPT);
    Ok(Call {
        service,
        deadline: arrived.plus(wait),
        key,
        first,
        request: Arc::new(Request {
            method: raw.method,
            path,
            headers: raw.headers,
            body: raw.body,
        }),
    })
}

fn bad(field: &str, value: &str, allowed: &str) -> Error {
    stackpier_core::field::invalid(field, format!("'{value}'"), allowed).into()
}

fn target(path: &str) -> Result<(Name, String)> {
    let trimmed = path.strip_prefix('/').unwrap_or(path);
    let end = trimmed.find(['/', '?']).unwrap_or(trimmed.len());
    let (service, rest) = trimmed.split_at(end);
    let name = Name::try_from(service)
        .map_err(|reason| bad("path", service, &format!("/SERVICE/...: {reason}")))?;
    Ok((name, rest.to_owned()))
}

fn deadline(text: &str) -> Result<u64> {
    let allowed = format!("1 to {MAX_DEADLINE_MS} ms");
    match text.parse() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(ms),
        _ => Err(bad(DEADLINE_HEADER, text, &allowed)),
    }
}

fn repeatable(raw: &callers::Request) -> Result<bool> {
    match raw.header(REPEATABLE_HEADER) {
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(other) => Err(bad(REPEATABLE_HEADER, other, "yes or no")),
        None => Ok(matches!(raw.method.as_str(), "GET" | "HEAD")),
    }
}

fn request_key(text: &str) -> Result<Key> {
    Key::try_from(text).map_err(|_| {
        let error = bad(KEY_HEADER, text, "a UUID of version 7");
        Error::new(Kind::BadKey, error.message)
    })
}
