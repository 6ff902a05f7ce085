//! The scheduler program; see the crate documentation.

use std::process::ExitCode;

use clap::Parser;
use eyre::WrapErr as _;
use mustardcove_platform::Clock;
use mustardcove_runtime::{
    logging,
    settings::{ConfigArgs, Loaded, common},
    signals,
};
use mustardcove_sched::{process, settings::PROGRAM};

/// Scheduler process of mustardcove: owns shards of the job ledger and groups
/// of workers.
#[derive(Debug, Parser)]
#[command(version, about, after_help = "Example:\n  mustardcove-sched --config sched.ini")]
struct Args {
    #[command(flatten)]
    config: ConfigArgs,
}

#[expect(clippy::print_stdout, clippy::print_stderr, reason = "the log is not started yet")]
fn main() -> ExitCode {
    let settings = match Args::parse().config.load(&PROGRAM) {
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
    match run(settings) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("mustardcove-sched: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: mustardcove_runtime::settings::Settings) -> eyre::Result<ExitCode> {
    let clock = Clock::start();
    let (log, _guard) = logging::start(&common::log_config(&settings), clock, std::io::stdout());
    logging::log_panics(log.clone());
    let stop = signals::listen(log.clone()).wrap_err("cannot install signal handlers")?;
    process::run(settings, log, clock, stop).await
}
