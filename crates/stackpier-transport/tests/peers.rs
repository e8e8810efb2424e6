// SPDX-License-Identifier: Apache-2.0
//! Tests of the exchange of messages between daemons.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
};

use bytes::Bytes;
use h2::client::{self, SendRequest};
use stackpier_core::Kind;
use stackpier_protocol::{
    codec::{decode, encode},
    peer::{Request, Response},
};
use stackpier_transport::peers::{Peers, Service};
use tokio::net::TcpStream;

/// UNKNOWN_REQUEST is a message of a later build: the index of a variant that
/// this build does not have.
const UNKNOWN_REQUEST: &[u8] = &[200, 1, 2, 3];

/// Echo answers each message as received.
struct Echo;

impl Service for Echo {
    fn serve(&self, _: Request) -> Response {
        Response::Taken
    }
}

async fn exchange(sender: &SendRequest<Bytes>, body: &[u8]) -> anyhow::Result<Response> {
    let mut sender = sender.clone().ready().await?;
    let head = http::Request::post("http://stackpier/message").body(())?;
    let (answer, mut stream) = sender.send_request(head, false)?;
    stream.send_data(Bytes::copy_from_slice(body), true)?;
    let mut body = answer.await?.into_body();
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        bytes.extend_from_slice(&chunk?);
    }
    Ok(decode(&bytes)?)
}

async fn send_three(address: SocketAddr) -> anyhow::Result<[Response; 3]> {
    let (sender, connection) = client::handshake(TcpStream::connect(address).await?).await?;
    tokio::spawn(connection);
    let known = encode(&Request::Roster)?;
    Ok([
        exchange(&sender, &known).await?,
        exchange(&sender, UNKNOWN_REQUEST).await?,
        exchange(&sender, &known).await?,
    ])
}

/// Guards against a message of a later build that breaks the connection, and with
/// it the heartbeats.
#[test]
fn unknown_request_is_refused_and_the_connection_goes_on() -> anyhow::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let (_peers, port) = Peers::start(listener)?;
    port.serve(&Arc::new(Echo))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let answers = runtime.block_on(send_three(address))?;
    let expected = [
        Response::Taken,
        Response::Failed(Kind::BadInput),
        Response::Taken,
    ];
    assert_eq!(answers, expected);
    Ok(())
}
