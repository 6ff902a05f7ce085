//! Latency and throughput of the peer transport on loopback, with a plain TCP
//! echo for comparison.

#![allow(missing_docs)]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use criterion::{Criterion, criterion_group, criterion_main};
use mustardcove_core::{
    id::{JobId, RequestId, ShardId},
    job::{BodyDigest, JobSpec},
    message::{PeerMessage, ShardRequest, ShardResponse},
    size::Resources,
    time::Timestamp,
};
use mustardcove_runtime::{
    clock::Clock,
    metrics::Metrics,
    peer::{
        PeerConfig, PeerEvent, Peers,
        frame::{Decoder, encode},
    },
};
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    sync::mpsc,
    task::JoinSet,
};

const SHARD: ShardId = ShardId(1);
const MAX_BYTES: usize = 16 << 20;

async fn start(name: &str) -> (Peers, mpsc::Receiver<PeerEvent>) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = PeerConfig::new(name.parse().unwrap(), "moldova".parse().unwrap(), listen);
    let log = Logger::root(Discard, o!());
    Peers::start(config, Clock::start(), Metrics::new().unwrap(), log).await.unwrap()
}

/// Starts a process, `a`, and a peer of it, `b`, that answers every request.
async fn answering_pair() -> (Peers, Peers) {
    let (a, mut a_events) = start("a").await;
    let (b, mut events) = start("b").await;
    a.add_peer("b".parse().unwrap(), b.address(), "moldova".parse().unwrap());
    tokio::spawn(async move { while a_events.recv().await.is_some() {} });
    let answering = b.clone();
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            let PeerEvent::Message { from, message } = event else { continue };
            if let PeerMessage::Request { request, .. } = *message {
                let body = ShardResponse::Completed;
                answering.send(&from, &PeerMessage::Response { request, body }).unwrap();
            }
        }
    });
    (a, b)
}

async fn ask(peers: &Peers) {
    let body = ShardRequest::Cancel { job: JobId(1), member: None };
    peers.request(&"b".parse().unwrap(), SHARD, body, Timestamp::MAX).await.unwrap();
}

async fn echo_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        let mut buf = [0; 64];
        while stream.read_exact(&mut buf).await.is_ok() {
            stream.write_all(&buf).await.unwrap();
        }
    });
    address
}

fn requests(c: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    let (a, _b) = runtime.block_on(answering_pair());
    runtime.block_on(ask(&a));
    let mut group = c.benchmark_group("request");
    group.measurement_time(Duration::from_secs(3));
    group.bench_function("one at a time", |b| b.iter(|| runtime.block_on(ask(&a))));
    group.bench_function("64 in flight", |b| {
        b.iter_custom(|count| {
            runtime.block_on(async {
                let began = Instant::now();
                let mut tasks = JoinSet::new();
                for index in 0..64 {
                    let (a, share) = (a.clone(), count / 64 + u64::from(index < count % 64));
                    tasks.spawn(async move {
                        for _ in 0..share {
                            ask(&a).await;
                        }
                    });
                }
                tasks.join_all().await;
                began.elapsed()
            })
        })
    });
    let mut stream = runtime.block_on(async {
        let stream = TcpStream::connect(echo_address().await).await.unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    });
    group.bench_function("bare TCP echo", |b| {
        b.iter(|| {
            runtime.block_on(async {
                let mut buf = [1; 64];
                stream.write_all(&buf).await.unwrap();
                stream.read_exact(&mut buf).await.unwrap();
            })
        })
    });
    group.finish();
}

fn frames(c: &mut Criterion) {
    let spec = JobSpec {
        member: "bindery".parse().unwrap(),
        key: "order-17".parse().unwrap(),
        class: "binding".parse().unwrap(),
        resources: Resources::new(1_500, 2_048, 1),
        expected_run_ms: 90_000,
        deadline: None,
        digest: BodyDigest(7),
        payload: vec![7; 1_024].into(),
    };
    let body = ShardRequest::Submit { spec };
    let message = PeerMessage::Request { shard: SHARD, request: RequestId(1), body };
    let bytes = encode(&message, MAX_BYTES).unwrap();
    c.bench_function("frame/encode 1 KiB", |b| b.iter(|| encode(&message, MAX_BYTES).unwrap()));
    c.bench_function("frame/decode 1 KiB", |b| {
        let mut decoder = Decoder::new(MAX_BYTES);
        b.iter(|| {
            decoder.push(&bytes);
            decoder.next_message().unwrap().unwrap()
        })
    });
}

criterion_group!(benches, requests, frames);
criterion_main!(benches);
