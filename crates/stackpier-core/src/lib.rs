// SPDX-License-Identifier: Apache-2.0
//! Types that all crates of stackpier share: names, keys, sizes, time and the
//! error kinds.
//!
//! Everything here is plain data. The crate does no I/O and reads no clock.

pub mod arena;
pub mod error;
pub mod field;
pub mod incarnation;
pub mod key;
pub mod name;
pub mod size;
pub mod time;

pub use error::{Error, Kind, Result};
pub use incarnation::Incarnation;
pub use name::Name;
pub use size::Size;
pub use time::{Millis, Unix};
