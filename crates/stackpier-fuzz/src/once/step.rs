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
    /// A receiver does not ask the holders of earlier versions.
    NoEarlierHolders,
    /// A repeat does not ask the other data centres.
    NoOtherDataCentres,
    /// A holder that can't be reached counts as one without a record.
    SilenceIsNoRecord,
    /// A version of the map retires as soon as the next one is written.
    RetireImmediately,
}

/// Step is one transition. Its numbers select one of the daemons, keys or
/// messages that exist at that time.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A caller makes a key and sends its first attempt.
    First(u8),
    /// A caller makes a key and sends its first attempt, which arrives later.
    FirstLate(u8),
    /// A delayed first attempt arrives.
    Arrive(u8),
    /// A caller repeats a key through a daemon.
    Again(u8, u8),
    /// A message is served and answered.
    Serve(u8),
    /// A message is served and its answer is lost.
    LoseAnswer(u8),
    /// A message is lost.
    Lose(u8),
    /// A message is reported as unanswered and is served later.
    Detach(u8),
    /// A detached message is served.
    Late(u8),
    /// An upstream runs a request and answers.
    Run(u8),
    /// An upstream runs a request; the answer is lost.
    RunBroken(u8),
    /// An upstream refuses a request.
    Refuse(u8),
    /// The connection of a request breaks: its outcome is reported as unknown,
    /// and it runs later.
    RunLater(u8),
    /// A request whose connection broke runs at its upstream.
    RunNow(u8),
    /// A daemon reads its data centre's map and acknowledges it.
    Learn(u8),
    /// A daemon writes a version of the map with a subset of the daemons that
    /// run in its data centre.
    Renew(u8, u8),
    /// A daemon freezes.
    Freeze(u8),
    /// A daemon thaws.
    Thaw(u8),
    /// A daemon restarts and loses its records.
    Restart(u8),
    /// The daemons that have ended are recorded in a data centre's map.
    List(u8),
    /// Time passes, in milliseconds.
    Wait(u16),
}
