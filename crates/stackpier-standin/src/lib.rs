// SPDX-License-Identifier: Apache-2.0
//! Stand-ins for the systems around stackpier, for tests only: the platform with
//! its store and its list of VMs, workers, and a proxy that injects faults.

pub mod fleet;
pub mod platform;
pub mod proxy;
pub mod rate;
pub mod store;
pub mod worker;
pub mod worker_http;
