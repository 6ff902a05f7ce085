//! Logs: one line of key=value pairs per event.
//!
//! A line is written by a thread of its own, so that a slow terminal or pipe
//! never holds up a request. When that thread falls behind, lines are dropped
//! and their number is reported; [`LogGuard`] writes what is left at the end.

use std::{io, panic, sync::Mutex};

use mustardcove_platform::Clock;
use slog::{Drain, FnValue, Level, LevelFilter, Logger, crit, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_logfmt::Logfmt;

/// Writes the remaining lines when it is dropped.
///
/// It must be dropped after every other use of the logger, so a process keeps
/// it in `main`.
#[must_use = "dropping the guard ends the log"]
pub struct LogGuard {
    _guard: AsyncGuard,
}

/// How a process logs.
#[derive(Clone, Debug)]
pub struct LogConfig {
    /// The name of the process, in every line.
    pub process: String,
    /// Less severe lines are left out.
    pub level: Level,
    /// Lines that may wait to be written.
    pub queue: usize,
}

/// Returns a logger that writes to `out`, and the guard that flushes it.
pub fn start(
    config: &LogConfig,
    clock: Clock,
    out: impl io::Write + Send + 'static,
) -> (Logger, LogGuard) {
    let lines = Logfmt::new(out).no_prefix().print_level(true).print_msg(true).build();
    let (queue, guard) = Async::new(Mutex::new(lines).fuse())
        .chan_size(config.queue)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .thread_name("log".to_owned())
        .build_with_guard();
    let drain = LevelFilter::new(queue, config.level).fuse();
    let ts = FnValue(move |_| {
        let now = clock.now().0;
        format!("{}.{:03}", now / 1_000, now % 1_000)
    });
    let log = Logger::root(drain, o!("process" => config.process.clone(), "ts" => ts));
    (log, LogGuard { _guard: guard })
}

/// Logs panics as one line each, in place of the several lines on standard
/// error.
pub fn log_panics(log: Logger) {
    panic::set_hook(Box::new(move |info| {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        let payload = info.payload_as_str().unwrap_or("(no message)");
        crit!(log, "panic"; "at" => place, "error" => payload);
    }));
}
