// SPDX-License-Identifier: Apache-2.0
//! `stackpier trace`: the log lines of one job from several daemons, in the
//! order of their wall-clock times. Logs are read line by line, and only the
//! lines to show are kept in memory.

mod line;
mod reader;

use std::{
    fs::File,
    io::{self, BufReader, BufWriter, ErrorKind, Write},
};

use stackpier_core::{Error, Kind, Result, key::Job};

use self::{
    line::{Entry, Line},
    reader::Reader,
};
use crate::command::Args;

/// Trace holds the lines found so far.
struct Trace {
    /// The job's id.
    job: String,
    /// Whether lines about the cell's owner are shown too.
    owners: bool,
    /// The lines to show.
    entries: Vec<Entry>,
    /// Number of lines read.
    lines: u64,
    /// Number of lines read that are not log lines of a daemon.
    others: u64,
}

/// run prints the trace of a job from files, or from standard input if none are
/// given.
pub fn run(args: &Args, job: Job, files: &[String]) -> Result<()> {
    let mut trace = Trace {
        job: job.to_string(),
        owners: args.owners,
        entries: Vec::new(),
        lines: 0,
        others: 0,
    };
    if files.is_empty() {
        trace.read("standard input", io::stdin().lock())?;
    }
    for file in files {
        let opened = File::open(file).map_err(|error| read_error(file, &error))?;
        trace.read(file, BufReader::new(opened))?;
    }
    trace.sort();
    trace.print(args.json)?;
    trace.finish()
}

fn read_error(name: &str, error: &io::Error) -> Error {
    Error::new(Kind::BadInput, format!("{name}: not read: {error}"))
}

impl Trace {
    fn read<R: io::BufRead>(&mut self, name: &str, source: R) -> Result<()> {
        let mut reader = Reader::new(source);
        while let Some(text) = reader.next().map_err(|error| read_error(name, &error))? {
            self.add_line(text);
        }
        Ok(())
    }

    fn add_line(&mut self, text: &[u8]) {
        self.lines += 1;
        let Some(line) = Line::find(text) else {
            self.others += 1;
            return;
        };
        let of_job = line.is_about(&self.job);
        let wanted = of_job || (self.owners && line.is_about_owner());
        if !wanted {
            return;
        }
        match Entry::new(&line, of_job) {
            Some(entry) => self.entries.push(entry),
            None => self.others += 1,
        }
    }

    /// sort orders the lines by time, and drops lines about owners from before the
    /// job's first line and after its last.
    fn sort(&mut self) {
        // The sort is stable: lines of the same time stay in the order read.
        self.entries.sort_by_key(|entry| entry.time);
        let last = self.entries.iter().rposition(|entry| entry.of_job);
        self.entries.truncate(last.map_or(0, |last| last + 1));
        let first = self.entries.iter().position(|entry| entry.of_job);
        self.entries.drain(..first.unwrap_or(0));
    }

    fn print(&self, json: bool) -> Result<()> {
        let mut out = BufWriter::new(io::stdout().lock());
        let written = self.entries.iter().try_for_each(|entry| match json {
            true => writeln!(out, "{}", serde_json::to_string(entry)?),
            false => writeln!(out, "{entry}"),
        });
        match written.and_then(|()| out.flush()) {
            // The reader of the pipe, such as `head`, has closed it.
            Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
            Err(error) => Err(Error::new(Kind::Internal, format!("not written: {error}"))),
            Ok(()) => Ok(()),
        }
    }

    /// finish prints the counts of lines. It fails if no line is about the job.
    fn finish(&self) -> Result<()> {
        let shown = self.entries.len();
        let Trace { lines, others, .. } = self;
        eprintln!(
            "stackpier: {shown} of {lines} lines shown, {others} were no log lines of a daemon"
        );
        if shown == 0 {
            let why = format!("no line is about job {}", self.job);
            return Err(Error::new(Kind::NotFound, why));
        }
        Ok(())
    }
}
