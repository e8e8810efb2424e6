// SPDX-License-Identifier: Apache-2.0
//! Best-effort tasks beside serving tasks whose load is low, or high, for some seconds.
//!
//! The load: serving tasks ask for all processors of a worker, and their use swings between a
//! fifth and three quarters of it. One assumed use for all of them left best-effort tasks waiting
//! beside idle processors in the lows, and started too many in the highs. A best-effort task gets
//! what the others leave, and its client account accepts four fifths of what it asked for.

mod common;

use common::{Owner, sized, spec, step};
use rstest::rstest;
use stackpier_core::Size;
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::Step;

/// CORES is the number of cores of the worker.
const CORES: u32 = 8;
/// TARGET_MS is the tail latency that the serving task should stay below.
const TARGET_MS: u32 = 20;
/// LOW_MS is the tail latency at a load of a sixth.
const LOW_MS: u32 = 4;
/// HIGH_MS is the tail latency at a load of three quarters.
const HIGH_MS: u32 = 13;
/// LEARNT_MS is the time within which the load of a serving task is learnt.
const LEARNT_MS: u64 = 10_000;
/// SERVING is the job of the serving task.
const SERVING: u64 = 1;
/// FILLING is the job of the best-effort tasks.
const FILLING: u64 = 2;

fn serving_step() -> Step {
    Step {
        long_running: true,
        target_ms: TARGET_MS,
        image: "serving".to_owned(),
        ..sized(CORES * 1_000, 1)
    }
}

/// best_effort_step returns more tasks of one core than find room.
fn best_effort_step() -> Step {
    Step {
        best_effort: true,
        image: "filling".to_owned(),
        estimate_ms: 8_000,
        ..step(2 * CORES)
    }
}

/// serve returns an owner of one worker whose processors a serving task asked for.
fn serve(tail_ms: u32) -> Owner {
    let mut owner = Owner::new(1);
    let behaviour = Behaviour {
        size: Size {
            milli_cores: CORES * 1_000,
            ..step(1).size
        },
        long_running: true,
        tail_ms: Some(tail_ms),
        ..Behaviour::default()
    };
    owner.behaviours.insert((SERVING, 0), behaviour);
    owner.submit(SERVING, spec(vec![serving_step()]));
    owner.advance(LEARNT_MS);
    owner
}

/// count_started returns how many best-effort tasks have been started at once.
fn count_started(owner: &mut Owner) -> usize {
    owner.submit(FILLING, spec(vec![best_effort_step()]));
    owner.advance(500);
    owner.places(FILLING, 0).len()
}

/// At a load of a sixth, six tasks fit beside the serving task, and the last one gets more than four
/// fifths of a core. At three quarters, two cores are left.
#[rstest]
#[case::low(LOW_MS, 6, 6)]
#[case::high(HIGH_MS, 0, 2)]
fn best_effort_tasks_use_what_serving_tasks_leave(
    #[case] tail_ms: u32,
    #[case] least: usize,
    #[case] most: usize,
) {
    let started = count_started(&mut serve(tail_ms));
    assert!((least..=most).contains(&started), "{started}");
}

/// Guards against a start by a load that is not known: a task that has not reported yet is assumed
/// to use a little less than half of what it asked for.
#[test]
fn a_serving_task_that_has_not_reported_is_assumed_to_use_a_part_of_its_processors() {
    let mut owner = Owner::new(1);
    let serving = Step {
        target_ms: 0,
        ..serving_step()
    };
    owner.submit_long_running(SERVING, serving);
    owner.advance(200);
    let started = count_started(&mut owner);
    assert!((4..=5).contains(&started), "{started}");
}
