// SPDX-License-Identifier: Apache-2.0
//! Typed messages and their codecs: between daemons, and towards workers,
//! the platform and operators.

pub mod caller;
pub mod codec;
pub mod explain;
pub mod operator;
pub mod packed;
pub mod peer;
pub mod platform;
pub mod sync;
