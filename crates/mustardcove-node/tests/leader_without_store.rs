//! Real processes, and a store that refuses the machine of the leader alone, or
//! the writes of all processes.

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

/// Longest time for a few short tasks on an idle fleet.
const SHORT: Duration = Duration::from_secs(5);
/// Longest time until another process leads and has completed a few short
/// tasks.
const REPLACED: Duration = Duration::from_secs(15);
/// Time for which the store refuses all writes: longer than until a leader asks
/// for a successor for the second time.
const OUTAGE: Duration = Duration::from_secs(24);
/// Longest time until a process uses the store again that it did not reach.
const REGAINED: Duration = Duration::from_secs(8);

/// Starts a deployment in which one process leads, and returns its number.
async fn start(name: &str) -> (Rig, usize) {
    let rig = Rig::start(name, 3, 2).await;
    rig.wait_ready().await;
    let first = SubmissionId(0xa1);
    assert_eq!(rig.submit(0, first, &two_steps(1, 100)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(first, "completed", SHORT).await);
    let leaders = rig.leaders();
    assert_eq!(leaders.len(), 1, "{leaders:?} have led");
    (rig, leaders[0])
}

/// Has a leader lose the store in a way that leaves it to the others.
async fn replaced(name: &str, mode: Mode) {
    let (rig, leader) = start(name).await;
    rig.nodes[leader].store.set(mode);
    let other = (leader + 1) % rig.nodes.len();
    let id = SubmissionId(0xb1);
    assert_eq!(rig.submit(other, id, &two_steps(4, 200)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(id, "completed", REPLACED).await, "led by {:?}", rig.leaders());
    assert_eq!(rig.leaders().len(), 2, "one successor");
    rig.nodes[leader].store.set(Mode::Pass);
    let later = SubmissionId(0xc1);
    let until = Instant::now() + REGAINED;
    while rig.submit(leader, later, &two_steps(2, 100)).await != Some(StatusCode::OK) {
        assert!(Instant::now() < until, "the store is back for the earlier leader");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(rig.wait_for(later, "completed", REPLACED).await);
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}

/// Guards against a leader that goes on although the store refuses its machine
/// alone: it stores nothing, so nothing is shown as completed.
#[tokio::test]
async fn refused_leader_replaced() {
    replaced("leader-refused", Mode::Refused).await;
}

/// Guards against the same where the store leaves it without an answer.
#[tokio::test]
async fn unanswered_leader_replaced() {
    replaced("leader-unanswered", Mode::Silent).await;
}

/// Guards against a leader that ends its term, or processes that replace each
/// other, because the store answers reads and refuses every write. A successor
/// could store nothing either, and none could be elected.
#[tokio::test]
async fn refused_writes_keep_leader() {
    let (rig, leader) = start("writes-refused").await;
    let id = SubmissionId(0xb1);
    assert_eq!(rig.submit(leader, id, &two_steps(8, 400)).await, Some(StatusCode::OK));
    rig.store.refuse_writes(true);
    let until = Instant::now() + OUTAGE;
    tokio::time::sleep(SHORT).await;
    assert_eq!(rig.monitor.done(id), 10, "its tasks run during the outage");
    tokio::time::sleep(until.saturating_duration_since(Instant::now())).await;
    assert_ne!(rig.state(leader, id).await.as_deref(), Some("completed"), "that is not stored");
    rig.store.refuse_writes(false);
    assert!(rig.wait_for(id, "completed", REGAINED).await, "the leader stores it");
    let logs = rig.logs();
    let asked = logs.iter().filter(|it| it.contains("asking for a successor")).count();
    assert!((2..=3).contains(&asked), "asked {asked} times during {OUTAGE:?}");
    let ended: Vec<&String> = logs.iter().filter(|it| it.contains("no longer leading")).collect();
    assert_eq!(rig.leaders(), [leader], "{ended:?}");
    assert_eq!(ended.len(), 0, "{ended:?}");
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}
