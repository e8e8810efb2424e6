// SPDX-License-Identifier: Apache-2.0
//! The receiver's side of requests that run at most once: which holders and
//! data centres it asks before it sends a request to an upstream.
//!
//! Grants and seals are requested in an order of data centres that is the same
//! on all daemons, so that two concurrent repeats of a request can't both be
//! refused by each other's seals.

use std::collections::VecDeque;

use stackpier_core::{Kind, Name, Unix, key::Request as Key};
use stackpier_protocol::peer::{Grant, Held, Seal, Sealing};
use stackpier_state::{
    holders::{Map, Member},
    ledger::{Closing, Grantee, Granting, Record, Reply},
};

/// Options hold the times by which keys are accepted or refused.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Age in milliseconds above which keys are refused.
    pub window_ms: u64,
    /// How far the clocks of callers and daemons may differ, in milliseconds.
    pub allowance_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            window_ms: 600_000,
            allowance_ms: 5_000,
        }
    }
}

impl Options {
    /// check refuses a key that is too old or from the future.
    pub fn check(&self, key: Key, now: Unix) -> Result<(), Kind> {
        let minted = key.minted();
        if minted > now.plus(self.allowance_ms) {
            return Err(Kind::KeyFromFuture);
        }
        if now.since(minted) > self.window_ms {
            return Err(Kind::KeyExpired);
        }
        Ok(())
    }

    /// oldest returns the time before which no daemon accepts a key any more.
    /// Records of older keys can be dropped.
    pub fn oldest(&self, now: Unix) -> Unix {
        Unix(now.0.saturating_sub(self.window_ms + 2 * self.allowance_ms))
    }
}

/// Ask is a query to another daemon, or to this one.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// Send a seal to a holder. Answered by [`Told::Held`].
    Seal(Member, Seal),
    /// Send a grant to a holder. Answered by [`Told::Held`].
    Grant(Member, Grant),
    /// Have a key sealed in another data centre. Answered by [`Told::There`].
    There(Name, Key),
}

/// Told is the answer to an [`Ask`], or its absence.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// The holder's answer.
    Held(Held),
    /// The other data centre's answer.
    There(Sealing),
    /// No answer came.
    Silence,
}

/// Verdict is what to do with the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to an upstream, and report the outcome to this holder.
    Run(Member),
    /// Answer with the reply that an earlier attempt received.
    Repeat(Reply),
    /// Refuse it.
    Refuse(Kind),
}

/// Progress is the next query or the decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Send this query.
    Ask(Ask),
    /// The request is decided. A holder given here made, or may have made, a
    /// grant that is not used and must be returned to it.
    Decided(Verdict, Option<Member>),
}

/// Setting is what the receiver knows when the request arrives.
#[derive(Clone, Copy, Debug)]
pub struct Setting<'a> {
    /// This attempt of the receiver.
    pub me: Grantee,
    /// Its data centre.
    pub data_centre: Name,
    /// The newest holder map that it knows.
    pub map: &'a Map,
    /// All data centres, in the common order.
    pub data_centres: &'a [Name],
    /// Whether the caller states that this is its first attempt.
    pub first: bool,
}

/// Once is the state machine for one request.
#[derive(Debug)]
pub struct Once {
    /// The queries without an answer, in their order; the first one is pending.
    asks: VecDeque<Ask>,
    first: bool,
    /// The holder that made, or may have made, the grant.
    granted: Option<Member>,
    holder_mismatch: bool,
}

impl Once {
    /// new starts the state machine and returns the first query. It refuses the
    /// request if no holder map is known, or if the request is a repeat and the
    /// list of data centres lacks the own one.
    pub fn new(key: Key, setting: Setting<'_>, options: Options) -> (Once, Progress) {
        let mut once = Once {
            asks: VecDeque::new(),
            first: setting.first,
            granted: None,
            holder_mismatch: false,
        };
        let known = setting.map.newest().is_some()
            && (setting.first || setting.data_centres.contains(&setting.data_centre));
        if !known {
            let unreachable = once.unreachable();
            return (once, unreachable);
        }
        once.plan(key, setting, options);
        let progress = once.advance();
        (once, progress)
    }

    /// plan queues the queries that the request needs.
    fn plan(&mut self, key: Key, setting: Setting<'_>, options: Options) {
        if setting.first {
            self.plan_here(key, setting, options);
            return;
        }
        for data_centre in setting.data_centres {
            if *data_centre == setting.data_centre {
                self.plan_here(key, setting, options);
            } else {
                self.asks.push_back(Ask::There(*data_centre, key));
            }
        }
    }

    /// plan_here queues the queries in the own data centre: seals at the holders
    /// that earlier versions of the map name, then a grant at the newest.
    fn plan_here(&mut self, key: Key, setting: Setting<'_>, options: Options) {
        self.asks
            .extend(earlier_seals(key, setting.map, options, Closing::Moved));
        let Some(newest) = setting.map.newest() else {
            return;
        };
        if let Some(holder) = newest.holder(key) {
            let grant = Grant {
                key,
                version: newest.number,
                holder: holder.boot,
                to: setting.me,
            };
            self.asks.push_back(Ask::Grant(holder, grant));
        }
    }

