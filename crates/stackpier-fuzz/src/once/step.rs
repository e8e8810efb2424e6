// SPDX-License-Identifier: Apache-2.0
//! What may happen to requests, and the rules that a test can take away.

/// Guard is a safety rule that a test can take away, to see the oracle fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Guard {
    /// All rules stand.
    #[default]
    Whole,
    /// A receiver does not ask the holders of earlier versions.
    NoEarlierHolders,
    /// A repeat does not ask the other data centres.
    NoOtherCentres,
    /// A holder that can't be reached counts as one without a record.
    SilenceIsFree,
    /// A version retires at once when the next one is written.
    RetireAtOnce,
}

/// Step is one transition. Numbers choose among what is there.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A caller makes a key and sends its first attempt.
    First(u8),
    /// A caller sends the first attempt late: it is under way meanwhile.
    FirstLate(u8),
    /// A late first attempt arrives.
    Arrive(u8),
    /// A caller repeats a key through a daemon.
    Again(u8, u8),
    /// A message is served and answered.
    Serve(u8),
    /// A message is served and its answer lost.
    LoseAnswer(u8),
    /// A message is lost.
    Lose(u8),
    /// A message counts as unanswered and is served later.
    Detach(u8),
    /// A detached message is served.
    Late(u8),
    /// An upstream runs a request and answers.
    Run(u8),
    /// An upstream runs a request; the answer is lost.
    RunBroken(u8),
    /// An upstream refuses a request.
    Refuse(u8),
    /// A request counts as broken and is run later.
    RunLater(u8),
    /// A request under way to an upstream is run.
    RunNow(u8),
    /// A daemon reads its data centre's map and acknowledges it.
    Learn(u8),
    /// A daemon writes a version with a subset of the daemons that run.
    Renew(u8, u8),
    /// A daemon freezes.
    Freeze(u8),
    /// A daemon thaws.
    Thaw(u8),
    /// A daemon ends and starts anew with no records.
    Restart(u8),
    /// The list shows which runs of daemons are over.
    List(u8),
    /// Time passes, in milliseconds.
    Wait(u16),
}
