// SPDX-License-Identifier: Apache-2.0
//! Ports of tests that run at once.

use std::net::UdpSocket;

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
