//! Real processes that start while the leader stops, and hear nothing of it.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::{Duration, Instant};

use mustardcove_core::fleet::id::SubmissionId;
use reqwest::StatusCode;
use rig::{Rig, two_steps};

/// Longest time until a process leads that was started.
const LEADS: Duration = Duration::from_secs(10);
/// Longest time for a few short tasks.
const SHORT: Duration = Duration::from_secs(5);

/// Starts a process once the leader has ended in a way, and checks that it claims
/// without waiting for heartbeats.
async fn started_after(name: &str, end: impl AsyncFnOnce(&mut Rig)) {
    let mut rig = Rig::start(name, 1, 2).await;
    rig.wait_ready().await;
    let first = SubmissionId(0xa1);
    assert_eq!(rig.submit(0, first, &two_steps(1, 100)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(first, "completed", SHORT).await);
    end(&mut rig).await;
    let until = Instant::now() + LEADS;
    let node = rig.nodes.len() - 1;
    let leading = || rig.logs().iter().filter(|it| it.contains("msg=leading")).count();
    while leading() < 2 {
        assert!(Instant::now() < until, "node {node} does not lead");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let ended = rig.logs().iter().any(|it| it.contains("that leader has ended"));
    assert!(ended, "it waited for a leader that has ended");
    let later = SubmissionId(0xb1);
    assert_eq!(rig.submit(node, later, &two_steps(1, 100)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(later, "completed", SHORT).await);
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}

/// Guards against seconds without a leader while all processes are restarted in turn:
/// those that run are stopping, and one that starts waits for the heartbeats of a
/// leader that has stepped down.
#[tokio::test]
async fn stepped_down() {
    started_after("stopped-down", async |rig| {
        rig.terminate(0);
        let until = Instant::now() + LEADS;
        while !rig.logs().iter().any(|it| it.contains("plan handed over")) {
            assert!(Instant::now() < until, "it does not step down");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        rig.add_node().await;
    })
    .await;
}

/// Guards against the same after a kill, in a process that has taken the place of the
/// leader on its instance.
#[tokio::test]
async fn replaced() {
    started_after("stopped-replaced", async |rig| {
        rig.kill(0);
        rig.restart(0);
    })
    .await;
}
