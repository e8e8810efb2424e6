// SPDX-License-Identifier: Apache-2.0
//! Message types and their codecs: between daemons, and to and from workers,
//! the platform and operators.

pub mod caller;
pub mod codec;
pub mod explain;
pub mod operator;
pub mod packed;
pub mod peer;
pub mod platform;
pub mod sync;
