//! Restarts of supervised children and the restart limit.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use mustardcove_runtime::{
    metrics::Metrics,
    supervisor::{Restart, RestartPolicy, Supervisor},
};
use slog::{Discard, Logger, o};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

fn supervisor(policy: RestartPolicy) -> (Supervisor, Metrics) {
    let metrics = Metrics::new().unwrap();
    let log = Logger::root(Discard, o!());
    (Supervisor::new(policy, log, metrics.clone()), metrics)
}

/// Guards against a child that is not restarted after an error, a panic or an
/// unexpected return.
#[tokio::test(start_paused = true)]
async fn restarts_after_death() {
    let (mut supervisor, metrics) = supervisor(RestartPolicy::default());
    let starts = Arc::new(AtomicUsize::new(0));
    let stop = CancellationToken::new();
    let counted = starts.clone();
    supervisor.add_child("worker", Restart::Always, move |stop| {
        let start = counted.fetch_add(1, Ordering::SeqCst);
        async move {
            match start {
                0 => eyre::bail!("an error"),
                1 => panic!("a panic"),
                2 => Ok(()),
                _ => {
                    stop.cancelled().await;
                    Ok(())
                }
            }
        }
    });
    let run = tokio::spawn(supervisor.run(stop.clone()));
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(starts.load(Ordering::SeqCst), 4);
    stop.cancel();
    assert_eq!(run.await.unwrap(), Ok(()));
    let text = metrics.render().unwrap();
    assert!(text.contains("mustardcove_child_deaths_total{child=\"worker\""), "{text}");
}

/// Guards against a child that fails immediately and is restarted in a tight
/// loop, and against endless restarts that never end the supervisor.
#[tokio::test(start_paused = true)]
async fn restart_limit() {
    let (mut supervisor, _) = supervisor(RestartPolicy::default());
    let starts = Arc::new(Mutex::new(Vec::new()));
    let times = starts.clone();
    let stopped = Arc::new(AtomicUsize::new(0));
    let counted = stopped.clone();
    supervisor.add_child("other", Restart::Always, move |stop| {
        let counted = counted.clone();
        async move {
            stop.cancelled().await;
            counted.fetch_add(1, Ordering::SeqCst);
            Ok(())
        }
    });
    supervisor.add_child("worker", Restart::Always, move |_| {
        times.lock().unwrap().push(Instant::now());
        async { eyre::bail!("no such address") }
    });
    let error = supervisor.run(CancellationToken::new()).await.unwrap_err();
    assert_eq!(
        error.to_string(),
        "child worker died 6 times within 60000 ms, last: no such address"
    );
    let starts = starts.lock().unwrap();
    let waits: Vec<_> = starts.windows(2).map(|it| it[1] - it[0]).collect();
    let mut min_wait = Duration::from_millis(50);
    for wait in waits {
        assert!((min_wait..=min_wait * 2 + Duration::from_millis(2)).contains(&wait), "{wait:?}");
        min_wait *= 2;
    }
    assert_eq!(stopped.load(Ordering::SeqCst), 1, "the other child was not stopped");
}

/// Guards against counting deaths beyond the window, so that rare deaths would
/// eventually end the process.
#[tokio::test(start_paused = true)]
async fn rare_deaths() {
    let (mut supervisor, _) = supervisor(RestartPolicy::default());
    supervisor.add_child("worker", Restart::Always, |stop| async move {
        tokio::select! {
            () = stop.cancelled() => Ok(()),
            () = tokio::time::sleep(Duration::from_secs(20)) => eyre::bail!("lost"),
        }
    });
    let stop = CancellationToken::new();
    let run = tokio::spawn(supervisor.run(stop.clone()));
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    assert!(!run.is_finished());
    stop.cancel();
    assert_eq!(run.await.unwrap(), Ok(()));
}

/// Guards against the failure of a subtree that its parent supervisor does not
/// notice.
#[tokio::test(start_paused = true)]
async fn subtree_fails() {
    let policy = RestartPolicy { max_deaths: 1, ..RestartPolicy::default() };
    let (mut root, metrics) = supervisor(policy.clone());
    root.add_child("subtree", Restart::Always, move |stop| {
        let log = Logger::root(Discard, o!());
        let mut subtree = Supervisor::new(policy.clone(), log, metrics.clone());
        subtree.add_child("leaf", Restart::Always, |_| async { eyre::bail!("lost") });
        async move { Ok(subtree.run(stop).await?) }
    });
    let error = root.run(CancellationToken::new()).await.unwrap_err().to_string();
    assert!(error.starts_with("child subtree died 2 times"), "{error}");
    assert!(error.ends_with("child leaf died 2 times within 60000 ms, last: lost"), "{error}");
}

/// Guards against restarting a `Restart::OnFailure` child that returned without
/// error, and against restarting a `Restart::Never` child.
#[tokio::test(start_paused = true)]
async fn restart_modes() {
    let (mut ends, _) = supervisor(RestartPolicy::default());
    ends.add_child("once", Restart::OnFailure, |_| async { Ok(()) });
    assert_eq!(ends.run(CancellationToken::new()).await, Ok(()));
    let (mut fails, _) = supervisor(RestartPolicy::default());
    fails.add_child("vital", Restart::Never, |_| async { eyre::bail!("lost") });
    let error = fails.run(CancellationToken::new()).await.unwrap_err().to_string();
    assert!(error.starts_with("child vital died 1 times"), "{error}");
}
