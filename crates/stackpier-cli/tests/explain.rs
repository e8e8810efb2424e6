// SPDX-License-Identifier: Apache-2.0
//! `stackpier explain` against HTTP servers that stand in for daemons' metrics
//! addresses.

use std::{
    net::SocketAddr,
    process::{Command, Output},
    thread,
};

use anyhow::{Result, anyhow};
use rstest::rstest;
use serde_json::{Value, json};
use stackpier_core::{Error, Kind};
use stackpier_protocol::operator::Failure;
use tiny_http::{Response, Server};

const ID: &str = "00000000000000a1";

/// daemon starts a server that answers each request for the explanation of job
/// `ID` with a status and a text, and any other request with status 500.
fn daemon(status: u16, text: String) -> Result<SocketAddr> {
    let server = Server::http("127.0.0.1:0").map_err(|error| anyhow!("{error}"))?;
    let address = server.server_addr().to_ip();
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let known = request.url() == format!("/explain/{ID}");
            let status = if known { status } else { 500 };
            let response = Response::from_string(text.clone()).with_status_code(status);
            // The tool may have closed the connection.
            let _ = request.respond(response);
        }
    });
    address.ok_or_else(|| anyhow!("the server has no IP address"))
}

/// owner starts a daemon that names another one as the cell's owner.
fn owner(metrics: Option<SocketAddr>) -> Result<SocketAddr> {
    let metrics = metrics.map(|address| address.to_string());
    daemon(
        200,
        json!({"owner": {"vm": "vm-9", "metrics": metrics}}).to_string(),
    )
}

fn failure(kind: Kind) -> Result<SocketAddr> {
    let failure = Failure::from(Error::new(kind, "why it failed"));
    daemon(kind.answer().status, serde_json::to_string(&failure)?)
}

fn job() -> Value {
    let tally = json!({"asks": "asks for much", "free": 0,
        "kept": [{"obstacle": "full", "workers": 7}, {"obstacle": "far", "workers": 2}],
        "least_harm": null});
    let run = json!({"number": 2, "worker": "w1", "phase": "running", "percent": 40, "pace": 100,
        "silent_ms": 900, "met": true});
    json!({"state": "running", "open": 9, "left_out": 6, "tasks": [
        {"name": "a.0.0.0", "standing": {"runs": [run]}},
        {"name": "a.0.0.1", "standing": {"waits":
            {"queued": true, "failed_runs": 1, "crashes": 2, "cause": {"workers": tally}}}},
        {"name": "a.0.1.0", "standing": {"blocked": 1}},
    ]})
}

fn explain(words: &[&str]) -> Result<Output> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stackpier"));
    Ok(command.arg("explain").args(words).output()?)
}

fn explain_job(at: SocketAddr, words: &[&str]) -> Result<Output> {
    explain(&[&[ID, "--at", &at.to_string()], words].concat())
}

#[test]
fn each_task_is_shown_on_a_line() -> Result<()> {
    let at = daemon(200, json!({"job": job()}).to_string())?;
    let output = explain_job(at, &[])?;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        "00000000000000a1 running, 9 tasks open\n\
         a.0.0.0 run 2 on worker w1 running at 40%, pace 100%, worker silent for 900 ms\n\
         a.0.0.1 waits, failed runs 1, suspected of 2 crashes: asks for much; workers free 0, full 7, far 2\n\
         a.0.1.0 waits, earlier steps not done: 1\n\
         6 more tasks left out\n"
    );
    Ok(())
}

#[test]
fn owner_named_by_the_daemon_is_called() -> Result<()> {
    let at = daemon(200, json!({"job": job()}).to_string())?;
    let output = explain_job(owner(Some(at))?, &["--json"])?;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let shown: Value = serde_json::from_slice(&output.stdout)?;
    assert_eq!(shown, job());
    Ok(())
}

/// The error names the owner's VM, whether it has no known metrics address or
/// cannot be reached there.
#[test]
fn unreachable_owner_is_named_in_the_error() -> Result<()> {
    let unreachable: SocketAddr = "127.0.0.1:1".parse()?;
    for metrics in [None, Some(unreachable)] {
        let output = explain_job(owner(metrics)?, &[])?;
        assert_eq!(output.status.code(), Some(1), "{output:?}");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(stderr.contains("vm-9"), "{stderr}");
    }
    Ok(())
}

/// A daemon that names itself as the owner, without owning the cell, must not be
/// called without end.
#[test]
fn calls_end_if_no_daemon_owns_the_cell() -> Result<()> {
    let server = Server::http("127.0.0.1:0").map_err(|error| anyhow!("{error}"))?;
    let at = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| anyhow!("no IP"))?;
    thread::spawn(move || {
        let text = json!({"owner": {"vm": "vm-9", "metrics": at.to_string()}}).to_string();
        for request in server.incoming_requests() {
            let _ = request.respond(Response::from_string(text.clone()));
        }
    });
    assert_eq!(explain_job(at, &[])?.status.code(), Some(1));
    Ok(())
}

#[rstest]
#[case::unknown(Kind::NotFound, 3)]
#[case::no_owner(Kind::Unreachable, 1)]
#[case::internal(Kind::Internal, 1)]
fn errors_have_exit_codes(#[case] kind: Kind, #[case] code: i32) -> Result<()> {
    let output = explain_job(failure(kind)?, &[])?;
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("why it failed"), "{stderr}");
    Ok(())
}

/// The answer of a server that is no daemon, such as a metrics page, is not the
/// operator's bad input (exit code 2).
#[test]
fn unreadable_answer_is_not_reported_as_bad_input() -> Result<()> {
    let output = explain_job(
        daemon(200, "# TYPE stackpier_running gauge".to_owned())?,
        &[],
    )?;
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    Ok(())
}

#[rstest]
#[case::no_job(&["--at", "127.0.0.1:1"])]
#[case::no_id(&["a1", "--at", "127.0.0.1:1"])]
#[case::no_address(&[ID])]
#[case::no_port(&[ID, "--at", "127.0.0.1"])]
#[case::bad_port(&[ID, "--at", "127.0.0.1:99999"])]
#[case::no_value(&[ID, "--at"])]
#[case::two_jobs(&[ID, ID, "--at", "127.0.0.1:1"])]
fn wrong_arguments_have_exit_code_2(#[case] words: &[&str]) -> Result<()> {
    let output = explain(words)?;
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    Ok(())
}
