// SPDX-License-Identifier: Apache-2.0
//! Everything outside the system, as one bound.

use stackpier_transport::platform::{Roster, Store, Worker};

/// Backend is the platform and the workers together.
pub trait Backend: Store + Roster + Worker {}

impl<B: Store + Roster + Worker> Backend for B {}
