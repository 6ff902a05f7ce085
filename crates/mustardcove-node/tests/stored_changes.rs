//! Submissions that were stored before this process learned of them.

#[path = "support/local.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod local;

use std::sync::Arc;

use local::Local;
use mustardcove_core::fleet::{
    id::{SubmissionId, Term},
    message::{FleetMessage, StoreChange, StoreOutcome, Submitted},
    record::{self, SUBMISSION_PREFIX},
    submission::{StepSpec, Submission, SubmissionState},
};
use mustardcove_node::{durable, shared::Leadership};

const ID: SubmissionId = SubmissionId(0xc1);

fn submission() -> Arc<Submission> {
    Arc::new(Submission {
        id: ID,
        queue: Default::default(),
        payload: "ms=100".into(),
        steps: vec![StepSpec { count: 1, ..StepSpec::default() }],
        schedule: None,
        accepted_at: Default::default(),
        manifest: Default::default(),
    })
}

fn store_elsewhere(local: &Local) {
    local.store.put(&record::key_of(SUBMISSION_PREFIX, ID), &record::encode(submission().as_ref()));
}

/// Returns the submissions that the leader of a term is sent.
fn sent(local: &Local, term: u64) -> Vec<Submitted> {
    let submitted = |it| match it {
        FleetMessage::Submitted(submitted) => submitted,
        _ => Vec::new(),
    };
    local.shared.outbox.messages(Term(term)).into_iter().flat_map(submitted).collect()
}

/// Guards against accepted work that never runs: its process has died before it
/// told the leader, and the others answer callers without telling the leader.
#[tokio::test]
async fn found_submission_is_announced() {
    let local = Local::start().await;
    store_elsewhere(&local);
    let state = durable::find_state(&local.shared, ID).await.expect("an answer");
    assert_eq!(state, Some(SubmissionState::Queued));
    let sent = sent(&local, 1);
    assert_eq!(sent.len(), 1, "the leader is not told");
    assert!(sent[0].may_have_started, "another process may have told an earlier leader");
}

/// Guards against a second run of a task: a repeated submission was stored by
/// another process, which may have told an earlier leader.
#[tokio::test]
async fn repeated_submission_may_have_started() {
    let local = Local::start().await;
    store_elsewhere(&local);
    let deadline = local.shared.now().plus_ms(2_000);
    let change = StoreChange::Submit(submission());
    let outcome = durable::store_directly(&local.shared, &change, deadline).await;
    assert_eq!(outcome, StoreOutcome::Stored);
    assert!(sent(&local, 1)[0].may_have_started);
}

/// Guards against a needless wait for earlier leaders' runs before a new
/// submission starts.
#[tokio::test]
async fn new_submission_has_not_started() {
    let local = Local::start().await;
    local.shared.leadership.send_replace(Leadership { term: Term(1), leader: None });
    let deadline = local.shared.now().plus_ms(2_000);
    let change = StoreChange::Submit(submission());
    durable::store_directly(&local.shared, &change, deadline).await;
    assert!(!sent(&local, 1)[0].may_have_started);
    assert!(sent(&local, 2)[0].may_have_started, "the leader of term 1 may have started it");
}
