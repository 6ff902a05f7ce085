//! Size limit of state dumps, and the administration routes.

use std::time::Duration;

use mustardcove_runtime::{
    admin::{self, Readiness},
    dump::{Dump, DumpSource},
    metrics::Metrics,
};
use serde_json::Value;
use tokio::{net::TcpListener, time::timeout};
use tokio_util::sync::CancellationToken;

/// Guards against a dump that exceeds its limit when the process has much state.
#[test]
fn size_limited() {
    for limit in [300, 1_000, 10_000, 100_000] {
        let mut dump = Dump::new(limit);
        dump.add_value("process", &"entry-1");
        dump.add_rows("jobs", (0..5_000).map(|it| format!("job \"{it}\"")));
        dump.add_rows("workers", 0..5_000);
        dump.add_value("large", &"x".repeat(200_000));
        dump.add_value("another", &"x".repeat(200_000));
        let json = dump.into_json();
        assert!(json.len() <= limit, "{} bytes, limit {limit}", json.len());
        serde_json::from_str::<Value>(&json).unwrap();
    }
}

/// Guards against rows that are left out without being counted.
#[test]
fn omitted_rows_counted() {
    let mut dump = Dump::new(2_000);
    dump.add_rows("jobs", (0..1_000).map(|it| format!("job {it:04}")));
    let json: Value = serde_json::from_str(&dump.into_json()).unwrap();
    let shown = json["jobs"].as_array().unwrap().len() as u64;
    assert_eq!(json["omitted"]["jobs"].as_u64().unwrap(), 1_000 - shown);
    let mut dump = Dump::new(2_000);
    dump.add_rows("jobs", 0..10);
    assert_eq!(dump.into_json(), r#"{"jobs":[0,1,2,3,4,5,6,7,8,9]}"#);
}

#[derive(Clone)]
struct Source {
    answers: bool,
}

impl DumpSource for Source {
    async fn dump(&self, limit: usize) -> Dump {
        if !self.answers {
            std::future::pending::<()>().await;
        }
        let mut dump = Dump::new(limit);
        dump.add_value("shards", &16);
        dump
    }
}

async fn start(answers: bool) -> (String, Readiness, CancellationToken) {
    let (readiness, stop) = (Readiness::default(), CancellationToken::new());
    let metrics = Metrics::new().unwrap();
    metrics.eviction(&"scan".parse().unwrap());
    let router = admin::router(readiness.clone(), metrics, Source { answers }, 1_000);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(admin::serve(listener, router, stop.clone()));
    (format!("http://{address}"), readiness, stop)
}

async fn get(uri: String) -> (u16, String) {
    let resp = timeout(Duration::from_secs(5), reqwest::get(uri)).await.unwrap().unwrap();
    (resp.status().as_u16(), resp.text().await.unwrap())
}

/// Guards against a process that reports itself ready before it is or while it
/// stops, and against missing routes.
#[tokio::test]
async fn admin_routes() {
    let (uri, readiness, _stop) = start(true).await;
    assert_eq!(get(format!("{uri}/healthz")).await.0, 200);
    assert_eq!(get(format!("{uri}/readyz")).await, (503, "not ready: starting\n".to_owned()));
    readiness.set_ready();
    assert_eq!(get(format!("{uri}/readyz")).await.0, 200);
    readiness.set_not_ready("shutting down");
    assert_eq!(get(format!("{uri}/readyz")).await, (503, "not ready: shutting down\n".to_owned()));
    let (_, text) = get(format!("{uri}/metrics")).await;
    assert!(text.contains("mustardcove_evictions_total{class=\"scan\""), "{text}");
    assert_eq!(get(format!("{uri}/dump")).await, (200, r#"{"shards":16}"#.to_owned()));
}

/// Guards against a dump request that waits forever for a process that does not
/// produce its dump.
#[tokio::test]
async fn dump_times_out() {
    let (uri, _, _stop) = start(false).await;
    assert_eq!(get(format!("{uri}/dump")).await.0, 504);
}
