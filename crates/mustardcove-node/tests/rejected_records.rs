//! Real processes, and a store that never accepts one record of progress.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::Duration;

use mustardcove_core::fleet::{
    id::SubmissionId,
    record::{PROGRESS_PREFIX, key_of},
};
use reqwest::StatusCode;
use rig::{Rig, two_steps};

/// Longest time for a few short tasks on an idle fleet.
const SHORT: Duration = Duration::from_secs(5);
/// Longest time until a rejected record is written again.
const RETRY: Duration = Duration::from_secs(12);

/// Guards against work that is never shown as completed because the record of
/// another submission cannot be stored, and against a rejected record that is
/// not named in the log or never written again.
#[tokio::test]
async fn other_submissions_complete() {
    let rig = Rig::start("rejected", 1, 2).await;
    rig.wait_ready().await;
    let rejected = SubmissionId(0xa1);
    let key = key_of(PROGRESS_PREFIX, rejected);
    rig.store.reject_key(&key, true);
    let others: Vec<SubmissionId> = (0xb0..0xb8).map(SubmissionId).collect();
    for id in others.iter().chain([&rejected]) {
        assert_eq!(rig.submit(0, *id, &two_steps(3, 100)).await, Some(StatusCode::OK));
    }
    for id in &others {
        assert!(rig.wait_for(*id, "completed", SHORT).await, "{id} is not shown as completed");
    }
    assert_eq!(rig.monitor.done(rejected), 5, "its tasks are done");
    assert_eq!(rig.state(0, rejected).await.as_deref(), Some("running"), "that is not stored");
    let is_named = |it: &String| it.contains("store rejects a record") && it.contains(&key);
    let lines: Vec<String> = rig.logs().into_iter().filter(is_named).collect();
    assert!(lines.iter().any(|it| it.contains("bytes=")), "{lines:?}");
    rig.store.reject_key(&key, false);
    assert!(rig.wait_for(rejected, "completed", RETRY).await, "it is not written again");
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}
