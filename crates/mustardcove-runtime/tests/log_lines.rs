//! Format of log lines, and flushing at exit.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

use mustardcove_core::time::Timestamp;
use mustardcove_runtime::{
    clock::Clock,
    logging::{self, LogConfig},
};
use slog::{Level, debug, info, warn};

/// The time at which the log's clock begins.
const START: Timestamp = Timestamp(1_700_000_000_123);

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
    let clock = Clock::starting_at(START);
    let (log, guard) = logging::start(&config, clock, sink.clone());
    write(&log);
    drop(log);
    drop(guard);
    let bytes = sink.bytes.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap().lines().map(str::to_owned).collect()
}

/// Guards against events that are written as several lines or lose their keys, and
/// against times that are not those of the log's clock.
#[test]
fn one_line() {
    let began = Instant::now();
    let lines = log_output(|log| {
        info!(log, "peer connected"; "peer" => "sched-2", "detail" => "two\nlines");
        debug!(log, "left out");
        warn!(log, "peer disconnected"; "ms" => 12);
    });
    // A busy machine writes the first line late.
    let latest_ms = START.0 + began.elapsed().as_millis() as u64;
    assert_eq!(lines.len(), 2, "{lines:?}");
    for part in [
        "level=INFO",
        "msg=\"peer connected\"",
        "peer=sched-2",
        "detail=\"two\\nlines\"",
        "process=entry-1",
    ] {
        assert!(lines[0].contains(part), "{part} is missing in {}", lines[0]);
    }
    let time = lines[0].split(' ').find_map(|it| it.strip_prefix("ts=")).expect("a time");
    let (seconds, millis) = time.split_once('.').expect("a fraction of a second");
    assert_eq!(millis.len(), 3, "{time} is in milliseconds");
    let time_ms: u64 = format!("{seconds}{millis}").parse().expect("a number");
    assert!((START.0..=latest_ms).contains(&time_ms), "{time} is not within the run");
    assert!(lines[1].contains("ms=12"), "{}", lines[1]);
}

/// Guards against losing queued lines when the process ends.
#[test]
fn guard_flushes() {
    let lines = log_output(|log| (0..1_000).for_each(|it| info!(log, "event"; "number" => it)));
    assert_eq!(lines.len(), 1_000);
    assert!(lines[999].contains("number=999"));
}
