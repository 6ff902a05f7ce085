//! Guards against requests that are lost when the process stops as planned,
//! and against a stop that takes longer than its bound.

#[path = "support/all.rs"]
mod support;

use std::time::{Duration, Instant};

use mustardcove_core::verdict::{RefusalReason, Verdict};
use serde_json::json;
use support::{
    rig::{Rig, TOKEN, answered, process, refused, worker},
    shards::MemoryShards,
    upstream::TestUpstream,
};

#[tokio::test]
async fn requests_under_way_are_finished() {
    let upstream = TestUpstream::start().await;
    let rig = Rig::start(vec![worker("w-0", upstream.address)]).await;
    let calls = ["check", "booking"].map(|class| {
        let req = rig.call(class, "delay=400", class).header("idempotency-key", class);
        tokio::spawn(answered(req))
    });
    // A connection that is open already still gets a refusal in words.
    let open = rig.http.get(rig.url("/v1/jobs")).bearer_auth(TOKEN).send().await.unwrap();
    assert!(open.status().is_success());
    while upstream.total_runs() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    rig.entry.draining().cancel();
    assert!(!rig.entry.is_ready());
    let admitted = rig.entry.admit(mustardcove_core::limit::ShedClass::Urgent);
    let refusal = admitted.err().unwrap();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, RefusalReason::ShuttingDown));
    for (call, class) in calls.into_iter().zip(["check", "booking"]) {
        assert_eq!(call.await.unwrap(), format!("answer to {class}"));
    }
    tokio::time::timeout(Duration::from_secs(3), rig.server).await.expect("no end").unwrap();
    assert!(rig.http.get(format!("http://{}/", rig.address)).send().await.is_err());
}

#[tokio::test]
async fn waiting_callers_are_sent_elsewhere() {
    let rig = Rig::start(Vec::new()).await;
    let view: serde_json::Value =
        rig.submit("k", json!({"class": "run"})).send().await.unwrap().json().await.unwrap();
    let url = rig.url(&format!("/v1/jobs/{}?wait_ms=3000", view["job"].as_str().unwrap()));
    let waiting = tokio::spawn(refused(rig.http.get(url).bearer_auth(TOKEN)));
    tokio::time::sleep(Duration::from_millis(100)).await;
    // A connection on which nothing was asked must not hold up the stop.
    let _silent = tokio::net::TcpStream::connect(rig.address).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let began = Instant::now();
    rig.entry.draining().cancel();
    let (status, refusal) = waiting.await.unwrap();
    assert_eq!((status, refusal.reason), (503, RefusalReason::ShuttingDown));
    assert!(began.elapsed() < Duration::from_millis(500));
    tokio::time::timeout(Duration::from_secs(2), rig.server).await.expect("no end").unwrap();
}

#[tokio::test]
async fn stop_is_bounded() {
    let upstream = TestUpstream::start().await;
    let shards = MemoryShards::new(&process("entry-1"));
    let workers = vec![worker("w-0", upstream.address)];
    let rig = Rig::start_with(workers, shards, "entry-1", |cfg| cfg.shutdown_ms = 300).await;
    let call = tokio::spawn(rig.call("check", "silent", "stuck").send());
    while upstream.total_runs() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let began = Instant::now();
    rig.entry.draining().cancel();
    tokio::time::timeout(Duration::from_secs(2), rig.server).await.expect("no end").unwrap();
    assert!(Duration::from_millis(300) <= began.elapsed());
    call.abort();
}
