// SPDX-License-Identifier: Apache-2.0
//! Bad input in callers' requests, operators' intents and settings gets an answer that
//! names the error.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    ops::Deref,
    path::PathBuf,
    process::Command,
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use anyhow::Result;
use rstest::rstest;
use serde_json::{Value, json};
use stackpier_testkit::{
    cluster::{Cluster, Plan, batch, service},
    process::binary,
    wait,
};
use uuid::Uuid;

/// CURRENT is the deployment that the tests share which run at present. It is not a static
/// [`Cluster`], as statics are never dropped and its processes would remain.
static CURRENT: Mutex<Weak<Shared>> = Mutex::new(Weak::new());

/// Shared is a deployment of one daemon without a worker, shared by several tests.
struct Shared {
    cluster: Cluster,
    /// The number of tests that got a share.
    taken: AtomicU32,
    /// The number of tests that have passed.
    passed: AtomicU32,
}

/// Share is a test's share in the deployment, which ends when the last share is dropped.
struct Share(Arc<Shared>);

impl Share {
    /// take returns a share in the current deployment, and starts one if there is none.
    fn take() -> Result<Share> {
        let mut current = CURRENT.lock().unwrap_or_else(PoisonError::into_inner);
        let shared = match current.upgrade() {
            Some(shared) => shared,
            None => Arc::new(Shared {
                cluster: start()?,
                taken: AtomicU32::new(0),
                passed: AtomicU32::new(0),
            }),
        };
        shared.taken.fetch_add(1, Ordering::SeqCst);
        *current = Arc::downgrade(&shared);
        Ok(Share(shared))
    }

    /// finish gives the share back. Tests call it once they have passed. The last one removes the
    /// folder if all have passed.
    fn finish(self) -> Result<()> {
        self.0.passed.fetch_add(1, Ordering::SeqCst);
        match Arc::into_inner(self.0) {
            Some(last) if last.all_passed() => last.cluster.finish(),
            _ => Ok(()),
        }
    }
}

impl Shared {
    fn all_passed(&self) -> bool {
        self.passed.load(Ordering::SeqCst) == self.taken.load(Ordering::SeqCst)
    }
}

impl Deref for Share {
    type Target = Cluster;

    fn deref(&self) -> &Cluster {
        &self.0.cluster
    }
}

fn start() -> Result<Cluster> {
    let cluster = Cluster::start(Plan {
        daemons: 1,
        workers: 0,
        times: json!({"head_ms": 400, "body_ms": 400}),
        ..Plan::default()
    })?;
    cluster.submit(0, &service("fleet", &[1]))?;
    wait::until("the service is known", || {
        cluster
            .run_tool(0, &["get", "fleet"])
            .is_ok_and(|(code, _)| code == 0)
    })?;
    Ok(cluster)
}

/// exchange sends raw bytes and returns the whole answer.
fn exchange(to: SocketAddr, bytes: &[u8]) -> Result<String> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.write_all(bytes)?;
    let mut answer = Vec::new();
    // A port that closes on bad input may reset the connection.
    let _ = stream.read_to_end(&mut answer);
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

fn callers(cluster: &Cluster) -> SocketAddr {
    cluster.daemons[0].callers
}

fn operators(cluster: &Cluster) -> SocketAddr {
    cluster.daemons[0].operators
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
}

#[rstest]
#[case::unknown_service("/nobody/x", "stackpier-repeatable: yes\r\n", "404", "not-found")]
#[case::bad_service("/Nobody/x", "stackpier-repeatable: yes\r\n", "400", "field 'path'")]
#[case::no_key("/fleet/x", "", "400", "needs 'idempotency-key'")]
#[case::malformed_key("/fleet/x", "idempotency-key: 17\r\n", "400", "a UUID of version 7")]
#[case::bad_deadline(
    "/fleet/x",
    "stackpier-deadline-ms: soon\r\n",
    "400",
    "field 'stackpier-deadline-ms' is 'soon'"
)]
#[case::bad_repeatable("/fleet/x", "stackpier-repeatable: maybe\r\n", "400", "yes or no")]
#[case::no_upstream("/fleet/x", "stackpier-repeatable: yes\r\n", "503", "no-upstream")]
fn answer_to_a_caller_names_the_error(
    #[case] path: &str,
    #[case] headers: &str,
    #[case] status: &str,
    #[case] text: &str,
) -> Result<()> {
    let cluster = Share::take()?;
    let answer = exchange(callers(&cluster), post(path, headers, "body").as_bytes())?;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(answer.contains(text), "{answer}");
    assert!(answer.contains("\"ran\":\"no\""), "{answer}");
    cluster.finish()
}

