// SPDX-License-Identifier: Apache-2.0
//! The world of requests that run at most once: receivers and holders in two
//! data centres, holder maps that change, callers that repeat, and upstreams
//! that may run a request late.

use std::collections::{BTreeMap, VecDeque};

use stackpier_coordination::{
    holder::Holder,
    once::{self, Ask, Once, Options, Progress, Setting, Told, Verdict},
};
use stackpier_core::{
    Kind, Name, Unix,
    error::Ran,
    key::{Boot, Request as Key},
};
use stackpier_protocol::peer::{Finish, Held, Seal};
use stackpier_state::{
    holders::{Map, Member},
    ledger::{Grantee, Record, Reply},
};

use crate::counts::{hit, trace};

/// ALL is the count of daemons, spread evenly over the data centres.
const ALL: usize = 6;
/// KEYS is the most keys of one case.
const KEYS: usize = 12;
/// OPTIONS are the times keys are judged by.
const OPTIONS: Options = Options {
    window_ms: 4_000,
    allowance_ms: 400,
};
/// START is the true time at which a case starts.
const START: u64 = 1_000_000;

/// Guard is a safety rule that a test can take away, to see the oracle fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Guard {
    /// All rules stand.
    #[default]
    Whole,
    /// A receiver does not ask the holders of earlier versions.
    NoEarlierHolders,
    /// A repeat does not ask the other data centres.
    NoOtherCentres,
    /// A holder that can't be reached counts as one without a record.
    SilenceIsFree,
    /// A version retires at once when the next one is written.
    RetireAtOnce,
}

/// Step is one transition. Numbers choose among what is there.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A caller makes a key and sends its first attempt.
    First(u8),
    /// A caller sends the first attempt late: it is under way meanwhile.
    FirstLate(u8),
    /// A late first attempt arrives.
    Arrive(u8),
    /// A caller repeats a key through a daemon.
    Again(u8, u8),
    /// A message is served and answered.
    Serve(u8),
    /// A message is served and its answer lost.
    LoseAnswer(u8),
    /// A message is lost.
    Lose(u8),
    /// A message counts as unanswered and is served later.
    Detach(u8),
    /// A detached message is served.
    Late(u8),
    /// An upstream runs a request and answers.
    Run(u8),
    /// An upstream runs a request; the answer is lost.
    RunBroken(u8),
    /// An upstream refuses a request.
    Refuse(u8),
    /// A request counts as broken and is run later.
    RunLater(u8),
    /// A request under way to an upstream is run.
    RunNow(u8),
    /// A daemon reads its data centre's map and acknowledges it.
    Learn(u8),
    /// A daemon writes a version with a subset of the daemons that run.
    Renew(u8, u8),
    /// A daemon freezes.
    Freeze(u8),
    /// A daemon thaws.
    Thaw(u8),
    /// A daemon ends and starts anew with no records.
    Restart(u8),
    /// The list shows which runs of daemons are over.
    List(u8),
    /// Time passes, in milliseconds.
    Wait(u16),
}

#[derive(Debug)]
struct Daemon {
    centre: usize,
    me: Member,
    holder: Holder,
    frozen: bool,
    /// Wall clock against true time, in milliseconds.
    offset: u64,
    tries: u64,
}

/// Attempt is one request of a caller at a daemon.
#[derive(Debug)]
struct Attempt {
    key: Key,
    first: bool,
    daemon: usize,
    boot: Boot,
    by: Grantee,
    once: Once,
    executed: bool,
    answer: Option<Ran>,
}

/// Message is a question or a word under way.
#[derive(Clone, Debug)]
enum Message {
    Ask(usize, Ask),
    /// A seal asked for on behalf of another data centre's receiver.
    SealFor(usize, Member, Seal),
    Finish(Member, Finish),
}

/// Sealer is a daemon that seals a key in its data centre for a receiver in
/// another one.
#[derive(Debug)]
struct Sealer {
    attempt: usize,
    left: VecDeque<(Member, Seal)>,
    answers: Vec<Option<Held>>,
    done: bool,
}

/// Dispatch is a request on its way to an upstream.
#[derive(Clone, Copy, Debug)]
struct Dispatch {
    attempt: usize,
    holder: Member,
}

/// World is everything under test and its fakes.
#[derive(Debug)]
pub struct World {
    guard: Guard,
    /// Count of data centres.
    centres: usize,
    time: u64,
    boots: u64,
    maps: Vec<Map>,
    daemons: Vec<Daemon>,
    over: Vec<Member>,
    keys: Vec<Key>,
    late: Vec<(Key, usize)>,
    attempts: Vec<Attempt>,
    sealers: Vec<Sealer>,
    messages: Vec<Message>,
    detached: Vec<Message>,
    dispatched: Vec<Dispatch>,
    running: Vec<Dispatch>,
    executions: BTreeMap<Key, u32>,
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap_or_else(|error| panic!("'{text}': {error}"))
}

fn centre_name(centre: usize) -> Name {
    name(&format!("dc-{centre}"))
}

