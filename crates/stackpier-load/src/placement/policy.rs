// SPDX-License-Identifier: Apache-2.0
//! The placement policies that are compared.

/// Kind names a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The first worker with room, in order of arrival.
    FirstFit,
    /// The fullest worker with room, in order of arrival.
    BestFit,
    /// First fit, and the newest batch task of a worker goes with each sample
    /// that shows a service on it slowed down.
    EvictOnBreach,
    /// stackpier's.
    Ours,
    /// stackpier's order and choice with perfect knowledge of the pairs, and no
    /// eviction.
    Oracle,
}

impl Kind {
    /// ALL lists the policies, the base of the ratios first.
    pub const ALL: [Kind; 5] = [
        Kind::FirstFit,
        Kind::BestFit,
        Kind::EvictOnBreach,
        Kind::Ours,
        Kind::Oracle,
    ];

    /// as_str returns the name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::FirstFit => "first-fit",
            Kind::BestFit => "best-fit",
            Kind::EvictOnBreach => "evict-on-breach",
            Kind::Ours => "ours",
            Kind::Oracle => "oracle",
        }
    }

    /// by_deadline tells whether waiting tasks are sorted by deadline.
    pub fn by_deadline(self) -> bool {
        matches!(self, Kind::Ours | Kind::Oracle)
    }

    /// chooses tells whether stackpier's choice of a worker is used.
    pub fn chooses(self) -> bool {
        matches!(self, Kind::Ours | Kind::Oracle)
    }
}
