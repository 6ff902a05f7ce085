//! Real processes of which one claims beside a leader that stands still, and that
//! leader knows of a worker which does not answer.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::{Duration, Instant};

use mustardcove_core::fleet::id::SubmissionId;
use proxy::Mode;
use reqwest::StatusCode;
use rig::Rig;
use serde_json::{Value, json};

const NODES: usize = 3;
const WORKERS: usize = 3;
const ID: SubmissionId = SubmissionId(0xa1);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time until the task runs, a worker is silent or another process leads.
const SHORT: Duration = Duration::from_secs(10);
/// Time in which polls show that the task does not crash its worker.
const SETTLE: Duration = Duration::from_secs(3);
/// Longest time from the loss of the worker to the next run: 3.3 s of leases, 0.2 s
/// of margin, and the time until the successor learns of them and is confirmed.
const RESTARTED: Duration = Duration::from_millis(5_500);

fn long_running() -> Value {
    json!({ "TaskSpec": "ms=600000 cpu=500 ", "Steps": [
        { "Count": 1, "Cpu": 500, "MemMb": 64, "EstimatedMs": 1000, "LongRunning": true }] })
}

async fn wait_for(limit: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + limit;
    while !holds() {
        assert!(Instant::now() < until, "not in time: {what}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn count(rig: &Rig, what: &str) -> usize {
    rig.logs().iter().filter(|it| it.contains(what)).count()
}

/// Guards against a task that waits anew for the leases of its lost worker, counted
/// from the claim of the next leader, although the one before knows their end.
#[tokio::test]
async fn paused_knows_end() {
    let mut rig = Rig::start("displaced-leader", NODES, WORKERS).await;
    rig.wait_ready().await;
    assert_eq!(rig.submit(0, ID, &long_running()).await, Some(StatusCode::OK));
    wait_for(SHORT, "the task runs", || rig.monitor.running(ID) == 1).await;
    tokio::time::sleep(SETTLE).await;
    let leader = *rig.leaders().last().expect("a leader");
    let terms = count(&rig, "msg=leading");
    let lost = rig.workers.iter().find(|it| 0 < it.worker.starts()).expect("the task's worker");
    lost.proxy.set(Mode::Refused);
    let (lost_at, starts) = (Instant::now(), rig.monitor.starts());
    wait_for(SHORT, "the worker is silent", || 0 < count(&rig, "worker_silent")).await;
    rig.pause(leader);
    wait_for(SHORT, "another process leads", || terms < count(&rig, "msg=leading")).await;
    rig.resume(leader);
    wait_for(SHORT, "the task runs again", || starts < rig.monitor.starts()).await;
    let took = lost_at.elapsed();
    if RESTARTED < took {
        let dir = rig.keep_logs();
        panic!("the task has run again after {took:?}; logs in {}", dir.display());
    }
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}