impl World {
    /// new builds a world of this many data centres, in which every daemon
    /// knows a first map.
    pub fn new(guard: Guard, centres: usize) -> World {
        let mut world = World {
            guard,
            centres,
            time: START,
            boots: 0,
            maps: vec![Map::default(); centres],
            daemons: Vec::new(),
            over: Vec::new(),
            keys: Vec::new(),
            late: Vec::new(),
            attempts: Vec::new(),
            sealers: Vec::new(),
            messages: Vec::new(),
            detached: Vec::new(),
            dispatched: Vec::new(),
            running: Vec::new(),
            executions: BTreeMap::new(),
        };
        for number in 0..ALL {
            let daemon = world.fresh(number);
            world.daemons.push(daemon);
        }
        for centre in 0..centres {
            let members = world.members(centre, u8::MAX);
            world.maps[centre].renew(members);
        }
        (0..ALL).for_each(|number| world.learn(number));
        world
    }

    fn fresh(&mut self, number: usize) -> Daemon {
        self.boots += 1;
        let boot = Boot(self.boots);
        Daemon {
            centre: number * self.centres / ALL,
            me: Member {
                vm: name(&format!("entry-{number}")),
                boot,
            },
            holder: Holder::new(boot),
            frozen: false,
            // The clocks of daemons and callers differ by up to the allowance.
            offset: (number as u64 * 83) % (OPTIONS.allowance_ms / 2),
            tries: 0,
        }
    }

    fn members(&self, centre: usize, subset: u8) -> Vec<Member> {
        let here = self.daemons.iter().filter(|daemon| daemon.centre == centre);
        let chosen = here
            .enumerate()
            .filter(|(place, _)| subset & (1 << place) != 0);
        chosen.map(|(_, daemon)| daemon.me).collect()
    }

    fn unix(&self, daemon: usize) -> Unix {
        Unix(self.time + self.daemons[daemon].offset)
    }

    /// step makes one transition.
    pub fn step(&mut self, step: Step) {
        trace("step", &step);
        match step {
            Step::First(n) => self.first(n, false),
            Step::FirstLate(n) => self.first(n, true),
            Step::Arrive(n) => {
                if let Some((key, daemon)) = pick(&mut self.late, n) {
                    self.attempt(key, daemon, true);
                }
            }
            Step::Again(n, daemon) => self.again(n, daemon),
            Step::Serve(n) => self.serve(n, true),
            Step::LoseAnswer(n) => self.serve(n, false),
            Step::Lose(n) => {
                if let Some(message) = pick(&mut self.messages, n) {
                    hit("fault: message lost");
                    self.answer(&message, None);
                }
            }
            Step::Detach(n) => self.detach(n),
            Step::Late(n) => {
                if let Some(message) = pick(&mut self.detached, n) {
                    hit("fault: message served late");
                    self.perform(&message);
                }
            }
            Step::Run(n) => self.run(n),
            Step::RunBroken(n) => self.run_broken(n),
            Step::Refuse(n) => self.refuse(n),
            Step::RunLater(n) => self.run_later(n),
            Step::RunNow(n) => {
                if let Some(dispatch) = pick(&mut self.running, n) {
                    self.execute(dispatch);
                }
            }
            Step::Learn(n) => self.learn(usize::from(n) % ALL),
            Step::Renew(n, subset) => self.renew(usize::from(n) % ALL, subset),
            Step::Freeze(n) => self.daemons[usize::from(n) % ALL].frozen = true,
            Step::Thaw(n) => self.daemons[usize::from(n) % ALL].frozen = false,
            Step::Restart(n) => self.restart(usize::from(n) % ALL),
            Step::List(n) => self.list(usize::from(n) % ALL),
            Step::Wait(ms) => self.time += u64::from(ms),
        }
    }

    fn first(&mut self, n: u8, late: bool) {
        if self.keys.len() >= KEYS {
            return;
        }
        // Callers' clocks run behind true time by up to half the allowance.
        let minted = self.time - u64::from(n) % (OPTIONS.allowance_ms / 2);
        let random = (self.keys.len() as u128 + 1) * 0x9e37_79b9_7f4a_7c15;
        let key = Key((u128::from(minted) << 80) | (random & ((1 << 76) - 1)));
        self.keys.push(key);
        let daemon = usize::from(n) % ALL;
        match late {
            true => self.late.push((key, daemon)),
            false => self.attempt(key, daemon, true),
        }
    }

    fn again(&mut self, n: u8, daemon: u8) {
        if self.keys.is_empty() {
            return;
        }
        let key = self.keys[usize::from(n) % self.keys.len()];
        self.attempt(key, usize::from(daemon) % ALL, false);
    }

