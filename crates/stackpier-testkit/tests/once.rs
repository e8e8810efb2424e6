// SPDX-License-Identifier: Apache-2.0
//! A request with a key runs at most once, whatever its caller does after a lost
//! answer. Runs real processes.

use std::{
    thread::{self, JoinHandle},
    time::Duration,
};

use anyhow::{Result, ensure};
use serde_json::{Value, json};
use stackpier_core::error::Ran;
use stackpier_protocol::platform::Standing;
use stackpier_standin::{proxy::Mode, worker_http::Knobs};
use stackpier_testkit::{
    caller::{Answer, Call},
    cluster::{Cluster, Plan, service},
    process::Signal,
    wait,
};

/// CALLS is the number of requests that a test sends.
const CALLS: usize = 24;

fn times() -> Value {
    json!({
        "heartbeat_ms": 100, "silence_ms": 800, "list_ms": 100, "sync_ms": 200,
        "lease_ms": 2_000, "drift_ms": 300, "sweep_ms": 500,
    })
}

fn start(data_centres: usize) -> Result<Cluster> {
    let cluster = Cluster::start(Plan {
        data_centres,
        times: times(),
        work_ms: 5,
        ..Plan::default()
    })?;
    cluster.submit(0, &service("fleet", &vec![2; data_centres]))?;
    cluster.await_answers("fleet")?;
    Ok(cluster)
}

/// check verifies that the request ran at most once, and that its answers agree with
/// whether it ran.
fn check(cluster: &Cluster, call: &Call, answers: &[Answer]) -> Result<()> {
    let key = call.key.map(|key| key.to_string()).unwrap_or_default();
    let ran = cluster.executions(&key)?;
    ensure!(ran <= 1, "{key} ran {ran} times: {answers:?}");
    let done = answers
        .iter()
        .any(|answer| matches!(answer, Answer::Done(_)));
    ensure!(!done || ran == 1, "{key} was answered but never ran");
    let all_not_run = answers
        .iter()
        .all(|a| matches!(a, Answer::Failed(_, Ran::No)));
    ensure!(
        !all_not_run || ran == 0,
        "{key} was reported as not run but ran"
    );
    Ok(())
}

#[test]
fn repeats_through_other_daemons_and_data_centres_run_once() -> Result<()> {
    let cluster = start(2)?;
    for number in 0..CALLS {
        let port = |n: usize| cluster.daemons[n % cluster.daemons.len()].callers;
        let call = Call::keyed(port(number), "fleet", &format!("call {number}"));
        let answers = thread::scope(|scope| {
            let first = scope.spawn(|| call.send());
            let repeats: Vec<_> = (1..4)
                .map(|n| call.repeat(port(number + n)))
                .map(|repeat| scope.spawn(move || repeat.send()))
                .collect();
            let mut answers = vec![first.join()];
            answers.extend(repeats.into_iter().map(|repeat| repeat.join()));
            answers.into_iter().flatten().collect::<Vec<_>>()
        });
        check(&cluster, &call, &answers)?;
        // No attempt is in progress any more: a repeat gets the kept answer if its data
        // centre ran the request or reaches the one that did.
        let last = call.repeat(port(number)).send();
        check(&cluster, &call, &[last])?;
    }
    cluster.finish()
}

#[test]
fn holders_killed_frozen_and_replaced_run_nothing_twice() -> Result<()> {
    let mut cluster = start(1)?;
    for number in 0..CALLS {
        let victim = number % 3;
        let first = cluster.daemons[(number + 1) % 3].callers;
        let second = cluster.daemons[(number + 2) % 3].callers;
        let mut call = Call::keyed(first, "fleet", &format!("call {number}"));
        call.deadline_ms = 2_000;
        let mut answers = vec![call.send()];
        match number % 4 {
            0 => {
                cluster.kill_daemon(victim)?;
                answers.push(call.repeat(second).send());
                cluster.start_daemon(victim)?;
                cluster.await_ready(victim)?;
            }
            1 => {
                if let Some(process) = &mut cluster.daemons[victim].process {
                    process.signal(Signal::Stop)?;
                    answers.push(call.repeat(second).send());
                    thread::sleep(Duration::from_millis(1_000));
                    process.signal(Signal::Continue)?;
                }
            }
            _ => {}
        }
        answers.push(call.repeat(second).send());
        answers.push(call.repeat(first).send());
        check(&cluster, &call, &answers)?;
    }
    cluster.finish()
}

#[test]
fn data_centre_cut_off_answers_unknown_and_runs_nothing_twice() -> Result<()> {
    let cluster = start(2)?;
    let (here, there) = (cluster.daemons[0].callers, cluster.daemons[3].callers);
    let call = Call::keyed(here, "fleet", "before the cut");
    let mut answers = vec![call.send()];
    cluster.set_link_mode(0, 1, Mode::Cut)?;
    let repeat = call.repeat(there).send();
    ensure!(
        matches!(repeat, Answer::Failed(_, Ran::Unknown)),
        "{repeat:?}"
    );
    answers.push(repeat);
    // A first attempt needs no answer from another data centre.
    wait::until("each data centre goes on", || {
        [here, there].iter().all(|to| {
            let once = Call::keyed(*to, "fleet", "during the cut");
            once.send() == Answer::Done("during the cut".to_owned())
        })
    })?;
    cluster.set_link_mode(0, 1, Mode::Pass)?;
    wait::until("the repeat gets the kept answer", || {
        let answer = call.repeat(there).send();
        answers.push(answer.clone());
        answer == Answer::Done("before the cut".to_owned())
    })?;
    check(&cluster, &call, &answers)?;
    cluster.finish()
}

fn send_all(calls: impl Iterator<Item = Call>) -> Vec<JoinHandle<Answer>> {
    calls
        .map(|call| thread::spawn(move || call.send()))
        .collect()
}

fn join_answer(sent: JoinHandle<Answer>) -> Answer {
    sent.join().unwrap_or(Answer::NoAnswer)
}

#[test]
fn daemon_frozen_between_grant_and_send_runs_nothing_twice() -> Result<()> {
    let mut cluster = start(1)?;
    for index in 0..cluster.workers.len() {
        cluster.set_knobs(
            index,
            Knobs {
                extra_ms: 200,
                ..Knobs::default()
            },
        )?;
    }
    let vm = cluster.daemons[0].vm;
    let mut calls = Vec::new();
    for number in 0..CALLS {
        let mut call = Call::keyed(
            cluster.daemons[0].callers,
            "fleet",
            &format!("call {number}"),
        );
        call.deadline_ms = 5_000;
        calls.push(call);
    }
    let callers = send_all(calls.iter().cloned());
    thread::sleep(Duration::from_millis(20));
    if let Some(process) = &mut cluster.daemons[0].process {
        process.signal(Signal::Stop)?;
    }
    cluster.set_standing(vm, Standing::Leaving)?;
    thread::sleep(Duration::from_millis(1_500));
    let other = cluster.daemons[1].callers;
    let repeats = send_all(calls.iter().map(|call| call.repeat(other)));
    let repeats: Vec<Answer> = repeats.into_iter().map(join_answer).collect();
    if let Some(process) = &mut cluster.daemons[0].process {
        process.signal(Signal::Continue)?;
    }
    for ((call, caller), repeat) in calls.iter().zip(callers).zip(repeats) {
        check(&cluster, call, &[join_answer(caller), repeat])?;
    }
    cluster.finish()
}
