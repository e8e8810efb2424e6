// SPDX-License-Identifier: Apache-2.0
//! The stand-in worker as a process. Its service tasks echo the requests that they
//! get, and it logs each execution.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};
use stackpier_core::{
    Name,
    key::{Attempt, Boot, Job, Task},
};
use stackpier_protocol::{
    codec::{from_json, to_json},
    sync::Clock,
};
use stackpier_state::work::Run;
use tiny_http::{Header, Request, Response, Server};

use crate::worker::{Span, Worker};

/// Options holds the settings of the worker.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The worker's name.
    pub name: Name,
    /// The number of requests that it runs at once.
    pub slots: usize,
    /// The number of requests that it handles at once, refused ones included.
    pub connections: usize,
    /// The time that a request takes, in milliseconds.
    pub work_ms: u64,
}

/// Execution is a request in the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Execution {
    /// The value of its `idempotency-key` header.
    pub key: Option<String>,
    /// Its path, without the service's name in front.
    pub path: String,
    /// When it started, by the worker's clock.
    pub started: Clock,
}

/// Log lists everything that the worker has run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Log {
    /// The runs of tasks.
    pub spans: Vec<Span>,
    /// The requests that it executed.
    pub executions: Vec<Execution>,
}

/// Knobs holds the settings that tests change while the worker runs.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Time added to each request, in milliseconds.
    pub extra_ms: u64,
    /// Whether every run fails as soon as it starts.
    pub fail_all: bool,
    /// The slowdown that it reports for services, in thousandths; below 1,000 is none.
    pub slowdown_milli: u32,
}

/// Shared holds the state that the worker's threads share.
struct Shared {
    options: Options,
    start: Instant,
    /// Wall-clock time at the start, which makes the logs of several workers on one
    /// machine comparable.
    start_unix_ms: u64,
    model: Mutex<Worker>,
    executions: Mutex<Vec<Execution>>,
    knobs: Mutex<Knobs>,
    busy: AtomicUsize,
}

/// run serves requests until the process ends.
pub fn run(listen: &str, options: Options, boot: Boot) -> anyhow::Result<()> {
    let server = Server::http(listen).map_err(|error| anyhow::anyhow!(error))?;
    let server = Arc::new(server);
    let shared = Arc::new(Shared {
        options,
        start: Instant::now(),
        start_unix_ms: unix_ms(),
        model: Mutex::new(Worker::new(options.name, boot)),
        executions: Mutex::default(),
        knobs: Mutex::default(),
        busy: AtomicUsize::new(0),
    });
    let mut threads = Vec::new();
    for _ in 0..options.connections {
        let server = Arc::clone(&server);
        let shared = Arc::clone(&shared);
        threads.push(thread::spawn(move || {
            while let Ok(request) = server.recv() {
                shared.serve(request);
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    Ok(())
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn now(&self) -> Clock {
        Clock(self.start_unix_ms + self.start.elapsed().as_millis() as u64)
    }

    fn serve(&self, mut request: Request) {
        let mut body = Vec::new();
        if request.as_reader().read_to_end(&mut body).is_err() {
            return;
        }
        let url = request.url().to_owned();
        let response = match url.as_str() {
            "/sync" => self.sync(&body),
            "/log" => self.log(),
            "/knobs" => self.set_knobs(&body),
            _ => self.execute(&request, &url, body),
        };
        let _ = request.respond(response);
    }

    fn sync(&self, body: &[u8]) -> Response<std::io::Cursor<Vec<u8>>> {
        let Ok(call) = from_json(body) else {
            return Response::from_data(Vec::new()).with_status_code(400);
        };
        let reply = lock(&self.model).sync(self.now(), &call);
        Response::from_data(to_json(&reply).unwrap_or_default())
    }

    fn log(&self) -> Response<std::io::Cursor<Vec<u8>>> {
        let mut model = lock(&self.model);
        model.advance(self.now());
        let log = Log {
            spans: model.log().to_vec(),
            executions: lock(&self.executions).clone(),
        };
        Response::from_data(to_json(&log).unwrap_or_default())
    }

    fn set_knobs(&self, body: &[u8]) -> Response<std::io::Cursor<Vec<u8>>> {
        let Ok(knobs) = from_json::<Knobs>(body) else {
            return Response::from_data(Vec::new()).with_status_code(400);
        };
        lock(&self.model).set_fails_all(knobs.fail_all);
        lock(&self.model).set_slowdown(knobs.slowdown_milli);
        *lock(&self.knobs) = knobs;
        Response::from_data(Vec::new())
    }

    fn execute(
        &self,
        request: &Request,
        url: &str,
        body: Vec<u8>,
    ) -> Response<std::io::Cursor<Vec<u8>>> {
        let runs_here = header(request, "stackpier-task")
            .and_then(|text| parse_run(&text))
            .is_some_and(|run| lock(&self.model).is_running(self.now(), run));
        if !runs_here {
            return refusal("not-here");
        }
        if self.busy.fetch_add(1, Ordering::SeqCst) >= self.options.slots {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            return refusal("busy");
        }
        lock(&self.executions).push(Execution {
            key: header(request, "idempotency-key"),
            path: url.to_owned(),
            started: self.now(),
        });
        let extra = lock(&self.knobs).extra_ms;
        thread::sleep(Duration::from_millis(self.options.work_ms + extra));
        self.busy.fetch_sub(1, Ordering::SeqCst);
        with_header(
            Response::from_data(body),
            "x-worker",
            self.options.name.as_str(),
        )
    }
}

fn refusal(reason: &str) -> Response<std::io::Cursor<Vec<u8>>> {
    let response = Response::from_data(Vec::new()).with_status_code(503);
    with_header(
        with_header(response, "stackpier-ran", "no"),
        "stackpier-refused",
        reason,
    )
}

fn with_header(
    mut response: Response<std::io::Cursor<Vec<u8>>>,
    name: &str,
    value: &str,
) -> Response<std::io::Cursor<Vec<u8>>> {
    if let Ok(header) = Header::from_bytes(name, value) {
        response.add_header(header);
    }
    response
}

fn header(request: &Request, name: &str) -> Option<String> {
    let matches = |header: &&Header| header.field.as_str().as_str().eq_ignore_ascii_case(name);
    let found = request.headers().iter().find(matches);
    found.map(|header| header.value.as_str().to_owned())
}

fn parse_run(text: &str) -> Option<Run> {
    let mut parts = text.split('.');
    let job = Job(parts.next()?.parse().ok()?);
    let index = parts.next()?.parse().ok()?;
    let attempt = Attempt(parts.next()?.parse().ok()?);
    let task = Task { job, index };
    Some(Run { task, attempt })
}
