// SPDX-License-Identifier: Apache-2.0
//! Headers of callers' requests.

/// KEY_HEADER carries the key of a request that must not be repeated.
pub const KEY_HEADER: &str = "idempotency-key";
/// DEADLINE_HEADER carries how long the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "stackpier-deadline-ms";
/// REPEATABLE_HEADER carries `yes` or `no`, which overrides the default of the
/// request's method.
pub const REPEATABLE_HEADER: &str = "stackpier-repeatable";
/// ATTEMPT_HEADER carries [`FIRST_ATTEMPT`] on the caller's first attempt with a
/// key.
pub const ATTEMPT_HEADER: &str = "stackpier-attempt";
/// FIRST_ATTEMPT is the value of [`ATTEMPT_HEADER`] on a first attempt.
pub const FIRST_ATTEMPT: &str = "1";
