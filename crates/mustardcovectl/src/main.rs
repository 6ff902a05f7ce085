//! Command-line client of the administration API.

mod api;
mod args;
mod command;
mod explain;
mod table;

use std::{io::Write as _, process::ExitCode};

use clap::Parser as _;

use crate::args::Args;

/// Exit code if the output cannot be written; the same as for other local
/// failures, such as a file that cannot be read.
const EXIT_OUTPUT_FAILED: u8 = 1;

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    match command::run(&args).await {
        Ok(text) => {
            let written = std::io::stdout().write_all(text.as_bytes());
            if written.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_OUTPUT_FAILED) }
        }
        Err(error) => {
            writeln!(std::io::stderr(), "mustardcovectl: {error}").ok();
            ExitCode::from(error.exit_code())
        }
    }
}
