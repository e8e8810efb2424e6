// SPDX-License-Identifier: Apache-2.0
//! Options of a cell's decisions.

use crate::Mechanisms;

/// RATINGS_PER_CORE is how many ratings per millisecond a daemon with one core may make.
/// At 50 ns each, on a cell of 500 workers, they take two fifths of the core: the rest
/// is for reports, calls, requests and heartbeats.
pub const RATINGS_PER_CORE: u32 = 8_000;

/// Options are the times, limits and weights of a cell. Times are in
/// milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// How long a lease lasts from the moment it is sent. Long enough to outlast
    /// a network cut of five seconds, short enough that the tasks of a dead worker
    /// start elsewhere within seven.
    pub lease_ms: u64,
    /// The longest lease a worker grants. Leases of a predecessor are assumed to
    /// last this long.
    pub max_lease_ms: u64,
    /// How long this daemon acts as the owner without a confirmation by the
    /// store. A successor waits this long before it assumes that its predecessor
    /// has stopped.
    pub authority_ms: u64,
    /// How long a lease renewal waits on a worker for the end of a run, before it
    /// is answered without one.
    pub renewal_wait_ms: u64,
    /// The same on a worker with serving tasks, whose tail latency must be reported
    /// often.
    pub serving_renewal_wait_ms: u64,
    /// The pause before a failed lease renewal is sent again.
    pub retry_ms: u64,
    /// The pause before an unanswered stop is sent again.
    pub stop_retry_ms: u64,
    /// The longest time a worker takes to stop a run.
    pub stop_ms: u64,
    /// The shortest time between two saves, so that ends are saved together.
    pub save_gap_ms: u64,
    /// The pause before a failed save is tried again.
    pub save_retry_ms: u64,
    /// How long an idle owner waits until it asks the store again who owns the cell.
    pub confirm_ms: u64,
    /// How long a start is usually under way to its worker at most. The worker refuses one that
    /// takes longer if it comes too late (see `max_jobs_age_ms`).
    pub start_transit_ms: u64,
    /// How old the owner's knowledge of the jobs in the store may be when it starts tasks: the time
    /// after which client accounts expect no more starts of a cancelled job, less
    /// `start_transit_ms`.
    pub max_jobs_age_ms: u64,
    /// The same for the workers' entries, in which workers announce that they drain.
    pub max_workers_age_ms: u64,
    /// How long a finished job is shown.
    pub show_ms: u64,
    /// How long a worker that is no longer listed may still get starts.
    pub unlisted_ms: u64,
    /// How long the list may still show a worker that has crashed: three heartbeats of
    /// 1.5 s until its entry expires, and one for the list to reach the owner.
    pub stale_entry_ms: u64,
    /// How much earlier than its due time a round may start.
    pub early_ms: u64,
    /// Share of the processors it asked for that a serving task is assumed to use, in
    /// thousandths.
    pub serving_usage_milli: u32,
    /// The highest expected rise in the number of serving tasks over target
    /// that the start of a best-effort task may cause.
    pub max_harm: f64,
    /// The same for a task whose job has a slack of more than half of its longest
    /// remaining chain of work: it can wait for a better worker at no cost. The limit
    /// also applies to jobs that miss their deadline.
    pub max_harm_with_slack: f64,
    /// How long best-effort tasks may keep a serving task over its target.
    pub max_over_target_ms: u64,
    /// How much run time of a best-effort task without checkpoints may be lost by
    /// moving it.
    pub max_move_loss_ms: u64,
    /// How long after a takeover no host is ordered down, so that the orders of two
    /// owners for one host never alternate.
    pub take_down_gap_ms: u64,
    /// A run without progress for this long is moved; a tenth of the task's estimate
    /// is added.
    pub stall_ms: u64,
    /// A copy of a speculative task starts once it has run for this many
    /// percent of its estimate.
    pub speculate_percent: u64,
    /// How many ratings of workers and of serving tasks placement may make per
    /// millisecond on average: see [`RATINGS_PER_CORE`].
    pub ratings_per_ms: u32,
    /// How many bytes of starts may be in flight to workers at a time.
    pub max_start_bytes: u64,
    /// How many starts may be in flight to workers at a time.
    pub max_starts: usize,
    /// Whether best-effort tasks may run beside serving tasks.
    pub colocate: bool,
    /// Mechanisms that are switched off.
    pub without: Mechanisms,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            lease_ms: 6_000,
            max_lease_ms: 10_000,
            authority_ms: 5_000,
            renewal_wait_ms: 500,
            serving_renewal_wait_ms: 300,
            retry_ms: 200,
            stop_retry_ms: 300,
            stop_ms: 900,
            save_gap_ms: 40,
            save_retry_ms: 200,
            confirm_ms: 1_000,
            start_transit_ms: 500,
            max_jobs_age_ms: 2_500,
            max_workers_age_ms: 1_500,
            show_ms: 150_000,
            unlisted_ms: 2_500,
            stale_entry_ms: 6_000,
            early_ms: 0,
            serving_usage_milli: 450,
            max_harm: 0.6,
            max_harm_with_slack: 0.3,
            max_over_target_ms: 4_000,
            max_move_loss_ms: 600,
            take_down_gap_ms: 3_500,
            stall_ms: 1_500,
            speculate_percent: 180,
            ratings_per_ms: RATINGS_PER_CORE,
            max_start_bytes: u64::MAX,
            max_starts: usize::MAX,
            colocate: true,
            without: Mechanisms::default(),
        }
    }
}
