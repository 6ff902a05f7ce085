//! Tests that work runs once if the same key reaches several entry processes,
//! concurrently or in sequence, or if answers are lost.

#[path = "support/all.rs"]
mod support;

use mustardcove_core::{
    job::Outcome,
    verdict::{RefusalReason, Verdict},
};
use mustardcove_entry::job_view::{JobView, ViewState};
use serde_json::json;
use support::{
    harness::{Harness, answered, process, refused, worker},
    shards::MemoryShards,
    upstream::TestUpstream,
};
use tokio::task::JoinSet;

async fn two_entries(upstream: &TestUpstream) -> [Harness; 2] {
    let shards = MemoryShards::new(&process("entry-1"));
    let workers = vec![worker("w-0", upstream.address)];
    [
        Harness::start_with(workers.clone(), shards.clone(), "entry-1", |_| {}).await,
        Harness::start_with(workers, shards, "entry-2", |_| {}).await,
    ]
}

/// Guards against a second run, and against differing answers, when concurrent
/// requests with one key reach two entry processes.
#[tokio::test]
async fn same_key_runs_once() {
    let upstream = TestUpstream::start().await;
    let harnesses = two_entries(&upstream).await;
    for class in ["booking", "proof"] {
        let mut calls = JoinSet::new();
        for number in 0..6 {
            let harness = &harnesses[number % 2];
            let req = harness.call(class, "delay=100", class).header("idempotency-key", class);
            calls.spawn(async move { req.send().await.unwrap() });
        }
        let mut answers = 0;
        while let Some(joined) = calls.join_next().await {
            let resp = joined.unwrap();
            if resp.status().is_success() {
                assert_eq!(resp.headers()["content-type"], "text/plain");
                assert_eq!(resp.text().await.unwrap(), format!("answer to {class}"));
                answers += 1;
            }
        }
        assert_eq!(answers, 6);
        assert_eq!(upstream.runs(class), 1);
        for harness in &harnesses {
            let req = harness.call(class, "", class).header("idempotency-key", class);
            assert_eq!(answered(req).await, format!("answer to {class}"));
        }
        assert_eq!(upstream.runs(class), 1);
    }
}

/// Guards against running a request again whose service declined it. The
/// stored status is the answer to a repeated request.
#[tokio::test]
async fn declined_answer_is_repeated() {
    let upstream = TestUpstream::start().await;
    let harnesses = two_entries(&upstream).await;
    for harness in &harnesses {
        let req = harness.call("booking", "status=409", "taken").header("idempotency-key", "taken");
        let resp = req.send().await.unwrap();
        assert_eq!(resp.status().as_u16(), 409);
        assert_eq!(resp.text().await.unwrap(), "answer to taken");
    }
    assert_eq!(upstream.runs("taken"), 1);
}

/// Guards against an attempt that is never sent because the answer to its
/// `Admit` was lost.
#[tokio::test]
async fn lost_admission_is_resumed() {
    let upstream = TestUpstream::start().await;
    let harnesses = two_entries(&upstream).await;
    harnesses[0].shards.lose_next(1);
    let call =
        |harness: &Harness| harness.call("booking", "", "lost").header("idempotency-key", "lost");
    assert_eq!(answered(call(&harnesses[0])).await, "answer to lost");
    assert_eq!(harnesses[0].shards.admits(), 2);
    assert_eq!(answered(call(&harnesses[1])).await, "answer to lost");
    assert_eq!(upstream.runs("lost"), 1);
}

/// Guards against returning the answer of an earlier request to a request with
/// the same key but another body.
#[tokio::test]
async fn reused_key_is_refused() {
    let upstream = TestUpstream::start().await;
    let harnesses = two_entries(&upstream).await;
    let call =
        |harness: &Harness, body| harness.call("booking", "", body).header("idempotency-key", "k");
    answered(call(&harnesses[0], "one")).await;
    let (status, refusal) = refused(call(&harnesses[1], "two")).await;
    assert_eq!((status, refusal.reason), (422, RefusalReason::KeyReused));
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(upstream.runs("two"), 0);
}

/// Guards against the verdict `NotRun` for a key whose work ran earlier, when
/// no upstream is left and so nothing is admitted.
#[tokio::test]
async fn known_key_is_never_reported_as_not_run() {
    let upstream = TestUpstream::start().await;
    let harnesses = two_entries(&upstream).await;
    let call = |body| harnesses[0].call("booking", "", body).header("idempotency-key", "k");
    answered(call("one")).await;
    upstream.stop().await;
    let pool = harnesses[0].entry.pool(&"press".parse().unwrap()).unwrap();
    while pool.views(1).1[0].accepting {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    for body in ["one", "two"] {
        // Only admission compares bodies, and it needs an upstream. So neither
        // request gets the first answer, and neither is told that the work did
        // not run.
        let (status, refusal) = refused(call(body)).await;
        assert_eq!((status, refusal.reason), (503, RefusalReason::NoUpstream));
        assert_eq!(refusal.verdict, Verdict::MayHaveRun, "{refusal:?}");
    }
    let (_, refusal) =
        refused(harnesses[0].call("booking", "", "x").header("idempotency-key", "n")).await;
    assert_eq!(refusal.verdict, Verdict::NotRun);
}

/// Guards against a repeated submission that creates a second job, and against
/// a waiting caller that gets the result of its job late.
#[tokio::test]
async fn submission_is_accepted_once() {
    let upstream = TestUpstream::start().await;
    let harnesses = two_entries(&upstream).await;
    let body = json!({"class": "run", "payload": "album 7"});
    let first = harnesses[0].submit("order-7", body.clone()).send().await.unwrap();
    assert_eq!(first.status().as_u16(), 202);
    let location = first.headers()["location"].to_str().unwrap().to_owned();
    let first: JobView = first.json().await.unwrap();
    let second = harnesses[1].submit("order-7", body).send().await.unwrap();
    assert_eq!(second.status().as_u16(), 200);
    let second: JobView = second.json().await.unwrap();
    assert_eq!((first.job, second.repeated), (second.job, Some(true)));
    // A waiting caller gets the result as soon as the job ends.
    let url = harnesses[1].url(&format!("{location}?wait_ms=2500"));
    let waiting = harnesses[1].http.get(url).bearer_auth(support::harness::TOKEN).send();
    let waiting = tokio::spawn(waiting);
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    harnesses[0].shards.finish(first.job, Outcome::Succeeded { result: "bound".into() });
    let view: JobView = waiting.await.unwrap().unwrap().json().await.unwrap();
    assert_eq!((view.state, view.result.as_deref()), (ViewState::Succeeded, Some("bound")));
    let other = json!({"class": "run", "payload": "album 8"});
    let (status, refusal) = refused(harnesses[1].submit("order-7", other)).await;
    assert_eq!((status, refusal.reason), (422, RefusalReason::KeyReused));
}
