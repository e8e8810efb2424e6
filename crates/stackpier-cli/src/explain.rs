// SPDX-License-Identifier: Apache-2.0
//! The question why a job's tasks are where they are. Any daemon may be asked:
//! it says which one owns the cell.

use stackpier_core::{Error, Kind, Result, key};
use stackpier_protocol::explain::{Answer, Owner, PATH};
use stackpier_state::explain::Job;

use crate::client;

/// TIMEOUT_S bounds one call, in seconds. A daemon answers from memory, or after
/// asking the owner for its address for 350 ms.
const TIMEOUT_S: u64 = 5;
/// MOST_ASKED is how many daemons are asked: the given one, the owner it names,
/// and one more if the cell has just changed its owner.
const MOST_ASKED: usize = 3;

/// ask asks a daemon, and then the owner of the cell.
pub fn ask(job: key::Job, at: &str) -> Result<Job> {
    let mut owner = Owner {
        vm: "the daemon".to_owned(),
        metrics: Some(at.to_owned()),
    };
    for _ in 0..MOST_ASKED {
        match call(job, &owner)? {
            Answer::Job(job) => return Ok(job),
            Answer::Owner(next) => owner = next,
        }
    }
    Err(unreached("the cell changes its owner".to_owned()))
}

fn call(job: key::Job, owner: &Owner) -> Result<Answer> {
    let Owner { vm, metrics } = owner;
    let Some(address) = metrics else {
        return Err(unreached(format!(
            "{vm} owns the cell and did not tell its metrics address"
        )));
    };
    let answer = client::get_within(address, &format!("{PATH}{job}"), TIMEOUT_S);
    answer.map_err(|error| match error.kind {
        Kind::NotFound => error,
        _ => unreached(format!("{vm} at {address}: {}", error.message)),
    })
}

fn unreached(why: String) -> Error {
    Error::new(Kind::Unreachable, why)
}

/// exit returns the exit code after an error: scripts tell a job that is not
/// known from a daemon that was not reached.
pub fn exit(kind: Kind) -> i32 {
    match kind {
        Kind::BadInput => 2,
        Kind::NotFound => 3,
        _ => 1,
    }
}
