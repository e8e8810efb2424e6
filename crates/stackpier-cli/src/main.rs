// SPDX-License-Identifier: Apache-2.0
//! `stackpier`: the operators' command-line tool.

mod client;
mod command;
mod explain;
mod print;
mod trace;

use std::process::ExitCode;

use command::{Command, Given};
use stackpier_core::{Error, Kind, Result};
use stackpier_protocol::{
    codec::from_json,
    operator::{Accepted, Cancel, Listed, Status, Submit},
};
use stackpier_state::intent::{Intent, Object, Raw};

fn main() -> ExitCode {
    let given = match command::parse() {
        Ok(given) => given,
        Err(error) => return fail(&error, error.kind.answer().exit),
    };
    match run(&given) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => match given.command {
            Command::Explain(..) => fail(&error, explain::exit(error.kind)),
            _ => fail(&error, error.kind.answer().exit),
        },
    }
}

fn fail(error: &Error, exit: i32) -> ExitCode {
    eprintln!("stackpier: {error}");
    if let Some(seconds) = error.retry_after_s() {
        eprintln!("stackpier: try again in {seconds} s");
    }
    ExitCode::from(exit as u8)
}

fn run(given: &Given) -> Result<()> {
    match &given.command {
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Check(file) => {
            let intent = Intent::try_from(read(file)?)?;
            println!("{file} is valid: '{}'", intent.name);
            Ok(())
        }
        Command::Submit(file) => submit(given, file),
        Command::Cancel(name) => cancel(given, name),
        Command::Explain(job, at) => print::explained(given, *job, explain::ask(*job, at)?),
        Command::Trace(job, files) => trace::run(given, *job, files),
        Command::List => print::list(given, client::get::<Listed>(&given.servers, "/intents")?),
        Command::Get(name) => {
            let path = format!("/intents/{name}");
            print::object(given, client::get::<Object>(&given.servers, &path)?)
        }
        Command::Status(name) => {
            let path = format!("/intents/{name}/status");
            print::status(given, client::get::<Status>(&given.servers, &path)?)
        }
    }
}

fn read(file: &str) -> Result<Raw> {
    let unread = |error| Error::new(Kind::BadInput, format!("{file}: not read: {error}"));
    let bytes = std::fs::read(file).map_err(unread)?;
    from_json(&bytes)
        .map_err(|error| Error::new(Kind::BadInput, format!("{file}: {}", error.message)))
}

fn submit(given: &Given, file: &str) -> Result<()> {
    let intent = read(file)?;
    // A wrong file is refused here already, by the check the daemon makes.
    Intent::try_from(intent.clone())?;
    let submit = Submit {
        submission: given.submission,
        expect: given.expect,
        intent,
    };
    let accepted: Accepted = client::post(&given.servers, "/intents", &submit)?;
    print::accepted(given, accepted)
}

fn cancel(given: &Given, name: &str) -> Result<()> {
    let cancel = Cancel {
        submission: given.submission,
        expect: given.expect,
    };
    let path = format!("/intents/{name}/cancel");
    let accepted: Accepted = client::post(&given.servers, &path, &cancel)?;
    print::accepted(given, accepted)
}
