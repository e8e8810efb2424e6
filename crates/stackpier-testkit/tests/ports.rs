// SPDX-License-Identifier: Apache-2.0
//! Ports of tests that run at once.

use std::{
    net::{TcpListener, UdpSocket},
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use stackpier_testkit::ports;

/// Found by a process test that failed once with an address in use: another
/// process had been given the same port between the look and the use.
#[test]
fn a_port_that_was_handed_out_stays_reserved() {
    let address = ports::free();
    assert!(
        UdpSocket::bind(address).is_err(),
        "another process would pass it over"
    );
    assert_ne!(ports::free(), address);
}

/// Found by process tests that failed with an address in use: a process that was being
/// started held a copy of the socket with which the port had been looked at.
#[test]
fn a_port_can_be_used_at_once_while_processes_are_started() {
    const PORTS: usize = 600;
    const STARTERS: usize = 4;
    let over = AtomicBool::new(false);
    let in_use = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !over.load(Ordering::SeqCst) {
                    let status = Command::new("true").status();
                    assert!(status.expect("true runs").success());
                }
            });
        }
        let binds = (0..PORTS).map(|_| TcpListener::bind(ports::free()));
        let in_use = binds.filter(Result::is_err).count();
        over.store(true, Ordering::SeqCst);
        in_use
    });
    assert_eq!(in_use, 0);
}