#[rstest]
#[case::old("0180a0a0-0000-7000-8000-000000000000", "key-expired")]
#[case::future("f180a0a0-0000-7000-8000-000000000000", "key-from-future")]
fn expired_and_future_keys_are_refused(#[case] key: &str, #[case] kind: &str) -> Result<()> {
    let cluster = Share::take()?;
    let again = format!("idempotency-key: {key}\r\n");
    let answer = exchange(callers(&cluster), post("/fleet/x", &again, "").as_bytes())?;
    assert!(answer.contains(kind), "{answer}");
    assert!(
        answer.contains("\"ran\":\"unknown\""),
        "a repeat may have run: {answer}"
    );
    let first = format!("{again}stackpier-attempt: 1\r\n");
    let answer = exchange(callers(&cluster), post("/fleet/x", &first, "").as_bytes())?;
    assert!(
        answer.contains("bad-key") && answer.contains("\"ran\":\"no\""),
        "{answer}"
    );
    cluster.finish()
}

#[test]
fn refused_repeat_is_unknown_and_a_refused_first_attempt_not_run() -> Result<()> {
    let cluster = Share::take()?;
    let key = Uuid::now_v7();
    let repeat = format!("idempotency-key: {key}\r\n");
    let answer = exchange(callers(&cluster), post("/nobody/x", &repeat, "").as_bytes())?;
    assert!(answer.contains("\"ran\":\"unknown\""), "{answer}");
    let first = format!("{repeat}stackpier-attempt: 1\r\n");
    let answer = exchange(callers(&cluster), post("/nobody/x", &first, "").as_bytes())?;
    assert!(answer.contains("\"ran\":\"no\""), "{answer}");
    cluster.finish()
}

#[test]
fn oversized_body_and_head_are_refused() -> Result<()> {
    let cluster = Share::take()?;
    let head = format!(
        "POST /fleet/x HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        2 << 20
    );
    let body = vec![b'x'; 2 << 20];
    let mut request = head.into_bytes();
    request.extend(&body);
    let mut stream = TcpStream::connect(callers(&cluster))?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    // The daemon may answer and close before the whole body is written.
    let _ = stream.write_all(&request);
    let mut answer = [0; 512];
    let count = stream.read(&mut answer).unwrap_or(0);
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    assert!(
        answer.contains("413") && answer.contains("too-large"),
        "{answer}"
    );
    let long = "x".repeat(40_000);
    let answer = exchange(
        callers(&cluster),
        post("/fleet/x", &format!("a: {long}\r\n"), "").as_bytes(),
    )?;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    cluster.finish()
}

#[rstest]
#[case::head_that_never_ends("POST /fleet/x HTTP/1.1\r\nhost: x\r\n", "")]
#[case::nothing_at_all("", "")]
#[case::body_that_never_ends(
    "POST /fleet/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 10\r\n\r\nabc",
    "too-slow"
)]
fn slow_and_idle_callers_are_disconnected(#[case] bytes: &str, #[case] text: &str) -> Result<()> {
    let cluster = Share::take()?;
    // If the daemon did not close the connection, the read would fail with a timeout.
    let answer = exchange(callers(&cluster), bytes.as_bytes())?;
    assert!(answer.contains(text), "{answer}");
    let answer = exchange(callers(&cluster), post("/nobody/x", "", "").as_bytes())?;
    assert!(
        answer.starts_with("HTTP/1.1 4"),
        "the next caller is not served: {answer}"
    );
    cluster.finish()
}

#[rstest]
#[case::bad_json("POST", "/intents", "{", "400", "JSON not read")]
#[case::unknown_field("POST", "/intents", "{\"x\": 1}", "400", "unknown field `x`")]
#[case::no_such_intent("GET", "/intents/nobody", "", "404", "no intent 'nobody'")]
#[case::bad_name("GET", "/intents/Nobody", "", "400", "field 'name'")]
#[case::wrong_method("DELETE", "/intents", "", "405", "wrong-method")]
#[case::no_such_path("GET", "/nowhere", "", "404", "nothing at /nowhere")]
fn answer_to_an_operator_names_the_error(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: &str,
    #[case] text: &str,
) -> Result<()> {
    let cluster = Share::take()?;
    let request = post(path, "", body).replacen("POST", method, 1);
    let answer = exchange(operators(&cluster), request.as_bytes())?;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(answer.contains(text), "{answer}");
    cluster.finish()
}

