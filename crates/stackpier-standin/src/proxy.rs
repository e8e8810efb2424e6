// SPDX-License-Identifier: Apache-2.0
//! A TCP proxy that injects faults. A control port sets its mode.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use stackpier_protocol::codec::from_json;
use tiny_http::{Response, Server};

/// POLL_INTERVAL is the time between two checks of the mode while no bytes move.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// CHUNK_BYTES is the maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 4_096;

/// Mode determines how the proxy treats connections.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Closes open connections, and new ones as soon as they are accepted.
    Cut,
    /// Accepts connections, but forwards nothing in either direction.
    Stall,
    /// Forwards nothing from the server to the client.
    HalfOpen,
    /// Forwards nothing from the client to the server.
    HalfOpenRequest,
    /// Delays each chunk by this many milliseconds.
    Delay(u64),
    /// Forwards this many bytes per second to clients, over all connections together.
    Rate(u32),
    /// Closes a connection after this many bytes from the server.
    TruncateAnswer(usize),
    /// Closes a connection after this many bytes from the client.
    TruncateRequest(usize),
}

/// Direction is one of the two directions of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// Switch holds the state that all connections of a proxy share.
#[derive(Debug, Default)]
struct Switch {
    mode: Mutex<Mode>,
    /// In `Mode::Rate`, locked by the connection that is forwarding bytes to its client.
    link: Mutex<()>,
    /// The number of calls of `Proxy::silence`.
    silences: AtomicU64,
}

impl Switch {
    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// occupy waits until the link is free and keeps it busy for as long as `count` bytes
    /// take at this rate.
    fn occupy(&self, count: usize, bytes_per_s: u32) {
        let busy = Duration::from_secs_f64(count as f64 / f64::from(bytes_per_s.max(1)));
        let _link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        thread::sleep(busy);
    }

    fn silences(&self) -> u64 {
        self.silences.load(Ordering::SeqCst)
    }
}

/// Gate determines what one connection may forward.
#[derive(Clone)]
struct Gate {
    switch: Arc<Switch>,
    /// The number of silences when the connection was accepted.
    silences_at_accept: u64,
}

impl Gate {
    fn new(switch: &Arc<Switch>) -> Gate {
        Gate {
            switch: Arc::clone(switch),
            silences_at_accept: switch.silences(),
        }
    }

    fn mode(&self) -> Mode {
        self.switch.mode()
    }

    /// is_silent reports whether the connection was accepted before the last silence.
    fn is_silent(&self) -> bool {
        self.switch.silences() > self.silences_at_accept
    }
}

/// Forward is a port of the proxy and its target.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The address that it listens on, as `IP:port`.
    pub listen: String,
    /// The address that connections are forwarded to, as `IP:port`.
    pub to: String,
}

/// Proxy is a proxy with one port that runs in this process.
#[derive(Clone, Debug)]
pub struct Proxy {
    switch: Arc<Switch>,
}

impl Proxy {
    /// start listens on the port and forwards connections until the process ends.
    pub fn start(forward: Forward) -> std::io::Result<Proxy> {
        let switch = Arc::new(Switch::default());
        let proxy = Proxy {
            switch: Arc::clone(&switch),
        };
        let listener = TcpListener::bind(&forward.listen)?;
        thread::spawn(move || accept(&listener, &forward.to, &switch));
        Ok(proxy)
    }

    /// set changes the mode, also for open connections.
    pub fn set(&self, mode: Mode) {
        self.switch.set(mode);
    }

    /// silence stops forwarding on open connections for good, in both directions:
    /// what is sent on them is lost, and neither end learns that the other one
    /// closed. New connections are not affected.
    pub fn silence(&self) {
        self.switch.silences.fetch_add(1, Ordering::SeqCst);
    }
}

