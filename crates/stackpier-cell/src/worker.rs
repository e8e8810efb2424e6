// SPDX-License-Identifier: Apache-2.0
//! The owner's view of workers and their leases.

use stackpier_core::{Incarnation, Millis, Size, Unix};

use crate::{
    TaskName, arena::RunKey, crash::Isolation, dedicated::Dedication, health::Health,
    prediction::Prediction, received::Received, reservation::Reservation, restart::Announced,
    run::Run, suspension::Suspension, unanswered::Unanswered,
};

/// CLOCK_ERROR_MILLI is how much slower than true time a worker's clock may run, in
/// thousandths. The platform allows 2%; the rest is a margin.
pub(crate) const CLOCK_ERROR_MILLI: u64 = 21;
/// LEASE_END_MARGIN_MS is added to the end of a lease before its runs are presumed to have
/// ended: the worker ends them shortly after the lease expires.
pub(crate) const LEASE_END_MARGIN_MS: u64 = 200;

/// with_clock_error returns the longest time that a worker's clock takes to advance by `ms`.
pub(crate) fn with_clock_error(ms: u64) -> u64 {
    ms + ms * CLOCK_ERROR_MILLI / 1_000
}

/// Info is a worker's entry in the list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Info {
    /// The id of the worker.
    pub id: String,
    /// When this incarnation was started, by its wall clock: this tells incarnations with the
    /// same id apart.
    pub started_at: Option<Unix>,
    /// The service that it belongs to.
    pub service: String,
    /// The address at which it accepts orders.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its total capacity.
    pub capacity: Size,
    /// Its kind and any other labels that tasks may ask for.
    pub labels: Vec<String>,
    /// Its rack.
    pub rack: String,
    /// The host that this incarnation runs on.
    pub host: String,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The minimum time until a draining worker leaves, in milliseconds.
    pub remaining_ms: Option<u64>,
}

/// Presence tells whether a worker has answered this owner, and whether it is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// It has not yet answered this owner.
    New,
    /// It has answered this owner.
    Contacted,
    /// It is gone: nothing runs there any more.
    Gone,
}

/// Inheritance tells what a predecessor may have left on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Inheritance {
    /// Nothing that this owner does not know.
    None,
    /// Runs and ends that no report has shown yet.
    Unreported,
    /// Ends that the first report, which arrived at this time, may lack, because its two lists
    /// need not be of the same moment. A report requested later shows them.
    FirstReport(Millis),
}

/// Clock is one reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// When the reading arrived.
    pub at: Millis,
    /// The reading.
    pub ms: u64,
}

