//! Starts the process's tasks and supervises them.
//!
//! The tasks share state about the leader, the manifest and the workers, so a
//! task that ends or panics is not restarted alone: the process ends with an
//! error, and the platform restarts it within a second.

use std::{
    path::{Path, PathBuf},
    pin::pin,
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use eyre::WrapErr as _;
use mustardcove_adapter::settings::NodeSettings;
use mustardcove_core::{fleet::standstill::OBSERVE_INTERVAL_MS, id::ProcessId};
use mustardcove_platform::Clock;
use mustardcove_runtime::{
    admin::{self, Readiness},
    logging::{self, LogConfig},
    metrics::Metrics,
    peer::{PeerConfig, Peers},
    signals,
};
use slog::{Logger, error, info, warn};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use crate::{
    callers, dispatch,
    dump::NodeDumps,
    explain, membership,
    metrics::NodeMetrics,
    operator_watch, outbox, poller, readiness,
    shared::{Parts, Shared},
};

/// Log lines that may wait to be written; further lines are dropped and
/// counted.
const LOG_QUEUE: usize = 2_048;
/// Time between two pings on a connection to another process.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// A connection whose ping is not answered in this time is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time to open a connection to another process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait before connecting to another process is tried again.
const BACKOFF_MAX: Duration = Duration::from_millis(400);
/// Time after a stop signal for which new connections are still accepted, so
/// that the platform can notice that the process is not ready.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time for sending the last messages to other processes at the end.
const PEER_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which entries that the leader has not acknowledged are sent
/// again.
const OUTBOX_RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Most bytes of a dump.
const DUMP_BYTES: usize = 64 << 10;
/// Messages that may wait for the poller.
const POLLER_QUEUE: usize = 1_024;

/// Runs the program with the platform's settings file. The exit code is 2 if
/// the settings are not valid.
#[expect(clippy::print_stderr, reason = "the log is not started yet")]
pub fn run_program(path: &Path) -> ExitCode {
    let settings = match NodeSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("mustardcove-node: {error:#}");
            return ExitCode::from(2);
        }
    };
    if !settings.workers_accept_calls {
        eprintln!("mustardcove-node: workers that fetch their orders are not supported");
        return ExitCode::from(2);
    }
    let clock = Clock::start();
    let config = LogConfig {
        process: settings.name.clone(),
        level: slog::Level::Info,
        queue_capacity: LOG_QUEUE,
    };
    // The guard outlives the runtime, so that the last log lines are written.
    let (log, _guard) = logging::start(&config, clock, std::io::stdout());
    logging::log_panics(log.clone());
    match run_until_stopped(settings, path.to_owned(), clock, log.clone()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "process failed"; "error" => format!("{error:#}"));
            ExitCode::FAILURE
        }
    }
}

fn run_until_stopped(
    settings: NodeSettings,
    path: PathBuf,
    clock: Clock,
    log: Logger,
) -> eyre::Result<()> {
    // One thread is enough, since instances have a share of one core.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let stop = signals::listen(log.clone()).wrap_err("cannot install signal handlers")?;
        run(settings, path, clock, log, stop).await
    })
}

