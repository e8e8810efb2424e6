// SPDX-License-Identifier: Apache-2.0
//! The transitions of the simulation, and the safety rules that a test can
//! disable.

/// Mutation is a safety rule that is disabled, to check that the oracle detects
/// its absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// No rule is disabled.
    #[default]
    Original,
    /// The store accepts a swap at any revision.
    NoCompare,
    /// Workers keep a lease for longer than its renewer waits.
    NoLeaseWait,
    /// Workers accept calls that are older than their lease.
    NoStaleCheck,
    /// A rack's page does not record by which revision of the homes ended rows
    /// were dropped, so that older claims are accepted again.
    NoSettledRevisions,
}

/// Step is one transition. Its numbers select one of the daemons, workers,
/// calls or messages that exist at that time.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Give a tick to all state machines of a daemon.
    Tick(u8),
    /// Let time pass, in milliseconds.
    Wait(u16),
    /// Perform a call and deliver its answer.
    Deliver(u8),
    /// Perform a call and lose its answer.
    LoseAnswer(u8),
    /// Lose a call.
    LoseCall(u8),
    /// Report a call as unanswered and perform it later.
    Detach(u8),
    /// Perform a call that was detached.
    Late(u8),
    /// Freeze a daemon.
    Freeze(u8),
    /// Thaw a daemon.
    Thaw(u8),
    /// Restart a daemon; it loses its state.
    Restart(u8),
    /// Send a heartbeat from one daemon to another.
    Beat(u8, u8),
    /// Deliver a heartbeat or hint in flight.
    Arrive(u8),
    /// Hold back a copy of a placer's claims; the original arrives as usual.
    Hold(u8),
    /// Deliver a copy that was held back.
    Release(u8),
    /// Lose a heartbeat or hint in flight.
    Vanish(u8),
    /// Restart a worker; its runs end.
    Reboot(u8),
    /// Cut a worker off from all daemons, or connect it again.
    Cut(u8, bool),
    /// Cut a daemon off from the store, or connect it again.
    CutStore(u8, bool),
    /// List a worker as leaving.
    Leave(u8),
    /// End a worker and list it as gone.
    Gone(u8),
    /// End a daemon and list its VM as gone.
    Lost(u8),
    /// Submit a service with this number of replicas.
    Scale(u8, u8),
    /// Submit a batch job.
    Submit(u8),
    /// Cancel an intent.
    Cancel(u8),
    /// Give a daemon all accepted intents.
    Learn(u8),
    /// Give a daemon the list of VMs.
    List(u8),
    /// Run a few rounds without new faults: all daemons tick, all calls and
    /// messages arrive.
    Calm(u8),
}
