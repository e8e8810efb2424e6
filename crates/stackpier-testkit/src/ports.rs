// SPDX-License-Identifier: Apache-2.0
//! Free ports on loopback, below the range that outgoing connections use.

use std::{
    net::{SocketAddr, TcpStream, UdpSocket},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

/// FIRST is the lowest port handed out.
const FIRST: u32 = 10_000;
/// COUNT is the count of ports to choose from.
const COUNT: u32 = 20_000;
/// STRIDE keeps the ports of test processes that run at once apart.
const STRIDE: u32 = 397;

/// NEXT is the offset of the next port to try.
static NEXT: AtomicU32 = AtomicU32::new(0);

/// RESERVED holds a datagram socket for each port that was handed out, which
/// keeps other test processes from choosing the same one before it is used.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// free returns an address nobody listens on, and nobody else is given while
/// this process lives.
pub fn free() -> SocketAddr {
    let start = std::process::id().wrapping_mul(STRIDE);
    loop {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst)) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST + number) as u16));
        let Ok(reservation) = UdpSocket::bind(address) else {
            continue;
        };
        // Listening to find out would leave a copy of the socket in each process that
        // is being started meanwhile, until it runs its program.
        if TcpStream::connect(address).is_err() {
            let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
            reserved.push(reservation);
            return address;
        }
    }
}
