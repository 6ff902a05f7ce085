//! Graceful shutdown of a supervisor tree and of a process.

use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, ExitCode, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use mustardcove_runtime::{
    clock::Clock,
    logging::{self, LogConfig},
    metrics::Metrics,
    signals,
    supervisor::{Restart, RestartPolicy, Supervisor},
};
use slog::{Discard, Level, Logger, o};
use tokio_util::sync::CancellationToken;

/// Guards against stopping a child before the children that depend on it.
#[tokio::test(start_paused = true)]
async fn reverse_order() {
    let log = Logger::root(Discard, o!());
    let mut supervisor = Supervisor::new(RestartPolicy::default(), log, Metrics::new().unwrap());
    let ended = Arc::new(Mutex::new(Vec::new()));
    for name in ["store", "peers", "shards", "routes"] {
        let ended = ended.clone();
        supervisor.add_child(name, Restart::Always, move |stop| {
            let ended = ended.clone();
            async move {
                stop.cancelled().await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                ended.lock().unwrap().push(name);
                Ok(())
            }
        });
    }
    let stop = CancellationToken::new();
    stop.cancel();
    assert_eq!(supervisor.run(stop).await, Ok(()));
    assert_eq!(*ended.lock().unwrap(), ["routes", "shards", "peers", "store"]);
}

/// Guards against a child that ignores the stop request and delays the process
/// beyond its limit, or leaves no time for the other children to stop.
#[tokio::test(start_paused = true)]
async fn stop_time_limited() {
    let log = Logger::root(Discard, o!());
    let policy =
        RestartPolicy { stop_timeout: Duration::from_secs(10), ..RestartPolicy::default() };
    let mut supervisor = Supervisor::new(policy, log, Metrics::new().unwrap());
    let ended = Arc::new(Mutex::new(Vec::new()));
    let ended_by_child = ended.clone();
    supervisor.add_child("session", Restart::Always, move |stop| {
        let ended = ended_by_child.clone();
        async move {
            stop.cancelled().await;
            ended.lock().unwrap().push("session");
            Ok(())
        }
    });
    supervisor.add_child("stuck", Restart::Always, |_| std::future::pending());
    supervisor.set_last_stop_timeout(Duration::from_secs(3));
    let stop = CancellationToken::new();
    stop.cancel();
    let began = tokio::time::Instant::now();
    assert_eq!(supervisor.run(stop).await, Ok(()));
    let took = began.elapsed();
    assert!(took < Duration::from_millis(3_100), "{took:?}");
    assert_eq!(*ended.lock().unwrap(), ["session"]);
}

const CHILD_MODE: &str = "MUSTARDCOVE_TEST_PROCESS";

/// Entry point of the process that the tests below start. It does nothing in a
/// normal test run.
#[test]
fn process_under_test() -> ExitCode {
    let Ok(mode) = std::env::var(CHILD_MODE) else {
        return ExitCode::SUCCESS;
    };
    let config = LogConfig { process: "p".to_owned(), level: Level::Info, queue_capacity: 1_024 };
    let (log, guard) = logging::start(&config, Clock::start(), std::io::stderr());
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let code = runtime.block_on(async {
        let stop = signals::listen(log.clone()).unwrap();
        let metrics = Metrics::new().unwrap();
        let policy = RestartPolicy { max_deaths: 1, ..RestartPolicy::default() };
        let mut supervisor = Supervisor::new(policy, log.clone(), metrics);
        let own_log = log.clone();
        supervisor.add_child("main", Restart::Always, move |stop| {
            let (log, mode) = (own_log.clone(), mode.clone());
            async move {
                slog::info!(log, "started");
                match mode.as_str() {
                    "dies" => eyre::bail!("no upstream"),
                    "stuck" => std::future::pending().await,
                    _ => stop.cancelled().await,
                }
                Ok(())
            }
        });
        supervisor.run_process(stop).await
    });
    drop(runtime);
    drop(log);
    drop(guard);
    code
}

fn start_process(mode: &str) -> Child {
    Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "process_under_test", "--nocapture", "--test-threads=1"])
        .env(CHILD_MODE, mode)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill").args([name, &child.id().to_string()]).status().unwrap();
    assert!(sent.success());
}

/// Waits for the process to exit, and kills it if that takes too long.
fn exit_status(child: &mut Child) -> Option<i32> {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        if deadline < Instant::now() {
            child.kill().unwrap();
            panic!("the process did not exit");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a SIGTERM that ends the process without a graceful shutdown,
/// and against a last log line without the reason of the end.
#[test]
fn first_signal() {
    let mut child = start_process("runs");
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    lines.by_ref().find(|it| it.contains("msg=started")).expect("the process did not start");
    signal(&child, "-TERM");
    assert_eq!(exit_status(&mut child), Some(0));
    let last = lines.filter(|it| it.contains("process=p")).last().unwrap();
    assert!(last.contains("msg=\"process ends\" "), "{last}");
    assert!(last.contains("reason=\"graceful shutdown\""), "{last}");
}

/// Guards against a shutdown that hangs and that a second signal does not end.
#[test]
fn second_signal() {
    let mut child = start_process("stuck");
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    lines.by_ref().find(|it| it.contains("msg=started")).expect("the process did not start");
    signal(&child, "-TERM");
    lines
        .by_ref()
        .find(|it| it.contains("graceful shutdown begins"))
        .expect("the signal was not logged");
    signal(&child, "-INT");
    assert_eq!(exit_status(&mut child), Some(130));
}

/// Guards against a process that continues without a failed child, and against
/// an exit whose reason is not logged.
#[test]
fn restart_limit_ends_process() {
    let mut child = start_process("dies");
    let lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let last = lines.filter(|it| it.contains("process=p")).last().unwrap();
    assert_ne!(exit_status(&mut child), Some(0));
    for part in ["msg=\"process ends\"", "child=main", "deaths=2", "error=\"no upstream\""] {
        assert!(last.contains(part), "{part} is missing in {last}");
    }
}
