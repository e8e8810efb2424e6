// SPDX-License-Identifier: Apache-2.0
//! Questions with the answer yes or no that a daemon asks others.

use std::time::Duration;

use crate::{
    Platform,
    candidate::Larger,
    link::{Request, Response},
    node::Node,
};

/// VOTE_TIMEOUT bounds the wait for another daemon's answer.
const VOTE_TIMEOUT: Duration = Duration::from_millis(150);

/// Answered is a daemon's answer to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answered {
    /// It answered yes.
    Yes,
    /// It answered no, or does not know the question.
    No,
    /// It did not answer.
    Nothing,
}

impl<P: Platform> Node<P> {
    /// is_owner_reachable_by reports whether a daemon at one of these addresses has had recent
    /// contact with the owner with `fence`.
    pub(crate) async fn is_owner_reachable_by(&self, addresses: Vec<String>, fence: u64) -> bool {
        let request = Request::HasRecentContact(fence);
        let answers = self.ask_all(addresses, &request).await;
        answers.contains(&Answered::Yes)
    }

    /// ask_larger asks daemons on larger VMs whether they can take the cell over.
    pub(crate) async fn ask_larger(&self, addresses: Vec<String>) -> Larger {
        let answers = self.ask_all(addresses, &Request::CanTakeOver).await;
        let larger = answers.into_iter().map(|answer| match answer {
            Answered::Yes => Larger::Able,
            Answered::No => Larger::Unable,
            Answered::Nothing => Larger::Silent,
        });
        larger.max().unwrap_or(Larger::Silent)
    }

    /// ask_all sends a question to all addresses at once and returns the answers.
    pub(crate) async fn ask_all(&self, addresses: Vec<String>, request: &Request) -> Vec<Answered> {
        let ask = |address: String| {
            let (node, request) = (self.clone(), request.clone());
            tokio::task::spawn_local(async move { node.ask_one(&address, &request).await })
        };
        let asked: Vec<_> = addresses.into_iter().map(ask).collect();
        let mut answers = Vec::new();
        for answer in asked {
            answers.push(answer.await.unwrap_or(Answered::Nothing));
        }
        answers
    }

    async fn ask_one(&self, address: &str, request: &Request) -> Answered {
        match self.links.call(address, request, VOTE_TIMEOUT).await {
            Ok(Response::Flag(true)) => Answered::Yes,
            Ok(_) => Answered::No,
            // Daemons that are gone are expected here.
            Err(_) => Answered::Nothing,
        }
    }
}
