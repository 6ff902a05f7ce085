//! Format of log lines, and flushing at exit.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use mustardcove_core::time::Timestamp;
use mustardcove_runtime::{
    clock::Clock,
    logging::{self, LogConfig},
};
use slog::{Level, debug, info, warn};

#[derive(Clone, Default)]
struct Sink {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_output(write: impl FnOnce(&slog::Logger)) -> Vec<String> {
    let sink = Sink::default();
    let config =
        LogConfig { process: "entry-1".to_owned(), level: Level::Info, queue_capacity: 1_024 };
    let clock = Clock::starting_at(Timestamp(1_700_000_000_123));
    let (log, guard) = logging::start(&config, clock, sink.clone());
    write(&log);
    drop(log);
    drop(guard);
    let bytes = sink.bytes.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap().lines().map(str::to_owned).collect()
}

/// Guards against events that are written as several lines or lose their keys.
#[test]
fn one_line() {
    let lines = log_output(|log| {
        info!(log, "peer connected"; "peer" => "sched-2", "detail" => "two\nlines");
        debug!(log, "left out");
        warn!(log, "peer disconnected"; "ms" => 12);
    });
    assert_eq!(lines.len(), 2, "{lines:?}");
    for part in [
        "level=INFO",
        "msg=\"peer connected\"",
        "peer=sched-2",
        "detail=\"two\\nlines\"",
        "process=entry-1",
        "ts=1700000000.1",
    ] {
        assert!(lines[0].contains(part), "{part} is missing in {}", lines[0]);
    }
    assert!(lines[1].contains("ms=12"), "{}", lines[1]);
}

/// Guards against losing queued lines when the process ends.
#[test]
fn guard_flushes() {
    let lines = log_output(|log| (0..1_000).for_each(|it| info!(log, "event"; "number" => it)));
    assert_eq!(lines.len(), 1_000);
    assert!(lines[999].contains("number=999"));
}
