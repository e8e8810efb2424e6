// SPDX-License-Identifier: Apache-2.0
//! The stand-in platform as a process: the store and the list of VMs over HTTP,
//! with faults that tests switch on.

use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use stackpier_core::Result;
use stackpier_protocol::{
    codec::{from_json, to_json},
    platform::{Roster, Swap},
};
use stackpier_state::Revision;
use tiny_http::{Method, Request, Response, Server};

use crate::{rate::Bucket, store::Store};

/// THREADS is how many calls are served at once on each port, waiting watches
/// included.
const THREADS: usize = 64;
/// WRITES_PER_S is the limit on writes per second.
const WRITES_PER_S: f64 = 100.0;
/// READS_PER_S is the limit on reads per second.
const READS_PER_S: f64 = 2_000.0;
/// MAX_VALUE_BYTES is the size of the largest value that a swap may write.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Faults holds the faults that tests switch on.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether all calls to the store and the list fail.
    pub outage: bool,
    /// The time by which every call to the store and the list is delayed.
    pub delay_ms: u64,
    /// The number of swaps whose replies get lost after they have taken effect.
    pub lose_replies: u32,
    /// Whether `POST /roster` leaves the list unchanged.
    pub stale_list: bool,
}

/// Stats counts the calls since the start.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Reads, watches included.
    pub reads: u64,
    /// Swaps, including those whose replies got lost.
    pub writes: u64,
    /// Calls refused by the rate limits.
    pub limited: u64,
    /// Bytes of values read.
    pub read_bytes: u64,
    /// Bytes of values written.
    pub written_bytes: u64,
    /// The largest value written, in bytes.
    pub largest_value: u64,
}

/// State holds the store, the lists and the faults.
struct State {
    store: Store,
    /// One list for each port, because data centres may reach VMs by different
    /// addresses.
    rosters: Vec<Roster>,
    faults: Faults,
    stats: Stats,
    reads: Bucket,
    writes: Bucket,
}

/// Platform holds the state and the signal that wakes waiting watches.
struct Platform {
    state: Mutex<State>,
    changed: Condvar,
}

/// Answer is an HTTP status and a body.
struct Answer {
    status: u16,
    body: Vec<u8>,
}

/// View is a port of the platform and the list that it serves.
pub struct View {
    /// The address that it listens on, as `IP:port`.
    pub listen: String,
    /// The list of VMs.
    pub roster: Roster,
}

/// run serves the same store on all ports until the process ends.
pub fn run(views: Vec<View>) -> anyhow::Result<()> {
    let rosters = views.iter().map(|view| view.roster.clone()).collect();
    let platform = Arc::new(Platform {
        state: Mutex::new(State {
            store: Store::default(),
            rosters,
            faults: Faults::default(),
            stats: Stats::default(),
            reads: Bucket::new(READS_PER_S),
            writes: Bucket::new(WRITES_PER_S),
        }),
        changed: Condvar::new(),
    });
    let mut threads = Vec::new();
    for (number, view) in views.iter().enumerate() {
        let server = Server::http(&view.listen).map_err(|error| anyhow::anyhow!(error))?;
        let server = Arc::new(server);
        for _ in 0..THREADS {
            let server = Arc::clone(&server);
            let platform = Arc::clone(&platform);
            threads.push(thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    platform.serve(request, number);
                }
            }));
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    Ok(())
}

impl Platform {
    fn serve(&self, mut request: Request, view: usize) {
        let mut body = Vec::new();
        let answer = match request.as_reader().read_to_end(&mut body) {
            Ok(_) => self.answer(&request, view, &body),
            Err(_) => status(400),
        };
        let response = Response::from_data(answer.body).with_status_code(answer.status);
        let _ = request.respond(response);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, request: &Request, view: usize, body: &[u8]) -> Answer {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let get = *request.method() == Method::Get;
        if let Some(answer) = self.admin(get, path, view, body) {
            return answer;
        }
        let faults = self.lock().faults;
        thread::sleep(Duration::from_millis(faults.delay_ms));
        if faults.outage {
            return status(503);
        }
        match (get, path) {
            (true, "/roster") => json(&self.lock().rosters[view]),
            (true, _) if path.starts_with("/kv/") => self.read(&path["/kv/".len()..]),
            (false, _) if path.starts_with("/kv/") => self.swap(&path["/kv/".len()..], body),
            (true, _) if path.starts_with("/watch/") => self.watch(&path["/watch/".len()..], query),
            _ => status(404),
        }
    }

    /// admin answers the calls by which tests control the platform, which faults do not
    /// affect.
    fn admin(&self, get: bool, path: &str, view: usize, body: &[u8]) -> Option<Answer> {
        match (get, path) {
            (true, "/stats") => Some(json(&self.lock().stats)),
            (false, "/faults") => Some(accept(from_json(body).map(|faults| {
                self.lock().faults = faults;
            }))),
            (false, "/roster") => Some(accept(from_json(body).map(|roster| {
                let mut state = self.lock();
                if !state.faults.stale_list {
                    state.rosters[view] = roster;
                }
            }))),
            _ => None,
        }
    }

    fn read(&self, key: &str) -> Answer {
        let mut state = self.lock();
        state.stats.reads += 1;
        if !state.reads.take() {
            state.stats.limited += 1;
            return status(429);
        }
        let answer = state.store.read(key).map_or_else(|| status(404), json);
        state.stats.read_bytes += answer.body.len() as u64;
        answer
    }

    fn swap(&self, key: &str, body: &[u8]) -> Answer {
        if body.len() > MAX_VALUE_BYTES {
            return status(413);
        }
        let swap: Swap = match from_json(body) {
            Ok(swap) => swap,
            Err(_) => return status(400),
        };
        let mut state = self.lock();
        state.stats.writes += 1;
        if !state.writes.take() {
            state.stats.limited += 1;
            return status(429);
        }
        state.stats.written_bytes += body.len() as u64;
        state.stats.largest_value = state.stats.largest_value.max(body.len() as u64);
        let swapped = state.store.swap(key, swap.expect, swap.page);
        self.changed.notify_all();
        if state.faults.lose_replies > 0 {
            state.faults.lose_replies -= 1;
            return status(500);
        }
        json(&swapped)
    }

    fn watch(&self, key: &str, query: &str) -> Answer {
        let number = |name: &str| {
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            let mut values = fields.filter(|(key, _)| *key == name);
            values
                .next()
                .and_then(|(_, value)| value.parse().ok())
                .unwrap_or(0)
        };
        let after = Revision(number("after"));
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut state = self.lock();
        state.stats.reads += 1;
        loop {
            let revision = state.store.revision(key);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if revision > after || remaining.is_zero() {
                return json(&revision);
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn status(status: u16) -> Answer {
    Answer {
        status,
        body: Vec::new(),
    }
}

fn json<T: Serialize>(value: &T) -> Answer {
    to_json(value).map_or_else(|_| status(500), |body| Answer { status: 200, body })
}

fn accept(outcome: Result<()>) -> Answer {
    match outcome {
        Ok(()) => status(200),
        Err(error) => Answer {
            status: 400,
            body: error.to_string().into_bytes(),
        },
    }
}
