// SPDX-License-Identifier: Apache-2.0
//! The stand-in platform as a process: store and list of VMs over HTTP, with
//! faults that tests switch on.

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

/// THREADS bounds the calls in service, waiting watches included.
const THREADS: usize = 64;
/// WRITES is the limit on writes a second.
const WRITES: f64 = 100.0;
/// READS is the limit on reads a second.
const READS: f64 = 2_000.0;
/// MAX_VALUE is the largest value in bytes.
const MAX_VALUE: usize = 1024 * 1024;

/// Faults are what tests switch on.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call of the store and the list fails.
    pub outage: bool,
    /// Every call waits this long first.
    pub delay_ms: u64,
    /// The replies of this many swaps are lost after they took effect.
    pub lose_replies: u32,
    /// The list is not changed by `POST /roster` while this is set.
    pub stale_list: bool,
}

/// Stats count the calls since the start.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Reads, watches included.
    pub reads: u64,
    /// Swaps, lost ones included.
    pub writes: u64,
    /// Calls refused by the limits.
    pub limited: u64,
    /// Bytes of values read.
    pub read_bytes: u64,
    /// Bytes of values written.
    pub written_bytes: u64,
    /// The largest value written, in bytes.
    pub largest_value: u64,
}

/// State is the store and what goes wrong with it.
struct State {
    store: Store,
    /// One list for each port, as data centres may reach VMs by different
    /// addresses.
    rosters: Vec<Roster>,
    faults: Faults,
    stats: Stats,
    reads: Bucket,
    writes: Bucket,
}

/// Platform is the state with a signal for watches.
struct Platform {
    state: Mutex<State>,
    changed: Condvar,
}

/// Answer is an HTTP status and a body.
struct Answer {
    status: u16,
    body: Vec<u8>,
}

/// View is a port of the platform with the list that it gives out.
pub struct View {
    /// Address as `IP:port`.
    pub listen: String,
    /// The list of VMs.
    pub roster: Roster,
}

/// run serves one store on all ports until the process ends.
pub fn run(views: Vec<View>) -> anyhow::Result<()> {
    let rosters = views.iter().map(|view| view.roster.clone()).collect();
    let platform = Arc::new(Platform {
        state: Mutex::new(State {
            store: Store::default(),
            rosters,
            faults: Faults::default(),
            stats: Stats::default(),
            reads: Bucket::new(READS),
            writes: Bucket::new(WRITES),
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
        if body.len() > MAX_VALUE {
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
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut state = self.lock();
        state.stats.reads += 1;
        loop {
            let revision = state.store.revision(key);
            let left = until.saturating_duration_since(Instant::now());
            if revision > after || left.is_zero() {
                return json(&revision);
            }
            let waited = self.changed.wait_timeout(state, left);
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

fn accept(done: Result<()>) -> Answer {
    match done {
        Ok(()) => status(200),
        Err(error) => Answer {
            status: 400,
            body: error.to_string().into_bytes(),
        },
    }
}
