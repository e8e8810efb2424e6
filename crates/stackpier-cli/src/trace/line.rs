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

/// START begins the JSON of a line; collected logs have a time and a name
/// before it.
const START: &[u8] = b"{\"";
/// MILLIS writes times down to the millisecond.
const MILLIS: EncodedConfig = Config::DEFAULT
    .set_time_precision(TimePrecision::Second {
        decimal_digits: NonZero::new(3),
    })
    .encode();
/// OWNERS are the parts that tell who owns the cell.
const OWNERS: [&str; 2] = ["owner: ", "member: "];

/// Line is the JSON of a log line.
#[derive(Debug, Deserialize)]
pub struct Line<'a> {
    /// The daemon's wall clock.
    #[serde(borrow)]
    ts: Cow<'a, str>,
    /// The daemon.
    #[serde(borrow)]
    vm: Cow<'a, str>,
    /// The part that wrote it, a colon, and what it says.
    #[serde(borrow)]
    msg: Cow<'a, str>,
    /// The job, task or request; none in lines about no one thing.
    #[serde(borrow, default)]
    subject: Cow<'a, str>,
}

impl<'a> Line<'a> {
    /// find reads the line in a text, if there is one.
    pub fn find(text: &'a [u8]) -> Option<Line<'a>> {
        let start = text.windows(START.len()).position(|part| part == START)?;
        serde_json::from_slice(&text[start..]).ok()
    }

    /// is_about tells whether the line is about the job with an id, one of its
    /// tasks, or a request for it.
    pub fn is_about(&self, id: &str) -> bool {
        match self.subject.strip_prefix(id) {
            Some(rest) => rest.is_empty() || rest.starts_with('.'),
            None => self.is_request_for(id),
        }
    }

    /// is_request_for tells whether the subject is a request with a path that
    /// ends in an id; clients may write it in capitals.
    fn is_request_for(&self, id: &str) -> bool {
        let path = self.subject.rsplit_once('/');
        path.is_some_and(|(_, last)| last.eq_ignore_ascii_case(id))
    }

    /// is_of_owners tells whether the line is about the owner of the cell.
    pub fn is_of_owners(&self) -> bool {
        OWNERS.iter().any(|part| self.msg.starts_with(part))
    }
}

/// Entry is a line that is shown.
#[derive(Debug, Serialize)]
pub struct Entry {
    /// When the daemon wrote it, by its wall clock.
    #[serde(serialize_with = "millis")]
    pub time: OffsetDateTime,
    /// The daemon.
    pub daemon: String,
    /// The job, task or request.
    pub subject: String,
    /// What the line says.
    pub message: String,
    /// Whether it is about the job.
    #[serde(skip)]
    pub of_job: bool,
}

impl Entry {
    /// new keeps a line, unless its time is not readable.
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
