// SPDX-License-Identifier: Apache-2.0
//! Upstreams: which requests they run, when they run them, and what they answer.

use stackpier_core::error::Ran;
use stackpier_state::{
    holders::Member,
    ledger::{Record, Reply},
};

use super::{Simulation, pick};
use crate::counts::hit;

/// Dispatch is a request in flight to an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Dispatch {
    pub attempt: usize,
    pub holder: Member,
}

impl Simulation {
    /// can_send reports whether the receiver of a request still runs and is not
    /// frozen.
    fn can_send(&self, dispatch: Dispatch) -> bool {
        let attempt = &self.attempts[dispatch.attempt];
        let daemon = &self.daemons[attempt.daemon];
        daemon.me.boot == attempt.boot && !daemon.frozen
    }

    /// take_dispatch removes a request and returns it, if its receiver can send
    /// it now.
    fn take_dispatch(&mut self, n: u8) -> Option<Dispatch> {
        let dispatch = pick(&mut self.dispatched, n)?;
        if self.can_send(dispatch) {
            return Some(dispatch);
        }
        // A frozen receiver sends the request after it thaws; one that has
        // ended never does.
        let attempt = &self.attempts[dispatch.attempt];
        if self.daemons[attempt.daemon].me.boot == attempt.boot {
            self.dispatched.push(dispatch);
        }
        None
    }

    /// execute runs a request, and asserts that it is the only run with this
    /// key and that no answer to it said "not run".
    pub(super) fn execute(&mut self, dispatch: Dispatch) {
        let attempt = &mut self.attempts[dispatch.attempt];
        assert!(
            !attempt.executed,
            "the request of one attempt was sent twice"
        );
        assert_ne!(
            attempt.answer,
            Some(Ran::No),
            "ran after the caller got the answer 'not run'"
        );
        attempt.executed = true;
        let count = self.executions.entry(attempt.key).or_default();
        *count += 1;
        assert!(*count <= 1, "{} ran twice", attempt.key);
        hit("branch: request ran");
    }

    pub(super) fn run_request(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        self.execute(dispatch);
        let reply = Reply {
            status: 200,
            headers: Vec::new(),
            body: Vec::new(),
        };
        self.send_finish(dispatch.attempt, dispatch.holder, Record::Done(reply));
    }

    /// run_and_lose_answer runs a request whose answer does not reach the
    /// receiver.
    pub(super) fn run_and_lose_answer(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        self.execute(dispatch);
        self.send_finish(dispatch.attempt, dispatch.holder, Record::Unknown);
        self.record_answer(dispatch.attempt, Ran::Unknown);
    }

    pub(super) fn refuse_request(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        hit("branch: upstream refused");
        self.send_finish(dispatch.attempt, dispatch.holder, Record::NotRun);
        self.record_answer(dispatch.attempt, Ran::No);
    }

    /// delay_request reports the outcome of a request as unknown, and keeps the
    /// request to run later.
    pub(super) fn delay_request(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        hit("fault: request delayed on its way to the upstream");
        self.delayed.push(dispatch);
        self.send_finish(dispatch.attempt, dispatch.holder, Record::Unknown);
        self.record_answer(dispatch.attempt, Ran::Unknown);
    }
}
