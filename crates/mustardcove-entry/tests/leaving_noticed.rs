//! Guards against a leaving upstream that is noticed only by the first request
//! that it gets, or only by the lagging instance list.

#[path = "support/all.rs"]
mod support;

use std::time::{Duration, Instant};

use mustardcove_core::membership::UpstreamState;
use support::{
    rig::{Rig, answered, worker},
    upstream::TestUpstream,
};

/// Waits until the upstream has the state, and returns how long that took.
async fn wait_for(rig: &Rig, name: &str, state: UpstreamState) -> Duration {
    let began = Instant::now();
    let pool = rig.entry.pool(&"press".parse().unwrap()).unwrap();
    loop {
        let (views, _) = pool.views(10);
        let view = views.iter().find(|it| it.upstream.worker.as_str() == name).unwrap();
        if view.state == state {
            return began.elapsed();
        }
        assert!(began.elapsed() < Duration::from_secs(8), "{name} is still {}", view.state);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn idle_upstream_is_noticed_in_time() {
    let upstreams = [TestUpstream::start().await, TestUpstream::start().await];
    let workers = [worker("w-0", upstreams[0].address), worker("w-1", upstreams[1].address)];
    let rig = Rig::start(workers.into()).await;
    let [draining, gone] = upstreams;
    // No request is made, and the list goes on to show both as live.
    draining.set_draining(true);
    gone.stop().await;
    for name in ["w-0", "w-1"] {
        let took = wait_for(&rig, name, UpstreamState::Suspended).await;
        assert!(took < Duration::from_secs(3), "{name} took {took:?}");
    }
    assert_eq!(draining.total_runs(), 0);
}

#[tokio::test]
async fn upstream_comes_back_by_probes() {
    let upstream = TestUpstream::start().await;
    let rig = Rig::start(vec![worker("w-0", upstream.address)]).await;
    let resp = rig.call("check", "closing", "a").send().await.unwrap();
    assert!(resp.status().is_success());
    wait_for(&rig, "w-0", UpstreamState::Suspended).await;
    let took = wait_for(&rig, "w-0", UpstreamState::Active).await;
    // A departure that was announced is believed for a while.
    assert!(Duration::from_secs(4) < took, "{took:?}");
    assert_eq!(answered(rig.call("check", "", "b")).await, "answer to b");
}
