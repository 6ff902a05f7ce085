//! What a leader stores when its process stops.

#[path = "support/local.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod local;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use local::Local;
use mustardcove_core::fleet::{
    handover::Handover,
    id::{BootMillis, Term},
    record::{HANDOVER_KEY, LEADER_KEY},
};
use mustardcove_node::{
    leader::{self, Claim, TermEnd},
    membership,
    shared::{Leadership, Shared},
};
use tokio::task::JoinHandle;

/// Time within which a leader restores the plan.
const RESTORE_TIME: Duration = Duration::from_millis(500);
/// Longest time for which a leader that stops may wait for the store: much less
/// than the platform leaves a process before it kills it.
const MAX_STOP_TIME: Duration = Duration::from_secs(2);

/// Lets the node lead the term of the leader record.
async fn lead(local: &Local) -> (Term, JoinHandle<TermEnd>) {
    let shared: Arc<Shared> = local.shared.clone();
    local.store.put(LEADER_KEY, b"{}");
    let record = shared.store.get(LEADER_KEY).await.expect("an answer").expect("a record");
    let term = Term(record.revision);
    let own = Leadership { term, leader: Some(shared.process.clone()) };
    shared.leadership.send_replace(own);
    let (inputs, mut received) = membership::leader_queue();
    let claim = Claim {
        term,
        claims: 1,
        predecessor: Term::default(),
        sent_at: shared.now(),
        sent_boot: BootMillis::default(),
    };
    let led = tokio::spawn(async move {
        let _inputs = inputs;
        leader::lead(&shared, claim, &mut received).await
    });
    tokio::time::sleep(RESTORE_TIME).await;
    (term, led)
}

async fn stop(local: &Local, led: JoinHandle<TermEnd>) {
    local.shared.stop.cancel();
    let stopped_at = Instant::now();
    tokio::time::timeout(MAX_STOP_TIME, led).await.expect("it stops in time").expect("no panic");
    assert!(stopped_at.elapsed() < MAX_STOP_TIME);
}

/// Guards against a successor that has to wait because nothing was handed over.
#[tokio::test]
async fn plan_stored() {
    let local = Local::start().await;
    let (term, led) = lead(&local).await;
    stop(&local, led).await;
    let item = local.shared.store.get(HANDOVER_KEY).await.expect("an answer").expect("a record");
    let handover = Handover::decode(&item.value).expect("a readable record");
    assert_eq!(handover.term, term);
}

/// Guards against a record of a leader that was replaced, which may know nothing
/// of what its successor has ordered.
#[tokio::test]
async fn replaced_before_stop() {
    let local = Local::start().await;
    let (_, led) = lead(&local).await;
    local.store.put(LEADER_KEY, b"{\"another\":1}");
    stop(&local, led).await;
    let item = local.shared.store.get(HANDOVER_KEY).await.expect("an answer");
    assert!(item.is_none(), "only the leader of the present term may write it");
}

/// Guards against a leader that waits for the store until the platform kills its
/// process, so that its successor hears late that it has stepped down.
#[tokio::test]
async fn answers_lost() {
    let local = Local::start().await;
    let (_, led) = lead(&local).await;
    local.store.lose_answers(100);
    stop(&local, led).await;
}
