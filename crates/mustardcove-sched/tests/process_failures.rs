//! Guards against work that is lost or runs twice when real scheduler
//! processes are killed, paused past their lease, stopped or cut off from the
//! store.
//!
//! Seven scheduler processes run against the stand-ins for the platform on
//! loopback, while callers make requests for a fixed time.

use std::{
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use mustardcove_dev::{
    cluster::{Cluster, common_settings},
    deployment::{Deployment, INSTANCES, bindery, cotetul},
    load::{self, LoadConfig},
    report::Report,
};
use mustardcove_platform::Clock;
use slog::{Discard, Logger, o};

/// Time for which callers make requests.
const LOAD_DURATION: Duration = Duration::from_secs(12);

/// Time limit of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Real scheduler processes, which are killed when this value is dropped, also
/// if the test fails.
struct Schedulers {
    children: Vec<Child>,
    dir: PathBuf,
}

impl Schedulers {
    fn start(cluster: &Cluster, test: &str) -> Schedulers {
        let dir = std::env::temp_dir().join(format!("mustardcove-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let start = |number: usize| {
            let platform = cluster.platform_addresses();
            let text = common_settings(&cluster.deployment, &platform, "sched", number);
            let path = dir.join(format!("sched-{number}.ini"));
            std::fs::write(&path, text).unwrap();
            Command::new(env!("CARGO_BIN_EXE_mustardcove-sched"))
                .arg("--config")
                .arg(&path)
                .stdout(Stdio::null())
                .spawn()
                .unwrap()
        };
        let children = (0..INSTANCES).map(start).collect();
        Schedulers { children, dir }
    }

    fn signal(&self, number: usize, signal: &str) {
        let pid = self.children[number].id();
        let sent = Command::new("sh").arg("-c").arg(format!("kill -{signal} {pid}")).status();
        assert!(sent.unwrap().success(), "signal {signal}");
    }

    /// Waits for a process to end, at most for the time limit of a planned stop.
    /// Returns whether it ended successfully.
    async fn wait_for_exit(&mut self, number: usize) -> bool {
        let deadline = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.children[number].try_wait().unwrap() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for Schedulers {
    fn drop(&mut self) {
        for child in &mut self.children {
            child.kill().ok();
            child.wait().ok();
        }
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

async fn start_cluster(deployment: Deployment, test: &str) -> (Cluster, Schedulers) {
    let clock = Clock::start();
    let log = Logger::root(Discard, o!());
    let mut cluster = Cluster::start_platform(deployment, clock, 1).await.unwrap();
    let schedulers = Schedulers::start(&cluster, test);
    cluster.start_entries(clock, &log).unwrap();
    cluster.wait_until_settled().await.unwrap();
    (cluster, schedulers)
}

fn start_load(cluster: &Cluster, test: &str) -> tokio::task::JoinHandle<Report> {
    tokio::spawn(load::run(LoadConfig {
        deployment: cluster.deployment.clone(),
        entries: cluster.entries.clone(),
        key_prefix: test.to_owned(),
        duration: LOAD_DURATION,
        seed: 7,
    }))
}

/// Returns the number of a scheduler process that owns a group.
async fn group_owner(cluster: &Cluster) -> usize {
    let claims = cluster.claims().await;
    let holder = claims[0].holder.as_str();
    let number = holder.split('-').nth(2).expect("process ids end in a number and a suffix");
    number.parse().unwrap()
}

/// Checks the invariants that hold for every kind of failure.
#[expect(clippy::print_stderr, reason = "the report explains a failed check")]
fn check_invariants(cluster: &Cluster, report: &Report) {
    eprintln!("{report}");
    let runs = cluster.fleet.fleet().run_history();
    assert!(runs.overlaps.is_empty(), "work ran in two places: {:?}", runs.overlaps);
    assert!(runs.overcommits.is_empty(), "overcommitted: {:?}", runs.overcommits);
    assert!(runs.repeated_attempts.is_empty(), "repeated: {:?}", runs.repeated_attempts);
    assert_eq!(runs.completed_more_than_once().len(), 0, "jobs that completed twice");
    for (class, it) in &report.classes {
        assert_eq!(it.lost(), 0, "{class}: requests without an answer");
        assert_eq!(it.mismatched, 0, "{class}: answers of other requests");
        assert_eq!(it.unfinished, 0, "{class}: accepted jobs that did not end");
        assert_eq!(it.failed, 0, "{class}: jobs that failed");
    }
}

/// Guards against work that is lost or runs twice when processes end without
/// handing over their shards and groups.
#[tokio::test(flavor = "multi_thread")]
async fn killed_processes() {
    let (cluster, mut schedulers) = start_cluster(bindery(), "killed").await;
    let report = start_load(&cluster, "killed");
    for number in [2, 5] {
        tokio::time::sleep(Duration::from_secs(2)).await;
        schedulers.children[number].kill().unwrap();
    }
    check_invariants(&cluster, &report.await.unwrap());
}

/// Guards against a process that acts on expired leases when it continues
/// after others have taken over.
#[tokio::test(flavor = "multi_thread")]
async fn paused_process() {
    let (cluster, schedulers) = start_cluster(bindery(), "paused").await;
    let report = start_load(&cluster, "paused");
    tokio::time::sleep(Duration::from_secs(2)).await;
    schedulers.signal(1, "STOP");
    // Longer than a session, so that other processes take over the shards and
    // groups of this one.
    tokio::time::sleep(Duration::from_secs(5)).await;
    schedulers.signal(1, "CONT");
    check_invariants(&cluster, &report.await.unwrap());
}

/// Guards against a planned stop that exceeds its time limit, or loses or
/// repeats work during the hand-over.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_processes() {
    let (cluster, mut schedulers) = start_cluster(cotetul(), "stopped").await;
    let report = start_load(&cluster, "stopped");
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_secs(2)).await;
        // The owner of a group has the most to hand over.
        let number = group_owner(&cluster).await;
        schedulers.signal(number, "TERM");
        assert!(schedulers.wait_for_exit(number).await, "the planned stop was not graceful");
    }
    check_invariants(&cluster, &report.await.unwrap());
}

/// Guards against work that is lost or runs twice when leases cannot be
/// renewed and a process is killed during the outage.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage() {
    let (cluster, mut schedulers) = start_cluster(cotetul(), "outage").await;
    let report = start_load(&cluster, "outage");
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.store.store().set_faults(|it| it.outage = true);
    // No process can take over the shards and groups of another while the
    // store is out.
    schedulers.children[4].kill().unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    cluster.store.store().set_faults(|it| it.outage = false);
    check_invariants(&cluster, &report.await.unwrap());
}
