// SPDX-License-Identifier: Apache-2.0
//! Refusals of requests that write to the store, with the time to come back.

use stackpier_cell::Mechanism;
use stackpier_core::{Error, Kind, key};

use crate::{Platform, metrics, node::Node, retry::Cause};

/// ELSEWHERE_MS is the time to come back where another daemon can answer at once.
const ELSEWHERE_MS: u64 = 1_000;

/// refuse builds the error for a write that was not done, or for one that may have been done if
/// it is `unconfirmed`.
pub(crate) fn refuse(why: &str, unconfirmed: bool, retry_ms: u64) -> Error {
    let kind = match unconfirmed {
        true => Kind::WriteUnknown,
        false => Kind::StoreUnavailable,
    };
    Error::new(kind, why).after(retry_ms)
}

/// refuse_here builds the error for a request that another daemon may carry out at once.
pub(crate) fn refuse_here(why: &str, unconfirmed: bool) -> Error {
    refuse(why, unconfirmed, ELSEWHERE_MS)
}

impl<P: Platform> Node<P> {
    /// refuse_for builds the error for a job that can't be written for a cause.
    pub(crate) fn refuse_for(
        &self,
        cause: Cause,
        job: key::Job,
        why: &str,
        unconfirmed: bool,
    ) -> Error {
        refuse(why, unconfirmed, self.plan_retry(cause, None, job))
    }

    /// plan_retry returns after how many milliseconds the client account of a job may come back.
    pub(crate) fn plan_retry(&self, cause: Cause, remaining_ms: Option<u64>, job: key::Job) -> u64 {
        if self.settings.cell.without.contains(Mechanism::RetryTimes) {
            return ELSEWHERE_MS;
        }
        let mut planner = self.planner.borrow_mut();
        let retry_ms = planner.retry_ms(self.mono(), cause, remaining_ms, job);
        let label = metrics::cause(cause);
        self.metrics
            .retry_told
            .record(retry_ms as f64 / 1_000.0, &label);
        retry_ms
    }

    /// end_cause records that a cause of refusals is over, and how long those that were refused
    /// had to wait.
    pub(crate) fn end_cause(&self, cause: Cause) {
        let waited = self.planner.borrow_mut().end(self.mono(), cause);
        let label = metrics::cause(cause);
        for waited_ms in waited {
            self.metrics
                .retry_true
                .record(waited_ms as f64 / 1_000.0, &label);
        }
    }

    /// begin_cause records that a cause of refusals has begun.
    pub(crate) fn begin_cause(&self, cause: Cause) {
        self.planner.borrow_mut().begin(self.mono(), cause);
    }
}