    fn attempt(&mut self, key: Key, number: usize, first: bool) {
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
    fn answered(&mut self, number: usize, ran: Ran) {
        let attempt = &mut self.attempts[number];
        attempt.answer = Some(ran);
        if ran == Ran::No && !attempt.first {
            let count = self.executions.get(&attempt.key).copied().unwrap_or(0);
            assert_eq!(count, 0, "a repeat was told 'not run', but an attempt ran");
        }
    }

    fn finish(&mut self, number: usize, holder: Member, record: Record) {
        let attempt = &self.attempts[number];
        let finish = Finish {
            key: attempt.key,
            by: attempt.by,
            record,
        };
        self.messages.push(Message::Finish(holder, finish));
    }

    fn serve(&mut self, n: u8, answered: bool) {
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

    fn detach(&mut self, n: u8) {
        let Some(message) = pick(&mut self.messages, n) else {
            return;
        };
        self.answer(&message, None);
        self.detached.push(message);
    }

    /// perform serves a message at its holder, if that run of it is there.
    fn perform(&mut self, message: &Message) -> Option<Held> {
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
    fn answer(&mut self, message: &Message, held: Option<Held>) {
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

    /// learned takes a newer map out of an answer, as the daemon does.
    fn learned(&mut self, number: usize, held: Held) -> Told {
        let daemon = self.attempts[number].daemon;
        if let Held::Newer(map) = &held {
            hit("branch: receiver behind the holder");
            self.daemons[daemon].holder.learn(map.clone());
        }
        Told::Held(held)
    }

    fn tell(&mut self, number: usize, told: Told) {
        let attempt = &mut self.attempts[number];
        if self.daemons[attempt.daemon].me.boot != attempt.boot || attempt.answer.is_some() {
            return;
        }
        let progress = attempt.once.tell(told);
        self.progress(number, progress);
    }

    fn alive(&self, dispatch: Dispatch) -> bool {
        let attempt = &self.attempts[dispatch.attempt];
        let daemon = &self.daemons[attempt.daemon];
        daemon.me.boot == attempt.boot && !daemon.frozen
    }

    fn take_dispatch(&mut self, n: u8) -> Option<Dispatch> {
        let dispatch = pick(&mut self.dispatched, n)?;
        if self.alive(dispatch) {
            return Some(dispatch);
        }
        // A frozen receiver sends when it thaws; one that ended never does.
        let attempt = &self.attempts[dispatch.attempt];
        if self.daemons[attempt.daemon].me.boot == attempt.boot {
            self.dispatched.push(dispatch);
        }
        None
    }

    fn execute(&mut self, dispatch: Dispatch) {
        let attempt = &mut self.attempts[dispatch.attempt];
        assert!(!attempt.executed, "sent twice");
        assert_ne!(
            attempt.answer,
            Some(Ran::No),
            "ran after it was said not to"
        );
        attempt.executed = true;
        let count = self.executions.entry(attempt.key).or_default();
        *count += 1;
        assert!(*count <= 1, "{} ran twice", attempt.key);
        hit("branch: request ran");
    }

    fn run(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        self.execute(dispatch);
        let reply = Reply {
            status: 200,
            headers: Vec::new(),
            body: Vec::new(),
        };
        self.finish(dispatch.attempt, dispatch.holder, Record::Done(reply));
    }

    fn run_broken(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        self.execute(dispatch);
        self.finish(dispatch.attempt, dispatch.holder, Record::Unknown);
        self.answered(dispatch.attempt, Ran::Unknown);
    }

    fn refuse(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        hit("branch: upstream refused");
        self.finish(dispatch.attempt, dispatch.holder, Record::NotRun);
        self.answered(dispatch.attempt, Ran::No);
    }

    fn run_later(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        hit("fault: request delayed on its way to the upstream");
        self.running.push(dispatch);
        self.finish(dispatch.attempt, dispatch.holder, Record::Unknown);
        self.answered(dispatch.attempt, Ran::Unknown);
    }

    /// learn lets a daemon read the map, and acknowledge it in the page.
    fn learn(&mut self, number: usize) {
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

    fn renew(&mut self, number: usize, subset: u8) {
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

    fn restart(&mut self, number: usize) {
        hit("fault: daemon restarted");
        self.over.push(self.daemons[number].me);
        self.daemons[number] = self.fresh(number);
    }

    /// list notes in the map which members are proven to be over.
    fn list(&mut self, number: usize) {
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

fn count_refusal(kind: Kind) {
    match kind {
        Kind::KeySealed => hit("branch: sealed key refused"),
        Kind::InProgress => hit("branch: key in progress"),
        Kind::OutcomeUnknown => hit("branch: unknown answer"),
        Kind::HolderUnreachable => hit("branch: holder unreachable, not run"),
        _ => hit("branch: other refusal"),
    }
}

/// free is what a holder without a record would have said.
fn free(message: &Message) -> Held {
    match message {
        Message::Ask(_, Ask::Grant(..)) => {
            Held::Granting(stackpier_state::ledger::Granting::Granted)
        }
        _ => Held::Record(Record::Moved),
    }
}

fn pick<T>(all: &mut Vec<T>, n: u8) -> Option<T> {
    if all.is_empty() {
        return None;
    }
    let place = usize::from(n) % all.len();
    Some(all.remove(place))
}