/// Worker is one incarnation of a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Its entry, or that of an earlier incarnation until its own is listed.
    pub info: Info,
    /// When this incarnation was started, as far as an entry or a report has shown.
    pub started_at: Option<Unix>,
    /// The entry of another incarnation of its id.
    pub announced: Option<Announced>,
    pub service: u16,
    pub rack: u16,
    pub presence: Presence,
    /// Since when the list has not shown it.
    pub unlisted_since: Option<Millis>,
    /// Whether its entry can't be read. It then gets no starts, and what runs there goes on.
    pub unreadable: bool,
    /// Whether the store knows that it may run something.
    pub rostered: bool,
    /// What a predecessor may have left there that this owner doesn't know.
    pub inheritance: Inheritance,
    /// Until when predecessors may have leased anything there, if they suspended it or if it has
    /// answered this owner.
    pub leased_until: Option<Millis>,
    /// The only tasks that predecessors may have left there, if that is known.
    pub inherited_tasks: Option<Vec<TaskName>>,
    /// Whether this owner may start and lease anything there.
    pub suspension: Suspension,
    /// When its runs were presumed to have ended, if that rests on its silence alone and the
    /// store has not confirmed the ownership since.
    pub presumed_ended: Option<Millis>,
    pub runs: Vec<RunKey>,
    /// Starts that got no answer and may still be carried out.
    pub unanswered: Vec<Unanswered>,
    /// Memory and accelerators of all runs, and the processors of those that are not
    /// best-effort.
    pub allocated: Size,
    /// The processors that long-running runs asked for, in thousandths of a core.
    pub long_running_milli: u32,
    /// The processors that long-running runs are predicted to use, in thousandths of a core.
    pub long_running_use_milli: Option<u32>,
    /// The processors that all other runs asked for, in thousandths of a core.
    pub other_milli: u32,
    pub clock: Option<Clock>,
    /// When its first report to this owner arrived.
    pub first_report_at: Option<Millis>,
    /// The latest end of a lease that was sent to it, by its clock.
    pub deadline_ms: u64,
    /// Whether a lease renewal is in flight.
    pub renewing: bool,
    /// When the latest renewal was sent.
    pub renewal_sent: Millis,
    /// When the final renewal was sent to a silent worker, before its lease counts as expired.
    pub final_renewal: Option<Millis>,
    pub renew_after: Millis,
    /// Since when it has not answered.
    pub silent_since: Option<Millis>,
    /// Whether the last renewal failed so soon that its connection was refused or closed.
    pub refused: bool,
    /// The ends that were received from it.
    pub received: Received,
    /// The tasks with ends that it listed and the store may lack. Those of long-running tasks are
    /// left out: such a task is started again however its run ended.
    pub unstored: Vec<TaskName>,
    /// The number up to which it may forget ends.
    pub acked: u64,
    /// When the last report of this incarnation was requested.
    pub report_requested_at: Millis,
    /// The number up to which it has confirmed an acknowledgement.
    pub ack_confirmed: u64,
    /// The number that the renewal in flight acknowledges, zero for none.
    pub acking: u64,
    /// The save after which the ends received may be acknowledged.
    pub ack_after_save: u64,
    pub health: Health,
    /// The last start of a suspect there, unless the suspect was cleared.
    pub isolation: Option<Isolation>,
    /// No starts before this time, because it answered that it had no capacity.
    pub full_until: Millis,
    /// When a task last started here without the limits that protect other tasks.
    pub relaxed_start_at: Option<Millis>,
    pub draining_since: Option<Millis>,
    /// Whether it gets no starts because its host is about to go down.
    pub cordoned: bool,
    /// Whether it gets no starts because its data centre is cordoned.
    pub data_centre_cordoned: bool,
    /// Whether it is kept free of serving tasks, to make way for best-effort tasks.
    pub evacuated: bool,
    /// Whether it is kept for short tasks.
    pub dedicated: Option<Dedication>,
    /// Capacity that is kept free for a waiting step.
    pub reservation: Option<Reservation>,
    /// No best-effort task starts there before this time, because a serving task has been over its
    /// target for long.
    pub best_effort_from: Millis,
    /// Since when no best-effort task has worked there, by the reports.
    pub paused_since: Option<Millis>,
    /// The predictions for the serving tasks there.
    pub predictions: Vec<Prediction>,
}

