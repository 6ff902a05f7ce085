//! Submissions while the store does not answer.

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
use rig::{Rig, two_steps};

/// Time after which every process knows that the store is away: its first two
/// writes have timed out.
const NOTICED: Duration = Duration::from_millis(2_500);
/// Longest time to reject a submission that is not written.
const AT_ONCE: Duration = Duration::from_millis(300);
/// Longest time until submissions are accepted again.
const REGAINED: Duration = Duration::from_secs(6);

/// Guards against callers that wait for a store which is known to be away, and
/// are then told that their submission may have been stored. What was rejected
/// must not run.
#[tokio::test]
async fn rejected_at_once() {
    let rig = Rig::start("store-silent", 3, 2).await;
    rig.wait_ready().await;
    let accepted = SubmissionId(0xb1);
    assert_eq!(rig.submit(0, accepted, &two_steps(1, 100)).await, Some(StatusCode::OK));
    for node in &rig.nodes {
        node.store.set(Mode::Silent);
    }
    let steps = two_steps(1, 100);
    let first: Vec<_> = (0..2).map(|i| rig.submit(0, SubmissionId(0xc0 + i), &steps)).collect();
    for answer in first {
        assert_ne!(answer.await, Some(StatusCode::OK), "nothing can be stored");
    }
    tokio::time::sleep(NOTICED).await;
    let rejected = SubmissionId(0xd1);
    let asked_at = Instant::now();
    let answer = rig.submit(0, rejected, &steps).await;
    assert_eq!(answer, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(asked_at.elapsed() < AT_ONCE, "rejected after {:?}", asked_at.elapsed());
    for node in &rig.nodes {
        node.store.set(Mode::Pass);
    }
    let later = SubmissionId(0xe1);
    let until = Instant::now() + REGAINED;
    while rig.submit(0, later, &steps).await != Some(StatusCode::OK) {
        assert!(Instant::now() < until, "the store is back");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(rig.wait_for(later, "completed", REGAINED).await);
    assert_eq!(rig.monitor.done(rejected), 0, "a rejected submission does not run");
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}
