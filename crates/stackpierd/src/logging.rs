// SPDX-License-Identifier: Apache-2.0
//! Logging with `slog`: one line for each decision, which begins with the name
//! of the part of the daemon that made it.

use slog::{Drain, Logger, o};

use crate::settings::{Format, Log, Settings};

/// MAX_WAITING_LINES is the number of lines that may wait to be written. Further
/// ones are dropped; a line of the log tells how many.
const MAX_WAITING_LINES: usize = 16_384;

/// build_logger returns the daemon's logger, and a guard that writes the waiting
/// lines when it is dropped.
pub fn build_logger(settings: &Settings) -> (Logger, slog_async::AsyncGuard) {
    let Log { format, level } = settings.log;
    let (drain, guard) = match format {
        Format::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            wrap_async(std::sync::Mutex::new(drain).fuse())
        }
        Format::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
            wrap_async(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    let drain = drain.filter_level(level).fuse();
    let values = o!("vm" => settings.vm.to_string());
    (Logger::root(drain, values), guard)
}

fn wrap_async<D>(drain: D) -> (slog::Fuse<slog_async::AsyncCore>, slog_async::AsyncGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (core, guard) = slog_async::AsyncCore::custom(drain)
        .chan_size(MAX_WAITING_LINES)
        .build_with_guard();
    (core.fuse(), guard)
}
