// SPDX-License-Identifier: Apache-2.0
//! The error kinds and the table of the answer for each kind.
//!
//! `docs/ERRORS.md` has the same table; a test compares the two.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Result is the outcome of an operation that fails with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Kind is what went wrong. The set is closed: each kind has a row in
/// [`ANSWERS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The request or an intent is malformed.
    BadInput,
    /// A body or a header exceeds its size limit.
    TooLarge,
    /// The caller sent its request too slowly.
    TooSlow,
    /// The method is not allowed at this path.
    WrongMethod,
    /// No intent with this name is known.
    NotFound,
    /// A request that must not be repeated has no valid key.
    BadKey,
    /// The key is older than the window in which the ledger accepts keys.
    KeyExpired,
    /// The key's time is ahead of the daemon's clock by more than is allowed.
    KeyFromFuture,
    /// The key was sealed by a repeat of the request that arrived by another route
    /// and may have run.
    KeySealed,
    /// A request with the same key is running; its outcome is not known yet.
    InProgress,
    /// The daemon already serves as many callers as it is allowed to.
    TooManyCallers,
    /// The request is expected to wait beyond its deadline, or the queue is full.
    Overloaded,
    /// No upstream of the service accepts requests.
    NoUpstream,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// The holder of the key can't be reached.
    HolderUnreachable,
    /// The daemon is stopping.
    Stopping,
    /// The request may have run; its outcome is not known.
    OutcomeUnknown,
    /// The object was changed by another writer.
    Conflict,
    /// The store can't be reached; nothing was changed.
    StoreUnavailable,
    /// A write was sent to the store, and it is not known whether it took effect.
    WriteUnknown,
    /// No daemon could be reached.
    Unreachable,
    /// A bug in the program.
    Internal,
    /// The job was cancelled before it was submitted, and is not accepted.
    Cancelled,
}

/// Ran reports whether the work of a failed operation was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// The work was provably not done and will not be done.
    No,
    /// The work may have been done.
    Unknown,
}

/// Answer is how one kind of error is reported to callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The kind.
    pub kind: Kind,
    /// HTTP status.
    pub status: u16,
    /// Exit code of the command-line tool.
    pub exit: i32,
    /// Whether the work was done.
    pub ran: Ran,
    /// Seconds after which a retry may succeed; `None` if the kind says nothing
    /// about that.
    pub retry_after_s: Option<u32>,
}

/// ANSWERS holds the answer for each kind, in the order of the kinds.
pub const ANSWERS: [Answer; 23] = [
    row(Kind::BadInput, 400, 2, Ran::No, None),
    row(Kind::TooLarge, 413, 2, Ran::No, None),
    row(Kind::TooSlow, 408, 6, Ran::No, None),
    row(Kind::WrongMethod, 405, 2, Ran::No, None),
    row(Kind::NotFound, 404, 3, Ran::No, None),
    row(Kind::BadKey, 400, 2, Ran::No, None),
    row(Kind::KeyExpired, 410, 7, Ran::Unknown, None),
    row(Kind::KeyFromFuture, 400, 7, Ran::Unknown, None),
    row(Kind::KeySealed, 409, 7, Ran::Unknown, None),
    row(Kind::InProgress, 409, 7, Ran::Unknown, Some(1)),
    row(Kind::TooManyCallers, 503, 6, Ran::No, Some(1)),
    row(Kind::Overloaded, 503, 6, Ran::No, Some(1)),
    row(Kind::NoUpstream, 503, 6, Ran::No, Some(2)),
    row(Kind::DeadlinePassed, 504, 6, Ran::No, None),
    row(Kind::HolderUnreachable, 503, 6, Ran::No, Some(1)),
    row(Kind::Stopping, 503, 6, Ran::No, Some(1)),
    row(Kind::OutcomeUnknown, 502, 7, Ran::Unknown, None),
    row(Kind::Conflict, 409, 4, Ran::No, None),
    row(Kind::StoreUnavailable, 503, 5, Ran::No, Some(5)),
    row(Kind::WriteUnknown, 504, 7, Ran::Unknown, Some(5)),
    row(Kind::Unreachable, 503, 5, Ran::No, None),
    row(Kind::Internal, 500, 1, Ran::Unknown, None),
    row(Kind::Cancelled, 503, 4, Ran::No, None),
];

const fn row(kind: Kind, status: u16, exit: i32, ran: Ran, retry_after_s: Option<u32>) -> Answer {
    Answer {
        kind,
        status,
        exit,
        ran,
        retry_after_s,
    }
}

impl Kind {
    /// answer returns the kind's row of [`ANSWERS`].
    pub fn answer(self) -> Answer {
        ANSWERS[self as usize]
    }

    /// as_str returns the machine-readable name of the kind.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::BadInput => "bad-input",
            Kind::TooLarge => "too-large",
            Kind::TooSlow => "too-slow",
            Kind::WrongMethod => "wrong-method",
            Kind::NotFound => "not-found",
            Kind::BadKey => "bad-key",
            Kind::KeyExpired => "key-expired",
            Kind::KeyFromFuture => "key-from-future",
            Kind::KeySealed => "key-sealed",
            Kind::InProgress => "in-progress",
            Kind::TooManyCallers => "too-many-callers",
            Kind::Overloaded => "overloaded",
            Kind::NoUpstream => "no-upstream",
            Kind::DeadlinePassed => "deadline-passed",
            Kind::HolderUnreachable => "holder-unreachable",
            Kind::Stopping => "stopping",
            Kind::OutcomeUnknown => "outcome-unknown",
            Kind::Conflict => "conflict",
            Kind::StoreUnavailable => "store-unavailable",
            Kind::WriteUnknown => "write-unknown",
            Kind::Unreachable => "unreachable",
            Kind::Internal => "internal",
            Kind::Cancelled => "cancelled",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error is a kind with a message for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// What went wrong, for programs.
    pub kind: Kind,
    /// What went wrong, for people.
    pub message: String,
    /// Milliseconds after which a retry may succeed, if more is known than
    /// [`ANSWERS`] says for the kind.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// Whether the work was done, if more is known than [`ANSWERS`] says for the
    /// kind.
    #[serde(default)]
    pub ran: Option<Ran>,
}

impl Error {
    /// new returns an error of a kind, with the retry time and the [`Ran`] of
    /// its row in [`ANSWERS`].
    pub fn new(kind: Kind, message: impl Into<String>) -> Error {
        Error {
            kind,
            message: message.into(),
            retry_after_ms: None,
            ran: None,
        }
    }

    /// after sets after how many milliseconds a retry may succeed.
    pub fn after(self, ms: u64) -> Error {
        Error {
            retry_after_ms: Some(ms),
            ..self
        }
    }

    /// with_ran sets whether the work was done.
    pub fn with_ran(self, ran: Ran) -> Error {
        Error {
            ran: Some(ran),
            ..self
        }
    }

    /// ran reports whether the work was done.
    pub fn ran(&self) -> Ran {
        self.ran.unwrap_or(self.kind.answer().ran)
    }

    /// retry_after_s returns after how many seconds a retry may succeed, rounded
    /// up to at least one, if that is known.
    pub fn retry_after_s(&self) -> Option<u32> {
        let known = self
            .retry_after_ms
            .map(|ms| ms.div_ceil(1_000).max(1) as u32);
        known.or(self.kind.answer().retry_after_s)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Error {}

impl From<crate::field::Invalid> for Error {
    fn from(invalid: crate::field::Invalid) -> Error {
        Error::new(Kind::BadInput, invalid.to_string())
    }
}
