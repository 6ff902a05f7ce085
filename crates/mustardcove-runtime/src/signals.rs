//! Signals: the first asks for a graceful shutdown, the second ends at once.

use std::io;

use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Returns a token that the first SIGTERM or SIGINT cancels. The second ends
/// the process with the exit status that the signal would have given.
///
/// # Errors
///
/// Returns an error if a signal handler cannot be installed.
///
/// # Panics
///
/// Panics if called outside of a tokio runtime.
pub fn listen(log: Logger) -> io::Result<CancellationToken> {
    let stop = CancellationToken::new();
    let mut signals = Signals::new()?;
    let token = stop.clone();
    tokio::spawn(async move {
        let name = signals.next().await.name;
        info!(log, "graceful shutdown begins"; "signal" => name);
        token.cancel();
        let second = signals.next().await;
        warn!(log, "second signal, the process ends at once"; "signal" => second.name);
        std::process::exit(second.exit_status);
    });
    Ok(stop)
}

struct Received {
    name: &'static str,
    exit_status: i32,
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) -> Received {
        tokio::select! {
            _ = self.terminate.recv() => Received { name: "SIGTERM", exit_status: 128 + 15 },
            _ = self.interrupt.recv() => Received { name: "SIGINT", exit_status: 128 + 2 },
        }
    }
}
