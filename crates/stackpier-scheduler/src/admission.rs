// SPDX-License-Identifier: Apache-2.0
//! Decides whether a job that is handed in is accepted, by the outlook of the cell's owner.

use stackpier_cell::outlook::{Outlook, Proposal, VERSION};
use stackpier_core::Millis;

/// MAX_AGE_MS is the age from which an outlook is not used any more. Followers that heartbeat
/// rarely receive one every 1.5 s.
const MAX_AGE_MS: u64 = 2_000;
/// MIN_RETRY_MS is the shortest time to come back that is told.
const MIN_RETRY_MS: u64 = 1_000;

/// Rejection is the decision not to accept a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// How long the job would wait at least, in milliseconds.
    pub wait_ms: u64,
    /// When a job of its size is expected to be done in time again, in milliseconds from now.
    pub retry_ms: u64,
    /// The age of the outlook, in milliseconds.
    pub age_ms: u64,
}

/// Gate decides on jobs, and keeps what it has let in since the outlook was made.
#[derive(Clone, Debug)]
pub struct Gate {
    /// By how many objectives a job may miss its time at most.
    objectives: f64,
    outlook: Option<Outlook>,
    received_at: Millis,
    /// The work that was accepted since, in core-milliseconds, by the lane in the outlook.
    let_in: Vec<u64>,
}

impl Gate {
    /// new returns a gate that rejects jobs which would take more than `objectives` times the time
    /// that their client account expects.
    pub fn new(objectives: f64) -> Gate {
        Gate {
            objectives,
            outlook: None,
            received_at: Millis(0),
            let_in: Vec::new(),
        }
    }

    /// receive replaces the outlook by the one that the owner with `fence` has now. One of another
    /// version or fence is dropped, and the gate reports whether it was.
    pub fn receive(&mut self, now: Millis, fence: u64, outlook: Option<Outlook>) -> bool {
        let usable = |outlook: &Outlook| outlook.version == VERSION && outlook.fence == fence;
        let is_dropped = outlook.as_ref().is_some_and(|outlook| !usable(outlook));
        let outlook = outlook.filter(usable);
        self.received_at = now;
        if self.outlook != outlook {
            let lanes = outlook.as_ref().map_or(0, |outlook| outlook.lanes.len());
            self.let_in = vec![0; lanes];
            self.outlook = outlook;
        }
        is_dropped
    }

    /// decide returns why a job is rejected, or counts it as accepted. `daemons` is the number of
    /// daemons that decide by the same outlook; each is assumed to have let in as much as this one.
    pub fn decide(
        &mut self,
        now: Millis,
        proposal: &Proposal,
        daemons: u64,
    ) -> Result<(), Rejection> {
        let age_ms = now.since(self.received_at);
        let Some(outlook) = self.outlook.as_ref().filter(|_| age_ms < MAX_AGE_MS) else {
            return Ok(());
        };
        let Some(position) = outlook.find_lane(proposal) else {
            return Ok(());
        };
        let (lane, let_in) = (&outlook.lanes[position], &mut self.let_in[position]);
        let wait = lane.wait(proposal, *let_in * daemons);
        let allowed_ms = (proposal.objective_ms as f64 * self.objectives) as u64;
        if wait.least_ms + lane.factor.least(proposal.chain_ms) <= allowed_ms {
            *let_in += proposal.work;
            return Ok(());
        }
        let done_ms = wait.expected_ms + lane.factor.expected(proposal.chain_ms);
        Err(Rejection {
            wait_ms: wait.least_ms,
            retry_ms: done_ms
                .saturating_sub(proposal.objective_ms)
                .max(MIN_RETRY_MS),
            age_ms,
        })
    }

    /// age_ms returns the age of the outlook, or `None` if there is none.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        let age_ms = now.since(self.received_at);
        self.outlook.as_ref().map(|_| age_ms)
    }
}
