// SPDX-License-Identifier: Apache-2.0
//! Printing of answers, as text or JSON.

use serde::Serialize;
use stackpier_core::{Error, Kind, Result, key};
use stackpier_protocol::operator::{Accepted, Listed, Status, TaskStatus};
use stackpier_state::{
    explain,
    homes::Place,
    intent::{Kind as IntentKind, Object},
};

use crate::command::Args;

/// accepted prints the answer to a change.
pub fn accepted(args: &Args, accepted: Accepted) -> Result<()> {
    if args.json {
        return print_json(&accepted);
    }
    println!(
        "accepted '{}' at version {}",
        accepted.name, accepted.version
    );
    Ok(())
}

/// explanation prints where the tasks of a job run, or why they wait.
pub fn explanation(args: &Args, id: key::Job, job: explain::Job) -> Result<()> {
    if args.json {
        return print_json(&job);
    }
    let state = format!("{:?}", job.state).to_lowercase();
    println!("{id} {state}, {} tasks open", job.open);
    for task in &job.tasks {
        println!("{} {}", task.name, task.standing);
    }
    if job.left_out > 0 {
        println!("{} more tasks left out", job.left_out);
    }
    Ok(())
}

/// list prints the accepted intents.
pub fn list(args: &Args, listed: Listed) -> Result<()> {
    if args.json {
        return print_json(&listed.objects);
    }
    println!(
        "{:<32} {:<8} {:<16} {:>8}  STATE",
        "NAME", "KIND", "TEAM", "VERSION"
    );
    listed.objects.iter().for_each(print_row);
    Ok(())
}

/// object prints one intent.
pub fn object(args: &Args, object: Object) -> Result<()> {
    if args.json {
        return print_json(&object);
    }
    print_row(&object);
    Ok(())
}

/// status prints an intent and its tasks.
pub fn status(args: &Args, status: Status) -> Result<()> {
    if args.json {
        return print_json(&status);
    }
    print_row(&status.object);
    status.tasks.iter().for_each(print_task);
    Ok(())
}

fn print_row(object: &Object) {
    let intent = &object.intent;
    let kind = match intent.kind {
        IntentKind::Service(_) => "service",
        IntentKind::Batch(_) => "batch",
    };
    let state = match object.cancelled {
        true => "cancelled",
        false => "wanted",
    };
    println!(
        "{:<32} {kind:<8} {:<16} {:>8}  {state}",
        intent.name, intent.team, object.version
    );
}

fn print_task(task: &TaskStatus) {
    let place = match task.place {
        Place::Pending => "waits for a worker".to_owned(),
        Place::Claimed(claim) if task.running => format!("runs on {}", claim.worker),
        Place::Claimed(claim) => format!("claimed for {}", claim.worker),
        Place::Ended(end) => format!("ended: {end:?}").to_lowercase(),
    };
    println!(
        "  {:<16} task {:<5} attempt {:<4} {place}",
        task.data_centre, task.index, task.attempt.0
    );
}

fn print_json<T: Serialize>(value: &T) -> Result<()> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    println!("{text}");
    Ok(())
}
