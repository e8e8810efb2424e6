// SPDX-License-Identifier: Apache-2.0
//! Parsing of the command line.

use lexopt::{Arg, Parser, ValueExt};
use stackpier_core::{Error, Kind, Result, key::Job};
use uuid::Uuid;

/// DEFAULT_SERVER is the server called when no `--server` is given.
const DEFAULT_SERVER: &str = "127.0.0.1:7071";

const HELP: &str = "\
stackpier: submit intents to stackpier and show their state

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
                 show the log lines of a job from the logs of several daemons,
                 in the order of their wall-clock times; without files, reads
                 standard input

Options:
  --server IP:PORT   operators' port of a daemon; may be repeated: the next
                     one is called if one can't be reached
                     [default: 127.0.0.1:7071]
  --expect VERSION   refuse the change unless the intent has this version;
                     0 means it must be new
  --submission UUID  id of the change; the same id twice is one change
  --at HOST:PORT     metrics address of any daemon, for explain
  --owners           with trace: also show who owned the cell meanwhile
  --json             print JSON; trace prints one object per line
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
Of explain: 0 found, 1 no daemon that has the answer was reached,
2 bad input, 3 not found.
";

/// Command is the command to run, with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    /// Submit the intent in a file.
    Submit(String),
    /// Cancel an intent.
    Cancel(String),
    /// Show an accepted intent.
    Get(String),
    /// Show an intent and its tasks.
    Status(String),
    /// List accepted intents.
    List,
    /// Check an intent file.
    Check(String),
    /// Explain where a job's tasks run or why they wait. The text is the metrics
    /// address of a daemon.
    Explain(Job, String),
    /// Show a job's log lines from these files.
    Trace(Job, Vec<String>),
    /// Print a text: the help or the version.
    Print(String),
}

/// Args holds the parsed command line.
#[derive(Clone, Debug)]
pub struct Args {
    /// Command to run.
    pub command: Command,
    /// Operators' addresses of daemons, in the order in which they are tried.
    pub servers: Vec<String>,
    /// Version that the intent must have for a change to be accepted.
    pub expect: Option<u64>,
    /// Id of the change. A change that is sent twice with one id is made once.
    pub submission: u128,
    /// Metrics address of a daemon, for `explain`.
    pub at: Option<String>,
    /// Whether a trace includes lines about the cell's owner.
    pub owners: bool,
    /// Whether to print JSON.
    pub json: bool,
}

/// parse parses the command line of the process.
pub fn parse() -> Result<Args> {
    let usage = |error: lexopt::Error| Error::new(Kind::BadInput, format!("{error}\n{HELP}"));
    parse_args(Parser::from_env()).map_err(usage)?
}

fn parse_args(mut parser: Parser) -> std::result::Result<Result<Args>, lexopt::Error> {
    let mut words: Vec<String> = Vec::new();
    let mut args = Args {
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
            Arg::Long("server") => args.servers.push(parser.value()?.string()?),
            Arg::Long("expect") => args.expect = Some(parser.value()?.parse()?),
            Arg::Long("submission") => {
                args.submission = parser.value()?.parse::<Uuid>()?.as_u128();
            }
            Arg::Long("at") => args.at = Some(parser.value()?.string()?),
            Arg::Long("owners") => args.owners = true,
            Arg::Long("json") => args.json = true,
            Arg::Long("help") | Arg::Short('h') => return Ok(Ok(args)),
            Arg::Long("version") => {
                let text = format!("stackpier {}\n", env!("CARGO_PKG_VERSION"));
                args.command = Command::Print(text);
                return Ok(Ok(args));
            }
            other => return Err(other.unexpected()),
        }
    }
    if args.servers.is_empty() {
        args.servers.push(DEFAULT_SERVER.to_owned());
    }
    let at = args.at.as_deref();
    Ok(parse_command(&words, at).map(|command| Args { command, ..args }))
}

fn parse_command(words: &[String], at: Option<&str>) -> Result<Command> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["submit", file] => Ok(Command::Submit((*file).to_owned())),
        ["cancel", name] => Ok(Command::Cancel((*name).to_owned())),
        ["get", name] => Ok(Command::Get((*name).to_owned())),
        ["status", name] => Ok(Command::Status((*name).to_owned())),
        ["list"] => Ok(Command::List),
        ["check", file] => Ok(Command::Check((*file).to_owned())),
        ["explain", job] => Ok(Command::Explain(Job::try_from(*job)?, check_address(at)?)),
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

/// check_address checks that `--at` gives a host and a port.
fn check_address(at: Option<&str>) -> Result<String> {
    let usage_error = || Error::new(Kind::BadInput, "explain needs --at HOST:PORT");
    let at = at.ok_or_else(usage_error)?;
    let (host, port) = at.rsplit_once(':').ok_or_else(usage_error)?;
    if host.is_empty() || port.parse::<u16>().is_err() {
        return Err(usage_error());
    }
    Ok(at.to_owned())
}
