//! Measures the latency that an entry process adds to a request, and the memory
//! used by waiting requests.
//!
//! `entry_load overhead` calls a test upstream directly and through an entry
//! process, alternately in one run, and prints both latencies. Each of four
//! callers makes a pair of calls every 4 ms, so that the latencies contain no
//! queueing; `entry_load saturated` makes the calls without a pause.
//!
//! `entry_load wait` serves an entry process and prints its memory while
//! `entry_load hold ADDRESS KIND` holds 10,000 requests at it: `job` waits for
//! the result of a job, `service` waits for a free slot at an upstream, each on an
//! HTTP/1.1 connection of its own; `streams` is as `service` with 500 requests
//! on each HTTP/2 connection. Two separate processes are used, so that the
//! memory is that of the entry process alone. All runs are bounded in count and
//! time and use loopback only.

#[path = "../tests/support/shards.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod shards;

use std::{
    io::Write as _,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{Router, http::HeaderMap, response::IntoResponse, routing::get};
use bytes::Bytes;
use eyre::{Result, bail, eyre};
use hdrhistogram::Histogram;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use mustardcove_core::{
    agreement::{Agreement, Member, Service},
    class::{Class, ClassKind, Delivery},
    id::{IdempotencyKey, JobId, MemberId, Revision},
    size::Resources,
    worker::{UpstreamInfo, WorkerInfo},
};
use mustardcove_entry::{api, config::EntryConfig, entry::Entry, server, upstream_monitor};
use mustardcove_platform::{Clock, memory::MemoryInstances, upstream::REQUEST_ID_HEADER};
use mustardcove_runtime::metrics::Metrics;
use sha2::{Digest, Sha256};
use shards::MemoryShards;
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

const TOKEN: &str = "load";
/// Number of concurrent callers of `overhead` and `saturated`.
const CALLERS: usize = 4;
const CALLS_PER_CALLER: usize = 5_000;

/// Pause of a caller of `overhead` before each pair of calls.
const CALL_INTERVAL: Duration = Duration::from_millis(4);

/// First calls of each caller, whose latencies are not recorded.
const WARM_UP_CALLS: usize = 1_000;
const WAITING_REQUESTS: usize = 10_000;
const STREAMS_PER_CONNECTION: usize = 500;

/// Time for which `wait` prints the memory, in seconds.
const WAIT_S: u64 = 40;

/// Time for which `hold` keeps its requests open, in seconds.
const HOLD_S: u64 = 15;

/// Size of the body of a service request.
const BODY_BYTES: usize = 256;

fn agreement() -> Agreement {
    let digest = Sha256::digest(TOKEN.as_bytes());
    let class = |id: &str, kind: ClassKind| Class {
        id: id.parse().unwrap(),
        kind,
        delivery: Delivery::Idempotent,
        service: (kind == ClassKind::Service).then(|| "desk".parse().unwrap()),
        urgent: kind == ClassKind::Service,
        evictable: false,
        resources: Resources::ZERO,
        expected_run_ms: 1,
        latency_target_ms: 100,
        weight: 1.0,
    };
    let classes = [class("check", ClassKind::Service), class("run", ClassKind::Batch)];
    let member = Member {
        id: "farm".parse().unwrap(),
        schema: Default::default(),
        cap: Resources::new(1_000, 1_000, 0),
        max_requests: 100_000,
        classes: classes.iter().map(|it| it.id.clone()).collect(),
        token_digests: vec![digest.iter().map(|it| format!("{it:02x}")).collect()],
        evict_over_cap: false,
    };
    let service = Service { id: "desk".parse().unwrap(), slot_resources: Resources::ZERO };
    Agreement {
        revision: Revision(1),
        members: [(member.id.clone(), member)].into(),
        classes: classes.into_iter().map(|it| (it.id.clone(), it)).collect(),
        services: [(service.id.clone(), service)].into(),
    }
}

/// Starts an upstream that echoes the body and identifier of each request, or
/// that never answers.
async fn start_upstream(answers: bool) -> Result<SocketAddr> {
    let serve = move |headers: HeaderMap, body: Bytes| async move {
        if !answers {
            std::future::pending::<()>().await;
        }
        let mut resp = body.into_response();
        if let Some(id) = headers.get(REQUEST_ID_HEADER) {
            resp.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
        }
        resp
    };
    let router = Router::new()
        .route("/serve", axum::routing::post(serve))
        .route("/healthz", get(|| async { StatusCode::OK }));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        use axum::serve::ListenerExt as _;
        let listener = listener.tap_io(|stream| {
            let _ = stream.set_nodelay(true);
        });
        axum::serve(listener, router).await
    });
    Ok(address)
}

