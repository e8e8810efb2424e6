// SPDX-License-Identifier: Apache-2.0
//! The closed list of error kinds and the table from kind to answer.
//!
//! `docs/ERRORS.md` shows the same table; a test compares the two.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Result is the outcome of an operation that fails with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Kind is the closed list of what can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The request or an intent is malformed.
    BadInput,
    /// A body or a header is over its bound.
    TooLarge,
    /// The caller sent its request too slowly.
    TooSlow,
    /// The method is not allowed at this path.
    WrongMethod,
    /// No intent of this name is known.
    NotFound,
    /// A request that must not be repeated came without a valid key.
    BadKey,
    /// The key is older than the ledger's window.
    KeyExpired,
    /// The key's time lies ahead of the clock by more than the allowance.
    KeyFromFuture,
    /// The key was sealed by a repeat that came by another way.
    KeySealed,
    /// The same key is being served; its outcome is not there yet.
    InProgress,
    /// The daemon serves as many callers as it may.
    TooManyCallers,
    /// The expected wait is past the deadline, or the queue is full.
    Overloaded,
    /// No upstream of the service can take requests.
    NoUpstream,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// The holder of the key can't be reached.
    HolderUnreachable,
    /// The daemon is stopping.
    Stopping,
    /// The request may have run; its outcome is not known.
    OutcomeUnknown,
    /// The object was changed by somebody else.
    Conflict,
    /// The store can't be reached, nothing was changed.
    StoreUnavailable,
    /// The store took a write whose effect can't be told.
    WriteUnknown,
    /// No daemon could be reached.
    Unreachable,
    /// A fault of the program.
    Internal,
}

/// Ran tells whether the work behind a failed operation was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// It provably was not, and will not be.
    No,
    /// It may have been.
    Unknown,
}

/// Answer is what a caller or operator gets for one kind of error.
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
    /// Seconds after which coming back helps, if it does.
    pub retry_after_s: Option<u32>,
}

/// ANSWERS is the table from kind to answer, one row for each kind.
pub const ANSWERS: [Answer; 22] = [
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

    /// as_str returns the machine-readable word of the kind.
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
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error is a kind with a sentence for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// What went wrong, for programs.
    pub kind: Kind,
    /// What went wrong, for people.
    pub message: String,
    /// Milliseconds after which coming back helps, where more is known than
    /// the table says.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// Whether the work was done, where more is known than the table says.
    #[serde(default)]
    pub ran: Option<Ran>,
}

impl Error {
    /// new builds an error of any kind.
    pub fn new(kind: Kind, message: impl Into<String>) -> Error {
        Error {
            kind,
            message: message.into(),
            retry_after_ms: None,
            ran: None,
        }
    }

    /// after sets when coming back helps.
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

    /// ran tells whether the work was done.
    pub fn ran(&self) -> Ran {
        self.ran.unwrap_or(self.kind.answer().ran)
    }

    /// retry_after_s returns the whole seconds after which coming back helps,
    /// if it does.
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
