//! Tests that a leaving upstream is detected by probes, before a request is sent
//! to it and before the instance list, which lags, shows the change.

#[path = "support/all.rs"]
mod support;

use std::time::{Duration, Instant};

use mustardcove_core::membership::UpstreamState;
use support::{
    harness::{Harness, answered, worker},
    upstream::TestUpstream,
};

/// Waits until the upstream has the state, and returns the time that it took.
async fn wait_for(harness: &Harness, name: &str, state: UpstreamState) -> Duration {
    let began = Instant::now();
    let pool = harness.entry.pool(&"press".parse().unwrap()).unwrap();
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

/// Guards against an upstream without traffic that drains or stops and is not
/// suspended within 3 s.
#[tokio::test]
async fn departure_of_idle_upstream_is_detected_in_time() {
    let upstreams = [TestUpstream::start().await, TestUpstream::start().await];
    let workers = [worker("w-0", upstreams[0].address), worker("w-1", upstreams[1].address)];
    let harness = Harness::start(workers.into()).await;
    let [draining, stopped] = upstreams;
    // No request is sent, and the list continues to show both as live.
    draining.set_draining(true);
    stopped.stop().await;
    for name in ["w-0", "w-1"] {
        let took = wait_for(&harness, name, UpstreamState::Suspended).await;
        assert!(took < Duration::from_secs(3), "{name} took {took:?}");
    }
    assert_eq!(draining.total_runs(), 0);
}

/// Guards against an upstream that is never used again after it announced its
/// departure, and against resuming it too early.
#[tokio::test]
async fn probe_resumes_upstream() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    let resp = harness.call("check", "closing", "a").send().await.unwrap();
    assert!(resp.status().is_success());
    wait_for(&harness, "w-0", UpstreamState::Suspended).await;
    let took = wait_for(&harness, "w-0", UpstreamState::Active).await;
    // An upstream that announced its departure is not probed for a while.
    assert!(Duration::from_secs(4) < took, "{took:?}");
    assert_eq!(answered(harness.call("check", "", "b")).await, "answer to b");
}