async fn start_entry(upstream: SocketAddr) -> Result<(Arc<Entry<MemoryShards>>, SocketAddr)> {
    let process = "entry-1".parse()?;
    let mut cfg = EntryConfig::new(process, "r1".parse()?, "d1".parse()?);
    cfg.share_hold_ms = 0;
    cfg.max_queued = 2 * WAITING_REQUESTS;
    cfg.queue_wait_ms = 60_000;
    let clock = Clock::start();
    let shards = MemoryShards::new(&cfg.process);
    let name = cfg.process.clone();
    let log = Logger::root(Discard, o!());
    let (entry, closed_connections) = Entry::new(cfg, clock, log, shards, Metrics::new()?);
    entry.activate(Arc::new(agreement()));
    entry.set_entries(&[name]);
    let list = MemoryInstances::new(clock);
    list.set_workers(vec![WorkerInfo {
        id: "w-1".parse()?,
        address: "127.0.0.1:1".to_owned(),
        region: "r1".parse()?,
        domain: "d1".parse()?,
        rack: "k1".parse()?,
        capacity: Resources::ZERO,
        leaving: false,
        upstreams: vec![UpstreamInfo {
            service: "desk".parse()?,
            address: upstream.to_string(),
            slots: 8,
            connections: 64,
        }],
    }]);
    tokio::spawn(upstream_monitor::follow_instance_list(Arc::clone(&entry), list));
    tokio::spawn(upstream_monitor::probe_upstreams(Arc::clone(&entry), closed_connections));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(server::serve(Arc::clone(&entry), listener, api::router(&entry)));
    while !entry.is_ready() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok((entry, address))
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector)
}

async fn timed_call(client: &HttpClient, url: &str) -> Result<u64> {
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let req = Request::post(url)
        .header("authorization", format!("Bearer {TOKEN}"))
        .header(REQUEST_ID_HEADER, "load")
        .body(Full::new(body.clone()))?;
    let began = Instant::now();
    let resp = client.request(req).await?;
    let status = resp.status();
    let answer = resp.into_body().collect().await?.to_bytes();
    let ns = began.elapsed().as_nanos() as u64;
    if status != StatusCode::OK || answer != body {
        bail!("status {status}: {}", String::from_utf8_lossy(&answer));
    }
    Ok(ns)
}

async fn overhead(interval: Option<Duration>) -> Result<()> {
    let upstream = start_upstream(true).await?;
    let (_entry, address) = start_entry(upstream).await?;
    let urls = [format!("http://{upstream}/serve"), format!("http://{address}/v1/services/check")];
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let urls = urls.clone();
        callers.spawn(async move {
            let client = client();
            let mut latencies = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
            for call in 0..CALLS_PER_CALLER + WARM_UP_CALLS {
                if let Some(interval) = interval {
                    tokio::time::sleep(interval).await;
                }
                for (url, latencies) in urls.iter().zip(&mut latencies) {
                    let ns = timed_call(&client, url).await?;
                    if WARM_UP_CALLS <= call {
                        latencies.record(ns)?;
                    }
                }
            }
            Ok::<_, eyre::Report>(latencies)
        });
    }
    let mut totals = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    while let Some(joined) = callers.join_next().await {
        for (total, part) in totals.iter_mut().zip(joined??) {
            total.add(part)?;
        }
    }
    let mut out = std::io::stdout();
    writeln!(out, "callers={CALLERS} calls={} body={BODY_BYTES}B", totals[0].len())?;
    for quantile in [0.5, 0.99, 0.999] {
        let [direct, through] =
            [0, 1].map(|it: usize| totals[it].value_at_quantile(quantile) as f64 / 1_000.0);
        writeln!(
            out,
            "p{}: direct={direct:.0}us through_entry={through:.0}us added={:.0}us",
            quantile * 100.0,
            through - direct
        )?;
    }
    Ok(())
}

fn memory_mib(field: &str) -> Result<f64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|it| it.starts_with(field));
    let value = line.and_then(|it| it.split_whitespace().nth(1));
    let kib: f64 = value.ok_or_else(|| eyre!("no {field}"))?.parse()?;
    Ok(kib / 1024.0)
}

