// SPDX-License-Identifier: Apache-2.0
//! Decisions on jobs that are handed in to many daemons at once.
//!
//! The load: a crowd reaches twenty daemons within the time between two outlooks, and each of them
//! decides by the same one.

use rstest::rstest;
use stackpier_cell::{
    Factor,
    outlook::{Lane, Outlook, Proposal, SIZES, VERSION},
};
use stackpier_core::Millis;
use stackpier_scheduler::admission::Gate;

/// DAEMONS is the number of daemons that a crowd reaches.
const DAEMONS: u64 = 20;
/// FENCE is the owner's fence.
const FENCE: u64 = 7;
/// ROOM_MILLI is the room of the cell: a hundred cores.
const ROOM_MILLI: u64 = 100_000;
/// JOB_WORK is the work of a job, in core-milliseconds: the room does ten a second.
const JOB_WORK: u64 = 10_000;
/// OBJECTIVE_MS is the time within which a job should be done.
const OBJECTIVE_MS: u64 = 5_000;
/// CHAIN_MS is the run time of a job alone.
const CHAIN_MS: u64 = 1_000;
/// EXACT is the factor of run times that meet their estimates.
const EXACT: Factor = Factor {
    least_milli: 1_000,
    mean_milli: 1_000,
};

fn proposal() -> Proposal {
    Proposal {
        service: "service".to_owned(),
        best_effort: true,
        priority: 2,
        tasks: 40,
        largest_milli: 7_000,
        work: JOB_WORK,
        chain_ms: CHAIN_MS,
        objective_ms: OBJECTIVE_MS,
    }
}

/// outlook returns that of a cell with some jobs before any new one.
fn outlook(jobs_before: u64) -> Outlook {
    Outlook {
        version: VERSION,
        fence: FENCE,
        lanes: vec![Lane {
            service: "service".to_owned(),
            best_effort: true,
            priority: 2,
            short_from_milli: 7_000,
            room_milli: ROOM_MILLI,
            work: [jobs_before * JOB_WORK; SIZES],
            factor: EXACT,
        }],
    }
}

fn gate(outlook: Option<Outlook>) -> Gate {
    let mut gate = Gate::new(1.0);
    gate.receive(Millis(1_000), FENCE, outlook);
    gate
}

/// Forty jobs take four seconds, and a new one a second more.
#[rstest]
#[case::in_time(40, true)]
#[case::too_late(41, false)]
fn a_job_is_rejected_if_the_work_before_it_takes_longer_than_allowed(
    #[case] jobs_before: u64,
    #[case] accepted: bool,
) {
    let mut gate = gate(Some(outlook(jobs_before)));
    let decided = gate.decide(Millis(1_100), &proposal(), 1);
    assert_eq!(decided.is_ok(), accepted, "{decided:?}");
}

/// Guards against a crowd that is let in once by each daemon: what twenty daemons accept between two
/// outlooks is no more than what the cell does within the time that is allowed.
#[test]
fn a_crowd_at_many_daemons_is_let_in_once() {
    let mut gates = vec![gate(Some(outlook(0))); DAEMONS as usize];
    let mut accepted = 0;
    for round in 0..100 {
        for gate in &mut gates {
            let now = Millis(1_000 + round);
            accepted += u64::from(gate.decide(now, &proposal(), DAEMONS).is_ok());
        }
    }
    let possible = (OBJECTIVE_MS - CHAIN_MS) * ROOM_MILLI / 1_000 / JOB_WORK;
    assert!(accepted >= possible, "{accepted} of {possible}");
    assert!(accepted <= possible + DAEMONS, "{accepted} of {possible}");
}

/// The time to come back is when the work before the job has come down to what is allowed.
#[test]
fn the_time_to_come_back_is_when_a_job_is_done_in_time_again() {
    let mut gate = gate(Some(outlook(100)));
    let rejection = gate.decide(Millis(1_100), &proposal(), 1).unwrap_err();
    assert_eq!(rejection.wait_ms, 10_000);
    assert_eq!(rejection.retry_ms, 10_000 + CHAIN_MS - OBJECTIVE_MS);
}

#[rstest]
#[case::none(None, 1_100)]
#[case::old(Some(outlook(100)), 3_001)]
#[case::of_another_owner(Some(Outlook { fence: FENCE - 1, ..outlook(100) }), 1_100)]
#[case::of_another_version(Some(Outlook { version: VERSION + 1, ..outlook(100) }), 1_100)]
fn a_job_is_accepted_without_a_valid_outlook(#[case] outlook: Option<Outlook>, #[case] now: u64) {
    let mut gate = gate(outlook);
    assert!(gate.decide(Millis(now), &proposal(), 1).is_ok());
}

/// Guards against a rejection beside room that is idle.
#[rstest]
#[case::smaller(Proposal { largest_milli: 6_999, ..proposal() })]
#[case::of_another_kind(Proposal { best_effort: false, ..proposal() })]
#[case::of_another_service(Proposal { service: "other".to_owned(), ..proposal() })]
#[case::more_urgent(Proposal { priority: 0, ..proposal() })]
fn a_job_is_accepted_where_room_is_not_known_to_be_short(#[case] proposal: Proposal) {
    let mut gate = gate(Some(outlook(1_000)));
    assert!(gate.decide(Millis(1_100), &proposal, 1).is_ok());
}
