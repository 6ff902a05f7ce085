//! Calls that only the process may receive that answered an earlier one.

use std::time::Duration;

use axum::{Router, routing::post};
use bytes::Bytes;
use http::{HeaderMap, Method};
use mustardcove_core::{
    fleet::poller::KnownConnections, id::ConnectionNumber, time::Timestamp, verdict::Verdict,
};
use mustardcove_platform::{
    Clock,
    http::{Answer, CallError, HttpClient, HttpLimits},
    standin::server::{DEFAULT_CONNECTIONS, Server, loopback},
};

const NEVER: Timestamp = Timestamp::MAX;
/// Longer than a server takes to stop or to start again on its port.
const RESTART: Duration = Duration::from_millis(300);

struct Rig {
    server: Server,
    client: HttpClient,
}

impl Rig {
    async fn start() -> Rig {
        let slow = || async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            "slow"
        };
        let router = Router::new().route("/", post(|| async { "ok" })).route("/slow", post(slow));
        let server = Server::start(loopback(), router, DEFAULT_CONNECTIONS).await.unwrap();
        let client = HttpClient::new(Clock::start(), HttpLimits::default());
        Rig { server, client }
    }

    async fn post(&self, path: &str) -> Answer {
        let uri = format!("http://{}{path}", self.server.address());
        self.client.post(&uri, Bytes::from_static(b"{}"), NEVER, Duration::ZERO).await.unwrap()
    }

    async fn post_bound(&self, through: ConnectionNumber) -> Result<Answer, CallError> {
        let known = Some(KnownConnections::new(through));
        let uri = format!("http://{}/", self.server.address());
        let (headers, body) = (HeaderMap::new(), Bytes::from_static(b"{}"));
        let (client, wait) = (&self.client, Duration::ZERO);
        client.send(Method::POST, &uri, headers, body, NEVER, wait, known).await
    }
}

/// Guards against a call that is refused although its connection led to the
/// process already when that answered.
#[tokio::test]
async fn open_connection() {
    let rig = Rig::start().await;
    let first = rig.post("/").await;
    assert_eq!(rig.post_bound(first.connections).await.unwrap().body, "ok");
}

/// Guards against a call that reaches the next process at the address of the one
/// for which it is meant.
#[tokio::test]
async fn process_restarted() {
    let rig = Rig::start().await;
    let first = rig.post("/").await;
    rig.server.set_available(false);
    tokio::time::sleep(RESTART).await;
    rig.server.set_available(true);
    tokio::time::sleep(RESTART).await;
    let refused = rig.post_bound(first.connections).await.unwrap_err();
    assert_eq!(refused.verdict(), Verdict::NotRun);
    assert!(refused.needs_older_connection(), "{refused}");
    let second = rig.post("/").await;
    assert!(rig.post_bound(second.connections).await.is_ok());
}

/// Guards against a call over a connection that opened while the answer was on its
/// way: it may have opened after the process that answered has ended.
#[tokio::test]
async fn opened_meanwhile() {
    let rig = Rig::start().await;
    let (slow, other) = tokio::join!(rig.post("/slow"), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        rig.post("/").await
    });
    assert!(slow.connections < other.connections);
    // Keeps the first connection in use.
    let (_, refused) = tokio::join!(rig.post("/slow"), async {
        let (_, refused) = tokio::join!(rig.post("/slow"), async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            rig.post_bound(slow.connections).await
        });
        refused
    });
    assert!(refused.unwrap_err().needs_older_connection());
}
