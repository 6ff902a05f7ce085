//! Tests that a graceful shutdown loses no requests and ends within its timeout.

#[path = "support/all.rs"]
mod support;

use std::time::{Duration, Instant};

use mustardcove_core::verdict::{RefusalReason, Verdict};
use serde_json::json;
use support::{
    harness::{Harness, TOKEN, answered, process, refused, worker},
    shards::MemoryShards,
    upstream::TestUpstream,
};

/// Guards against a shutdown that aborts requests in progress, admits new ones
/// or keeps the listener open.
#[tokio::test]
async fn requests_in_progress_are_finished() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    let calls = ["check", "booking"].map(|class| {
        let req = harness.call(class, "delay=400", class).header("idempotency-key", class);
        tokio::spawn(answered(req))
    });
    // A request on a connection that is already open gets a regular refusal.
    let open = harness.http.get(harness.url("/v1/jobs")).bearer_auth(TOKEN).send().await.unwrap();
    assert!(open.status().is_success());
    while upstream.total_runs() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    harness.entry.draining().cancel();
    assert!(!harness.entry.is_ready());
    let admitted = harness.entry.admit(mustardcove_core::limit::ShedClass::Urgent);
    let refusal = admitted.err().unwrap();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, RefusalReason::ShuttingDown));
    for (call, class) in calls.into_iter().zip(["check", "booking"]) {
        assert_eq!(call.await.unwrap(), format!("answer to {class}"));
    }
    tokio::time::timeout(Duration::from_secs(3), harness.server).await.expect("no end").unwrap();
    assert!(harness.http.get(format!("http://{}/", harness.address)).send().await.is_err());
}

/// Guards against a shutdown that is delayed by callers that wait for a job,
/// or by connections without a request.
#[tokio::test]
async fn waiting_callers_are_refused() {
    let harness = Harness::start(Vec::new()).await;
    let view: serde_json::Value =
        harness.submit("k", json!({"class": "run"})).send().await.unwrap().json().await.unwrap();
    let url = harness.url(&format!("/v1/jobs/{}?wait_ms=3000", view["job"].as_str().unwrap()));
    let waiting = tokio::spawn(refused(harness.http.get(url).bearer_auth(TOKEN)));
    tokio::time::sleep(Duration::from_millis(100)).await;
    // A connection without a request must not delay the shutdown.
    let _idle = tokio::net::TcpStream::connect(harness.address).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let began = Instant::now();
    harness.entry.draining().cancel();
    let (status, refusal) = waiting.await.unwrap();
    assert_eq!((status, refusal.reason), (503, RefusalReason::ShuttingDown));
    assert!(began.elapsed() < Duration::from_millis(500));
    tokio::time::timeout(Duration::from_secs(2), harness.server).await.expect("no end").unwrap();
}

/// Guards against an upstream that never answers and so delays the shutdown
/// beyond its timeout, and against a shutdown that does not use the timeout to
/// finish requests.
#[tokio::test]
async fn shutdown_time_is_bounded() {
    let upstream = TestUpstream::start().await;
    let shards = MemoryShards::new(&process("entry-1"));
    let workers = vec![worker("w-0", upstream.address)];
    let harness =
        Harness::start_with(workers, shards, "entry-1", |cfg| cfg.shutdown_ms = 300).await;
    let call = tokio::spawn(harness.call("check", "no-answer", "stuck").send());
    while upstream.total_runs() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let began = Instant::now();
    harness.entry.draining().cancel();
    tokio::time::timeout(Duration::from_secs(2), harness.server).await.expect("no end").unwrap();
    assert!(Duration::from_millis(300) <= began.elapsed());
    call.abort();
}
