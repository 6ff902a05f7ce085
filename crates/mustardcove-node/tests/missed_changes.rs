//! Changes that the leader learns of from the store alone, because the process
//! that stored them has died before it could send them.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::Duration;

use mustardcove_core::fleet::{
    id::SubmissionId,
    manifest::Queue,
    record::{self, CANCEL_PREFIX, SUBMISSION_PREFIX},
    submission::{StepSpec, Submission},
};
use mustardcove_core::{size::Resources, time::Timestamp};
use rig::{HOST, PREFIX, Rig};

/// Longest time for a short task on an idle fleet, with the pauses of the
/// leader's watch.
const SHORT: Duration = Duration::from_secs(6);

/// Stores a submission of one short task, as a process does that dies before it
/// tells the leader.
fn store_submission(rig: &Rig, id: SubmissionId) {
    let submission = Submission {
        id,
        queue: Queue {
            name: "bind".to_owned(),
            host: HOST.to_owned(),
            prefix: PREFIX.to_owned(),
            service: "press".to_owned(),
            priority: 0,
            attempts: 3,
            stretch: 2.0,
            delay_budget_ms: 1_000,
            needs_ticket: false,
        },
        payload: "ms=100".into(),
        steps: vec![StepSpec {
            count: 1,
            demand: Resources::new(500, 64, 0),
            estimate_ms: 100,
            ..StepSpec::default()
        }],
        schedule: None,
        accepted_at: Timestamp::default(),
        manifest: Default::default(),
    };
    rig.store.put(&record::key_of(SUBMISSION_PREFIX, id), &record::encode(&submission));
}

/// Guards against an accepted submission that never runs because no process
/// sends it to the leader.
#[tokio::test]
async fn unannounced_submission() {
    let rig = Rig::start("unannounced", 2, 2).await;
    rig.wait_ready().await;
    let id = SubmissionId(0xb1);
    store_submission(&rig, id);
    assert!(rig.wait_for(id, "completed", SHORT).await);
}

/// Guards against changes that are lost with the store's history: accepted work
/// that never runs and cancelled work that does. The first reading of all
/// records fails, which the log has to say.
#[tokio::test]
async fn changes_before_dropped_history() {
    let rig = Rig::start("dropped", 1, 2).await;
    rig.wait_ready().await;
    rig.store.mute_watches(true);
    // A watch that heard of changes before ends within this time.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let (accepted, cancelled) = (SubmissionId(0xb2), SubmissionId(0xb3));
    store_submission(&rig, cancelled);
    rig.store.put(&record::key_of(CANCEL_PREFIX, cancelled), &[]);
    store_submission(&rig, accepted);
    rig.store.drop_history();
    rig.store.refuse_ranges(true);
    rig.store.mute_watches(false);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    rig.store.refuse_ranges(false);
    assert!(rig.wait_for(accepted, "completed", SHORT).await);
    assert!(rig.wait_for(cancelled, "cancelled", SHORT).await);
    assert_eq!(rig.monitor.starts(), 1, "only the accepted submission runs");
    let logs = rig.logs();
    let is_logged = |it: &String| it.contains("work records not read");
    assert!(logs.iter().any(is_logged), "the failed reading is not in the log");
}
