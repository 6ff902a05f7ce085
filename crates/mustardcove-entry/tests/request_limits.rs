//! Tests that members' request limits are enforced, that waits for a slot are
//! bounded, and that a full process sheds requests immediately and keeps the
//! rest of its capacity for urgent work.

#[path = "support/all.rs"]
mod support;

use std::time::{Duration, Instant};

use mustardcove_core::verdict::{RefusalReason, Verdict};
use support::{
    harness::{Harness, OTHER_TOKEN, answered, process, refused, worker},
    shards::MemoryShards,
    upstream::TestUpstream,
};

/// Guards against a member that exceeds its limit, at one process or by
/// sending requests to several.
#[tokio::test]
async fn member_limit_is_split() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    let call = |body: &str| harness.call("check", "delay=300", body);
    let call = |body: &str| {
        let mut req = call(body).build().unwrap();
        let token = format!("Bearer {OTHER_TOKEN}").parse().unwrap();
        req.headers_mut().insert("authorization", token);
        reqwest::RequestBuilder::from_parts(harness.http.clone(), req)
    };
    let first = [tokio::spawn(answered(call("a"))), tokio::spawn(answered(call("b")))];
    while upstream.total_runs() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (status, refusal) = refused(call("c")).await;
    assert_eq!((status, refusal.reason), (429, RefusalReason::OverCap));
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(upstream.runs("c"), 0);
    for call in first {
        call.await.unwrap();
    }
    assert_eq!(answered(call("d")).await, "answer to d");
    // With a second process, each of the two may have one request in flight.
    harness.entry.set_entries(&[process("entry-1"), process("entry-2")]);
    let first = tokio::spawn(answered(call("e")));
    while upstream.runs("e") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (status, _) = refused(call("f")).await;
    assert_eq!(status, 429);
    first.await.unwrap();
}

/// Guards against requests that wait for a slot longer than the limit, and
/// against more requests at an upstream than it has slots.
#[tokio::test]
async fn wait_for_slot_is_bounded() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    let calls: Vec<_> = (0..12)
        .map(|it| {
            let req = harness.call("check", "delay=800", &format!("b{it}"));
            tokio::spawn(async move { (Instant::now(), req.send().await.unwrap(), Instant::now()) })
        })
        .collect();
    let mut statuses = Vec::new();
    for call in calls {
        let (began, resp, ended) = call.await.unwrap();
        let status = resp.status().as_u16();
        if status == 503 {
            // Refused after the wait for a slot (300 ms), without further delay.
            assert!(ended - began < Duration::from_millis(700));
            let refusal: mustardcove_entry::refusal::RefusalBody = resp.json().await.unwrap();
            assert_eq!(refusal.verdict, Verdict::NotRun);
            assert_eq!(refusal.reason, RefusalReason::Overloaded);
            assert!(refusal.retry_at.is_some());
        }
        statuses.push(status);
    }
    // There are eight slots, so four requests found none free.
    assert_eq!(statuses.iter().filter(|it| **it == 200).count(), 8, "{statuses:?}");
    assert_eq!(statuses.iter().filter(|it| **it == 503).count(), 4, "{statuses:?}");
    assert!(upstream.most_connections() <= 16);
}

/// Guards against a full process that queues a request, or sends it to an
/// upstream, instead of refusing it at once. With three of four requests in
/// progress, the process is full for a request that is not urgent.
#[tokio::test]
async fn full_process_sheds_immediately() {
    let upstream = TestUpstream::start().await;
    let shards = MemoryShards::new(&process("entry-1"));
    let workers = vec![worker("w-0", upstream.address)];
    let harness = Harness::start_with(workers, shards, "entry-1", |cfg| cfg.max_requests = 4).await;
    let calls: Vec<_> = (0..3)
        .map(|it| tokio::spawn(answered(harness.call("check", "delay=400", &format!("b{it}")))))
        .collect();
    while upstream.total_runs() < 3 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let began = Instant::now();
    let (status, refusal) = refused(harness.call("check", "", "shed")).await;
    assert_eq!((status, refusal.reason), (503, RefusalReason::Overloaded));
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(began.elapsed() < Duration::from_millis(200));
    assert_eq!(upstream.runs("shed"), 0);
    for call in calls {
        call.await.unwrap();
    }
}
