// SPDX-License-Identifier: Apache-2.0
//! The trait bound for the systems that the daemon calls.

use stackpier_transport::platform::{Roster, Store, Worker};

/// Backend gives access to the platform, with its store and list of VMs, and to
/// the workers.
pub trait Backend: Store + Roster + Worker {}

impl<B: Store + Roster + Worker> Backend for B {}
