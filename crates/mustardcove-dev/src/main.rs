//! Both deployments at today's sizes in one process, on loopback.

use std::{
    io::Write as _,
    process::ExitCode,
    time::{Duration, Instant},
};

use clap::{Parser, ValueEnum};
use mustardcove_dev::{
    cluster::{Cluster, OPERATOR_TOKEN},
    deployment::{Deployment, bindery, cotetul},
    load::{self, Run},
    report::Report,
};
use mustardcove_platform::Clock;
use mustardcove_runtime::logging::{self, LogConfig};
use slog::{Level, Logger};

/// Which deployments to bring up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Which {
    Bindery,
    Cotetul,
    Both,
}

/// Brings up the whole system with stand-ins for the platform, runs callers
/// for a bounded time and prints what they asked for, got and lost.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// How long callers make requests, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Which deployments to bring up.
    #[arg(long, value_enum, default_value_t = Which::Both)]
    deployment: Which,
    /// Keeps the system up after the run, until it is interrupted.
    #[arg(long)]
    serve: bool,
    /// Seed of the callers and the stand-ins.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Writes the processes' logs to this file.
    #[arg(long, value_name = "FILE")]
    log: Option<std::path::PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            writeln!(std::io::stderr(), "mustardcove-dev: {error:#}").ok();
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(args: &Args) -> eyre::Result<bool> {
    let clock = Clock::start();
    let out: Box<dyn std::io::Write + Send> = match &args.log {
        Some(path) => Box::new(std::fs::File::create(path)?),
        None => Box::new(std::io::sink()),
    };
    let config = LogConfig { process: "dev".to_owned(), level: Level::Info, queue: 65_536 };
    let (log, _guard) = logging::start(&config, clock, out);
    let deployments: Vec<Deployment> = match args.deployment {
        Which::Bindery => vec![bindery()],
        Which::Cotetul => vec![cotetul()],
        Which::Both => vec![bindery(), cotetul()],
    };
    let mut clusters = Vec::new();
    for deployment in deployments {
        clusters.push(start(deployment, clock, args.seed, &log).await?);
    }
    let length = Duration::from_secs(args.seconds);
    let mut runs = Vec::new();
    for cluster in &clusters {
        runs.push(tokio::spawn(load::run(Run {
            deployment: cluster.deployment.clone(),
            entries: cluster.entries.clone(),
            name: format!("run-{}", clock.now()),
            length,
            seed: args.seed,
        })));
    }
    let mut passed = true;
    for (cluster, run) in clusters.iter().zip(runs) {
        passed &= print(cluster, &run.await?, length)?;
    }
    if args.serve {
        serve(&clusters).await?;
    }
    for cluster in clusters {
        let name = cluster.deployment.name;
        let began = Instant::now();
        cluster.stop().await?;
        say(&format!("{name}: stopped gracefully in {} ms", began.elapsed().as_millis()))?;
    }
    Ok(passed)
}

async fn start(
    deployment: Deployment,
    clock: Clock,
    seed: u64,
    log: &Logger,
) -> eyre::Result<Cluster> {
    let began = Instant::now();
    let cluster = Cluster::start(deployment, clock, seed, log).await?;
    let elapsed = began.elapsed().as_millis();
    let (name, workers) = (cluster.deployment.name, cluster.deployment.workers.len());
    say(&format!(
        "{name}: {} entry instances and {workers} workers are up after {elapsed} ms",
        cluster.entries.len()
    ))?;
    Ok(cluster)
}

/// Prints what callers saw, and returns whether nothing was lost or doubled.
fn print(cluster: &Cluster, report: &Report, length: Duration) -> eyre::Result<bool> {
    let runs = cluster.fleet.fleet().ledger();
    let calls = cluster.store.store().counters();
    let doubled = runs.completed_more_than_once().len();
    let seconds = length.as_secs_f64();
    say(&format!("\n{report}"))?;
    say(&format!(
        "overlapping attempts {}, overcommitted workers {}, jobs completed twice {doubled}",
        runs.overlaps.len(),
        runs.overcommits.len(),
    ))?;
    say(&format!(
        "store: {:.1} writes/s, {:.1} reads/s, {} waiting watches",
        calls.writes as f64 / seconds,
        calls.reads as f64 / seconds,
        calls.waiting_watches
    ))?;
    let lost: u64 = report.classes.values().map(|it| it.lost() + it.wrong).sum();
    Ok(lost == 0 && doubled == 0 && runs.overlaps.is_empty() && runs.overcommits.is_empty())
}

/// Says where the system can be reached and waits for an interrupt.
async fn serve(clusters: &[Cluster]) -> eyre::Result<()> {
    for cluster in clusters {
        let Deployment { name, member, token, .. } = &cluster.deployment;
        say(&format!("\n{name}: member {member}, token {token}"))?;
        say(&format!("  operators' token: {OPERATOR_TOKEN}"))?;
        say(&format!("  callers' API: http://{}", cluster.entries[0]))?;
        for session in cluster.sessions().await {
            let (process, address) = (&session.process, &session.admin_address);
            say(&format!("  {} {process}: http://{address}/dump", session.kind))?;
        }
    }
    say("\ninterrupt to stop")?;
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn say(text: &str) -> eyre::Result<()> {
    writeln!(std::io::stdout(), "{text}")?;
    Ok(())
}
