//! End-to-end tests with real processes, from a caller's request to a task on a
//! worker and back.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::Duration;

use mustardcove_core::fleet::id::SubmissionId;
use reqwest::{Method, StatusCode};
use rig::{PREFIX, Rig, two_steps};

/// Longest time for a few short tasks on an idle fleet.
const SHORT: Duration = Duration::from_secs(5);
/// Longest time for the same after the loss of a leader: for its detection, the
/// election, and the expiry of leases that nobody renewed.
const AFTER_LOSS: Duration = Duration::from_secs(15);

/// Checks that all steps of a submission run, and that sending it again to
/// another process starts nothing twice.
#[tokio::test]
async fn submission_completes() {
    let rig = Rig::start("completes", 3, 4).await;
    rig.wait_ready().await;
    let id = SubmissionId(0xa1);
    assert_eq!(rig.submit(0, id, &two_steps(3, 100)).await, Some(StatusCode::OK));
    assert_eq!(rig.submit(1, id, &two_steps(3, 100)).await, Some(StatusCode::OK), "repeated");
    assert!(rig.wait_for(id, "completed", SHORT).await);
    assert_eq!(rig.monitor.done(id), 5);
    assert_eq!(rig.monitor.starts(), 5, "the repeated submission starts nothing");
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}

/// Guards against wrong answers to requests that name no existing submission or
/// queue, or whose body is not valid.
#[tokio::test]
async fn unknown_requests() {
    let rig = Rig::start("unknown", 2, 1).await;
    rig.wait_ready().await;
    let status = async |method, path: &str| rig.call(0, method, path, None).await.unwrap().0;
    let missing = format!("{PREFIX}{}", SubmissionId(7));
    assert_eq!(status(Method::GET, &missing).await, StatusCode::GONE);
    assert_eq!(status(Method::DELETE, &missing).await, StatusCode::GONE);
    assert_eq!(status(Method::GET, "/elsewhere/x").await, StatusCode::NOT_FOUND);
    assert_eq!(status(Method::GET, &format!("{PREFIX}no-id")).await, StatusCode::NOT_FOUND);
    let broken = serde_json::json!({ "TaskSpec": "x", "Steps": [] });
    let answer = rig.submit(0, SubmissionId(8), &broken).await;
    assert_eq!(answer, Some(StatusCode::BAD_REQUEST));
}

