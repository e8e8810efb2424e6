// SPDX-License-Identifier: Apache-2.0
//! Ports of tests that run at the same time.

use std::{
    net::{TcpListener, UdpSocket},
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use stackpier_testkit::ports;

/// Guards against "address in use" in tests: another test process got the same port
/// after the port was found free and before it was used.
#[test]
fn returned_port_stays_reserved() {
    let address = ports::free();
    assert!(
        UdpSocket::bind(address).is_err(),
        "another process could get the same port"
    );
    assert_ne!(ports::free(), address);
}

/// Guards against "address in use" in tests: a process that was being started held a
/// copy of the socket by which the port had been checked.
#[test]
fn returned_port_can_be_used_immediately_while_processes_are_started() {
    const PORTS: usize = 600;
    const STARTERS: usize = 4;
    let is_over = AtomicBool::new(false);
    let in_use = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::SeqCst) {
                    let status = Command::new("true").status();
                    assert!(status.expect("true runs").success());
                }
            });
        }
        let binds = (0..PORTS).map(|_| TcpListener::bind(ports::free()));
        let in_use = binds.filter(Result::is_err).count();
        is_over.store(true, Ordering::SeqCst);
        in_use
    });
    assert_eq!(in_use, 0);
}
