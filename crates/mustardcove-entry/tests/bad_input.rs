//! Tests that malformed, oversized and slow requests get a precise refusal, reach
//! no shard or upstream, and do not affect other requests.

#[path = "support/all.rs"]
mod support;

use std::time::Duration;

use mustardcove_core::verdict::{RefusalReason, Verdict};
use mustardcove_entry::refusal::RefusalBody;
use serde_json::json;
use support::{
    harness::{Harness, TOKEN, answered, process, refused, worker},
    shards::MemoryShards,
    upstream::TestUpstream,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

async fn harness() -> (TestUpstream, Harness) {
    let upstream = TestUpstream::start().await;
    let workers = vec![worker("w-0", upstream.address)];
    let shards = MemoryShards::new(&process("entry-1"));
    let harness = Harness::start_with(workers, shards, "entry-1", |cfg| {
        cfg.receive_timeout_ms = 300;
        cfg.max_body_bytes = 10_000;
    });
    (upstream, harness.await)
}

async fn expect_refusal(req: reqwest::RequestBuilder, status: u16, reason: RefusalReason) {
    let (actual, refusal) = refused(req).await;
    assert_eq!((actual, refusal.reason), (status, reason), "{refusal:?}");
    assert_eq!(refusal.verdict, Verdict::NotRun, "{refusal:?}");
    assert!(!refusal.detail.is_empty());
}

/// Guards against a malformed, late or oversized submission that is accepted
/// as a job or refused for the wrong reason.
#[tokio::test]
async fn malformed_submissions_are_refused() {
    let (_upstream, harness) = harness().await;
    let invalid = [
        json!({"class": "run", "resources": {"cpu_millicores": -1}}),
        json!({"class": "run", "resources": {"memory_mib": 1.5}}),
        json!({"class": "run", "expected_run_ms": -5}),
        json!({"class": "run", "unknown": 1}),
        json!({"payload": "no class"}),
        json!({"class": "none"}),
        json!({"class": "check"}),
        json!({"class": "run", "payload": "a", "payload_base64": "YQ=="}),
        json!({"class": "run", "payload_base64": "%"}),
        json!([1, 2]),
    ];
    for body in invalid {
        expect_refusal(harness.submit("key", body), 400, RefusalReason::Invalid).await;
    }
    let late = json!({"class": "run", "deadline": 1});
    expect_refusal(harness.submit("key", late), 504, RefusalReason::DeadlineExceeded).await;
    let large = json!({"class": "run", "payload": "x".repeat(65 * 1024)});
    expect_refusal(harness.submit("key", large), 413, RefusalReason::TooLarge).await;
    let huge = json!({"class": "run", "payload": "x".repeat(1 << 20)});
    expect_refusal(harness.submit("key", huge), 413, RefusalReason::TooLarge).await;
    let valid = json!({"class": "run"});
    expect_refusal(harness.submit(&"k".repeat(129), valid.clone()), 400, RefusalReason::Invalid)
        .await;
    expect_refusal(harness.submit("no spaces", valid.clone()), 400, RefusalReason::Invalid).await;
    let post = || harness.http.post(harness.url("/v1/jobs")).bearer_auth(TOKEN);
    expect_refusal(post().json(&valid), 400, RefusalReason::Invalid).await;
    let broken = post().header("idempotency-key", "key").header("content-type", "application/json");
    expect_refusal(broken.body("{\"class\": \"ru"), 400, RefusalReason::Invalid).await;
    let text = post().header("idempotency-key", "key").header("content-type", "text/plain");
    expect_refusal(text.body(valid.to_string()), 415, RefusalReason::Invalid).await;
    // None of the above was accepted.
    let resp = harness.http.get(harness.url("/v1/jobs")).bearer_auth(TOKEN).send().await.unwrap();
    assert_eq!(resp.json::<serde_json::Value>().await.unwrap()["jobs"], json!([]));
}

/// Guards against invalid paths, headers and bodies that reach an upstream or
/// are refused for the wrong reason.
#[tokio::test]
async fn malformed_requests_are_refused() {
    let (upstream, harness) = harness().await;
    let large = "x".repeat(10_001);
    expect_refusal(harness.call("check", "", &large), 413, RefusalReason::TooLarge).await;
    expect_refusal(harness.call("none", "", "a"), 404, RefusalReason::Invalid).await;
    expect_refusal(harness.call("run", "", "a"), 400, RefusalReason::Invalid).await;
    expect_refusal(harness.call("booking", "", "a"), 400, RefusalReason::Invalid).await;
    let timeout =
        |value: &str| harness.call("check", "", "a").header("x-request-timeout-ms", value);
    expect_refusal(timeout("-1"), 400, RefusalReason::Invalid).await;
    expect_refusal(timeout("0"), 504, RefusalReason::DeadlineExceeded).await;
    let past = harness.call("check", "", "a").header("x-request-deadline", "1000");
    expect_refusal(past, 504, RefusalReason::DeadlineExceeded).await;
    let get = |path: &str| harness.http.get(harness.url(path)).bearer_auth(TOKEN);
    expect_refusal(get("/v1/jobs/xyz"), 400, RefusalReason::Invalid).await;
    let unknown = format!("/v1/jobs/{:032x}", 7);
    expect_refusal(get(&unknown), 404, RefusalReason::NotFound).await;
    expect_refusal(get(&format!("{unknown}?wait_ms=-1")), 400, RefusalReason::Invalid).await;
    expect_refusal(get("/v1/jobs?limit=many"), 400, RefusalReason::Invalid).await;
    expect_refusal(get("/v2/jobs"), 404, RefusalReason::NotFound).await;
    expect_refusal(get("/v1/services/check"), 405, RefusalReason::Invalid).await;
    assert_eq!(upstream.total_runs(), 0);
    assert_eq!(answered(harness.call("check", "", "good")).await, "answer to good");
}

/// Sends raw bytes, closes the sending side if `shut_down` is set, and returns
/// the whole answer.
async fn send_raw(harness: &Harness, head: &str, body: &str, shut_down: bool) -> String {
    let mut stream = TcpStream::connect(harness.address).await.unwrap();
    let head = format!(
        "{head}\r\nhost: test\r\nauthorization: Bearer {TOKEN}\r\nconnection: close\r\n{body}"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    if shut_down {
        stream.shutdown().await.unwrap();
    }
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    tokio::time::timeout(Duration::from_secs(3), read).await.expect("no end").unwrap();
    answer
}

fn refusal_in(answer: &str) -> RefusalBody {
    let (_, body) = answer.split_once("\r\n\r\n").expect("an answer with a body");
    serde_json::from_str(body).unwrap()
}

/// Guards against a partial body that holds a request forever or is sent to an
/// upstream as if it were complete.
#[tokio::test]
async fn slow_and_truncated_bodies_are_refused() {
    let (upstream, harness) = harness().await;
    let post = "POST /v1/services/check HTTP/1.1";
    let partial_body = "content-length: 10\r\n\r\nhalf";
    let slow = send_raw(&harness, post, partial_body, false).await;
    assert!(slow.starts_with("HTTP/1.1 408"), "{slow}");
    assert_eq!(refusal_in(&slow).verdict, Verdict::NotRun);
    let truncated = send_raw(&harness, post, partial_body, true).await;
    assert!(truncated.starts_with("HTTP/1.1 400"), "{truncated}");
    assert_eq!(refusal_in(&truncated).reason, RefusalReason::Invalid);
    assert_eq!(upstream.total_runs(), 0);
}

/// Guards against aborting the request of a caller that closed only its
/// sending side.
#[tokio::test]
async fn half_closed_caller_gets_its_answer() {
    let (upstream, harness) = harness().await;
    let head = "POST /v1/services/booking HTTP/1.1\r\nidempotency-key: half\r\n\
                x-service-mode: delay=100";
    let answer = send_raw(&harness, head, "content-length: 4\r\n\r\nhalf", true).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("answer to half"));
    assert_eq!(upstream.runs("half"), 1);
}

/// Guards against connections without a complete request head that stay open
/// forever, and against bytes that are not HTTP.
#[tokio::test]
async fn incomplete_connections_are_closed() {
    let (_upstream, harness) = harness().await;
    for bytes in ["", "POST /v1/jobs HT"] {
        let mut stream = TcpStream::connect(harness.address).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let mut buf = Vec::new();
        let read = stream.read_to_end(&mut buf);
        // The connection may end with a reset, because the server discards
        // unread bytes.
        let _ = tokio::time::timeout(Duration::from_secs(3), read)
            .await
            .unwrap_or_else(|_| panic!("a connection with {bytes:?} stays open"));
    }
    let mut stream = TcpStream::connect(harness.address).await.unwrap();
    stream.write_all(b"\x00\x01 not http\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 400"));
    assert_eq!(answered(harness.call("check", "", "good")).await, "answer to good");
}
