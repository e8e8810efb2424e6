// SPDX-License-Identifier: Apache-2.0
//! The holder map of a data centre: which daemon keeps the record of each
//! request that must not be repeated.

use serde::{Deserialize, Serialize};
use stackpier_core::{
    Name, Unix,
    key::{Boot, Request, Write, weight},
};

/// Member is one daemon that keeps records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of its VM.
    pub vm: Name,
    /// The run of the daemon's process. Its records end with it.
    pub boot: Boot,
}

/// Version is one version of the map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The number of the version, from one.
    pub number: u64,
    /// The holders, sorted.
    pub members: Vec<Member>,
    /// The members that have acknowledged a later version or are listed as gone.
    pub stopped: Vec<Member>,
    /// When the last member stopped granting keys under this version; `None` while
    /// some may still do so.
    pub retired: Option<Unix>,
}

/// Map is the page of a data centre's holders. It contains the newest version
/// and the earlier ones that may still have records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Map {
    /// The write that made this value.
    pub write: Write,
    /// The versions, newest last.
    pub versions: Vec<Version>,
}

impl Version {
    /// holder returns the member that keeps the record of a key.
    pub fn holder(&self, key: Request) -> Option<Member> {
        let bytes = key.0.to_le_bytes();
        let by_weight = |member: &&Member| (weight(&bytes, member.boot.0), **member);
        self.members.iter().max_by_key(by_weight).copied()
    }
}

impl Map {
    /// newest returns the newest version.
    pub fn newest(&self) -> Option<&Version> {
        self.versions.last()
    }

    /// number returns the newest version's number, zero if there is none.
    pub fn number(&self) -> u64 {
        self.newest().map_or(0, |version| version.number)
    }

    /// renew adds a version with these members if they differ from those of the
    /// newest version. It returns whether the map changed.
    pub fn renew(&mut self, mut members: Vec<Member>) -> bool {
        members.sort();
        if self
            .newest()
            .is_some_and(|newest| newest.members == members)
        {
            return false;
        }
        let number = self.number() + 1;
        self.versions.push(Version {
            number,
            members,
            stopped: Vec::new(),
            retired: None,
        });
        true
    }

    /// acknowledge records that a member no longer grants keys under the versions
    /// before `number`. It returns whether the map changed.
    pub fn acknowledge(&mut self, member: Member, number: u64, now: Unix) -> bool {
        let mut changed = false;
        let earlier = self.versions.iter_mut().filter(|v| v.number < number);
        for version in earlier {
            if version.members.contains(&member) && !version.stopped.contains(&member) {
                version.stopped.push(member);
                changed = true;
            }
            changed |= retire(version, now);
        }
        changed
    }

    /// drop_old removes versions that retired more than `window_ms` ago, since
    /// keys of that age are refused. It returns whether the map changed.
    pub fn drop_old(&mut self, now: Unix, window_ms: u64) -> bool {
        let before = self.versions.len();
        let keep = |v: &Version| v.retired.is_none_or(|at| now.since(at) <= window_ms);
        self.versions.retain(keep);
        self.versions.len() != before
    }

    /// relevant returns the earlier versions under which a key created at `minted`
    /// may have been granted, oldest first. Clocks may differ by `allowance_ms`.
    pub fn relevant(&self, minted: Unix, allowance_ms: u64) -> impl Iterator<Item = &Version> {
        let newest = self.number();
        self.versions
            .iter()
            .filter(move |version| version.number < newest)
            .filter(move |version| {
                version
                    .retired
                    .is_none_or(|at| minted <= at.plus(allowance_ms))
            })
    }
}

/// retire marks a version as retired once all of its members have stopped, and
/// returns whether it did.
fn retire(version: &mut Version, now: Unix) -> bool {
    let all = version.stopped.len() == version.members.len();
    if !all || version.retired.is_some() {
        return false;
    }
    version.retired = Some(now);
    true
}
