//! Accepts callers' connections and ends them gracefully.

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

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Requests of one HTTP/2 connection at once.
const MAX_STREAMS: u32 = 1_024;

/// Time after which an HTTP/2 connection without traffic is checked.
const KEEP_ALIVE: Duration = Duration::from_secs(20);

/// Wait after a failed accept, which is usually a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// First bytes of an HTTP/2 connection, as far as they differ from HTTP/1.
const HTTP2_PREFACE: &[u8; 3] = b"PRI";

/// Interval at which a connection with fewer bytes is looked at again.
const PREFACE_RETRY: Duration = Duration::from_millis(20);

/// Serves connections until the process drains, then finishes what is under
/// way; returns when everything has ended or the time for it is over.
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
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let service = TowerToHyperService::new(router.clone());
        let builders = Arc::clone(&builders);
        let watcher = graceful.watcher();
        let draining = entry.draining().clone();
        tokio::spawn(async move {
            let _permit = permit;
            // A connection on which nothing arrives would be held for ever:
            // the header time-out begins only with the protocol.
            let preface = tokio::time::timeout(receive_timeout, is_http2(&stream));
            let preface = tokio::select! {
                preface = preface => preface,
                // Nothing was asked on it yet, so nothing is lost.
                () = draining.cancelled() => return,
            };
            let Ok(Some(is_http2)) = preface else { return };
            // Errors of single connections are the caller's; each request on
            // them has been recorded.
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
    finish(&entry, graceful).await;
}

/// Tells the protocols apart by the first bytes, without taking them.
///
/// The builder of `hyper-util` that does the same costs about 9 KB more per
/// connection, which counts when thousands of callers wait.
async fn is_http2(stream: &TcpStream) -> Option<bool> {
    let mut first = [0; HTTP2_PREFACE.len()];
    loop {
        let len = stream.peek(&mut first).await.ok()?;
        if len == 0 {
            return None;
        }
        if first[..len] != HTTP2_PREFACE[..len] {
            return Some(false);
        }
        if len == first.len() {
            return Some(true);
        }
        tokio::time::sleep(PREFACE_RETRY).await;
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
            // A caller that shut down its sending side still waits for its answer.
            .half_close(true);
        let mut http2 = http2::Builder::new(TokioExecutor::new());
        http2
            .timer(TokioTimer::new())
            .keep_alive_interval(KEEP_ALIVE)
            .max_concurrent_streams(MAX_STREAMS);
        Builders { http1, http2 }
    }
}

/// Finishes what is under way within the time for a shutdown.
async fn finish<C: ShardClient>(entry: &Arc<Entry<C>>, graceful: GracefulShutdown) {
    let bound = Duration::from_millis(entry.cfg().shutdown_ms);
    info!(entry.log(), "finishing requests"; "connections" => graceful.count(),
        "tasks" => entry.tasks().len());
    entry.tasks().close();
    let ended = tokio::time::timeout(bound, async {
        tokio::join!(graceful.shutdown(), entry.tasks().wait());
    });
    if ended.await.is_err() {
        warn!(entry.log(), "requests were cut off at the end of the shutdown";
            "tasks" => entry.tasks().len());
    }
}
