//! The entry program; see the crate documentation.

use std::process::ExitCode;

use clap::Parser;
use mustardcove_entry::{process, settings::PROGRAM};
use mustardcove_runtime::{process::run_program, settings::ConfigArgs};

/// Entry process of mustardcove: takes callers' requests, routes them to
/// upstreams and passes jobs to the owners of their shards.
#[derive(Debug, Parser)]
#[command(version, about, after_help = "Example:\n  mustardcove-entry --config entry.ini")]
struct Args {
    #[command(flatten)]
    config: ConfigArgs,
}

fn main() -> ExitCode {
    run_program(&Args::parse().config, &PROGRAM, process::run)
}
