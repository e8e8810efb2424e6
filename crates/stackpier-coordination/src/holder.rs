// SPDX-License-Identifier: Apache-2.0
//! The holder's side of requests that run at most once.

use stackpier_core::{
    Unix,
    key::{Boot, Request as Key},
};
use stackpier_protocol::peer::{Finish, Grant, Held, Seal};
use stackpier_state::{holders::Map, ledger::Ledger};

/// Holder keeps the records of the request keys that the holder map assigns to
/// this daemon.
#[derive(Debug)]
pub struct Holder {
    boot: Boot,
    map: Map,
    ledger: Ledger,
}

impl Holder {
    /// new starts with no map and no records.
    pub fn new(boot: Boot) -> Holder {
        Holder {
            boot,
            map: Map::default(),
            ledger: Ledger::default(),
        }
    }

    /// learn adopts a map unless a newer one is known. From then on nothing is
    /// granted under earlier versions.
    pub fn learn(&mut self, map: Map) {
        if map.number() > self.map.number() || map.number() == self.map.number() {
            self.map = map;
        }
    }

    /// map returns the newest known map.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// records returns the number of records.
    pub fn records(&self) -> usize {
        self.ledger.len()
    }

    /// grant answers a [`Grant`].
    pub fn grant(&mut self, grant: Grant) -> Held {
        match self.refusal(grant.holder, Some(grant.version), grant.key) {
            Some(held) => held,
            None => Held::Granting(self.ledger.grant(grant.key, grant.to)),
        }
    }

    /// seal answers a [`Seal`].
    pub fn seal(&mut self, seal: Seal) -> Held {
        match self.refusal(seal.holder, seal.newest, seal.key) {
            Some(held) => held,
            None => Held::Record(self.ledger.close(seal.key, seal.closing)),
        }
    }

    /// finish stores the outcome that a [`Finish`] reports.
    pub fn finish(&mut self, finish: Finish) {
        self.ledger.finish(finish.key, finish.by, finish.record);
    }

    /// drop_old deletes the records of keys created before `oldest`.
    pub fn drop_old(&mut self, oldest: Unix) {
        self.ledger.drop_old(oldest);
    }

    /// refusal returns the answer that refuses a grant or a seal, or `None` if this
    /// holder may process it: the message is for this boot and, if it names a
    /// version of the map, that is the newest known one and assigns the key to
    /// this holder.
    fn refusal(&self, boot: Boot, version: Option<u64>, key: Key) -> Option<Held> {
        if boot != self.boot {
            return Some(Held::OtherBoot);
        }
        let version = version?;
        let known = self.map.number();
        if version > known {
            return Some(Held::Behind);
        }
        let named = self.map.newest().and_then(|newest| newest.holder(key));
        let mine = named.is_some_and(|member| member.boot == self.boot);
        (version < known || !mine).then(|| Held::Newer(self.map.clone()))
    }
}
