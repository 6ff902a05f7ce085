//! Logging: one line of key=value pairs per event.
//!
//! A separate thread writes the lines, so that a slow terminal or pipe never
//! delays a request. When that thread falls behind, lines are dropped and their
//! number is logged. Dropping [`LogGuard`] writes the lines that remain.

use std::{io, panic, sync::Mutex};

use mustardcove_platform::Clock;
use slog::{Drain, FnValue, Level, LevelFilter, Logger, crit, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_logfmt::Logfmt;

/// Writes the lines that remain in the queue when it is dropped.
///
/// It must be dropped after the last use of the logger, so that a process keeps
/// it in the function that also owns the tokio runtime.
#[must_use = "dropping the guard ends the log"]
pub struct LogGuard {
    _guard: AsyncGuard,
}

/// Configuration of a process's log.
#[derive(Clone, Debug)]
pub struct LogConfig {
    /// The name of the process, which every line contains.
    pub process: String,
    /// The least severe level that is logged.
    pub level: Level,
    /// Most lines that wait to be written; further lines are dropped.
    pub queue_capacity: usize,
}

/// Returns a logger that writes to `out`, and the guard that flushes it when
/// dropped.
pub fn start(
    config: &LogConfig,
    clock: Clock,
    out: impl io::Write + Send + 'static,
) -> (Logger, LogGuard) {
    let lines = Logfmt::new(out).no_prefix().print_level(true).print_msg(true).build();
    let (queue, guard) = Async::new(Mutex::new(lines).fuse())
        .chan_size(config.queue_capacity)
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

/// Installs a panic hook that logs each panic as one line, instead of several
/// lines on standard error.
pub fn log_panics(log: Logger) {
    panic::set_hook(Box::new(move |info| {
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        let payload = info.payload_as_str().unwrap_or("(no message)");
        crit!(log, "panic"; "at" => location, "error" => payload);
    }));
}
