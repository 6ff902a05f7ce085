//! The node program; see the crate documentation.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use mustardcove_adapter::settings::{DEFAULT_FILE, FILE_VARIABLE};
use mustardcove_node::process;

/// Process of mustardcove on an instance of a fleet: accepts submissions, polls
/// workers, and schedules the fleet's work if it is elected leader.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// The platform's settings file.
    #[arg(long, env = FILE_VARIABLE, default_value = DEFAULT_FILE)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    process::run_program(&Args::parse().settings)
}
