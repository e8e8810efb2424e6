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
    /// A swap without an answer counts as refused by the store.
    UnclearIsRefused,
    /// A daemon accepts the page that arrived last, even if it is older than
    /// the known one.
    AcceptStalePage,
    /// A swap is tried once: without an answer the change counts as refused,
    /// and its submission is not looked up in the stored page.
    NoSubmissionLookup,
}

/// Step is one transition. Its numbers select one of the daemons, calls or
/// messages that exist at that time.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// An operator submits a service: its name, the expected version (or
    /// none), and its number of replicas.
    Submit(u8, u8, u8),
    /// An operator cancels an intent: its name, and the expected version (or
    /// none). The last number is unused.
    Cancel(u8, u8, u8),
    /// The store performs a call and answers.
    Serve(u8),
    /// The store performs a call; the answer is lost.
    LoseAnswer(u8),
    /// A call is lost on its way to the store.
    Lose(u8),
    /// A call is reported as unanswered; a swap is performed later.
    Detach(u8),
    /// A detached swap is performed.
    Late(u8),
    /// The store answers a read of the page for a daemon; the answer is still in
    /// flight.
    Read(u8),
    /// A page that was read reaches its daemon, even if it has changed since.
    Arrive(u8),
    /// A daemon learns newer pages from another one.
    Pull(u8, u8),
    /// A daemon restarts and loses what it knew.
    Restart(u8),
}
