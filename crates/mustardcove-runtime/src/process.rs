//! Process start-up: settings, clock, log, metrics and signal handling.

use std::{io, process::ExitCode};

use eyre::WrapErr as _;
use mustardcove_core::id::ProcessId;
use mustardcove_platform::Clock;
use slog::{Logger, info, o};
use tokio_util::sync::CancellationToken;

use crate::{
    admin::Readiness,
    logging::{self, LogGuard},
    metrics::Metrics,
    settings::{ConfigArgs, Loaded, Program, Settings, common},
    signals,
    supervisor::Supervisor,
};

/// What every process has; clones share it.
#[derive(Clone, Debug)]
pub struct Process {
    /// Identifies this start of the process.
    pub id: ProcessId,
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// Its log.
    pub log: Logger,
    /// Its metrics.
    pub metrics: Metrics,
    /// Whether it accepts work.
    pub readiness: Readiness,
}

impl Process {
    /// Sets up a process that logs to `out`. The guard must be dropped after
    /// the last use of the logger, and therefore after the tokio runtime.
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

    /// Returns a supervisor without children, with the limits that the settings
    /// give.
    pub fn supervisor(&self, name: &'static str) -> Supervisor {
        let policy = common::restart_policy(&self.settings);
        Supervisor::new(policy, self.log.new(o!("supervisor" => name)), self.metrics.clone())
    }
}

/// Returns the identifier of this start: the name of the instance and the time
/// of the start, so that a restarted process is not confused with its
/// predecessor.
fn process_id(settings: &Settings, clock: &Clock) -> ProcessId {
    let id = format!("{}.{}", settings.text("process.name"), clock.now());
    id.parse().expect("the settings admit only names that leave space for the suffix")
}

/// Runs a program: loads its settings, starts its log, installs signal handlers
/// and calls `run`. Returns exit status 2 if the settings are invalid.
#[expect(clippy::print_stdout, clippy::print_stderr, reason = "the log is not started yet")]
pub fn run_program<F, Fut>(args: &ConfigArgs, program: &Program, run: F) -> ExitCode
where
    F: FnOnce(Settings, Logger, Clock, CancellationToken) -> Fut,
    Fut: Future<Output = eyre::Result<ExitCode>>,
{
    let settings = match args.load(program) {
        Ok(Loaded::Run(settings)) => settings,
        Ok(Loaded::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(2);
        }
    };
    match run_until_stopped(settings, run) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{}: {error:#}", program.name);
            ExitCode::FAILURE
        }
    }
}

fn run_until_stopped<F, Fut>(settings: Settings, run: F) -> eyre::Result<ExitCode>
where
    F: FnOnce(Settings, Logger, Clock, CancellationToken) -> Fut,
    Fut: Future<Output = eyre::Result<ExitCode>>,
{
    let clock = Clock::start();
    // Declared before the runtime and so dropped after it: lines that tasks log
    // while the runtime shuts down are still written.
    let (log, _guard) = logging::start(&common::log_config(&settings), clock, io::stdout());
    logging::log_panics(log.clone());
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let stop = signals::listen(log.clone()).wrap_err("cannot install signal handlers")?;
        run(settings, log, clock, stop).await
    })
}