/// Runs the process until `stop` is cancelled and open requests have ended.
///
/// # Errors
///
/// Returns an error if the process cannot start or one of its tasks ends.
pub async fn run(
    settings: NodeSettings,
    path: PathBuf,
    clock: Clock,
    log: Logger,
    stop: CancellationToken,
) -> eyre::Result<()> {
    let process: ProcessId = format!("{}.{}", settings.name, clock.now())
        .parse()
        .wrap_err("the name of the instance is not a valid identifier")?;
    info!(log, "process starts"; "id" => %process, "domain" => %settings.domain,
        "region" => %settings.region, "peers" => %settings.peers);
    let base = Metrics::new()?;
    let config = PeerConfig {
        connect_timeout: CONNECT_TIMEOUT,
        backoff_max: BACKOFF_MAX,
        ping_interval: PING_INTERVAL,
        ping_timeout: PING_TIMEOUT,
        seed: rand::random(),
        ..PeerConfig::new(process.clone(), settings.region.clone(), settings.peers)
    };
    let (peers, events) = Peers::start(config, clock, base.clone(), log.clone())
        .await
        .wrap_err_with(|| format!("cannot listen at {}", settings.peers))?;
    let listen = async |address| {
        TcpListener::bind(address).await.wrap_err_with(|| format!("cannot listen at {address}"))
    };
    let callers_listener = listen(settings.callers).await?;
    let admin_listener = listen(settings.admin).await?;
    let readiness_listener = listen(settings.readiness).await?;
    let metrics = NodeMetrics::new(base);
    let parts = Parts { process, settings, clock, log: log.clone(), metrics, peers, stop };
    let shared = Arc::new(Shared::new(parts));
    let mut tasks = JoinSet::new();
    tasks.spawn(reload_on_hangup(shared.clone(), path));
    let (poller, poller_inputs) = tokio::sync::mpsc::channel(POLLER_QUEUE);
    let (leader, leader_inputs) = membership::leader_queue();
    let routes = dispatch::Routes { poller, leader };
    // Not supervised, since this task ends once the process is registered.
    let registration = tokio::spawn(membership::register(shared.clone()));
    tasks.spawn(operator_watch::run(shared.clone()));
    tasks.spawn(dispatch::run(shared.clone(), events, routes));
    tasks.spawn(poller::run(shared.clone(), poller_inputs));
    tasks.spawn(resend_outbox(shared.clone()));
    tasks.spawn(notice_standstills(shared.clone()));
    let admin_readiness = Readiness::default();
    tokio::spawn(update_readiness(shared.clone(), admin_readiness.clone()));
    let admin = admin::router(
        admin_readiness,
        shared.metrics.base.clone(),
        NodeDumps::new(shared.clone()),
        DUMP_BYTES,
    )
    .merge(explain::router(shared.clone()));
    tokio::spawn(admin::serve(admin_listener, admin, CancellationToken::new()));
    let readiness_server = tokio::spawn(readiness::serve(shared.clone(), readiness_listener));
    let membership_task = tokio::spawn(membership::run(shared.clone(), leader_inputs));
    let drained = CancellationToken::new();
    let callers_server =
        tokio::spawn(callers::serve(shared.clone(), callers_listener, drained.clone()));
    let mut membership_task = pin!(membership_task);
    tokio::select! {
        // A stop also ends the membership task, which is no fault then.
        biased;
        () = shared.stop.cancelled() => {}
        Some(ended) = tasks.join_next() => eyre::bail!("a task of the process ended: {ended:?}"),
        ended = &mut membership_task => eyre::bail!("the membership task ended: {ended:?}"),
    }
    membership_task.await?;
    tokio::time::sleep(DRAIN_TIME).await;
    drained.cancel();
    callers_server.await??;
    readiness_server.abort();
    shared.peers.shutdown(PEER_SHUTDOWN_TIMEOUT).await;
    registration.abort();
    tasks.shutdown().await;
    membership::deregister(&shared).await;
    info!(log, "process ends");
    Ok(())
}

/// Sets the readiness that the admin routes show: the process has a manifest
/// and is not shutting down.
async fn update_readiness(shared: Arc<Shared>, admin_readiness: Readiness) {
    let mut manifests = shared.manifest.subscribe();
    if manifests.wait_for(Option::is_some).await.is_ok() {
        admin_readiness.set_ready();
        shared.stop.cancelled().await;
    }
    admin_readiness.set_not_ready("the process stops");
}

/// Reads the settings file again at each SIGHUP. A running process keeps its
/// settings; the log says whether they changed, and changes take effect at the
/// next start.
async fn reload_on_hangup(shared: Arc<Shared>, path: PathBuf) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            error!(shared.log, "cannot listen to SIGHUP"; "error" => %error);
            return;
        }
    };
    while hangups.recv().await.is_some() {
        match NodeSettings::load(&path) {
            Ok(settings) => info!(shared.log, "settings read again";
                "changed" => settings != shared.settings),
            Err(error) => warn!(shared.log, "settings file not valid, settings are kept";
                "error" => format!("{error:#}")),
        }
    }
}

/// Notices at a fixed interval whether the process stood still.
async fn notice_standstills(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(Duration::from_millis(OBSERVE_INTERVAL_MS)).await;
        shared.check_standstill();
    }
}

/// Sends the leader the outbox entries that it has not acknowledged.
async fn resend_outbox(shared: Arc<Shared>) {
    let outbox: &outbox::Outbox = &shared.outbox;
    loop {
        tokio::select! {
            () = outbox.added.notified() => {}
            () = tokio::time::sleep(OUTBOX_RESEND_INTERVAL) => {}
        }
        let term = shared.leadership.borrow().term;
        for message in outbox.messages(term) {
            shared.send_to_leader(message);
        }
    }
}
