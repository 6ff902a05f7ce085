//! Guards against members above their limit, requests that wait without bound
//! and urgent work that is shed with the rest.

#[path = "support/all.rs"]
mod support;

use std::time::{Duration, Instant};

use mustardcove_core::verdict::{RefusalReason, Verdict};
use support::{
    rig::{OTHER_TOKEN, Rig, answered, process, refused, worker},
    shards::MemoryShards,
    upstream::TestUpstream,
};

#[tokio::test]
async fn member_limit_is_split() {
    let upstream = TestUpstream::start().await;
    let rig = Rig::start(vec![worker("w-0", upstream.address)]).await;
    let call = |body: &str| rig.call("check", "delay=300", body);
    let call = |body: &str| {
        let mut req = call(body).build().unwrap();
        let token = format!("Bearer {OTHER_TOKEN}").parse().unwrap();
        req.headers_mut().insert("authorization", token);
        reqwest::RequestBuilder::from_parts(rig.http.clone(), req)
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
    // With a second process each of the two may hold one request.
    rig.entry.set_entries(&[process("entry-1"), process("entry-2")]);
    let first = tokio::spawn(answered(call("e")));
    while upstream.runs("e") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (status, _) = refused(call("f")).await;
    assert_eq!(status, 429);
    first.await.unwrap();
}

#[tokio::test]
async fn waiting_for_room_is_bounded() {
    let upstream = TestUpstream::start().await;
    let rig = Rig::start(vec![worker("w-0", upstream.address)]).await;
    let calls: Vec<_> = (0..12)
        .map(|it| {
            let req = rig.call("check", "delay=800", &format!("b{it}"));
            tokio::spawn(async move { (Instant::now(), req.send().await.unwrap(), Instant::now()) })
        })
        .collect();
    let mut statuses = Vec::new();
    for call in calls {
        let (began, resp, ended) = call.await.unwrap();
        let status = resp.status().as_u16();
        if status == 503 {
            // Refused after the wait for room (300 ms) and not held any longer.
            assert!(ended - began < Duration::from_millis(700));
            let refusal: mustardcove_entry::refusal::RefusalBody = resp.json().await.unwrap();
            assert_eq!(refusal.verdict, Verdict::NotRun);
            assert_eq!(refusal.reason, RefusalReason::Overloaded);
            assert!(refusal.retry_at.is_some());
        }
        statuses.push(status);
    }
    // Eight slots, and four requests that found no room.
    assert_eq!(statuses.iter().filter(|it| **it == 200).count(), 8, "{statuses:?}");
    assert_eq!(statuses.iter().filter(|it| **it == 503).count(), 4, "{statuses:?}");
    assert!(upstream.most_connections() <= 16);
}

#[tokio::test]
async fn full_process_sheds_at_once() {
    let upstream = TestUpstream::start().await;
    let shards = MemoryShards::new(&process("entry-1"));
    let workers = vec![worker("w-0", upstream.address)];
    let rig = Rig::start_with(workers, shards, "entry-1", |cfg| cfg.max_requests = 4).await;
    let calls: Vec<_> = (0..3)
        .map(|it| tokio::spawn(answered(rig.call("check", "delay=400", &format!("b{it}")))))
        .collect();
    while upstream.total_runs() < 3 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let began = Instant::now();
    let (status, refusal) = refused(rig.call("check", "", "shed")).await;
    assert_eq!((status, refusal.reason), (503, RefusalReason::Overloaded));
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(began.elapsed() < Duration::from_millis(200));
    assert_eq!(upstream.runs("shed"), 0);
    for call in calls {
        call.await.unwrap();
    }
}