fn replace_value(mut intent: Value, pointer: &str, value: Value) -> Value {
    if let Some(field) = intent.pointer_mut(pointer) {
        *field = value;
    }
    intent
}

#[rstest]
#[case::name(replace_value(service("a", &[1]), "/service/name", json!("A b")), "service.name")]
#[case::replicas(replace_value(service("a", &[1]), "/service/replicas/dc-a", json!(9_999)), "service.replicas.dc-a")]
#[case::cores(replace_value(batch("b", 1, 1, 1), "/batch/size/milli_cores", json!(0)), "batch.size.milli_cores")]
#[case::tasks(replace_value(batch("b", 1, 1, 1), "/batch/tasks", json!(0)), "batch.tasks")]
#[case::run_time(replace_value(batch("b", 1, 1, 1), "/batch/run_time_ms", json!(0)), "batch.run_time_ms")]
fn bad_intent_names_its_field(#[case] intent: Value, #[case] field: &str) -> Result<()> {
    let cluster = Share::take()?;
    let file = cluster.folder.join(format!("bad-{field}.json"));
    fs::write(&file, serde_json::to_vec(&intent)?)?;
    let file = file.display().to_string();
    for command in ["check", "submit"] {
        let (code, text) = cluster.run_tool(0, &[command, &file])?;
        assert_eq!(code, 2, "{text}");
        assert!(text.contains(&format!("field '{field}'")), "{text}");
    }
    cluster.finish()
}

#[rstest]
#[case::unknown("{\"vm\": \"a\", \"color\": 1}", "unknown field `color`")]
#[case::missing("{\"vm\": \"a\"}", "missing field")]
#[case::range("times", "field 'times.lease_ms' is 1, allowed is 3000 to 600000 ms")]
#[case::address(
    "platform",
    "field 'platform' is 'nowhere', allowed is an address as IP:port"
)]
fn bad_settings_name_their_field(#[case] settings: &str, #[case] text: &str) -> Result<()> {
    let whole = json!({
        "vm": "a", "data_centre": "b", "callers": "127.0.0.1:1", "operators": "127.0.0.1:2",
        "peers": "127.0.0.1:3", "platform": "127.0.0.1:4", "times": {},
    });
    let settings = match settings {
        "times" => replace_value(whole, "/times", json!({"lease_ms": 1})).to_string(),
        "platform" => replace_value(whole, "/platform", json!("nowhere")).to_string(),
        other => other.to_owned(),
    };
    let file: PathBuf = std::env::temp_dir().join(format!("stackpier-{}.json", Uuid::now_v7()));
    fs::write(&file, settings)?;
    let output = Command::new(binary("stackpierd")?)
        .arg("--check")
        .arg(&file)
        .output()?;
    let shown = String::from_utf8_lossy(&output.stderr).into_owned();
    fs::remove_file(&file)?;
    assert!(!output.status.success());
    assert!(shown.contains(text), "{shown}");
    assert!(shown.contains(&file.display().to_string()), "{shown}");
    Ok(())
}

#[test]
fn tool_reports_an_unreachable_server_and_tries_the_next_one() -> Result<()> {
    let cluster = Share::take()?;
    let nobody = stackpier_testkit::ports::free().to_string();
    let tool = |servers: &[&str]| -> Result<(i32, String)> {
        let mut command = Command::new(binary("stackpier")?);
        servers.iter().for_each(|server| {
            command.args(["--server", *server]);
        });
        let output = command.args(["get", "fleet"]).output()?;
        let shown = String::from_utf8_lossy(&output.stderr).into_owned();
        Ok((output.status.code().unwrap_or(-1), shown))
    };
    let (code, text) = tool(&[&nobody])?;
    assert_eq!(code, 5, "{text}");
    assert!(text.contains("unreachable"), "{text}");
    let known = operators(&cluster).to_string();
    let (code, text) = tool(&[&nobody, &known])?;
    assert_eq!(code, 0, "{text}");
    cluster.finish()
}
