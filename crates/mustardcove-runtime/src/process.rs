//! What a process sets up before its own work.

use std::io;

use mustardcove_core::id::ProcessId;
use mustardcove_platform::Clock;
use slog::{Logger, info, o};

use crate::{
    admin::Readiness,
    logging::{self, LogGuard},
    metrics::Metrics,
    settings::{Settings, common},
    supervisor::Supervisor,
};

/// The parts that every process has; clones share them.
#[derive(Clone, Debug)]
pub struct Process {
    /// This start of the process.
    pub id: ProcessId,
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// Its log.
    pub log: Logger,
    /// Its metrics.
    pub metrics: Metrics,
    /// Whether it wants work.
    pub readiness: Readiness,
}

impl Process {
    /// Sets up a process that logs to `out`. The guard has to outlive all
    /// logging, and so the tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be set up.
    pub fn start(
        settings: Settings,
        out: impl io::Write + Send + 'static,
    ) -> eyre::Result<(Process, LogGuard)> {
        let clock = Clock::start();
        let id = process_id(&settings, &clock);
        let (log, guard) = logging::start(&common::log_config(&settings), clock, out);
        let metrics = Metrics::new()?;
        logging::log_panics(log.clone());
        info!(log, "process starts"; "id" => %id);
        let readiness = Readiness::default();
        Ok((Process { id, settings, clock, log, metrics, readiness }, guard))
    }

    /// Returns a supervisor without children, with the limits of the settings.
    pub fn supervisor(&self, name: &'static str) -> Supervisor {
        let policy = common::restart_policy(&self.settings);
        Supervisor::new(policy, self.log.new(o!("supervisor" => name)), self.metrics.clone())
    }
}

/// Returns the identifier of this start: the name of the instance and the time
/// of the start, so that a restarted process is never taken for the one before.
fn process_id(settings: &Settings, clock: &Clock) -> ProcessId {
    let id = format!("{}.{}", settings.text("process.name"), clock.now());
    id.parse().expect("the settings admit only names that leave room for the suffix")
}
