//! Harness that runs an entry process on loopback, with an agreement of two
//! members.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use mustardcove_core::{
    agreement::{Agreement, Member, Service},
    class::{Class, ClassKind, Delivery},
    id::{ProcessId, Revision},
    size::Resources,
    worker::{UpstreamInfo, WorkerInfo},
};
use mustardcove_entry::{
    api, config::EntryConfig, entry::Entry, refusal::RefusalBody, server, upstream_monitor,
};
use mustardcove_platform::{Clock, memory::MemoryInstances};
use mustardcove_runtime::metrics::Metrics;
use sha2::{Digest, Sha256};
use slog::{Discard, Logger, o};
use tokio::{net::TcpListener, task::JoinHandle};

use super::shards::MemoryShards;

pub const TOKEN: &str = "token-of-bindery";
pub const OTHER_TOKEN: &str = "token-of-farm";

pub struct Harness {
    pub entry: Arc<Entry<MemoryShards>>,
    pub shards: MemoryShards,
    pub list: MemoryInstances,
    pub address: SocketAddr,
    pub http: reqwest::Client,
    pub server: JoinHandle<()>,
}

pub fn process(name: &str) -> ProcessId {
    name.parse().unwrap()
}

fn class(id: &str, kind: ClassKind, delivery: Delivery) -> Class {
    Class {
        id: id.parse().unwrap(),
        kind,
        delivery,
        service: (kind == ClassKind::Service).then(|| "press".parse().unwrap()),
        urgent: false,
        evictable: false,
        resources: Resources::new(100, 64, 0),
        expected_run_ms: 10,
        latency_target_ms: 100,
        weight: 1.0,
    }
}

fn member(id: &str, token: &str, max_requests: u32) -> Member {
    let digest = Sha256::digest(token.as_bytes());
    Member {
        id: id.parse().unwrap(),
        schema: Default::default(),
        cap: Resources::new(100_000, 100_000, 0),
        max_requests,
        classes: ["check", "proof", "booking", "run"].map(|it| it.parse().unwrap()).into(),
        token_digests: vec![digest.iter().map(|it| format!("{it:02x}")).collect()],
        evict_over_cap: false,
    }
}

pub fn agreement() -> Agreement {
    let classes = [
        class("check", ClassKind::Service, Delivery::Idempotent),
        class("proof", ClassKind::Service, Delivery::Exclusive),
        class("booking", ClassKind::Service, Delivery::AtMostOnce),
        class("run", ClassKind::Batch, Delivery::AtMostOnce),
    ];
    let members = [member("bindery", TOKEN, 64), member("farm", OTHER_TOKEN, 2)];
    let press = Service { id: "press".parse().unwrap(), slot_resources: Resources::ZERO };
    Agreement {
        revision: Revision(1),
        members: members.into_iter().map(|it| (it.id.clone(), it)).collect(),
        classes: classes.into_iter().map(|it| (it.id.clone(), it)).collect(),
        services: [(press.id.clone(), press)].into(),
    }
}

pub fn worker(name: &str, address: SocketAddr) -> WorkerInfo {
    WorkerInfo {
        id: name.parse().unwrap(),
        address: "127.0.0.1:1".to_owned(),
        region: "r1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        rack: "k1".parse().unwrap(),
        capacity: Resources::ZERO,
        leaving: false,
        upstreams: vec![UpstreamInfo {
            service: "press".parse().unwrap(),
            address: address.to_string(),
            slots: 8,
            connections: 16,
        }],
    }
}

impl Harness {
    pub async fn start(workers: Vec<WorkerInfo>) -> Harness {
        let shards = MemoryShards::new(&process("entry-1"));
        Harness::start_with(workers, shards, "entry-1", |_| {}).await
    }

    pub async fn start_with(
        workers: Vec<WorkerInfo>,
        shards: MemoryShards,
        name: &str,
        change: impl FnOnce(&mut EntryConfig),
    ) -> Harness {
        let mut cfg = EntryConfig::new(process(name), "r1".parse().unwrap(), "d1".parse().unwrap());
        cfg.share_hold_ms = 0;
        cfg.list_interval_ms = 50;
        cfg.default_timeout_ms = 3_000;
        cfg.queue_wait_ms = 300;
        change(&mut cfg);
        let clock = Clock::start();
        let shards = shards.for_process(&cfg.process);
        let log = Logger::root(Discard, o!());
        let (entry, closed_connections) =
            Entry::new(cfg, clock, log, shards.clone(), Metrics::new().unwrap());
        entry.activate(Arc::new(agreement()));
        entry.set_entries(&[process(name)]);
        let list = MemoryInstances::new(clock);
        list.set_workers(workers);
        tokio::spawn(upstream_monitor::follow_instance_list(Arc::clone(&entry), list.clone()));
        tokio::spawn(upstream_monitor::probe_upstreams(Arc::clone(&entry), closed_connections));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let router = api::router(&entry);
        let server = tokio::spawn(server::serve(Arc::clone(&entry), listener, router));
        for _ in 0..200 {
            if entry.is_ready() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(entry.is_ready(), "the entry process did not become ready");
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        Harness { entry, shards, list, address, http, server }
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Returns a service request of the class.
    ///
    /// `mode` tells the test upstream how to answer.
    pub fn call(&self, class: &str, mode: &str, body: &str) -> reqwest::RequestBuilder {
        self.http
            .post(self.url(&format!("/v1/services/{class}")))
            .bearer_auth(TOKEN)
            .header("x-service-mode", mode)
            .body(body.to_owned())
    }

    /// Returns a submission of a batch job under the key.
    pub fn submit(&self, key: &str, body: serde_json::Value) -> reqwest::RequestBuilder {
        let req = self.http.post(self.url("/v1/jobs")).bearer_auth(TOKEN);
        req.header("idempotency-key", key).json(&body)
    }
}

/// Sends a request that must be refused, and returns the status and refusal.
pub async fn refused(req: reqwest::RequestBuilder) -> (u16, RefusalBody) {
    let resp = req.send().await.unwrap();
    let status = resp.status().as_u16();
    assert!(!resp.status().is_success(), "status {status}");
    assert!(resp.headers().contains_key("x-request-id"));
    let retry_after = resp.headers().contains_key("retry-after");
    let body: RefusalBody = resp.json().await.unwrap();
    assert_eq!(retry_after, body.retry_at.is_some());
    (status, body)
}

/// Sends a request that must succeed, and returns the body of the answer.
pub async fn answered(req: reqwest::RequestBuilder) -> String {
    let resp = req.send().await.unwrap();
    let status = resp.status();
    let body = resp.text().await.unwrap();
    assert!(status.is_success(), "status {status}: {body}");
    body
}
