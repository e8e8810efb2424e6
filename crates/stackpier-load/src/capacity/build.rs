// SPDX-License-Identifier: Apache-2.0
//! Pages, messages and state machines of a given size.

mod machine;
mod message;
mod page;
mod sample;

pub use machine::{owner, placer, service, table};
pub use message::{call, heartbeat, reply, reports};
pub use page::{catalogue, holders, homes, intents, rack};
pub use sample::rack_name;
