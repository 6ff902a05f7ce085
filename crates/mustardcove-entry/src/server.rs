//! HTTP server for callers: accepts connections and closes them gracefully.

use std::{sync::Arc, time::Duration};

use axum::Router;
use hyper::server::conn::{http1, http2};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
    service::TowerToHyperService,
};
use slog::{info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

use crate::{entry::Entry, shards::ShardClient};

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1_024;

/// Interval between pings on an idle HTTP/2 connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(20);

/// Wait after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// First bytes of the HTTP/2 connection preface, enough to tell it from HTTP/1.
const HTTP2_PREFACE: &[u8; 3] = b"PRI";

/// Interval at which a connection that has sent fewer bytes is checked again.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves connections until the process drains, then finishes the requests in
/// progress. Returns when all have ended or the shutdown timeout expires.
pub async fn serve<C: ShardClient>(entry: Arc<Entry<C>>, listener: TcpListener, router: Router) {
    let receive_timeout = Duration::from_millis(entry.cfg().receive_timeout_ms);
    let builders = Arc::new(Builders::new(receive_timeout));
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(entry.cfg().max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            () = entry.draining().cancelled() => break,
        };
        let Some((stream, permit)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let service = TowerToHyperService::new(router.clone());
        let builders = Arc::clone(&builders);
        let watcher = graceful.watcher();
        let draining = entry.draining().clone();
        tokio::spawn(async move {
            let _permit = permit;
            // The header timeout only starts once the protocol is known, so
            // without this timeout a connection that sends nothing would stay open
            // forever.
            let preface = tokio::time::timeout(receive_timeout, is_http2(&stream));
            let preface = tokio::select! {
                preface = preface => preface,
                // No request was received yet, so none is lost.
                () = draining.cancelled() => return,
            };
            let Ok(Some(is_http2)) = preface else { return };
            // Connection errors are ignored: they are caused by the caller, and
            // every request on the connection has been recorded.
            let io = TokioIo::new(stream);
            if is_http2 {
                let conn = builders.http2.serve_connection(io, service);
                let _ = Box::pin(watcher.watch(conn)).await;
            } else {
                let conn = builders.http1.serve_connection(io, service);
                let _ = watcher.watch(conn).await;
            }
        });
    }
    drop(listener);
    drain_connections(&entry, graceful).await;
}

/// Detects the protocol from the first bytes without consuming them.
///
/// The automatic builder of `hyper-util` does the same but uses about 9 KB more
/// memory per connection, which matters when thousands of callers wait.
async fn is_http2(stream: &TcpStream) -> Option<bool> {
    let mut prefix = [0; HTTP2_PREFACE.len()];
    loop {
        let len = stream.peek(&mut prefix).await.ok()?;
        if len == 0 {
            return None;
        }
        if prefix[..len] != HTTP2_PREFACE[..len] {
            return Some(false);
        }
        if len == prefix.len() {
            return Some(true);
        }
        tokio::time::sleep(PREFACE_POLL_INTERVAL).await;
    }
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, permit))
}

struct Builders {
    http1: http1::Builder,
    http2: http2::Builder<TokioExecutor>,
}

impl Builders {
    fn new(receive_timeout: Duration) -> Builders {
        let mut http1 = http1::Builder::new();
        http1
            .timer(TokioTimer::new())
            .header_read_timeout(receive_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            // A caller that closed its sending side still waits for the answer.
            .half_close(true);
        let mut http2 = http2::Builder::new(TokioExecutor::new());
        http2
            .timer(TokioTimer::new())
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .max_concurrent_streams(MAX_STREAMS);
        Builders { http1, http2 }
    }
}

/// Finishes the requests in progress within the shutdown timeout.
async fn drain_connections<C: ShardClient>(entry: &Arc<Entry<C>>, graceful: GracefulShutdown) {
    let timeout = Duration::from_millis(entry.cfg().shutdown_ms);
    info!(entry.log(), "finishing requests"; "connections" => graceful.count(),
        "tasks" => entry.tasks().len());
    entry.tasks().close();
    let drained = tokio::time::timeout(timeout, async {
        tokio::join!(graceful.shutdown(), entry.tasks().wait());
    });
    if drained.await.is_err() {
        warn!(entry.log(), "shutdown timeout expired; remaining requests are aborted";
            "tasks" => entry.tasks().len());
    }
}
