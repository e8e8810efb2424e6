// SPDX-License-Identifier: Apache-2.0
//! Upstreams: which requests they run, when, and what they answer.

use stackpier_core::error::Ran;
use stackpier_state::{
    holders::Member,
    ledger::{Record, Reply},
};

use super::{World, pick};
use crate::counts::hit;

/// Dispatch is a request on its way to an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Dispatch {
    pub attempt: usize,
    pub holder: Member,
}

impl World {
    fn alive(&self, dispatch: Dispatch) -> bool {
        let attempt = &self.attempts[dispatch.attempt];
        let daemon = &self.daemons[attempt.daemon];
        daemon.me.boot == attempt.boot && !daemon.frozen
    }

    fn take_dispatch(&mut self, n: u8) -> Option<Dispatch> {
        let dispatch = pick(&mut self.dispatched, n)?;
        if self.alive(dispatch) {
            return Some(dispatch);
        }
        // A frozen receiver sends when it thaws; one that ended never does.
        let attempt = &self.attempts[dispatch.attempt];
        if self.daemons[attempt.daemon].me.boot == attempt.boot {
            self.dispatched.push(dispatch);
        }
        None
    }

    pub(super) fn execute(&mut self, dispatch: Dispatch) {
        let attempt = &mut self.attempts[dispatch.attempt];
        assert!(!attempt.executed, "sent twice");
        assert_ne!(
            attempt.answer,
            Some(Ran::No),
            "ran after it was said not to"
        );
        attempt.executed = true;
        let count = self.executions.entry(attempt.key).or_default();
        *count += 1;
        assert!(*count <= 1, "{} ran twice", attempt.key);
        hit("branch: request ran");
    }

    pub(super) fn run(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        self.execute(dispatch);
        let reply = Reply {
            status: 200,
            headers: Vec::new(),
            body: Vec::new(),
        };
        self.finish(dispatch.attempt, dispatch.holder, Record::Done(reply));
    }

    pub(super) fn run_broken(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        self.execute(dispatch);
        self.finish(dispatch.attempt, dispatch.holder, Record::Unknown);
        self.answered(dispatch.attempt, Ran::Unknown);
    }

    pub(super) fn refuse(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        hit("branch: upstream refused");
        self.finish(dispatch.attempt, dispatch.holder, Record::NotRun);
        self.answered(dispatch.attempt, Ran::No);
    }

    pub(super) fn run_later(&mut self, n: u8) {
        let Some(dispatch) = self.take_dispatch(n) else {
            return;
        };
        hit("fault: request delayed on its way to the upstream");
        self.running.push(dispatch);
        self.finish(dispatch.attempt, dispatch.holder, Record::Unknown);
        self.answered(dispatch.attempt, Ran::Unknown);
    }
}
