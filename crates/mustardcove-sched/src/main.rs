//! The `mustardcove-sched` program; see the crate documentation.

use std::process::ExitCode;

use clap::Parser;
use mustardcove_runtime::{process::run_program, settings::ConfigArgs};
use mustardcove_sched::{process, settings::PROGRAM};

/// Scheduler process of mustardcove: owns shards of the job ledger and groups
/// of workers.
#[derive(Debug, Parser)]
#[command(version, about, after_help = "Example:\n  mustardcove-sched --config sched.ini")]
struct Args {
    #[command(flatten)]
    config: ConfigArgs,
}

fn main() -> ExitCode {
    run_program(&Args::parse().config, &PROGRAM, process::run)
}
