// SPDX-License-Identifier: Apache-2.0
//! Starts and controls real processes on loopback for the demo and the integration
//! tests: daemons, stand-ins, and proxies between data centres and to the platform.

pub mod caller;
pub mod cluster;
pub mod folder;
pub mod oracle;
pub mod ports;
pub mod process;
pub mod wait;
