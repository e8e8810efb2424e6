// SPDX-License-Identifier: Apache-2.0
//! The transitions of the world, and the rules that can be taken away.

/// Guard is a safety rule that a test can take away, to see the oracle fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Guard {
    /// All rules stand.
    #[default]
    Whole,
    /// A swap without an answer counts as refused.
    UnclearIsRefused,
    /// A daemon takes the page that it read last, older or not.
    TakeAny,
    /// A swap is tried once and its submission is not looked for.
    NoSubmission,
}

/// Step is one transition. Numbers choose among what is there.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// An operator submits through a daemon: name, expected version or none.
    Submit(u8, u8, u8),
    /// An operator cancels through a daemon.
    Cancel(u8, u8, u8),
    /// The store carries out a call and answers.
    Serve(u8),
    /// The store carries out a call; the answer is lost.
    LoseAnswer(u8),
    /// A call is lost.
    Lose(u8),
    /// A call counts as unanswered and is carried out later.
    Detach(u8),
    /// A detached call is carried out.
    Late(u8),
    /// A daemon begins to read the page.
    Read(u8),
    /// A read arrives, whatever has changed since.
    Arrive(u8),
    /// A daemon pulls from another one.
    Pull(u8, u8),
    /// A daemon ends and starts with nothing.
    Restart(u8),
}
