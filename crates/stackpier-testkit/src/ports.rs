// SPDX-License-Identifier: Apache-2.0
//! Free ports on loopback. They lie below the range that outgoing connections use.

use std::{
    net::{SocketAddr, TcpStream, UdpSocket},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

/// FIRST_PORT is the lowest port that `free` returns.
const FIRST_PORT: u32 = 10_000;
/// PORT_COUNT is the number of ports to choose from.
const PORT_COUNT: u32 = 20_000;
/// STRIDE is the distance between the first ports of two processes with successive
/// ids, which keeps tests that run at the same time apart.
const STRIDE: u32 = 397;

/// NEXT_OFFSET is the offset of the next port to try, from the first port of this
/// process.
static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// RESERVED holds a UDP socket on each port that `free` has returned, which keeps
/// other test processes from choosing the same port before it is used.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// free returns an address that no process listens on. While this process runs, no
/// other test process gets the same one.
pub fn free() -> SocketAddr {
    let start = std::process::id().wrapping_mul(STRIDE);
    loop {
        let number = start.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::SeqCst)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + number) as u16));
        let Ok(reservation) = UdpSocket::bind(address) else {
            continue;
        };
        // Listening on the port to check it could keep it in use: a process that is being
        // started at the same time holds a copy of the listening socket until it executes
        // its program.
        if TcpStream::connect(address).is_err() {
            let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
            reserved.push(reservation);
            return address;
        }
    }
}
