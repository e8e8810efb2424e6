// SPDX-License-Identifier: Apache-2.0
//! What the repository's commands share with their tests.

pub mod known_failures;
