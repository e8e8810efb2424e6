// SPDX-License-Identifier: Apache-2.0
//! What may happen in the world of placement, and the rules that a test can
//! take away.

/// Guard is a safety rule that a test can take away, to see the oracle fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Guard {
    /// All rules stand.
    #[default]
    Whole,
    /// The store takes a swap at any revision.
    NoCompare,
    /// Workers keep a lease longer than its renewer waits for.
    NoLeaseWait,
    /// The worker takes calls that are older than their lease.
    NoStaleCheck,
    /// A rack's page forgets by which revision ended rows were dropped.
    NoSettled,
}

/// Step is one transition. Numbers choose among what is there.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Let a daemon look at the clock.
    Tick(u8),
    /// Let time pass, in milliseconds.
    Wait(u16),
    /// Carry out a call and deliver its answer.
    Deliver(u8),
    /// Carry out a call and lose its answer.
    LoseAnswer(u8),
    /// Lose a call.
    LoseCall(u8),
    /// Report a call as unanswered and carry it out later.
    Detach(u8),
    /// Carry out a call that was detached.
    Late(u8),
    /// Freeze a daemon.
    Freeze(u8),
    /// Thaw a daemon.
    Thaw(u8),
    /// End a daemon and start it anew with nothing.
    Restart(u8),
    /// Send a heartbeat.
    Beat(u8, u8),
    /// Deliver a heartbeat or hint under way.
    Arrive(u8),
    /// Hold a message back; a copy arrives as usual.
    Hold(u8),
    /// Deliver a message that was held back.
    Release(u8),
    /// Lose a heartbeat or hint under way.
    Vanish(u8),
    /// Start a worker anew.
    Reboot(u8),
    /// Cut a worker off from all daemons, or heal it.
    Cut(u8, bool),
    /// List a worker as leaving.
    Leave(u8),
    /// End a worker and list it as gone.
    Gone(u8),
    /// End a daemon and list its VM as gone.
    Lost(u8),
    /// Want this many replicas of a service.
    Scale(u8, u8),
    /// Submit a batch job.
    Submit(u8),
    /// Cancel an intent.
    Cancel(u8),
    /// Give a daemon all accepted intents.
    Learn(u8),
    /// Give a daemon the list of VMs.
    List(u8),
    /// A fault-free stretch: everybody looks, all calls and messages arrive.
    Calm(u8),
}
