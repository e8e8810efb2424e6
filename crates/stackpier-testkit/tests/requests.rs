// SPDX-License-Identifier: Apache-2.0
//! Callers get complete answers, correct reports of what ran, and answers by the
//! deadline. Runs real processes behind the fault proxy.

use std::{
    thread,
    time::{Duration, Instant},
};

use anyhow::{Result, ensure};
use serde_json::json;
use stackpier_core::{Kind, error::Ran};
use stackpier_standin::{proxy::Mode, worker_http::Knobs};
use stackpier_testkit::{
    caller::{Answer, Call},
    cluster::{Cluster, Plan, service},
    wait,
};

/// CALLERS is the number of callers that send requests at the same time.
const CALLERS: usize = 12;
/// REQUESTS_PER_CALLER is the number of requests that each of them sends.
const REQUESTS_PER_CALLER: usize = 40;
/// OFFSETS is the range of byte offsets at which an exchange is cut. It covers the head
/// of a request or an answer and the start of its body.
const OFFSETS: std::ops::Range<usize> = 0..420;
/// OFFSET_STEP is the distance between two offsets that are tried.
const OFFSET_STEP: usize = 7;

fn start() -> Result<Cluster> {
    let cluster = Cluster::start(Plan {
        workers: 1,
        times: json!({"heartbeat_ms": 100, "sync_ms": 200, "list_ms": 100}),
        ..Plan::default()
    })?;
    cluster.submit(0, &service("fleet", &[1]))?;
    cluster.await_answers("fleet")?;
    Ok(cluster)
}

fn body(caller: usize, number: usize) -> String {
    // The lengths differ, so that an answer to another request also differs in length.
    format!(
        "{caller}-{number}-{}",
        "x".repeat((caller * 37 + number * 101) % 5_000)
    )
}

#[test]
fn every_caller_gets_the_whole_answer_to_its_own_request() -> Result<()> {
    let cluster = start()?;
    cluster.set_proxy_mode(cluster.workers[0].proxy_control, Mode::Delay(1))?;
    let send = |caller: usize| {
        let daemon = &cluster.daemons[caller % 3];
        (0..REQUESTS_PER_CALLER).all(|number| {
            let body = body(caller, number);
            match Call::repeatable(daemon.callers, "fleet", &body).send() {
                Answer::Done(answer) => answer == body,
                Answer::Failed(kind, _) => kind == Kind::Overloaded,
                Answer::NoAnswer | Answer::NotConnected => false,
            }
        })
    };
    let whole = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|n| scope.spawn(move || send(n))).collect();
        callers
            .into_iter()
            .all(|caller| caller.join().unwrap_or(false))
    });
    ensure!(whole, "an answer was incomplete or to another caller");
    cluster.finish()
}

/// cut_at_offsets cuts exchanges at many offsets, and verifies that a request that is
/// answered ran once, that one reported as not run did not run, and that no part of an
/// answer is taken for a whole one.
fn cut_at_offsets(mode: fn(usize) -> Mode) -> Result<()> {
    let cluster = start()?;
    let proxy_control = cluster.workers[0].proxy_control;
    let mut unknown = 0;
    for offset in OFFSETS.step_by(OFFSET_STEP) {
        // The calls of the renewer pass the same proxy, so the cut lasts for this one
        // request only, and the service may need a while to answer again.
        let call = Call::keyed(cluster.daemons[offset % 3].callers, "fleet", &body(1, 3));
        cluster.set_proxy_mode(proxy_control, mode(offset))?;
        let answer = call.send();
        cluster.set_proxy_mode(proxy_control, Mode::Pass)?;
        let key = call.key.map(|key| key.to_string()).unwrap_or_default();
        let ran = cluster.executions(&key)?;
        match answer {
            Answer::Done(answer) => ensure!(answer == call.body && ran == 1, "{offset}: {ran}"),
            Answer::Failed(_, Ran::No) => {
                ensure!(ran == 0, "{offset}: reported as not run, ran {ran} times")
            }
            Answer::Failed(_, Ran::Unknown) => {
                unknown += 1;
                ensure!(ran <= 1, "{offset}: ran {ran} times");
            }
            Answer::NoAnswer | Answer::NotConnected => ensure!(false, "{offset}: no answer"),
        }
        wait::until("the service answers again", || {
            let ready = Call::repeatable(call.to, "fleet", "ready");
            ready.send() == Answer::Done("ready".to_owned())
        })?;
    }
    ensure!(unknown > 0, "no cut left an outcome unknown");
    cluster.finish()
}

#[test]
fn answer_that_is_cut_is_never_taken_for_a_whole_one() -> Result<()> {
    cut_at_offsets(Mode::TruncateAnswer)
}

#[test]
fn request_that_is_cut_is_never_reported_as_not_run_if_it_ran() -> Result<()> {
    cut_at_offsets(Mode::TruncateRequest)
}

#[test]
fn slow_upstream_is_unknown_at_the_deadline_and_a_killed_one_fails() -> Result<()> {
    let mut cluster = start()?;
    cluster.set_knobs(
        0,
        Knobs {
            extra_ms: 3_000,
            ..Knobs::default()
        },
    )?;
    let mut call = Call::keyed(cluster.daemons[0].callers, "fleet", "slow");
    call.deadline_ms = 300;
    let sent = Instant::now();
    let answer = call.send();
    ensure!(
        answer == Answer::Failed(Kind::OutcomeUnknown, Ran::Unknown),
        "{answer:?}"
    );
    ensure!(
        sent.elapsed() < Duration::from_millis(2_500),
        "the answer came long after the deadline: {:?}",
        sent.elapsed()
    );
    // The answer that comes after the deadline is kept for a repeat.
    let repeat = call.repeat(cluster.daemons[1].callers);
    let patient_repeat = Call {
        deadline_ms: 10_000,
        ..repeat
    };
    ensure!(
        patient_repeat.send() == Answer::Done("slow".to_owned()),
        "the late answer was lost"
    );
    cluster.kill_worker(0)?;
    cluster.set_proxy_mode(cluster.workers[0].proxy_control, Mode::Cut)?;
    let answer = Call::keyed(cluster.daemons[0].callers, "fleet", "gone").send();
    ensure!(matches!(answer, Answer::Failed(..)), "{answer:?}");
    cluster.finish()
}
