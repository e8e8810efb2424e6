// SPDX-License-Identifier: Apache-2.0
//! `stackpier`: the operators' command-line tool.

mod client;
mod command;
mod explain;
mod print;
mod trace;

use std::process::ExitCode;

use command::{Args, Command};
use stackpier_core::{Error, Kind, Result};
use stackpier_protocol::{
    codec::from_json,
    operator::{Accepted, Cancel, Listed, Status, Submit},
};
use stackpier_state::intent::{Intent, Object, Raw};

fn main() -> ExitCode {
    let args = match command::parse() {
        Ok(args) => args,
        Err(error) => return fail(&error, error.kind.answer().exit),
    };
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => match args.command {
            Command::Explain(..) => fail(&error, explain::exit_code(error.kind)),
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

fn run(args: &Args) -> Result<()> {
    match &args.command {
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Check(file) => {
            let intent = Intent::try_from(read_intent(file)?)?;
            println!("{file} is valid: '{}'", intent.name);
            Ok(())
        }
        Command::Submit(file) => submit(args, file),
        Command::Cancel(name) => cancel(args, name),
        Command::Explain(job, at) => print::explanation(args, *job, explain::fetch(*job, at)?),
        Command::Trace(job, files) => trace::run(args, *job, files),
        Command::List => print::list(args, client::get::<Listed>(&args.servers, "/intents")?),
        Command::Get(name) => {
            let path = format!("/intents/{name}");
            print::object(args, client::get::<Object>(&args.servers, &path)?)
        }
        Command::Status(name) => {
            let path = format!("/intents/{name}/status");
            print::status(args, client::get::<Status>(&args.servers, &path)?)
        }
    }
}

fn read_intent(file: &str) -> Result<Raw> {
    let read_error = |error| Error::new(Kind::BadInput, format!("{file}: not read: {error}"));
    let bytes = std::fs::read(file).map_err(read_error)?;
    from_json(&bytes)
        .map_err(|error| Error::new(Kind::BadInput, format!("{file}: {}", error.message)))
}

fn submit(args: &Args, file: &str) -> Result<()> {
    let intent = read_intent(file)?;
    // The daemon makes the same check. Done here, an invalid file needs no call.
    Intent::try_from(intent.clone())?;
    let submit = Submit {
        submission: args.submission,
        expect: args.expect,
        intent,
    };
    let accepted: Accepted = client::post(&args.servers, "/intents", &submit)?;
    print::accepted(args, accepted)
}

fn cancel(args: &Args, name: &str) -> Result<()> {
    let cancel = Cancel {
        submission: args.submission,
        expect: args.expect,
    };
    let path = format!("/intents/{name}/cancel");
    let accepted: Accepted = client::post(&args.servers, &path, &cancel)?;
    print::accepted(args, accepted)
}
