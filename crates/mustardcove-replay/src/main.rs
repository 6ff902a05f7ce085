//! Replays recorded traces through the decision core.

use std::{
    io::Write as _,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
};

use clap::{Parser, Subcommand, ValueEnum};
use eyre::{WrapErr, eyre};
use mustardcove_replay::{PolicyKind, Trace, compare, outcome, text};
use serde::Serialize;

/// Replays recorded traces through the decision core in virtual time.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 if every bound holds; 1 if a property was violated or a bound \
                  missed; 2 if the arguments are wrong; 3 if a trace is refused."
)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Lists the traces of a directory with a line each.
    List {
        /// The directory.
        #[arg(long, default_value = "traces")]
        dir: PathBuf,
    },
    /// Runs a trace with one policy.
    Run {
        /// The trace: a file, or the name of one under traces/.
        trace: PathBuf,
        /// The placement policy.
        #[arg(long)]
        policy: PolicyKind,
        /// The seed, if not the one of the trace.
        #[arg(long)]
        seed: Option<u64>,
        /// The form of the output.
        #[arg(long, default_value = "text")]
        format: Format,
    },
    /// Runs a trace with every policy and compares them.
    Compare {
        /// The trace: a file, or the name of one under traces/.
        trace: PathBuf,
        /// How many seeds, counted from the one of the trace.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// The form of the output.
        #[arg(long, default_value = "text")]
        format: Format,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    /// Lines of key=value pairs.
    Text,
    /// One JSON object.
    Json,
}

#[derive(Serialize)]
struct Output<'a, T> {
    measured: &'a T,
    expectations: &'a [outcome::Evaluation],
    holds: bool,
}

const EXIT_BOUND_MISSED: u8 = 1;
const EXIT_TRACE_REFUSED: u8 = 3;

fn main() -> ExitCode {
    match execute(&Args::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_BOUND_MISSED),
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "error: {error:#}");
            ExitCode::from(EXIT_TRACE_REFUSED)
        }
    }
}

/// Executes a command; returns whether every property and every bound holds.
fn execute(command: &Command) -> eyre::Result<bool> {
    match command {
        Command::List { dir } => list_traces(dir),
        Command::Run { trace, policy, seed, format } => {
            let trace = read_trace(trace)?;
            let report =
                mustardcove_replay::run(&trace, *policy, seed.unwrap_or(trace.header.seed));
            let value = |metric, class: Option<&_>| report.value(metric, class);
            let evaluations = outcome::evaluate(&trace.expectations, false, value);
            let holds = report.violations.is_empty() && evaluations.iter().all(|it| it.holds);
            let text = || text::report(&report, &evaluations);
            print(*format, &report, &evaluations, holds, text)
        }
        Command::Compare { trace, seeds, format } => {
            let trace = read_trace(trace)?;
            let first = trace.header.seed;
            let seeds: Vec<u64> = (first..first.saturating_add((*seeds).max(1))).collect();
            let comparison = compare::compare(&trace, &seeds);
            let value = |metric, class: Option<&_>| comparison.value(metric, class);
            let evaluations = outcome::evaluate(&trace.expectations, true, value);
            let holds = comparison.violation_count() == 0 && evaluations.iter().all(|it| it.holds);
            let text = || text::comparison(&comparison, &evaluations);
            print(*format, &comparison, &evaluations, holds, text)
        }
    }
}

fn print<T: Serialize>(
    format: Format,
    measured: &T,
    expectations: &[outcome::Evaluation],
    holds: bool,
    text: impl Fn() -> String,
) -> eyre::Result<bool> {
    let output = match format {
        Format::Text => text(),
        Format::Json => {
            let output = Output { measured, expectations, holds };
            serde_json::to_string_pretty(&output)? + "\n"
        }
    };
    std::io::stdout().write_all(output.as_bytes())?;
    Ok(holds)
}

fn read_trace(path: &Path) -> eyre::Result<Arc<Trace>> {
    let named = PathBuf::from("traces").join(path).with_extension("jsonl");
    let path = if !path.exists() && named.exists() { &named } else { path };
    Ok(Arc::new(Trace::read(path)?))
}

fn list_traces(dir: &Path) -> eyre::Result<bool> {
    let entries = std::fs::read_dir(dir).wrap_err_with(|| dir.display().to_string())?;
    let mut files: Vec<PathBuf> = entries.filter_map(|it| Some(it.ok()?.path())).collect();
    files.retain(|it| it.extension().is_some_and(|it| it == "jsonl"));
    files.sort();
    if files.is_empty() {
        return Err(eyre!("{} holds no traces", dir.display()));
    }
    for file in files {
        let trace = Trace::read(&file)?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        writeln!(std::io::stdout(), "{name}: {}", trace.header.description)?;
    }
    Ok(true)
}
