//! Termination signals: the first requests a graceful shutdown, the second ends
//! the process at once.

use std::io;

use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Returns a token that the first SIGTERM or SIGINT cancels. The second ends
/// the process with exit status 128 plus the signal number, which shells report
/// for a process that the signal killed.
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

struct ReceivedSignal {
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

    async fn next(&mut self) -> ReceivedSignal {
        tokio::select! {
            _ = self.terminate.recv() => ReceivedSignal { name: "SIGTERM", exit_status: 128 + 15 },
            _ = self.interrupt.recv() => ReceivedSignal { name: "SIGINT", exit_status: 128 + 2 },
        }
    }
}
