// SPDX-License-Identifier: Apache-2.0
//! Whole answers, true words on what ran, and answers at once, with real
//! processes behind the fault proxy.

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

/// CALLERS is the count of callers at once.
const CALLERS: usize = 12;
/// EACH is how many requests each sends.
const EACH: usize = 40;
/// OFFSETS are the byte offsets of an exchange at which it is cut: all in the
/// head of a request or an answer, and some in its body.
const OFFSETS: std::ops::Range<usize> = 0..420;
/// STRIDE is the distance of offsets that are tried.
const STRIDE: usize = 7;

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
    // Sizes differ, so that a swapped answer is seen by its length as well.
    format!(
        "{caller}-{number}-{}",
        "x".repeat((caller * 37 + number * 101) % 5_000)
    )
}

#[test]
fn every_caller_gets_the_whole_answer_to_its_own_request() -> Result<()> {
    let cluster = start()?;
    cluster.switch(cluster.workers[0].switch, Mode::Delay(1))?;
    let send = |caller: usize| {
        let daemon = &cluster.daemons[caller % 3];
        (0..EACH).all(|number| {
            let body = body(caller, number);
            match Call::get(daemon.callers, "fleet", &body).send() {
                Answer::Done(answer) => answer == body,
                Answer::Failed(kind, _) => kind == Kind::Overloaded,
                Answer::Nothing | Answer::NotConnected => false,
            }
        })
    };
    let whole = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|n| scope.spawn(move || send(n))).collect();
        callers
            .into_iter()
            .all(|caller| caller.join().unwrap_or(false))
    });
    ensure!(whole, "an answer was not whole or not the caller's own");
    Ok(())
}

/// A cut at any byte: what is said to have run ran once, what is said not to
/// have run did not, and no part of an answer passes for a whole one.
fn cut_at_offsets(mode: fn(usize) -> Mode) -> Result<()> {
    let cluster = start()?;
    let switch = cluster.workers[0].switch;
    let mut unknown = 0;
    for offset in OFFSETS.step_by(STRIDE) {
        // The renewer's calls go the same way, so the cut is brief and its
        // requests are tried until one reached the worker or was refused.
        let call = Call::once(cluster.daemons[offset % 3].callers, "fleet", &body(1, 3));
        cluster.switch(switch, mode(offset))?;
        let answer = call.send();
        cluster.switch(switch, Mode::Pass)?;
        let key = call.key.map(|key| key.to_string()).unwrap_or_default();
        let ran = cluster.executions(&key)?;
        match answer {
            Answer::Done(answer) => ensure!(answer == call.body && ran == 1, "{offset}: {ran}"),
            Answer::Failed(_, Ran::No) => ensure!(ran == 0, "{offset}: said not run, ran {ran}"),
            Answer::Failed(_, Ran::Unknown) => {
                unknown += 1;
                ensure!(ran <= 1, "{offset}: ran {ran} times");
            }
            Answer::Nothing | Answer::NotConnected => ensure!(false, "{offset}: no answer"),
        }
        wait::until("the service answers again", || {
            let ready = Call::get(call.to, "fleet", "ready");
            ready.send() == Answer::Done("ready".to_owned())
        })?;
    }
    ensure!(unknown > 0, "no cut left an outcome unknown");
    Ok(())
}

#[test]
fn answer_cut_at_many_offsets_is_never_taken_for_whole() -> Result<()> {
    cut_at_offsets(Mode::TruncateAnswer)
}

#[test]
fn request_cut_at_many_offsets_is_never_said_not_to_have_run() -> Result<()> {
    cut_at_offsets(Mode::TruncateRequest)
}

#[test]
fn killed_upstream_is_not_run_and_a_frozen_one_unknown_at_the_deadline() -> Result<()> {
    let mut cluster = start()?;
    cluster.knobs(
        0,
        Knobs {
            extra_ms: 3_000,
            ..Knobs::default()
        },
    )?;
    let mut call = Call::once(cluster.daemons[0].callers, "fleet", "slow");
    call.deadline_ms = 300;
    let sent = Instant::now();
    let answer = call.send();
    ensure!(
        answer == Answer::Failed(Kind::OutcomeUnknown, Ran::Unknown),
        "{answer:?}"
    );
    ensure!(
        sent.elapsed() < Duration::from_millis(2_500),
        "held back: {:?}",
        sent.elapsed()
    );
    // The answer that came after the deadline is kept for the repeat.
    let again = call.again(cluster.daemons[1].callers);
    let late = Call {
        deadline_ms: 10_000,
        ..again
    };
    ensure!(
        late.send() == Answer::Done("slow".to_owned()),
        "the late answer was lost"
    );
    cluster.kill_worker(0)?;
    cluster.switch(cluster.workers[0].switch, Mode::Cut)?;
    let answer = Call::once(cluster.daemons[0].callers, "fleet", "gone").send();
    ensure!(matches!(answer, Answer::Failed(..)), "{answer:?}");
    Ok(())
}
