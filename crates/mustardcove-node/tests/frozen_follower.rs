//! A process that stands still beside a leader that is alive.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::Duration;

use rig::Rig;

const NODES: usize = 4;
/// Time for which a follower stands still: the leader has closed its connection
/// by then, and the follower's wait for a heartbeat is over.
const STANDSTILL: Duration = Duration::from_millis(2_800);
/// Time after a standstill within which a claim would follow.
const CLAIM_TIME: Duration = Duration::from_millis(2_500);

/// Returns the lines by which nodes say that they lead.
fn claims(rig: &Rig) -> Vec<String> {
    rig.logs().into_iter().filter(|it| it.contains("msg=leading")).collect()
}

/// Guards against a claim beside a sound leader: all waits of a process that stood
/// still are over when it goes on, before it can hear a heartbeat.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_follower() {
    let rig = Rig::start("frozen-follower", NODES, 2).await;
    rig.wait_ready().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let leader = *rig.leaders().last().expect("a leader");
    let before = claims(&rig);
    for follower in (0..NODES).filter(|it| *it != leader) {
        rig.pause(follower);
        tokio::time::sleep(STANDSTILL).await;
        rig.resume(follower);
        tokio::time::sleep(CLAIM_TIME).await;
        assert_eq!(claims(&rig), before, "node {follower} leads beside node {leader}");
    }
}
