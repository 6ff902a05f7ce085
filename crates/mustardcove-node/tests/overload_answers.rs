//! Answers to callers by the leader's load report.
//!
//! Guards against rejections of what is stored or may be, against rejections by a
//! report that does not hold any more, and against places that the leader does not
//! learn of.

#[path = "support/local.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod local;

use std::{net::SocketAddr, sync::Arc};

use local::Local;
use mustardcove_adapter::{manifest, standin};
use mustardcove_core::{
    fleet::{
        evacuation::EvacuationList,
        id::{BootMillis, ManifestVersion, SubmissionId, Term},
        message::Heartbeat,
        overload::{LoadReport, Place, PoolLoad, WorkAmount},
        record::{SUBMISSION_PREFIX, key_of},
    },
    size::Millicores,
};
use mustardcove_node::{
    callers,
    shared::{Shared, boot_now},
};
use reqwest::StatusCode;
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const HOST: &str = "callers.example";
const PREFIX: &str = "/bind/";
const SERVICE: &str = "press";

struct Rig {
    local: Local,
    address: SocketAddr,
}

impl Rig {
    async fn start() -> Rig {
        let local = Local::start().await;
        let text = standin::manifest(3, HOST, PREFIX, SERVICE, 3_000);
        let manifest = manifest::decode(&text).expect("a manifest");
        local.shared.manifest.send_replace(Some(Arc::new(manifest)));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(callers::serve(local.shared.clone(), listener, CancellationToken::new()));
        Rig { local, address }
    }

    fn shared(&self) -> &Shared {
        &self.local.shared
    }

    /// Passes on a heartbeat of a leader, with the load as it is after `age_ms`.
    fn hear(&self, wait_ms: u64, age_ms: u64, places: Vec<Place>) {
        let shared = self.shared();
        let priority = shared.manifest().expect("a manifest").queues[0].priority;
        let now = shared.now();
        let pool = PoolLoad {
            service: SERVICE.to_owned(),
            priority,
            wait_until: now.plus_ms(wait_ms),
            is_overloaded: true,
            free_millicores: Millicores(0),
            rate_millicores: Millicores(100_000),
            promised: WorkAmount(0),
        };
        shared.record_heartbeat(Heartbeat {
            term: Term(1),
            region: "home".parse().expect("a valid name"),
            sent_at: now,
            covered: Some(BootMillis(boot_now().0 - age_ms)),
            report_delay_ms: 0,
            needs_witnesses: false,
            manifest: ManifestVersion::default(),
            pending: None,
            reaching_store: Vec::new(),
            evacuations: EvacuationList::default(),
            load: Some(LoadReport { pools: vec![pool] }),
            places,
        });
    }

    async fn submit(&self, id: u64) -> (StatusCode, Option<u64>) {
        let id = SubmissionId(id);
        let body = json!({ "TaskSpec": "ms=100 ", "Steps": [
            { "Count": 4, "Cpu": 500, "MemMb": 64, "EstimatedMs": 1_000 }] });
        let uri = format!("http://{}{PREFIX}{id}", self.address);
        let req = reqwest::Client::new().post(uri).header("host", HOST).json(&body);
        let resp = req.send().await.expect("an answer");
        let seconds = resp.headers().get("retry-after").and_then(|it| it.to_str().ok());
        (resp.status(), seconds.and_then(|it| it.parse().ok()))
    }

    fn is_stored(&self, id: u64) -> bool {
        self.local.store.contains(&key_of(SUBMISSION_PREFIX, SubmissionId(id)))
    }
}

#[tokio::test]
async fn rejected_before_writing() {
    let rig = Rig::start().await;
    rig.hear(600_000, 300, Vec::new());
    let (status, seconds) = rig.submit(0xa1).await;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
    assert!(seconds.is_some_and(|it| (20..=30).contains(&it)), "{seconds:?}");
    assert!(!rig.is_stored(0xa1), "it was written");
    let reported = rig.shared().take_unreported_places();
    assert_eq!(reported.len(), 1);
    assert_eq!(reported[0].id, SubmissionId(0xa1));
    assert!(rig.shared().take_unreported_places().is_empty(), "it was reported a moment ago");
    rig.hear(600_000, 2_500, Vec::new());
    assert_eq!(rig.submit(0xa2).await.0, StatusCode::OK, "the report is old");
    rig.hear(100, 300, Vec::new());
    assert_eq!(rig.submit(0xa3).await.0, StatusCode::OK, "it can be served");
}

#[tokio::test]
async fn stored_not_rejected() {
    let rig = Rig::start().await;
    rig.hear(600_000, 300, Vec::new());
    rig.local.store.put(&key_of(SUBMISSION_PREFIX, SubmissionId(0xb1)), b"{}");
    assert_eq!(rig.submit(0xb1).await.0, StatusCode::OK, "another process has stored it");
    let key = key_of(SUBMISSION_PREFIX, SubmissionId(0xb2));
    rig.shared().unsettled_writes().sent(&key, rig.shared().now());
    assert_eq!(rig.submit(0xb2).await.0, StatusCode::OK, "an earlier write may be carried out");
}

/// A caller that was told to come back by another process.
#[tokio::test]
async fn returns_elsewhere() {
    let rig = Rig::start().await;
    let now = rig.shared().now();
    let place = |promised_at| Place {
        id: SubmissionId(0xc1),
        service: SERVICE.to_owned(),
        priority: rig.shared().manifest().expect("a manifest").queues[0].priority,
        work: WorkAmount(1_000),
        first_arrival: now.minus_ms(9_000),
        promised_at,
    };
    rig.hear(600_000, 300, vec![place(now.plus_ms(5_000))]);
    assert_eq!(rig.submit(0xc1).await.0, StatusCode::TOO_MANY_REQUESTS, "5 s too early");
    rig.hear(600_000, 300, vec![place(now.minus_ms(500))]);
    assert_eq!(rig.submit(0xc2).await.0, StatusCode::TOO_MANY_REQUESTS, "a newcomer");
    assert_eq!(rig.submit(0xc1).await.0, StatusCode::OK);
    assert!(rig.is_stored(0xc1));
}
