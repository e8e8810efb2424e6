// SPDX-License-Identifier: Apache-2.0
//! `stackpierd --settings FILE`: the daemon of an entry VM.

use std::{
    net::TcpListener,
    path::PathBuf,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, bail};
use lexopt::{Arg, Parser};
use rand::RngExt;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use slog::info;
use stackpier_core::key::Boot;
use stackpier_transport::{
    callers::{self, Gate},
    client::Client,
    operators, peers,
};
use stackpierd::{
    clock,
    daemon::{Daemon, Parts},
    heartbeat, holders, intents, logging,
    operators::Operators,
    peers::Peers,
    reach,
    request::Callers,
    scheduler::{self, Input},
    settings::{self, Settings},
};

/// HELP is the text of `--help`.
const HELP: &str = "\
stackpierd: the daemon of an entry VM

Usage:
  stackpierd --settings FILE   run
  stackpierd --check FILE      check a settings file and exit
  stackpierd --version
  stackpierd --help
";

/// BOOT_RANDOM_BITS is the number of random low bits of a boot. They keep the
/// boots of two daemons that start in the same millisecond apart.
const BOOT_RANDOM_BITS: u32 = 20;

/// Command is the action selected on the command line.
enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Print(String),
}

fn main() -> Result<()> {
    match parse_command()? {
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Check(path) => {
            settings::load(&path)?;
            println!("{} is valid", path.display());
            Ok(())
        }
        Command::Run(path) => run(settings::load(&path)?),
    }
}

/// parse_command reads the command line.
fn parse_command() -> Result<Command> {
    let mut parser = Parser::from_env();
    let Some(arg) = parser.next()? else {
        bail!("--settings FILE is needed\n{HELP}");
    };
    Ok(match arg {
        Arg::Long("settings") => Command::Run(parser.value()?.into()),
        Arg::Long("check") => Command::Check(parser.value()?.into()),
        Arg::Long("help") | Arg::Short('h') => Command::Print(HELP.to_owned()),
        Arg::Long("version") => {
            Command::Print(format!("stackpierd {}\n", env!("CARGO_PKG_VERSION")))
        }
        other => return Err(other.unexpected().into()),
    })
}

/// run starts the daemon and serves callers until a planned stop.
fn run(settings: Settings) -> Result<()> {
    let (log, guard) = logging::build_logger(&settings);
    let bind = |name: &str, address| {
        TcpListener::bind(address).with_context(|| format!("{name} {address}"))
    };
    let callers_port = bind("callers", settings.callers)?;
    let operators_port = bind("operators", settings.operators)?;
    let peers_port = bind("peers", settings.peers)?;
    let (sender, inputs) = flume::unbounded();
    let (peers, port) = peers::Peers::start(peers_port)?;
    let backend = Client::new(&settings.platform.to_string());
    let daemon = Arc::new(Daemon::new(Parts {
        settings,
        boot: generate_boot(),
        backend,
        peers,
        log,
        scheduler: sender,
    })?);
    port.serve(&Arc::new(Peers::new(Arc::clone(&daemon))))?;
    operators::start(
        operators_port,
        Arc::new(Operators::new(Arc::clone(&daemon))),
    )?;
    reach::start(&daemon)?;
    heartbeat::start(&daemon)?;
    intents::start(&daemon)?;
    holders::start(&daemon)?;
    scheduler::start(&daemon, inputs)?;
    let gate = Gate::default();
    stop_on_signal(&daemon, &gate)?;
    info!(daemon.log, "daemon: started"; "boot" => daemon.me.boot.0);
    let service = Arc::new(Callers::new(Arc::clone(&daemon)));
    callers::run(callers_port, service, daemon.settings.caller_options, &gate)?;
    info!(daemon.log, "daemon: stopped");
    drop(guard);
    Ok(())
}

/// generate_boot returns an identifier for this run of the daemon. Later runs on
/// the same VM get higher ones.
fn generate_boot() -> Boot {
    let random: u64 = rand::rng().random_range(0..1 << BOOT_RANDOM_BITS);
    Boot((clock::unix().0 << BOOT_RANDOM_BITS) | random)
}

/// stop_on_signal starts a thread that makes a planned stop on SIGTERM or
/// SIGINT: the daemon reports that it is not ready and gives up its racks. After
/// two heartbeats, which announce the stop, it closes the callers' port.
/// Requests in service may finish within the grace time; then the process exits.
fn stop_on_signal(daemon: &Arc<Daemon<Client>>, gate: &Gate) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let daemon = Arc::clone(daemon);
    let gate = gate.clone();
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            if signals.forever().next().is_none() {
                return;
            }
            info!(daemon.log, "daemon: planned stop");
            daemon.stop();
            let _ = daemon.scheduler.send(Input::GiveUp);
            let started = Instant::now();
            let announce = Duration::from_millis(2 * daemon.settings.heartbeat_ms);
            thread::sleep(announce);
            gate.close();
            let grace = Duration::from_millis(daemon.settings.grace_ms);
            thread::sleep(grace.saturating_sub(started.elapsed()));
            info!(daemon.log, "daemon: grace time expired");
            std::process::exit(1);
        })?;
    Ok(())
}
