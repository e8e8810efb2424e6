// SPDX-License-Identifier: Apache-2.0
//! Workers as the owner keeps them, with their leases.

use stackpier_core::{Incarnation, Millis, Size, Unix};

use crate::{
    arena::RunKey, crash::Isolation, dedicated::Dedication, health::Health, prediction::Prediction,
    received::Received, reservation::Reservation, restart::Announced, run::Run,
    unanswered::Unanswered,
};

/// CLOCK_ERROR_MILLI is how much slower than true time a worker's clock may
/// run, in thousandths, with a margin: the platform allows 2%.
pub(crate) const CLOCK_ERROR_MILLI: u64 = 21;
/// LAPSE_MARGIN_MS is added to the end of a lease before its runs are taken
/// to be over: the worker ends them a moment after.
const LAPSE_MARGIN_MS: u64 = 200;

/// Info is what the list of workers shows of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Info {
    /// The id of the worker.
    pub id: String,
    /// When this life of it was started, by its wall clock: that tells lives of one id apart.
    pub started_at: Option<Unix>,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes orders.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// What it offers.
    pub capacity: Size,
    /// Its kind and whatever else tasks may ask for.
    pub labels: Vec<String>,
    /// Its rack.
    pub rack: String,
    /// The host that this life runs on.
    pub host: String,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The least time until a draining worker leaves, in milliseconds.
    pub remaining_ms: Option<u64>,
}

/// Presence tells whether a worker's process still lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// It has not yet answered this owner.
    New,
    /// It has answered this owner.
    Contacted,
    /// It is over: nothing runs there.
    Gone,
}

/// Inheritance is what an earlier owner may have left on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Inheritance {
    /// Nothing that this owner does not know.
    None,
    /// Runs and ends that no report has shown.
    Unseen,
    /// Ends that show only in a report asked for after the first one, which came at this time:
    /// the two lists of a report need not be of one moment.
    Seen(Millis),
}

/// Clock is one reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// When the reading arrived.
    pub at: Millis,
    /// The reading.
    pub ms: u64,
}

/// Worker is one life of a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Its entry, or that of an earlier life while its own has not shown.
    pub info: Info,
    /// When this life was started, as far as an entry or a report has told.
    pub started_at: Option<Unix>,
    /// The entry of another life of its id.
    pub announced: Option<Announced>,
    pub service: u16,
    pub rack: u16,
    pub presence: Presence,
    /// Since when the list has not shown it.
    pub unlisted_since: Option<Millis>,
    /// Whether its entry can't be read: it gets no starts, and what runs there goes on.
    pub unreadable: bool,
    /// Whether the store knows that it may run something.
    pub rostered: bool,
    /// What an earlier owner may have there that this one doesn't know.
    pub inheritance: Inheritance,
    /// When what ran there had ended, if nothing but silence told so and the
    /// store has not confirmed the ownership since.
    pub presumed_ended: Option<Millis>,
    pub runs: Vec<RunKey>,
    /// Starts without an answer, which may still be on their way.
    pub unanswered: Vec<Unanswered>,
    /// Memory and accelerators of all runs, and the processors of those that
    /// are counted.
    pub allocated: Size,
    /// The processors that lasting tasks have reserved, in thousandths.
    pub long_running_milli: u32,
    /// The processors that all other runs asked for, in thousandths.
    pub other_milli: u32,
    pub clock: Option<Clock>,
    /// The latest end of the lease that was ever sent, by its clock.
    pub deadline_ms: u64,
    /// Whether a hold is on its way.
    pub renewing: bool,
    /// When the latest hold was sent.
    pub renewal_sent: Millis,
    /// When the final hold was sent before its silence counts.
    pub final_renewal: Option<Millis>,
    pub renew_after: Millis,
    /// Since when it has not answered.
    pub silent_since: Option<Millis>,
    /// Ends that were taken in.
    pub received: Received,
    /// The number up to which the worker may forget ends.
    pub acked: u64,
    /// When the last report of this life was asked for.
    pub reported: Millis,
    /// The number up to which it has answered to have forgotten them.
    pub ack_confirmed: u64,
    /// The number that the hold on its way tells it, zero for none.
    pub acking: u64,
    /// The save after which the ends taken in may be forgotten.
    pub ack_after_save: u64,
    pub health: Health,
    /// The last start of a suspect there that was not proved harmless.
    pub isolation: Option<Isolation>,
    /// No starts before this time, as it said that it had no room.
    pub full_until: Millis,
    /// When a task last started here in spite of the bounds that protect others.
    pub relaxed_start_at: Option<Millis>,
    pub drain_seen: Option<Millis>,
    /// Whether it gets no starts, as its host is to go down.
    pub closed: bool,
    /// Whether it is kept free of serving tasks, for what fills.
    pub evacuated: bool,
    /// Whether it is kept for short tasks.
    pub dedicated: Option<Dedication>,
    /// Room that is kept for a waiting step.
    pub reservation: Option<Reservation>,
    /// What is expected of the serving tasks there.
    pub predictions: Vec<Prediction>,
}