/// run forwards all ports and accepts their common mode as JSON on `control`.
pub fn run(forwards: Vec<Forward>, control: &str) -> anyhow::Result<()> {
    let switch = Arc::new(Switch::default());
    let server = Server::http(control).map_err(|error| anyhow::anyhow!(error))?;
    for route in forwards {
        let listener = TcpListener::bind(&route.listen)?;
        let switch = Arc::clone(&switch);
        thread::spawn(move || accept(&listener, &route.to, &switch));
    }
    serve_control(&server, &switch);
    Ok(())
}

fn accept(listener: &TcpListener, to: &str, switch: &Arc<Switch>) {
    for accepted in listener.incoming() {
        let Ok(client) = accepted else { continue };
        let (to, gate) = (to.to_owned(), Gate::new(switch));
        thread::spawn(move || forward(client, &to, &gate));
    }
}

fn serve_control(server: &Server, switch: &Switch) {
    while let Ok(mut request) = server.recv() {
        let mut body = Vec::new();
        let read = request.as_reader().read_to_end(&mut body).is_ok();
        let status = match (read, from_json(&body)) {
            (true, Ok(mode)) => {
                switch.set(mode);
                200
            }
            _ => 400,
        };
        let _ = request.respond(Response::empty(status));
    }
}

fn forward(client: TcpStream, to: &str, gate: &Gate) -> Option<()> {
    if matches!(gate.mode(), Mode::Cut) {
        return client.shutdown(Shutdown::Both).ok();
    }
    let server = TcpStream::connect(to).ok()?;
    client.set_nodelay(true).ok()?;
    server.set_nodelay(true).ok()?;
    let (client_copy, server_copy) = (client.try_clone().ok()?, server.try_clone().ok()?);
    let gate_copy = gate.clone();
    thread::spawn(move || pump(client_copy, server_copy, Direction::Request, &gate_copy));
    pump(server, client, Direction::Answer, gate);
    Some(())
}

/// pump forwards one direction of a connection until one end closes or the mode closes it.
fn pump(mut from: TcpStream, mut to: TcpStream, direction: Direction, gate: &Gate) {
    let mut forwarded = 0;
    let mut chunk = [0; CHUNK_BYTES];
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    loop {
        let count = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if is_timeout(&error) => match gate.mode() {
                Mode::Cut if !gate.is_silent() => break,
                _ => continue,
            },
            Err(_) => break,
        };
        let Some(allowed) = admit(direction, forwarded, count, gate) else {
            break;
        };
        if gate.is_silent() {
            continue;
        }
        if to.write_all(&chunk[..allowed]).is_err() || allowed < count {
            break;
        }
        forwarded += allowed;
    }
    if gate.is_silent() {
        // The thread of the other direction keeps both sockets open until the end that
        // it reads from closes.
        return;
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// admit waits while the mode holds bytes back, and returns how many of `count` bytes
/// may be forwarded; `None` closes the connection.
fn admit(direction: Direction, forwarded: usize, count: usize, gate: &Gate) -> Option<usize> {
    loop {
        match gate.mode() {
            _ if gate.is_silent() => return Some(count),
            Mode::Cut => return None,
            Mode::Stall => thread::sleep(POLL_INTERVAL),
            Mode::HalfOpen if direction == Direction::Answer => thread::sleep(POLL_INTERVAL),
            Mode::HalfOpenRequest if direction == Direction::Request => {
                thread::sleep(POLL_INTERVAL)
            }
            Mode::Delay(ms) => {
                thread::sleep(Duration::from_millis(ms));
                return Some(count);
            }
            Mode::Rate(bytes_per_s) if direction == Direction::Answer => {
                gate.switch.occupy(count, bytes_per_s);
                return Some(count);
            }
            Mode::TruncateAnswer(at) if direction == Direction::Answer => {
                return Some(count.min(at.saturating_sub(forwarded)));
            }
            Mode::TruncateRequest(at) if direction == Direction::Request => {
                return Some(count.min(at.saturating_sub(forwarded)));
            }
            _ => return Some(count),
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}
