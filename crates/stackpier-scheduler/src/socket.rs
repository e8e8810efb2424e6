// SPDX-License-Identifier: Apache-2.0
//! Outgoing TCP connections. Opening one takes a bounded time, and the system
//! ends one whose other end does not answer.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use stackpier_core::{Error, Kind, Result};
use tokio::{net::TcpStream, time::timeout};

/// CONNECT_LIMIT bounds opening a connection. It allows for several round trips
/// between data centres. The system resends a lost SYN packet only after a
/// second, so giving up and trying again is faster.
const CONNECT_LIMIT: Duration = Duration::from_millis(450);
/// PROBE_AFTER is how long a connection is idle before the system sends a
/// keepalive probe, and the time between two probes. The system only accepts
/// whole seconds.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// DEAD_AFTER is how long sent bytes or probes may go unacknowledged before the
/// system ends the connection. Together with the idle second before the first
/// probe it stays below three seconds, the time within which operators expect a
/// daemon to be connected again after an outage.
const DEAD_AFTER: Duration = Duration::from_millis(1_800);

/// connect opens a connection, without Nagle's delay and with keepalive probes.
pub(crate) async fn connect(address: &str) -> Result<TcpStream> {
    let timed_out = |_| {
        Error::new(
            Kind::Unreachable,
            format!("{address}: not connected in time"),
        )
    };
    let refused = |error| Error::new(Kind::Unreachable, format!("{address}: {error}"));
    let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address));
    let stream = connecting.await.map_err(timed_out)?.map_err(refused)?;
    stream.set_nodelay(true).map_err(refused)?;
    enable_probes(&stream).map_err(refused)?;
    Ok(stream)
}

/// enable_probes makes the system end the connection once its other end is
/// silent.
fn enable_probes(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(DEAD_AFTER))
}