impl Worker {
    /// incarnation names this life, for the store and the log.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.info.id.clone(),
            started_at: self.started_at,
        }
    }

    /// lease_end returns when everything that this owner leased has ended, if
    /// the worker ever answered.
    pub(crate) fn lease_end(&self) -> Option<Millis> {
        let clock = self.clock?;
        let left = self.deadline_ms.saturating_sub(clock.ms);
        let longest = left + left * CLOCK_ERROR_MILLI / 1_000 + LAPSE_MARGIN_MS;
        Some(clock.at.plus(longest))
    }

    /// has_unacked_ends tells whether the worker lists ends that it may not forget: the store
    /// is not known to have them, or others are missing below.
    pub(crate) fn has_unacked_ends(&self) -> bool {
        self.received.has_above(self.acked)
    }

    /// is_inherited tells whether an earlier owner may have runs there, or ends, that this one
    /// doesn't know.
    pub(crate) fn is_inherited(&self) -> bool {
        self.inheritance != Inheritance::None
    }

    /// inherit takes in what a report shows of an earlier owner's runs. It tells whether
    /// another report is wanted at once: tasks wait for it.
    pub(crate) fn inherit(&mut self, sent: Millis, now: Millis, whole: bool) -> bool {
        match self.inheritance {
            Inheritance::Unseen => self.inheritance = Inheritance::Seen(now),
            // Times are whole milliseconds: it was asked for with the first one, or after it.
            Inheritance::Seen(first) if sent <= first => {}
            Inheritance::Seen(_) if whole && !self.received.has_gap() => {
                self.inheritance = Inheritance::None;
                return false;
            }
            Inheritance::None | Inheritance::Seen(_) => return false,
        }
        whole
    }

    /// is_responsive tells whether it answers, as far as this owner knows.
    pub(crate) fn is_responsive(&self) -> bool {
        self.presence != Presence::Gone && self.silent_since.is_none()
    }

    /// lease returns the end of a lease that starts now, by the worker's
    /// clock, and notes it.
    pub(crate) fn lease(&mut self, now: Millis, lease_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        let deadline = clock.ms + now.since(clock.at) + lease_ms;
        self.deadline_ms = self.deadline_ms.max(deadline);
        Some(deadline)
    }

    /// add notes that a run holds room.
    pub(crate) fn add(&mut self, key: RunKey, run: &Run) {
        self.runs.push(key);
        self.allocated += run.guaranteed_size();
        *self.milli(run) += run.size.milli_cores;
    }

    /// remove notes that a run holds room no more.
    pub(crate) fn remove(&mut self, key: RunKey, run: &Run) {
        self.runs.retain(|other| *other != key);
        self.end_isolation(key);
        self.allocated = self.allocated.minus(&run.guaranteed_size());
        let milli = self.milli(run);
        *milli = milli.saturating_sub(run.size.milli_cores);
    }

    /// end_isolation lets other starts in again after the start of a suspect.
    pub(crate) fn end_isolation(&mut self, key: RunKey) {
        self.isolation = self.isolation.filter(|isolation| isolation.run != key);
    }

    fn milli(&mut self, run: &Run) -> &mut u32 {
        if run.long_running {
            &mut self.long_running_milli
        } else {
            &mut self.other_milli
        }
    }

    /// expected_unused_milli returns the processors that are expected to be unused, in
    /// thousandths of a core, if lasting tasks use a share of what they
    /// reserved, in thousandths.
    pub(crate) fn expected_unused_milli(&self, use_milli: u32) -> i64 {
        let long_running = i64::from(self.long_running_milli) * i64::from(use_milli) / 1_000;
        i64::from(self.info.capacity.milli_cores) - long_running - i64::from(self.other_milli)
    }

    /// free returns what is neither reserved nor in use.
    pub(crate) fn free(&self) -> Size {
        self.info.capacity.minus(&self.allocated)
    }
}
