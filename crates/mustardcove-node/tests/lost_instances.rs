//! Real processes on instances that are lost for good, several at once, and others
//! that take their places under other names and addresses.

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
use rig::Rig;
use serde_json::{Value, json};

const NODES: usize = 3;
const WORKERS: usize = 4;
const TASKS: usize = 6;
/// Most of them on one worker, so that all others have room for those of one.
const MAX_PER_WORKER: usize = 2;
const ID: SubmissionId = SubmissionId(0xb7);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time until the tasks run at the beginning.
const BEGIN: Duration = Duration::from_secs(10);
/// Time in which a leader has stored who counts.
const SETTLE: Duration = Duration::from_secs(4);
/// Time after which an instance takes the place of one that is lost.
const SPARE: Duration = Duration::from_secs(2);
/// Time between two losses.
const PAUSE: Duration = Duration::from_secs(8);
/// Longest time that users accept without a run of a long-running task: 3 s, from
/// 6 s after its last run.
const WITHOUT_RUN: Duration = Duration::from_secs(9);
/// Time for which the tasks are watched after the last loss.
const WATCH: Duration = Duration::from_secs(14);
/// Longest time for a short submission.
const SHORT: Duration = Duration::from_secs(10);
/// Duration of the store's outage: longer than permissions and leases together.
const OUTAGE: Duration = Duration::from_secs(10);

fn spread(is_long_running: bool) -> Value {
    let ms = if is_long_running { 600_000 } else { 200 };
    json!({ "TaskSpec": format!("ms={ms} cpu=500 "), "Steps": [
        { "Count": TASKS, "Cpu": 500, "MemMb": 64, "EstimatedMs": 1000,
          "LongRunning": is_long_running, "AntiAffinity": MAX_PER_WORKER }] })
}

/// Returns a deployment in which long-running tasks run on each worker.
async fn start(name: &str) -> Rig {
    let rig = Rig::start(name, NODES, WORKERS).await;
    rig.wait_ready().await;
    assert_eq!(rig.submit(0, ID, &spread(true)).await, Some(StatusCode::OK));
    let until = Instant::now() + BEGIN;
    while rig.monitor.running(ID) < TASKS {
        assert!(Instant::now() < until, "its tasks do not run");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    tokio::time::sleep(SETTLE).await;
    rig
}

/// Returns the nodes, beginning with the one that leads.
fn leader_first(rig: &Rig) -> Vec<usize> {
    let leader = *rig.leaders().last().expect("a leader");
    std::iter::once(leader).chain((0..NODES).filter(|it| *it != leader)).collect()
}

/// Loses nodes for good, and adds as many a while later.
async fn replace(rig: &mut Rig, lost: &[usize]) {
    lost.iter().for_each(|it| rig.kill(*it));
    tokio::time::sleep(SPARE).await;
    for _ in lost {
        rig.add_node().await;
    }
}

/// Watches the tasks, some of which may have run last at `since`, and checks that
/// none lacks a run for too long.
async fn watch(rig: &Rig, mut since: Instant, watched: Duration) {
    let until = Instant::now() + watched;
    while Instant::now() < until {
        if rig.monitor.running(ID) == TASKS {
            since = Instant::now();
        }
        let missing = TASKS - rig.monitor.running(ID);
        let leaders = rig.leaders();
        assert!(since.elapsed() < WITHOUT_RUN, "{missing} have no run, led by {leaders:?}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Checks that a node still accepts work, which is done, and that nothing ran twice.
async fn check_served(rig: &Rig, node: usize) {
    let id = SubmissionId(0xb8);
    assert_eq!(rig.submit(node, id, &spread(false)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(id, "completed", SHORT).await, "led by {:?}", rig.leaders());
    assert_eq!(rig.monitor.violations(), Vec::<String>::new());
}

/// Guards against a task of a lost worker that waits for a minute longer, since most
/// members are lost as well and neither join the next leader nor end.
#[tokio::test]
async fn with_worker() {
    let mut rig = start("lost-with-worker").await;
    let nodes = leader_first(&rig);
    let lost_at = Instant::now();
    rig.workers[0].proxy.set(Mode::Refused);
    replace(&mut rig, &nodes[..2]).await;
    watch(&rig, lost_at, WATCH).await;
    check_served(&rig, NODES).await;
}

/// Guards against a leader outside the list of members that orders nothing for
/// minutes, since the last member is lost before the list has changed.
#[tokio::test]
async fn in_turn() {
    let mut rig = start("lost-in-turn").await;
    let nodes = leader_first(&rig);
    replace(&mut rig, &nodes[..2]).await;
    watch(&rig, Instant::now(), PAUSE).await;
    let lost_at = Instant::now();
    replace(&mut rig, &nodes[2..]).await;
    watch(&rig, lost_at, WATCH).await;
    check_served(&rig, NODES).await;
}

/// Guards against the same with all members lost at once, beside a worker.
#[tokio::test]
async fn all_at_once() {
    let mut rig = start("lost-at-once").await;
    rig.workers[0].proxy.set(Mode::Refused);
    let nodes = leader_first(&rig);
    replace(&mut rig, &nodes).await;
    // Nobody could start anything before.
    watch(&rig, Instant::now(), WATCH).await;
    check_served(&rig, NODES).await;
}

/// Guards against work that ends on sound workers in an outage of the store beside
/// the loss of a process, since the leader waits for members or workers that it does
/// not need.
#[tokio::test]
async fn store_away() {
    let mut rig = start("lost-store-away").await;
    let nodes = leader_first(&rig);
    rig.kill(nodes[2]);
    rig.nodes.iter().for_each(|it| it.store.set(Mode::Refused));
    rig.workers[0].proxy.set(Mode::Refused);
    let until = Instant::now() + OUTAGE;
    while Instant::now() < until {
        let running = rig.monitor.running(ID);
        assert!(TASKS - MAX_PER_WORKER <= running, "only {running} run on sound workers");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    rig.workers[0].proxy.set(Mode::Pass);
    rig.nodes.iter().for_each(|it| it.store.set(Mode::Pass));
    watch(&rig, Instant::now(), PAUSE).await;
    check_served(&rig, nodes[0]).await;
}