impl Worker {
    /// incarnation identifies this incarnation, for the store and the log.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.info.id.clone(),
            started_at: self.started_at,
        }
    }

    /// lease_end returns when everything that was leased has ended, if the worker ever answered.
    /// Predecessors that suspended it may have leased something that this owner has not renewed.
    pub(crate) fn lease_end(&self) -> Option<Millis> {
        let clock = self.clock?;
        let left = self.deadline_ms.saturating_sub(clock.ms);
        let longest = with_clock_error(left) + LEASE_END_MARGIN_MS;
        let own_end = clock.at.plus(longest);
        Some(own_end.max(self.leased_until.unwrap_or_default()))
    }

    /// has_unacked_ends reports whether the worker lists ends that it may not forget yet,
    /// because the store may lack them, or because ends with lower numbers are missing.
    pub(crate) fn has_unacked_ends(&self) -> bool {
        self.received.has_above(self.acked)
    }

    /// refused_others reports whether the worker accepted no orders of earlier owners when it made
    /// a report that was requested at `sent`. It had then answered this owner before. Times are
    /// whole milliseconds.
    pub(crate) fn refused_others(&self, sent: Millis) -> bool {
        self.first_report_at.is_some_and(|first| sent > first)
    }

    /// is_inherited reports whether a predecessor may have runs or ends there that this owner
    /// doesn't know.
    pub(crate) fn is_inherited(&self) -> bool {
        self.inheritance != Inheritance::None
    }

    /// is_lost_uncontacted reports whether the worker ended without ever answering this owner.
    pub(crate) fn is_lost_uncontacted(&self) -> bool {
        self.presence == Presence::Gone && self.clock.is_none()
    }

    /// update_inheritance records that a report requested at `sent` has arrived. After the first
    /// report, a later complete one shows all that a predecessor left on the worker. It reports
    /// whether another report is needed at once, because tasks wait for it.
    pub(crate) fn update_inheritance(&mut self, sent: Millis, now: Millis, whole: bool) -> bool {
        match self.inheritance {
            Inheritance::Unreported => self.inheritance = Inheritance::FirstReport(now),
            // Times are whole milliseconds, so this report may have been requested before the
            // first one arrived.
            Inheritance::FirstReport(first) if sent <= first => {}
            Inheritance::FirstReport(_) if whole && !self.received.has_gap() => {
                self.inheritance = Inheritance::None;
                return false;
            }
            Inheritance::None | Inheritance::FirstReport(_) => return false,
        }
        whole
    }

    /// is_responsive reports whether the worker answers, as far as this owner knows.
    pub(crate) fn is_responsive(&self) -> bool {
        self.presence != Presence::Gone && self.silent_since.is_none()
    }

    /// lease returns the end, by the worker's clock, of a lease that starts now, and records
    /// it. There is none if the worker has never answered or is suspended.
    pub(crate) fn lease(&mut self, now: Millis, lease_ms: u64) -> Option<u64> {
        let clock = self.clock.filter(|_| self.suspension == Suspension::None)?;
        let deadline = clock.ms + now.since(clock.at) + lease_ms;
        self.deadline_ms = self.deadline_ms.max(deadline);
        Some(deadline)
    }

    /// clock_in returns what the worker's clock shows in `ms` milliseconds at the earliest, if it
    /// ever answered.
    pub(crate) fn clock_in(&self, now: Millis, ms: u64) -> Option<u64> {
        let clock = self.clock?;
        let passed = now.since(clock.at).saturating_add(ms);
        let slowed = passed - passed / 1_000 * CLOCK_ERROR_MILLI;
        Some(clock.ms.saturating_add(slowed))
    }

    /// add records that a run holds capacity.
    pub(crate) fn add(&mut self, key: RunKey, run: &Run) {
        self.runs.push(key);
        self.allocated += run.guaranteed_size();
        *self.requested_milli(run) += run.size.milli_cores;
    }

    /// remove releases the capacity that a run held.
    pub(crate) fn remove(&mut self, key: RunKey, run: &Run) {
        self.runs.retain(|other| *other != key);
        self.end_isolation(key);
        self.allocated = self.allocated.minus(&run.guaranteed_size());
        let milli = self.requested_milli(run);
        *milli = milli.saturating_sub(run.size.milli_cores);
    }

    /// end_isolation allows other starts again after the start of a suspect.
    pub(crate) fn end_isolation(&mut self, key: RunKey) {
        self.isolation = self.isolation.filter(|isolation| isolation.run != key);
    }

    /// requested_milli returns the counter that includes the processors that a run asked for.
    fn requested_milli(&mut self, run: &Run) -> &mut u32 {
        if run.long_running {
            &mut self.long_running_milli
        } else {
            &mut self.other_milli
        }
    }

    /// expected_unused_milli returns the processors that are expected to be unused, in
    /// thousandths of a core. See [`Worker::long_running_use`] for `use_milli`.
    pub(crate) fn expected_unused_milli(&self, use_milli: u32) -> i64 {
        let long_running = self.long_running_use(use_milli);
        i64::from(self.info.capacity.milli_cores) - long_running - i64::from(self.other_milli)
    }

    /// long_running_use returns the processors that long-running runs are expected to use, in
    /// thousandths of a core. Without a prediction they are assumed to use `use_milli`
    /// thousandths of what they asked for.
    pub(crate) fn long_running_use(&self, use_milli: u32) -> i64 {
        let assumed = i64::from(self.long_running_milli) * i64::from(use_milli) / 1_000;
        self.long_running_use_milli.map_or(assumed, i64::from)
    }

    /// free returns the capacity that is not allocated.
    pub(crate) fn free(&self) -> Size {
        self.info.capacity.minus(&self.allocated)
    }
}
