//! Real processes, and a worker that has ended more runs than it lists.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::Duration;

use mustardcove_core::fleet::id::SubmissionId;
use proxy::Mode;
use reqwest::StatusCode;
use rig::{Rig, two_steps};
use serde_json::json;

/// Far more tasks than a worker lists ends.
const TASKS: usize = 1_500;
const OUTAGE: Duration = Duration::from_millis(4_500);
/// As many ends as a worker lists.
const FOREIGN_ENDS: u64 = 500;
/// Longest time for a few short tasks on an idle fleet.
const SHORT: Duration = Duration::from_secs(8);
const SETTLE: Duration = Duration::from_secs(40);

/// Guards against tasks that are started again although they are done: while the
/// store is away no end is acknowledged, and the worker lists only the first.
#[tokio::test]
async fn store_silent() {
    let rig = Rig::start("unlisted", 3, 1).await;
    rig.wait_ready().await;
    let id = SubmissionId(0xe1);
    let body = json!({ "TaskSpec": "ms=100 cpu=50 ", "Steps": [
        { "Count": TASKS, "Cpu": 50, "MemMb": 8, "EstimatedMs": 100 }] });
    assert_eq!(rig.submit(0, id, &body).await, Some(StatusCode::OK));
    while !rig.monitor.has_started(id) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    rig.nodes.iter().for_each(|it| it.store.set(Mode::Silent));
    tokio::time::sleep(OUTAGE).await;
    rig.nodes.iter().for_each(|it| it.store.set(Mode::Pass));
    assert!(rig.wait_for(id, "completed", SETTLE).await);
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}

/// Guards against ends that stay hidden for good: the list of the worker is full
/// of rows that name no task of ours, and those are never acknowledged.
#[tokio::test]
async fn foreign_ends() {
    let rig = Rig::start("foreign", 1, 1).await;
    rig.workers[0].worker.add_foreign_ends(FOREIGN_ENDS);
    rig.wait_ready().await;
    let id = SubmissionId(0xe2);
    assert_eq!(rig.submit(0, id, &two_steps(3, 100)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(id, "completed", SHORT).await, "its ends are not listed");
    assert_eq!(rig.monitor.starts(), 5);
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}
