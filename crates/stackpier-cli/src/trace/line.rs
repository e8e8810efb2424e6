// SPDX-License-Identifier: Apache-2.0
//! One log line of a daemon.

use std::{borrow::Cow, fmt, num::NonZero};

use serde::{Deserialize, Serialize, Serializer, ser::Error};
use time::{
    OffsetDateTime, UtcOffset,
    format_description::well_known::{
        Iso8601, Rfc3339,
        iso8601::{Config, EncodedConfig, TimePrecision},
    },
};

/// JSON_START is the start of the JSON in a line. Log collectors put a time and a
/// name before it.
const JSON_START: &[u8] = b"{\"";
/// MILLIS is the format of times with three decimal digits of seconds.
const MILLIS: EncodedConfig = Config::DEFAULT
    .set_time_precision(TimePrecision::Second {
        decimal_digits: NonZero::new(3),
    })
    .encode();
/// OWNER_PARTS are the prefixes of messages about who owns the cell.
const OWNER_PARTS: [&str; 2] = ["owner: ", "member: "];

/// Line holds the fields of a log line's JSON that a trace needs.
#[derive(Debug, Deserialize)]
pub struct Line<'a> {
    /// Wall-clock time of the daemon.
    #[serde(borrow)]
    ts: Cow<'a, str>,
    /// VM of the daemon.
    #[serde(borrow)]
    vm: Cow<'a, str>,
    /// Part of the daemon that wrote the line, a colon, and the message.
    #[serde(borrow)]
    msg: Cow<'a, str>,
    /// Job, task or request that the line is about; empty if it is about none.
    #[serde(borrow, default)]
    subject: Cow<'a, str>,
}

impl<'a> Line<'a> {
    /// find parses the log line in a text, or returns `None` if there is none.
    pub fn find(text: &'a [u8]) -> Option<Line<'a>> {
        let start = text
            .windows(JSON_START.len())
            .position(|part| part == JSON_START)?;
        serde_json::from_slice(&text[start..]).ok()
    }

    /// is_about reports whether the line is about the job with this id, one of its
    /// tasks, or a request for it.
    pub fn is_about(&self, id: &str) -> bool {
        match self.subject.strip_prefix(id) {
            Some(rest) => rest.is_empty() || rest.starts_with('.'),
            None => self.is_request_for(id),
        }
    }

    /// is_request_for reports whether the subject is a request whose path ends in
    /// the id. Clients may write the id in capitals.
    fn is_request_for(&self, id: &str) -> bool {
        let path = self.subject.rsplit_once('/');
        path.is_some_and(|(_, last)| last.eq_ignore_ascii_case(id))
    }

    /// is_about_owner reports whether the line is about the owner of the cell.
    pub fn is_about_owner(&self) -> bool {
        OWNER_PARTS.iter().any(|part| self.msg.starts_with(part))
    }
}

/// Entry is a log line to show.
#[derive(Debug, Serialize)]
pub struct Entry {
    /// Wall-clock time at which the daemon wrote the line.
    #[serde(serialize_with = "millis")]
    pub time: OffsetDateTime,
    /// VM of the daemon.
    pub daemon: String,
    /// Job, task or request that the line is about.
    pub subject: String,
    /// Message, with the part of the daemon that wrote it.
    pub message: String,
    /// Whether the line is about the job; otherwise it is about the cell's owner.
    #[serde(skip)]
    pub of_job: bool,
}

impl Entry {
    /// new converts a log line, or returns `None` if its time is not readable.
    pub fn new(line: &Line, of_job: bool) -> Option<Entry> {
        let time = OffsetDateTime::parse(&line.ts, &Rfc3339).ok()?;
        Some(Entry {
            time: time.to_offset(UtcOffset::UTC),
            daemon: line.vm.to_string(),
            subject: line.subject.to_string(),
            message: line.msg.to_string(),
            of_job,
        })
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = self.time.format(&Iso8601::<MILLIS>);
        let time = time.map_err(|_| fmt::Error)?;
        write!(f, "{time} {} {}", self.daemon, self.message)?;
        match self.subject.as_str() {
            "" => Ok(()),
            subject => write!(f, " [{subject}]"),
        }
    }
}

fn millis<S: Serializer>(time: &OffsetDateTime, serializer: S) -> Result<S::Ok, S::Error> {
    let text = time.format(&Iso8601::<MILLIS>).map_err(S::Error::custom)?;
    serializer.serialize_str(&text)
}
