// SPDX-License-Identifier: Apache-2.0
//! Connections that this daemon opens: bounded, and probed while they are kept.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use stackpier_core::{Error, Kind, Result};
use tokio::{net::TcpStream, time::timeout};

/// CONNECT_LIMIT bounds opening a connection: some round trips between data
/// centres. A lost opening packet is sent again by the system after a second,
/// so a new try is sooner.
const CONNECT_LIMIT: Duration = Duration::from_millis(450);
/// PROBE_AFTER is how long a connection is idle before the system probes it, and
/// the time between two probes; the system counts whole seconds.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// DEAD_AFTER is how long sent bytes or probes may go unacknowledged before the
/// system ends the connection. With the idle second before it, that is within
/// the three seconds after which users take a daemon to be in touch again.
const DEAD_AFTER: Duration = Duration::from_millis(1_800);

/// connect opens a connection.
pub(crate) async fn connect(address: &str) -> Result<TcpStream> {
    let late = |_| {
        Error::new(
            Kind::Unreachable,
            format!("{address}: not connected in time"),
        )
    };
    let refused = |error| Error::new(Kind::Unreachable, format!("{address}: {error}"));
    let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address));
    let stream = connecting.await.map_err(late)?.map_err(refused)?;
    stream.set_nodelay(true).map_err(refused)?;
    probe(&stream).map_err(refused)?;
    Ok(stream)
}

/// probe has the system end the connection once its other end is silent.
fn probe(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(DEAD_AFTER))
}
