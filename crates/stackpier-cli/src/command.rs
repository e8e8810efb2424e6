// SPDX-License-Identifier: Apache-2.0
//! The command line, parsed.

use lexopt::{Arg, Parser, ValueExt};
use stackpier_core::{Error, Kind, Result, key::Job};
use uuid::Uuid;

/// DEFAULT_SERVER is asked when no `--server` is given.
const DEFAULT_SERVER: &str = "127.0.0.1:7071";

const HELP: &str = "\
stackpier: submit intents to stackpier and see what becomes of them

Usage: stackpier [OPTIONS] COMMAND

Commands:
  submit FILE    submit the intent in a JSON file
  cancel NAME    cancel an intent
  get NAME       show an accepted intent
  status NAME    show an intent and its tasks
  list           list accepted intents
  check FILE     check an intent file without a server
  explain JOB    show where the tasks of a job run, or what keeps them from
                 starting; JOB is its id, 16 hex digits
  trace JOB [FILE...]
                 show the log lines of a job, of several daemons' logs in the
                 order of their wall clocks; without files, standard input

Options:
  --server IP:PORT   operators' port of a daemon; give it more than once, and
                     the next one is asked when one can't be reached
                     [default: 127.0.0.1:7071]
  --expect VERSION   refuse the change unless the intent has this version;
                     0 means it must be new
  --submission UUID  id of the change; the same id twice is one change
  --at HOST:PORT     metrics address of any daemon, for explain
  --owners           with trace: also show who owned the cell meanwhile
  --json             print JSON; trace prints an object a line
  --version
  --help

Examples:
  stackpier check fleet.json
  stackpier --server 10.0.0.1:7071 --server 10.0.0.2:7071 submit fleet.json
  stackpier --expect 3 cancel ledger-reconciliation
  stackpier --json status fleet
  stackpier explain e3c5a1039b5205d9 --at 10.0.0.1:9464
  stackpier trace e3c5a1039b5205d9 --owners daemon-1.log daemon-2.log

Exit codes: 0 done, 1 internal, 2 bad input, 3 not found, 4 conflict,
5 unreachable, 6 not run, 7 not known whether it was done.
Of explain: 0 found, 1 no daemon that can tell was reached, 2 bad input,
3 not found.
";

/// Command is what to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Submit the intent in a file.
    Submit(String),
    /// Cancel an intent.
    Cancel(String),
    /// Show an intent.
    Get(String),
    /// Show an intent and its tasks.
    Status(String),
    /// List intents.
    List,
    /// Check a file.
    Check(String),
    /// Explain where the tasks of a job are, by a daemon's metrics address.
    Explain(Job, String),
    /// Show the log lines of a job in these files.
    Trace(Job, Vec<String>),
    /// Print a text.
    Print(String),
}

/// Given is the whole command line.
#[derive(Clone, Debug)]
pub struct Given {
    /// What to do.
    pub command: Command,
    /// Whom to ask, in order.
    pub servers: Vec<String>,
    /// The version the operator saw.
    pub expect: Option<u64>,
    /// Id of the change.
    pub submission: u128,
    /// The metrics address of a daemon.
    pub at: Option<String>,
    /// Whether a trace shows the owners of the cell.
    pub owners: bool,
    /// Whether to print JSON.
    pub json: bool,
}

/// parse reads the command line of the process.
pub fn parse() -> Result<Given> {
    let usage = |error: lexopt::Error| Error::new(Kind::BadInput, format!("{error}\n{HELP}"));
    collect(Parser::from_env()).map_err(usage)?
}

fn collect(mut parser: Parser) -> std::result::Result<Result<Given>, lexopt::Error> {
    let mut words: Vec<String> = Vec::new();
    let mut given = Given {
        command: Command::Print(HELP.to_owned()),
        servers: Vec::new(),
        expect: None,
        submission: Uuid::now_v7().as_u128(),
        at: None,
        owners: false,
        json: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(value) => words.push(value.string()?),
            Arg::Long("server") => given.servers.push(parser.value()?.string()?),
            Arg::Long("expect") => given.expect = Some(parser.value()?.parse()?),
            Arg::Long("submission") => {
                given.submission = parser.value()?.parse::<Uuid>()?.as_u128();
            }
            Arg::Long("at") => given.at = Some(parser.value()?.string()?),
            Arg::Long("owners") => given.owners = true,
            Arg::Long("json") => given.json = true,
            Arg::Long("help") | Arg::Short('h') => return Ok(Ok(given)),
            Arg::Long("version") => {
                let text = format!("stackpier {}\n", env!("CARGO_PKG_VERSION"));
                given.command = Command::Print(text);
                return Ok(Ok(given));
            }
            other => return Err(other.unexpected()),
        }
    }
    if given.servers.is_empty() {
        given.servers.push(DEFAULT_SERVER.to_owned());
    }
    let at = given.at.as_deref();
    Ok(command(&words, at).map(|command| Given { command, ..given }))
}

fn command(words: &[String], at: Option<&str>) -> Result<Command> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["submit", file] => Ok(Command::Submit((*file).to_owned())),
        ["cancel", name] => Ok(Command::Cancel((*name).to_owned())),
        ["get", name] => Ok(Command::Get((*name).to_owned())),
        ["status", name] => Ok(Command::Status((*name).to_owned())),
        ["list"] => Ok(Command::List),
        ["check", file] => Ok(Command::Check((*file).to_owned())),
        ["explain", job] => Ok(Command::Explain(Job::try_from(*job)?, address(at)?)),
        ["trace", job, files @ ..] => {
            let files = files.iter().map(|file| (*file).to_owned());
            Ok(Command::Trace(Job::try_from(*job)?, files.collect()))
        }
        [] => Ok(Command::Print(HELP.to_owned())),
        other => {
            let text = format!("no such command: '{}'\n{HELP}", other.join(" "));
            Err(Error::new(Kind::BadInput, text))
        }
    }
}

/// address checks the address given by `--at`.
fn address(at: Option<&str>) -> Result<String> {
    let wrong = || Error::new(Kind::BadInput, "explain needs --at HOST:PORT");
    let at = at.ok_or_else(wrong)?;
    let (host, port) = at.rsplit_once(':').ok_or_else(wrong)?;
    if host.is_empty() || port.parse::<u16>().is_err() {
        return Err(wrong());
    }
    Ok(at.to_owned())
}