    /// tell processes the answer to the last query.
    pub fn tell(&mut self, told: Told) -> Progress {
        let Some(asked) = self.asks.pop_front() else {
            return self.decide(Verdict::Refuse(Kind::Internal));
        };
        match (asked, told) {
            (Ask::Grant(holder, _), Told::Silence) => {
                // The grant may have been made, so it is returned unused.
                self.granted = Some(holder);
                self.unreachable()
            }
            (_, Told::Silence) => self.unreachable(),
            (Ask::Seal(..), Told::Held(Held::Record(record))) => self.continue_after(record),
            (Ask::There(..), Told::There(Sealing::Sealed)) => self.advance(),
            (Ask::There(..), Told::There(Sealing::Found(record))) => self.decide_found(record),
            (Ask::Grant(holder, _), Told::Held(Held::Granting(Granting::Granted))) => {
                self.granted = Some(holder);
                self.advance()
            }
            (Ask::Grant(..), Told::Held(Held::Granting(Granting::Already(record)))) => {
                self.decide_found(record)
            }
            // The holder restarted, or its map has another version than ours.
            // The maps may soon agree, so a retry may succeed.
            _ => {
                self.holder_mismatch = true;
                self.unreachable()
            }
        }
    }

    /// holder_mismatch reports whether the request was refused because a holder
    /// used another version of the map or had restarted; a retry may succeed.
    pub fn holder_mismatch(&self) -> bool {
        self.holder_mismatch
    }

    /// continue_after processes the record of an earlier holder, which ends the
    /// queries unless the key has moved on.
    fn continue_after(&mut self, record: Record) -> Progress {
        match record {
            Record::Moved => self.advance(),
            other => self.decide_found(other),
        }
    }

    /// advance returns the next query, or the decision if none is left.
    fn advance(&mut self) -> Progress {
        match (self.asks.front(), self.granted) {
            (Some(ask), _) => Progress::Ask(ask.clone()),
            (None, Some(holder)) => Progress::Decided(Verdict::Run(holder), None),
            (None, None) => self.decide(Verdict::Refuse(Kind::HolderUnreachable)),
        }
    }

    /// decide_found decides by a record that was found for the key.
    fn decide_found(&mut self, record: Record) -> Progress {
        let verdict = match record {
            Record::Done(reply) => Verdict::Repeat(reply),
            Record::Granted(_) => Verdict::Refuse(Kind::InProgress),
            Record::Sealed | Record::Moved => Verdict::Refuse(Kind::KeySealed),
            Record::Unknown | Record::NotRun => Verdict::Refuse(Kind::OutcomeUnknown),
        };
        self.decide(verdict)
    }

    /// unreachable refuses the request. It is refused as not run only if the
    /// caller states that it is the first attempt: an earlier one may have run,
    /// and its record may be with a holder that didn't answer.
    fn unreachable(&self) -> Progress {
        let kind = match self.first {
            true => Kind::HolderUnreachable,
            false => Kind::OutcomeUnknown,
        };
        self.decide(Verdict::Refuse(kind))
    }

    fn decide(&self, verdict: Verdict) -> Progress {
        Progress::Decided(verdict, self.granted)
    }
}

/// earlier_seals returns the seals needed at the holders that earlier versions
/// of the map name for a key.
fn earlier_seals(key: Key, map: &Map, options: Options, closing: Closing) -> Vec<Ask> {
    let newest = map.newest().and_then(|newest| newest.holder(key));
    let mut asks: Vec<Ask> = Vec::new();
    for version in map.relevant(key.minted(), options.allowance_ms) {
        let Some(holder) = version.holder(key) else {
            continue;
        };
        let seal = Seal {
            key,
            holder: holder.boot,
            closing,
            newest: None,
        };
        let ask = Ask::Seal(holder, seal);
        if Some(holder) != newest && !asks.contains(&ask) {
            asks.push(ask);
        }
    }
    asks
}

/// seals returns the seals that make a whole data centre refuse a key, with
/// that of the newest holder last. It is empty while no map is known.
pub fn seals(key: Key, map: &Map, options: Options) -> Vec<(Member, Seal)> {
    let Some(newest) = map.newest() else {
        return Vec::new();
    };
    let mut seals: Vec<(Member, Seal)> = Vec::new();
    for ask in earlier_seals(key, map, options, Closing::Sealed) {
        if let Ask::Seal(member, seal) = ask {
            seals.push((member, seal));
        }
    }
    let last = newest.holder(key).map(|holder| {
        let seal = Seal {
            key,
            holder: holder.boot,
            closing: Closing::Sealed,
            newest: Some(newest.number),
        };
        (holder, seal)
    });
    seals.extend(last);
    seals
}

/// sealing combines the answers to [`seals`], given in the same order.
///
/// If a key moved on from an earlier holder, the answer of a later one decides.
/// If it moved on from the newest holder, the map is out of date.
pub fn sealing(answers: &[Option<Held>]) -> Sealing {
    let mut all = !answers.is_empty();
    for (place, answer) in answers.iter().enumerate() {
        let newest = place + 1 == answers.len();
        match answer {
            Some(Held::Record(Record::Sealed)) => {}
            Some(Held::Record(Record::Moved)) if !newest => {}
            Some(Held::Record(Record::Moved)) | None => all = false,
            Some(Held::Record(record)) => return Sealing::Found(record.clone()),
            Some(_) => all = false,
        }
    }
    match all {
        true => Sealing::Sealed,
        false => Sealing::Unknown,
    }
}