/// Guards against tasks that keep running after their submission was cancelled
/// through another process.
#[tokio::test]
async fn cancelled_work() {
    let rig = Rig::start("cancel", 3, 2).await;
    rig.wait_ready().await;
    let id = SubmissionId(0xc1);
    assert_eq!(rig.submit(0, id, &two_steps(4, 60_000)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(id, "running", SHORT).await);
    assert_eq!(rig.cancel(1, id).await, Some(StatusCode::OK));
    assert!(rig.wait_for(id, "cancelled", SHORT).await);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(rig.monitor.running(id), 0, "its tasks are stopped");
}

/// Guards against work that is lost or started twice when the leader is killed:
/// the next leader adopts the running tasks.
#[tokio::test]
async fn leader_killed() {
    let mut rig = Rig::start("leader-killed", 3, 3).await;
    rig.wait_ready().await;
    let id = SubmissionId(0xd1);
    assert_eq!(rig.submit(0, id, &two_steps(6, 1_500)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(id, "running", SHORT).await);
    let leader = rig.logs().iter().find_map(|line| {
        let is_leading = line.contains("msg=leading");
        is_leading.then(|| line.split("process=node-").nth(1)?.get(..1)?.parse::<usize>().ok())?
    });
    rig.kill(leader.expect("a leader"));
    assert!(rig.wait_for(id, "completed", AFTER_LOSS).await);
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
    assert_eq!(rig.monitor.starts(), 8, "running tasks were not restarted");
}

/// Guards against processes that do not end in time after a stop signal, and
/// against a fleet that does not recover after all of them have ended.
#[tokio::test]
async fn planned_stop() {
    let mut rig = Rig::start("planned-stop", 2, 2).await;
    rig.wait_ready().await;
    for node in 0..2 {
        rig.terminate(node);
    }
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    assert!(!rig.is_running(0) && !rig.is_running(1), "both end within the grace period");
    rig.restart(0);
    rig.wait_ready().await;
}

/// Guards against a process that ends at a hang-up signal instead of reading
/// its settings again.
#[tokio::test]
async fn hang_up() {
    let mut rig = Rig::start("hang-up", 1, 1).await;
    rig.wait_ready().await;
    rig.hang_up(0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(rig.is_running(0));
    assert!(rig.logs().iter().any(|it| it.contains("settings read again")));
}

/// Checks that the logs explain why a request failed, as the users' pages ask
/// for three kinds of failed request. Here all attempts of a task fail: the
/// submission, each failed attempt and the end have a line with its id.
#[tokio::test]
async fn explained_failure() {
    let rig = Rig::start("explained", 2, 1).await;
    rig.wait_ready().await;
    let id = SubmissionId(0xe1);
    let mut body = two_steps(1, 50);
    body["TaskSpec"] = "ms=50 fails".into();
    assert_eq!(rig.submit(0, id, &body).await, Some(StatusCode::OK));
    assert!(rig.wait_for(id, "failed", AFTER_LOSS).await);
    let logs = rig.logs();
    let text = id.to_string();
    let about = |kind: &str| {
        logs.iter().filter(|it| it.contains(&text) && it.contains(&format!("kind={kind}"))).count()
    };
    assert!(logs.iter().any(|it| it.contains("msg=submission") && it.contains(&text)));
    assert_eq!(about("run_failed"), 3, "each failed attempt has its line");
    assert_eq!(about("finished"), 1);
}

/// Checks the metrics, the readiness and the state dump that operators read.
#[tokio::test]
async fn operators_view() {
    let rig = Rig::start("operators", 2, 1).await;
    rig.wait_ready().await;
    let id = SubmissionId(0xf1);
    assert_eq!(rig.submit(0, id, &two_steps(1, 50)).await, Some(StatusCode::OK));
    // Once it has completed, its worker was polled and sent orders.
    assert!(rig.wait_for(id, "completed", SHORT).await);
    // Either of the two processes polls the worker.
    let (status, mut metrics) = rig.admin(0, "/metrics").await.unwrap();
    assert_eq!(status, StatusCode::OK);
    metrics.push_str(&rig.admin(1, "/metrics").await.unwrap().1);
    for name in [
        "mustardcove_caller_requests",
        "mustardcove_caller_request_ms",
        "worker_looks",
        "worker_orders",
    ] {
        assert!(metrics.contains(name), "{name} is missing in {metrics}");
    }
    assert_eq!(rig.admin(0, "/readyz").await.unwrap().0, StatusCode::OK);
    let (_, dump) = rig.admin(1, "/dump").await.unwrap();
    assert!(dump.contains("\"term\"") && dump.contains("\"leader\""), "{dump}");
    assert!(dump.contains("\"long_running_waits\""), "{dump}");
}

/// Guards against a process that reads the manifest in a loop without a pause
/// once the store has dropped the history since its last change, as in the
/// incident of khuudas-sched with 9,252 calls.
#[tokio::test]
async fn history_dropped() {
    let mut rig = Rig::start("history", 2, 1).await;
    rig.wait_ready().await;
    rig.store.drop_history();
    rig.kill(0);
    rig.restart(0);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = rig.store.read_calls();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = rig.store.read_calls() - before;
    // Two watches of the manifest, and the leader's watch and readings, make
    // about ten calls a second.
    assert!(calls < 60, "{calls} calls in 2 s");
    rig.change_manifest(2_500);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let in_force = rig.logs().iter().filter(|it| it.contains("version=6")).count();
    assert_eq!(in_force, 2, "the change is in force at both");
}
