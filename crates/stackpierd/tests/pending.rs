// SPDX-License-Identifier: Apache-2.0
//! Tests of the heartbeats that wait for an answer.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use flume::Sender;
use stackpier_core::{Error, Kind, Name, Result, key::Boot};
use stackpier_protocol::peer::{HeartbeatReply, Response};
use stackpier_state::holders::Member;
use stackpierd::heartbeat::pending::{Pending, Sent};

/// MAX_TRIES is more than the heartbeats that may wait for one daemon.
const MAX_TRIES: usize = 1_000;

fn peer(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

fn send(pending: &mut Pending, address: SocketAddr) -> Sender<Result<Response>> {
    let (reply, answer) = flume::bounded(1);
    pending.push(Sent {
        address,
        reports: Vec::new(),
        answer,
    });
    reply
}

/// fill sends heartbeats to a daemon until it has no room.
fn fill(pending: &mut Pending, address: SocketAddr) -> Vec<Sender<Result<Response>>> {
    let mut replies = Vec::new();
    while pending.has_room(address) && replies.len() < MAX_TRIES {
        replies.push(send(pending, address));
    }
    replies
}

fn reply() -> Result<Response> {
    let vm =
        Name::try_from("entry-0").map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    Ok(Response::Heartbeat(HeartbeatReply {
        from: Member { vm, boot: Boot(1) },
        leaving: false,
        sum: 0,
    }))
}

/// Guards against heartbeats that pile up for a daemon that answers none, and
/// against it holding up those to others.
#[test]
fn mute_daemon_is_sent_a_few_heartbeats_and_holds_up_no_other() {
    let mut pending = Pending::default();
    let mute = fill(&mut pending, peer(1));
    assert!((2..10).contains(&mute.len()), "{} sent", mute.len());
    let other = send(&mut pending, peer(2));
    assert!(other.send(reply()).is_ok());
    let until = Instant::now() + Duration::from_secs(30);
    let answered = pending.next_reply(until).map(|(sent, _)| sent.address);
    assert_eq!(answered, Some(peer(2)));
    assert!(Instant::now() < until);
    assert!(!pending.has_room(peer(1)));
}

/// Guards against a daemon that gets no more heartbeats once some have failed.
#[test]
fn daemon_is_sent_heartbeats_again_once_earlier_ones_have_failed() {
    let mut pending = Pending::default();
    let mut replies = fill(&mut pending, peer(1));
    let unreachable = Err(Error::new(Kind::Unreachable, "no answer in time"));
    assert!(
        replies
            .pop()
            .is_some_and(|last| last.send(unreachable).is_ok())
    );
    drop(replies);
    let until = Instant::now() + Duration::from_millis(20);
    assert!(pending.next_reply(until).is_none());
    assert!(Instant::now() >= until);
    assert!(pending.has_room(peer(1)));
}