/// Serves an entry process and prints its memory every second.
async fn wait() -> Result<()> {
    let upstream = start_upstream(false).await?;
    let (entry, address) = start_entry(upstream).await?;
    let mut out = std::io::stdout();
    writeln!(out, "{address}")?;
    out.flush()?;
    for second in 0..WAIT_S {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (in_flight, _, _) = entry.load();
        let rss = memory_mib("VmRSS")?;
        writeln!(out, "second={second} in_flight={in_flight} rss_mib={rss:.1}")?;
        out.flush()?;
    }
    writeln!(out, "peak_rss_mib={:.1}", memory_mib("VmHWM")?)?;
    Ok(())
}

/// Holds service requests that share HTTP/2 connections.
async fn hold_streams(address: SocketAddr) -> Result<()> {
    let url = format!("http://{address}/v1/services/check");
    let mut calls = JoinSet::new();
    for _ in 0..WAITING_REQUESTS / STREAMS_PER_CONNECTION {
        let client: HttpClient =
            Client::builder(TokioExecutor::new()).http2_only(true).build(HttpConnector::new());
        for _ in 0..STREAMS_PER_CONNECTION {
            let (client, url) = (client.clone(), url.clone());
            calls.spawn(async move {
                let req = Request::post(url)
                    .header("authorization", format!("Bearer {TOKEN}"))
                    .header("x-request-timeout-ms", "60000")
                    .body(Full::new(Bytes::from(vec![b'x'; BODY_BYTES])))?;
                Ok::<_, eyre::Report>(client.request(req).await?.status())
            });
        }
    }
    tokio::time::sleep(Duration::from_secs(HOLD_S)).await;
    let answered = std::iter::from_fn(|| calls.try_join_next()).count();
    writeln!(std::io::stdout(), "held={WAITING_REQUESTS} answered_early={answered}")?;
    Ok(())
}

/// Holds requests of one kind, and prints how many were answered early.
async fn hold(address: SocketAddr, kind: &str) -> Result<()> {
    if kind == "streams" {
        return hold_streams(address).await;
    }
    let member: MemberId = "farm".parse()?;
    let key: IdempotencyKey = "job".parse()?;
    let job = JobId::new(&member, &key);
    let head = |first: &str| {
        format!("{first} HTTP/1.1\r\nhost: load\r\nauthorization: Bearer {TOKEN}\r\n")
    };
    let submit = format!(
        "{}content-type: application/json\r\nidempotency-key: job\r\ncontent-length: 15\r\n\r\n\
         {{\"class\":\"run\"}}",
        head("POST /v1/jobs")
    );
    let request = match kind {
        "job" => format!("{}\r\n", head(&format!("GET /v1/jobs/{job}?wait_ms=60000"))),
        "service" => format!(
            "{}x-request-timeout-ms: 60000\r\ncontent-length: {BODY_BYTES}\r\n\r\n{}",
            head("POST /v1/services/check"),
            "x".repeat(BODY_BYTES)
        ),
        _ => bail!("the kind is job, service or streams"),
    };
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(submit.as_bytes()).await?;
    let mut buf = [0; 1024];
    let read = stream.read(&mut buf).await?;
    if !buf[..read].starts_with(b"HTTP/1.1 20") {
        bail!("the submission failed: {}", String::from_utf8_lossy(&buf[..read]));
    }
    let mut streams = Vec::with_capacity(WAITING_REQUESTS);
    for _ in 0..WAITING_REQUESTS {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        streams.push(stream);
    }
    tokio::time::sleep(Duration::from_secs(HOLD_S)).await;
    let answered = streams.iter().filter(|it| it.try_read(&mut [0; 64]).is_ok()).count();
    writeln!(std::io::stdout(), "held={} answered_early={answered}", streams.len())?;
    Ok(())
}

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(4).enable_all().build()?;
    runtime.block_on(async {
        match args[..] {
            ["overhead"] => overhead(Some(CALL_INTERVAL)).await,
            ["saturated"] => overhead(None).await,
            ["wait"] => wait().await,
            ["hold", address, kind] => hold(address.parse()?, kind).await,
            _ => bail!(
                "usage: entry_load overhead | saturated | wait | hold ADDRESS job|service|streams"
            ),
        }
    })
}
