//! The `mustardcove-dev` program; see the crate documentation.

use std::{
    io::Write as _,
    process::ExitCode,
    time::{Duration, Instant},
};

use clap::{Parser, ValueEnum};
use mustardcove_dev::{
    cluster::{Cluster, OPERATOR_TOKEN},
    deployment::{Deployment, bindery, cotetul},
    load::{self, LoadConfig},
    report::Report,
};
use mustardcove_platform::Clock;
use mustardcove_runtime::logging::{self, LogConfig};
use slog::{Level, Logger};

/// Which deployments to bring up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum DeploymentChoice {
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
    #[arg(long, value_enum, default_value_t = DeploymentChoice::Both)]
    deployment: DeploymentChoice,
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
    let config =
        LogConfig { process: "dev".to_owned(), level: Level::Info, queue_capacity: 65_536 };
    let (log, _guard) = logging::start(&config, clock, out);
    let deployments: Vec<Deployment> = match args.deployment {
        DeploymentChoice::Bindery => vec![bindery()],
        DeploymentChoice::Cotetul => vec![cotetul()],
        DeploymentChoice::Both => vec![bindery(), cotetul()],
    };
    let mut clusters = Vec::new();
    for deployment in deployments {
        clusters.push(start(deployment, clock, args.seed, &log).await?);
    }
    let duration = Duration::from_secs(args.seconds);
    let mut runs = Vec::new();
    for cluster in &clusters {
        runs.push(tokio::spawn(load::run(LoadConfig {
            deployment: cluster.deployment.clone(),
            entries: cluster.entries.clone(),
            key_prefix: format!("run-{}", clock.now()),
            duration,
            seed: args.seed,
        })));
    }
    let mut passed = true;
    for (cluster, run) in clusters.iter().zip(runs) {
        passed &= print_report(cluster, &run.await?, duration)?;
    }
    if args.serve {
        serve(&clusters).await?;
    }
    for cluster in clusters {
        let name = cluster.deployment.name;
        let began = Instant::now();
        cluster.stop().await?;
        print_line(&format!("{name}: stopped gracefully in {} ms", began.elapsed().as_millis()))?;
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
    print_line(&format!(
        "{name}: {} entry instances and {workers} workers are up after {elapsed} ms",
        cluster.entries.len()
    ))?;
    Ok(cluster)
}

/// Prints what callers observed, and returns whether no work was lost and none
/// ran twice.
fn print_report(cluster: &Cluster, report: &Report, duration: Duration) -> eyre::Result<bool> {
    let runs = cluster.fleet.fleet().run_history();
    let calls = cluster.store.store().counters();
    let completed_twice = runs.completed_more_than_once().len();
    let seconds = duration.as_secs_f64();
    print_line(&format!("\n{report}"))?;
    print_line(&format!(
        "overlapping attempts {}, overcommitted workers {}, jobs completed twice {completed_twice}",
        runs.overlaps.len(),
        runs.overcommits.len(),
    ))?;
    print_line(&format!(
        "store: {:.1} writes/s, {:.1} reads/s, {} waiting watches",
        calls.writes as f64 / seconds,
        calls.reads as f64 / seconds,
        calls.waiting_watches
    ))?;
    let lost: u64 = report.classes.values().map(|it| it.lost() + it.mismatched).sum();
    Ok(lost == 0 && completed_twice == 0 && runs.overlaps.is_empty() && runs.overcommits.is_empty())
}

/// Prints the addresses and tokens of the deployments and waits for an
/// interrupt.
async fn serve(clusters: &[Cluster]) -> eyre::Result<()> {
    for cluster in clusters {
        let Deployment { name, member, token, .. } = &cluster.deployment;
        print_line(&format!("\n{name}: member {member}, token {token}"))?;
        print_line(&format!("  operators' token: {OPERATOR_TOKEN}"))?;
        print_line(&format!("  callers' API: http://{}", cluster.entries[0]))?;
        for session in cluster.sessions().await {
            let (process, address) = (&session.process, &session.admin_address);
            print_line(&format!("  {} {process}: http://{address}/dump", session.kind))?;
        }
    }
    print_line("\ninterrupt to stop")?;
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn print_line(text: &str) -> eyre::Result<()> {
    writeln!(std::io::stdout(), "{text}")?;
    Ok(())
}
