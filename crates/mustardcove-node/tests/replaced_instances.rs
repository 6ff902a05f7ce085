//! Real processes on instances that are replaced one after the other, each by one
//! with another name and address.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::{Duration, Instant};

use mustardcove_core::fleet::id::SubmissionId;
use proxy::Mode;
use reqwest::{Method, StatusCode};
use rig::Rig;
use serde_json::{Value, json};

const NODES: usize = 3;
const WORKERS: usize = 4;
/// More than there are nodes, so that most that were ever registered are gone.
const REPLACED: usize = 4;
const TASKS: usize = 6;
const ID: SubmissionId = SubmissionId(0xa9);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time until a node serves, and until one that was told to stop has ended.
const NODE_TIME: Duration = Duration::from_secs(10);
/// Time in which a leader has stored who counts after a change.
const SETTLE: Duration = Duration::from_secs(4);
/// Duration of the store's outage: longer than permissions and leases together.
const OUTAGE: Duration = Duration::from_secs(8);
/// Longest time until tasks of a lost worker run again with another leader: the
/// claim, the leases of the earlier leader, and some to spare.
const RESTARTED: Duration = Duration::from_secs(15);

fn long_running() -> Value {
    json!({ "TaskSpec": "ms=600000 cpu=500 ", "Steps": [
        { "Count": TASKS, "Cpu": 500, "MemMb": 64, "EstimatedMs": 1000, "LongRunning": true,
          "AntiAffinity": 2 }] })
}

/// Waits until a condition holds, and returns whether it does in time.
async fn wait_until(limit: Duration, mut holds: impl AsyncFnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !holds().await {
        if until <= Instant::now() {
            return false;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    true
}

/// Returns a deployment whose nodes were replaced, in which long-running tasks run,
/// and a node that serves.
async fn replaced(name: &str) -> (Rig, usize) {
    let mut rig = Rig::start(name, NODES, WORKERS).await;
    rig.wait_ready().await;
    for old in 0..REPLACED {
        let new = rig.add_node().await;
        let is_ready = async || {
            let answer = rig.call(new, Method::GET, rig::PREFIX, None).await;
            answer.is_some_and(|it| it.0 == StatusCode::OK)
        };
        assert!(wait_until(NODE_TIME, is_ready).await, "node {new} does not serve");
        rig.terminate(old);
        assert!(wait_until(NODE_TIME, async || !rig.is_running(old)).await, "{old} does not end");
    }
    let node = rig.nodes.len() - 1;
    assert_eq!(rig.submit(node, ID, &long_running()).await, Some(StatusCode::OK));
    let is_running = async || rig.monitor.running(ID) == TASKS;
    assert!(wait_until(NODE_TIME, is_running).await, "its tasks do not run");
    tokio::time::sleep(SETTLE).await;
    (rig, node)
}

/// Guards against work that ends on sound workers in an outage of the store, as
/// the instances that are gone are the most, so that no majority confirms the
/// leader.
#[tokio::test]
async fn store_away() {
    let (rig, _) = replaced("replaced-store").await;
    let starts = rig.monitor.starts();
    rig.nodes.iter().for_each(|it| it.store.set(Mode::Refused));
    let until = Instant::now() + OUTAGE;
    while Instant::now() < until {
        assert_eq!(rig.monitor.running(ID), TASKS, "some have ended");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    rig.nodes.iter().for_each(|it| it.store.set(Mode::Pass));
    tokio::time::sleep(SETTLE).await;
    assert_eq!((rig.monitor.running(ID), rig.monitor.starts()), (TASKS, starts));
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}

/// Guards against tasks of a lost worker that wait for a minute longer, as half of
/// those that were ever registered never join the next leader.
#[tokio::test]
async fn leader_killed() {
    let (mut rig, node) = replaced("replaced-leader").await;
    let leader = *rig.leaders().last().expect("a leader");
    let alive: Vec<usize> = (REPLACED..=node).filter(|it| *it != leader).collect();
    assert!(!alive.is_empty() && REPLACED <= leader, "{leader} leads");
    let starts = rig.monitor.starts();
    rig.workers[0].proxy.set(Mode::Refused);
    rig.kill(leader);
    let is_restarted = async || starts < rig.monitor.starts() && rig.monitor.running(ID) == TASKS;
    assert!(wait_until(RESTARTED, is_restarted).await, "led by {:?}", rig.leaders());
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}
