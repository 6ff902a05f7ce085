//! A leader that hears of its successor from another process than the store.

#[path = "support/local.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod local;

use std::time::Duration;

use local::Local;
use mustardcove_core::fleet::{
    id::{BootMillis, Term},
    record::LEADER_KEY,
};
use mustardcove_node::{
    leader::{self, Claim},
    membership,
    shared::Leadership,
};

/// Longest time until the leader has restored the plan and then stops.
const SHORT: Duration = Duration::from_secs(5);

/// Guards against a leader that goes on after its process has received a
/// heartbeat of its successor, because the store does not tell it.
#[tokio::test]
async fn successor_heard() {
    let local = Local::start().await;
    let shared = local.shared.clone();
    local.store.put(LEADER_KEY, b"{}");
    let record = shared.store.get(LEADER_KEY).await.expect("an answer").expect("a record");
    let term = Term(record.revision);
    let own = Leadership { term, leader: Some(shared.process.clone()) };
    shared.leadership.send_replace(own);
    let (_inputs, mut received) = membership::leader_queue();
    let claim = Claim {
        term,
        claims: 1,
        predecessor: Term::default(),
        sent_at: shared.now(),
        sent_boot: BootMillis::default(),
    };
    let led = tokio::spawn({
        let shared = shared.clone();
        async move { leader::lead(&shared, claim, &mut received).await }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!led.is_finished(), "nobody else leads");
    let successor = Leadership { term: Term(term.0 + 1), leader: None };
    shared.leadership.send_replace(successor);
    let ended = tokio::time::timeout(SHORT, led).await;
    assert!(ended.is_ok(), "the leader goes on beside its successor");
}
