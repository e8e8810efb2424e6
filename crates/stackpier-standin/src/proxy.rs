// SPDX-License-Identifier: Apache-2.0
//! A TCP proxy that injects faults, switched over a control port.

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

/// POLL is how often a stalled direction looks whether it may go on.
const POLL: Duration = Duration::from_millis(10);
/// CHUNK is the most bytes moved at once.
const CHUNK: usize = 4_096;

/// Mode is what the proxy does to connections.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Refuses new connections and ends the ones there.
    Cut,
    /// Accepts, but moves no byte either way.
    Stall,
    /// Moves nothing from the server to the client.
    HalfOpen,
    /// Moves nothing from the client to the server.
    HalfOpenRequest,
    /// Waits this many milliseconds before each chunk.
    Delay(u64),
    /// Moves so many bytes a second to the client, over all connections together.
    Rate(u32),
    /// Ends the connection after this many bytes from the server.
    TruncateAnswer(usize),
    /// Ends the connection after this many bytes from the client.
    TruncateRequest(usize),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Request,
    Answer,
}

/// Switch is what the proxy does, for all of its connections.
#[derive(Debug, Default)]
struct Switch {
    mode: Mutex<Mode>,
    /// Held by the connection whose bytes are on the link, where the rate is bounded.
    link: Mutex<()>,
    /// How often the connections of the time went silent.
    silences: AtomicU64,
}

impl Switch {
    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// occupy keeps the link busy for as long as some bytes take at a rate.
    fn occupy(&self, count: usize, bytes_per_s: u32) {
        let busy = Duration::from_secs_f64(count as f64 / f64::from(bytes_per_s.max(1)));
        let _link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        thread::sleep(busy);
    }

    fn silences(&self) -> u64 {
        self.silences.load(Ordering::SeqCst)
    }
}

/// Gate is the switch as one connection sees it.
#[derive(Clone)]
struct Gate {
    switch: Arc<Switch>,
    /// The count of silences when the connection was accepted.
    born: u64,
}

impl Gate {
    fn new(switch: &Arc<Switch>) -> Gate {
        Gate {
            switch: Arc::clone(switch),
            born: switch.silences(),
        }
    }

    fn mode(&self) -> Mode {
        self.switch.mode()
    }

    /// is_silent tells whether the connection went silent.
    fn is_silent(&self) -> bool {
        self.switch.silences() > self.born
    }
}

/// Forward is one port of the proxy and where it leads.
#[derive(Clone, Debug)]
pub struct Forward {
    /// Address as `IP:port`.
    pub listen: String,
    /// Where connections go, as `IP:port`.
    pub to: String,
}

/// Proxy is one port with a switch of its own, in this process.
#[derive(Clone, Debug)]
pub struct Proxy {
    switch: Arc<Switch>,
}

impl Proxy {
    /// start forwards connections until the process ends.
    pub fn start(forward: Forward) -> std::io::Result<Proxy> {
        let switch = Arc::new(Switch::default());
        let proxy = Proxy {
            switch: Arc::clone(&switch),
        };
        let listener = TcpListener::bind(&forward.listen)?;
        thread::spawn(move || accept(&listener, &forward.to, &switch));
        Ok(proxy)
    }

    /// set changes what the proxy does, also to the connections there.
    pub fn set(&self, mode: Mode) {
        self.switch.set(mode);
    }

    /// silence stops forwarding on the connections there, both ways and for
    /// good: what is sent on them is lost, and neither end learns that the
    /// other one closed. New connections are not touched.
    pub fn silence(&self) {
        self.switch.silences.fetch_add(1, Ordering::SeqCst);
    }
}

/// run forwards all ports and takes modes for them as JSON on `control`.
pub fn run(forwards: Vec<Forward>, control: &str) -> anyhow::Result<()> {
    let switch = Arc::new(Switch::default());
    let server = Server::http(control).map_err(|error| anyhow::anyhow!(error))?;
    for one in forwards {
        let listener = TcpListener::bind(&one.listen)?;
        let switch = Arc::clone(&switch);
        thread::spawn(move || accept(&listener, &one.to, &switch));
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
    let (client_too, server_too) = (client.try_clone().ok()?, server.try_clone().ok()?);
    let gate_too = gate.clone();
    thread::spawn(move || pump(client_too, server_too, Way::Request, &gate_too));
    pump(server, client, Way::Answer, gate);
    Some(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, way: Way, gate: &Gate) {
    let mut moved = 0;
    let mut chunk = [0; CHUNK];
    let _ = from.set_read_timeout(Some(POLL));
    loop {
        let count = match from.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if waits(&error) => match gate.mode() {
                Mode::Cut if !gate.is_silent() => break,
                _ => continue,
            },
            Err(_) => break,
        };
        let Some(allowed) = admit(way, moved, count, gate) else {
            break;
        };
        if gate.is_silent() {
            continue;
        }
        if to.write_all(&chunk[..allowed]).is_err() || allowed < count {
            break;
        }
        moved += allowed;
    }
    if gate.is_silent() {
        // The other way's thread keeps both sockets until its own end closes.
        return;
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// admit waits while the mode holds bytes back, and returns how many of
/// `count` may go on; `None` ends the connection.
fn admit(way: Way, moved: usize, count: usize, gate: &Gate) -> Option<usize> {
    loop {
        match gate.mode() {
            _ if gate.is_silent() => return Some(count),
            Mode::Cut => return None,
            Mode::Stall => thread::sleep(POLL),
            Mode::HalfOpen if way == Way::Answer => thread::sleep(POLL),
            Mode::HalfOpenRequest if way == Way::Request => thread::sleep(POLL),
            Mode::Delay(ms) => {
                thread::sleep(Duration::from_millis(ms));
                return Some(count);
            }
            Mode::Rate(bytes_per_s) if way == Way::Answer => {
                gate.switch.occupy(count, bytes_per_s);
                return Some(count);
            }
            Mode::TruncateAnswer(at) if way == Way::Answer => {
                return Some(count.min(at.saturating_sub(moved)));
            }
            Mode::TruncateRequest(at) if way == Way::Request => {
                return Some(count.min(at.saturating_sub(moved)));
            }
            _ => return Some(count),
        }
    }
}

fn waits(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}
