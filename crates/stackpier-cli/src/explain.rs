// SPDX-License-Identifier: Apache-2.0
//! Fetching of the explanation where a job's tasks run, or why they wait. Any
//! daemon may be called: one that does not own the cell answers with the owner.

use stackpier_core::{Error, Kind, Result, key};
use stackpier_protocol::explain::{Answer, Owner, PATH};
use stackpier_state::explain::Job;

use crate::client;

/// TIMEOUT_S is the time-out of one call, in seconds. A daemon answers from
/// memory, or after a request for the owner's address, which takes up to 350 ms.
const TIMEOUT_S: u64 = 5;
/// MAX_CALLS is the maximum number of daemons called: the given one, the owner
/// that it names, and one more if the cell has just changed its owner.
const MAX_CALLS: usize = 3;

/// fetch returns the explanation of a job, from the daemon at `at` or from the
/// cell's owner that it names.
pub fn fetch(job: key::Job, at: &str) -> Result<Job> {
    let mut owner = Owner {
        vm: "the daemon".to_owned(),
        metrics: Some(at.to_owned()),
    };
    for _ in 0..MAX_CALLS {
        match call(job, &owner)? {
            Answer::Job(job) => return Ok(job),
            Answer::Owner(next) => owner = next,
        }
    }
    Err(unreachable_error("the cell changes its owner".to_owned()))
}

fn call(job: key::Job, owner: &Owner) -> Result<Answer> {
    let Owner { vm, metrics } = owner;
    let Some(address) = metrics else {
        return Err(unreachable_error(format!(
            "{vm} owns the cell and did not tell its metrics address"
        )));
    };
    let answer = client::get_with_timeout(address, &format!("{PATH}{job}"), TIMEOUT_S);
    answer.map_err(|error| match error.kind {
        Kind::NotFound => error,
        _ => unreachable_error(format!("{vm} at {address}: {}", error.message)),
    })
}

fn unreachable_error(why: String) -> Error {
    Error::new(Kind::Unreachable, why)
}

/// exit_code returns the exit code for an error of `explain`. Scripts can tell an
/// unknown job from a daemon that was not reached.
pub fn exit_code(kind: Kind) -> i32 {
    match kind {
        Kind::BadInput => 2,
        Kind::NotFound => 3,
        _ => 1,
    }
}
