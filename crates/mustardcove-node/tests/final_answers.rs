//! Real processes that cancel what may still be on its way to the store.
//!
//! Guards against a submission that runs after its caller was told that it does not
//! exist: a write that was not answered is carried out seconds later.

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

const NODES: usize = 3;
/// Time after which the store carries out the writes that it does not answer.
const LATE_MS: u32 = 2_500;
/// Time after which a caller leaves.
const PATIENCE: Duration = Duration::from_millis(250);
/// Longest time until a cancellation is answered.
const ANSWERED: Duration = Duration::from_secs(12);
/// Time in which late writes are carried out and what they store is started.
const LATER: Duration = Duration::from_secs(6);
/// Longest time for a few short tasks.
const SHORT: Duration = Duration::from_secs(5);

async fn start(name: &str) -> Rig {
    let rig = Rig::start(name, NODES, 2).await;
    rig.wait_ready().await;
    let first = SubmissionId(0xa1);
    assert_eq!(rig.submit(0, first, &two_steps(1, 100)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(first, "completed", SHORT).await);
    rig
}

/// Sends a submission whose write is carried out late, and leaves without an answer.
async fn leave(rig: &Rig, node: usize, id: SubmissionId) {
    rig.store.carry_out_late(LATE_MS);
    let sent = tokio::time::timeout(PATIENCE, rig.submit(node, id, &two_steps(2, 100))).await;
    assert!(sent.is_err(), "it is answered");
    rig.store.carry_out_late(0);
}

/// Cancels until that is answered for good, and returns the answer.
async fn cancel(rig: &Rig, node: usize, id: SubmissionId) -> StatusCode {
    let until = Instant::now() + ANSWERED;
    loop {
        match rig.cancel(node, id).await {
            Some(status) if status == StatusCode::OK || status == StatusCode::GONE => {
                return status;
            }
            other => assert!(Instant::now() < until, "{other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Leaves, cancels at another process or at the same, and checks that nothing starts.
async fn left(name: &str, sent_to: usize, cancelled_at: usize) {
    let rig = start(name).await;
    let id = SubmissionId(0xb1);
    let starts = rig.monitor.starts();
    leave(&rig, sent_to, id).await;
    let status = cancel(&rig, cancelled_at, id).await;
    tokio::time::sleep(LATER).await;
    assert_eq!(rig.monitor.starts(), starts, "it runs after the answer {status}");
    for node in 0..NODES {
        let state = rig.state(node, id).await;
        assert!(matches!(state.as_deref(), Some("unknown" | "cancelled")), "{state:?}");
    }
    let later = SubmissionId(0xc1);
    assert_eq!(rig.submit(sent_to, later, &two_steps(2, 100)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(later, "completed", SHORT).await, "others are served");
}

/// Another process is asked to cancel, which knows nothing of the write.
#[tokio::test]
async fn other_process() {
    left("final-other", 0, 1).await;
}

/// The process that has sent the write is asked.
#[tokio::test]
async fn same_process() {
    left("final-same", 0, 0).await;
}

/// The cancellation is not answered either, and both writes are carried out late.
#[tokio::test]
async fn late_cancellation() {
    let rig = start("final-late").await;
    let id = SubmissionId(0xb1);
    leave(&rig, 0, id).await;
    rig.store.carry_out_late(LATE_MS);
    assert!(tokio::time::timeout(PATIENCE, rig.cancel(1, id)).await.is_err(), "it is answered");
    rig.store.carry_out_late(0);
    let starts = rig.monitor.starts();
    cancel(&rig, 2, id).await;
    tokio::time::sleep(LATER).await;
    assert_eq!(rig.monitor.starts(), starts);
}

/// The submission is sent again after the answer, as by a client that repeats it.
#[tokio::test]
async fn sent_again() {
    let rig = start("final-again").await;
    let (id, starts) = (SubmissionId(0xb1), rig.monitor.starts());
    assert_eq!(rig.cancel(0, id).await, Some(StatusCode::GONE));
    for node in 0..NODES {
        assert_eq!(rig.submit(node, id, &two_steps(2, 100)).await, Some(StatusCode::GONE));
        assert_eq!(rig.cancel(node, id).await, Some(StatusCode::GONE));
        assert_eq!(rig.state(node, id).await.as_deref(), Some("unknown"));
    }
    tokio::time::sleep(LATER).await;
    assert_eq!(rig.monitor.starts(), starts);
}
