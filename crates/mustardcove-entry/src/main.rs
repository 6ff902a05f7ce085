//! The entry program; see the crate documentation.

use std::process::ExitCode;

use clap::Parser;
use eyre::WrapErr as _;
use mustardcove_entry::{process, settings::PROGRAM};
use mustardcove_platform::Clock;
use mustardcove_runtime::{
    logging,
    settings::{ConfigArgs, Loaded, Settings, common},
    signals,
};

/// Entry process of mustardcove: takes callers' requests, routes them to
/// upstreams and passes jobs to the owners of their shards.
#[derive(Debug, Parser)]
#[command(version, about, after_help = "Example:\n  mustardcove-entry --config entry.ini")]
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
            eprintln!("mustardcove-entry: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> eyre::Result<ExitCode> {
    let clock = Clock::start();
    let (log, _guard) = logging::start(&common::log_config(&settings), clock, std::io::stdout());
    logging::log_panics(log.clone());
    let stop = signals::listen(log.clone()).wrap_err("cannot install signal handlers")?;
    process::run(settings, log, clock, stop).await
}
